// Package platformtest provides an in-memory platform log with fault injection, for
// tests.
package platformtest

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/modules/platform"
)

var errInjected = errors.New("injected fault")

// Log is an in-memory platform.Log.
type Log struct {
	mu                 sync.Mutex
	streams            map[string]*records
	changed            chan struct{}
	unavailable        bool
	readsFailing       bool
	responsesToDrop    int
	appendsToDuplicate int
	appends            int
}

type records struct {
	oldest   int64
	retained []platform.Record
}

// New returns an empty log.
func New() *Log {
	return &Log{streams: map[string]*records{}, changed: make(chan struct{})}
}

// SetUnavailable sets whether all calls fail.
func (l *Log) SetUnavailable(unavailable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unavailable = unavailable
	l.notify()
}

// SetReadsFailing sets whether reads fail. Appends are not affected.
func (l *Log) SetReadsFailing(readsFailing bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readsFailing = readsFailing
	l.notify()
}

// DropResponses makes the next n appends take effect but return an error.
func (l *Log) DropResponses(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.responsesToDrop = n
}

// DuplicateAppends makes the next n appends take effect twice.
func (l *Log) DuplicateAppends(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appendsToDuplicate = n
}

// Trim removes the records before an offset, as if they had expired.
func (l *Log) Trim(stream string, oldest int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.stream(stream)
	if n := oldest - r.oldest; n > 0 {
		r.retained = r.retained[n:]
		r.oldest = oldest
	}
}

// NextOffset returns the offset of the next record to be appended to a stream.
func (l *Log) NextOffset(stream string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stream(stream).next()
}

// Appends returns the number of records appended.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Append implements platform.Log.
func (l *Log) Append(_ context.Context, stream string, data []byte) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unavailable {
		return 0, &platform.UnavailableError{Stream: stream, Cause: errInjected}
	}
	offset := l.add(stream, data)
	if l.appendsToDuplicate > 0 {
		l.appendsToDuplicate--
		l.add(stream, data)
	}
	l.notify()
	if l.responsesToDrop > 0 {
		l.responsesToDrop--
		return 0, &platform.UnavailableError{Stream: stream, Cause: errInjected}
	}
	return offset, nil
}

// Read implements platform.Log.
func (l *Log) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (platform.Batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		batch, changed, err := l.read(stream, from, limit)
		if err != nil || len(batch.Records) > 0 || wait == 0 {
			return batch, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return batch, nil
		case <-ctx.Done():
			return platform.Batch{}, &platform.UnavailableError{Stream: stream, Cause: ctx.Err()}
		}
	}
}

func (l *Log) read(stream string, from int64, limit int) (platform.Batch, chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unavailable || l.readsFailing {
		return platform.Batch{}, nil, &platform.UnavailableError{Stream: stream, Cause: errInjected}
	}
	r := l.stream(stream)
	batch := platform.Batch{Oldest: r.oldest, Next: r.next()}
	if from < r.oldest {
		return batch, nil, &platform.GapError{Stream: stream, From: from, Oldest: r.oldest}
	}
	if from < r.next() {
		retained := r.retained[from-r.oldest:]
		batch.Records = append(batch.Records, retained[:min(limit, len(retained))]...)
	}
	return batch, l.changed, nil
}

func (l *Log) add(stream string, data []byte) int64 {
	r := l.stream(stream)
	offset := r.next()
	r.retained = append(r.retained, platform.Record{Offset: offset, Time: time.Now().UTC(), Data: data})
	l.appends++
	return offset
}

func (l *Log) stream(name string) *records {
	r := l.streams[name]
	if r == nil {
		r = &records{}
		l.streams[name] = r
	}
	return r
}

func (l *Log) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

func (r *records) next() int64 { return r.oldest + int64(len(r.retained)) }

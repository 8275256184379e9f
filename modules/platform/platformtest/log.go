// Package platformtest provides an in-memory platform log with faults, for
// tests.
package platformtest

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/modules/platform"
)

var errFault = errors.New("injected fault")

// Log is an in-memory platform.Log.
type Log struct {
	mu      sync.Mutex
	streams map[string]*records
	changed chan struct{}
	down    bool
	blind   bool
	lost    int
	doubled int
	appends int
}

type records struct {
	oldest int64
	kept   []platform.Record
}

// New returns an empty log.
func New() *Log {
	return &Log{streams: map[string]*records{}, changed: make(chan struct{})}
}

// SetUnavailable makes all calls fail, or answer again.
func (l *Log) SetUnavailable(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
	l.notify()
}

// SetReadsFailing makes reads fail, or answer again, while appends take effect.
func (l *Log) SetReadsFailing(blind bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.blind = blind
	l.notify()
}

// DropResponses makes the next n appends take effect and then fail.
func (l *Log) DropResponses(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lost = n
}

// DuplicateAppends makes the next n appends take effect twice.
func (l *Log) DuplicateAppends(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.doubled = n
}

// Trim drops the records before an offset, as the end of their retention does.
func (l *Log) Trim(stream string, oldest int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.stream(stream)
	if n := oldest - r.oldest; n > 0 {
		r.kept = r.kept[n:]
		r.oldest = oldest
	}
}

// NextOffset returns the offset that the next append to a stream gets.
func (l *Log) NextOffset(stream string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stream(stream).next()
}

// Appends returns how many appends took effect.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Append implements platform.Log.
func (l *Log) Append(_ context.Context, stream string, data []byte) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, &platform.UnavailableError{Stream: stream, Cause: errFault}
	}
	offset := l.add(stream, data)
	if l.doubled > 0 {
		l.doubled--
		l.add(stream, data)
	}
	l.notify()
	if l.lost > 0 {
		l.lost--
		return 0, &platform.UnavailableError{Stream: stream, Cause: errFault}
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
	if l.down || l.blind {
		return platform.Batch{}, nil, &platform.UnavailableError{Stream: stream, Cause: errFault}
	}
	r := l.stream(stream)
	batch := platform.Batch{Oldest: r.oldest, Next: r.next()}
	if from < r.oldest {
		return batch, nil, &platform.GapError{Stream: stream, From: from, Oldest: r.oldest}
	}
	if from < r.next() {
		kept := r.kept[from-r.oldest:]
		batch.Records = append(batch.Records, kept[:min(limit, len(kept))]...)
	}
	return batch, l.changed, nil
}

func (l *Log) add(stream string, data []byte) int64 {
	r := l.stream(stream)
	offset := r.next()
	r.kept = append(r.kept, platform.Record{Offset: offset, Time: time.Now().UTC(), Data: data})
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

func (r *records) next() int64 { return r.oldest + int64(len(r.kept)) }

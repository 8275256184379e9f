package follower_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/record"
	"github.com/crocusline/crocusline/services/follower"
)

// thinLink is a store behind a link that carries the newest record, but not all
// those that were missed.
type thinLink struct {
	mu      sync.Mutex
	end     int64
	away    bool
	carried int64
	newest  int
}

func (l *thinLink) Read(ctx context.Context, r record.Read) (record.Batch, error) {
	l.mu.Lock()
	end, away := l.end, l.away
	l.mu.Unlock()
	if away || end-r.From > l.carried {
		return record.Batch{}, errors.New("timeout")
	}
	if end == r.From {
		select {
		case <-time.After(r.Wait):
		case <-ctx.Done():
		}
	}
	return record.Batch{Records: records(r.From, end), Next: end, End: end}, nil
}

func (l *thinLink) Snapshot(context.Context, record.Partition) (record.Snapshot, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.away {
		return record.Snapshot{}, errors.New("timeout")
	}
	l.newest++
	return record.Snapshot{Records: records(l.end-1, l.end), Next: l.end}, nil
}

func (l *thinLink) set(end int64, away bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.end, l.away = end, away
}

func records(from, end int64) []record.Record {
	var all []record.Record
	for offset := from; offset < end; offset++ {
		all = append(all, record.Record{Key: "config", Offset: offset})
	}
	return all
}

// last remembers the offset of the last record.
type last struct {
	mu     sync.Mutex
	offset int64
}

func (h *last) Reset(records []record.Record, next int64) { h.Apply(records, next) }

func (h *last) Apply(records []record.Record, _ int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range records {
		h.offset = r.Offset
	}
}

func (*last) SetReachable(bool) {}

func (h *last) get() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.offset
}

// TestThinLinkAfterLoss replays a storm of large changes during an outage: what
// was missed is more than the link carries in time, the newest record is not.
func TestThinLinkAfterLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		link := &thinLink{end: 3, carried: 5}
		handler := &last{}
		f := follower.New(hclog.NewNullLogger(), link, record.Partition{Topic: "t"}, handler, follower.WithResyncOnError())
		f.Start(t.Context())
		time.Sleep(time.Second)
		if handler.get() != 2 || !f.Reachable() {
			t.Errorf("read up to %d, want 2", handler.get())
		}
		link.set(5, false)
		time.Sleep(2 * time.Second)
		if handler.get() != 4 || link.newest != 1 {
			t.Errorf("read up to %d with %d starts, want 4 and 1", handler.get(), link.newest)
		}
		link.set(40, true)
		time.Sleep(9 * time.Second)
		if f.Reachable() || f.Age() < 8*time.Second {
			t.Errorf("reachable, read %s ago", f.Age())
		}
		link.set(40, false)
		time.Sleep(time.Second)
		if handler.get() != 39 || !f.Reachable() {
			t.Errorf("read up to %d, want 39", handler.get())
		}
		if err := f.Close(); err != nil {
			t.Error(err)
		}
	})
}

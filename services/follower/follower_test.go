package follower_test

import (
	"context"
	"net/http/httptrace"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/record"
	"github.com/crocusline/crocusline/modules/uptime"
	"github.com/crocusline/crocusline/services/follower"
)

// slowLinkStore simulates a store behind a slow link. Snapshots arrive in time, reads
// of more than maxRecords records time out.
type slowLinkStore struct {
	mu          sync.Mutex
	end         int64
	unreachable bool
	maxRecords  int64
	// snapshots counts the snapshots that were read.
	snapshots int
}

func (s *slowLinkStore) Read(ctx context.Context, r record.Read) (record.Batch, error) {
	s.mu.Lock()
	end, unreachable := s.end, s.unreachable
	s.mu.Unlock()
	if unreachable || end-r.From > s.maxRecords {
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

func (s *slowLinkStore) Snapshot(context.Context, record.Partition) (record.Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unreachable {
		return record.Snapshot{}, errors.New("timeout")
	}
	s.snapshots++
	return record.Snapshot{Records: records(s.end-1, s.end), Next: s.end}, nil
}

func (s *slowLinkStore) set(end int64, unreachable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end, s.unreachable = end, unreachable
}

func records(from, end int64) []record.Record {
	var all []record.Record
	for offset := from; offset < end; offset++ {
		all = append(all, record.Record{Key: "config", Offset: offset})
	}
	return all
}

// lastOffset is a handler that stores the offset of the last record.
type lastOffset struct {
	mu     sync.Mutex
	offset int64
}

func (h *lastOffset) Reset(records []record.Record, next int64) { h.Apply(records, next) }

func (h *lastOffset) Apply(records []record.Record, _ int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range records {
		h.offset = r.Offset
	}
}

func (*lastOffset) SetReachable(bool) {}

func (h *lastOffset) get() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.offset
}

// TestResyncOverSlowLink guards against a follower that never catches up after an
// outage: large records that changed many times meanwhile add up to more than the
// link transfers within a call's timeout, while the snapshot arrives in time.
func TestResyncOverSlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &slowLinkStore{end: 3, maxRecords: 5}
		handler := &lastOffset{}
		f := follower.New(hclog.NewNullLogger(), store, record.Partition{Topic: "t"}, handler, follower.WithResyncOnError())
		f.Start(t.Context())
		time.Sleep(time.Second)
		if handler.get() != 2 || !f.Reachable() {
			t.Errorf("read up to %d, want 2", handler.get())
		}
		store.set(5, false)
		time.Sleep(2 * time.Second)
		if handler.get() != 4 || store.snapshots != 1 {
			t.Errorf("read up to %d with %d snapshots, want 4 and 1", handler.get(), store.snapshots)
		}
		store.set(40, true)
		time.Sleep(9 * time.Second)
		if f.Reachable() || f.Age() < 8*time.Second {
			t.Errorf("store still reachable or last read only %s ago", f.Age())
		}
		store.set(40, false)
		time.Sleep(time.Second)
		if handler.get() != 39 || !f.Reachable() {
			t.Errorf("read up to %d, want 39", handler.get())
		}
		if err := f.Close(); err != nil {
			t.Error(err)
		}
	})
}

// stoppedStore is a store whose responses are handled late, as the process does not run after the store
// has answered. Its reads are held until their timeout.
type stoppedStore struct {
	slowLinkStore
	// stop is for how long the process doesn't run after a response.
	stop atomic.Int64
}

func (s *stoppedStore) Read(ctx context.Context, r record.Read) (record.Batch, error) {
	b, err := s.slowLinkStore.Read(ctx, r)
	time.Sleep(time.Duration(s.stop.Load()))
	if trace := httptrace.ContextClientTrace(ctx); trace != nil {
		trace.GotFirstResponseByte()
	}
	return b, err
}

// TestResponseHandledLateTakenForNew guards against a process that stood still after the store had
// answered, and takes what it reads then for the present state.
func TestResponseHandledLateTakenForNew(t *testing.T) {
	for _, stop := range []time.Duration{0, 2 * time.Second, 4 * time.Second, 10 * time.Second} {
		t.Run(stop.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &stoppedStore{slowLinkStore: slowLinkStore{end: 1, maxRecords: 5}}
				handled := &handledAges{}
				f := follower.New(hclog.NewNullLogger(), store, record.Partition{Topic: "t"}, handled)
				handled.follower = f
				f.Start(t.Context())
				time.Sleep(5 * time.Second)
				store.stop.Store(int64(stop))
				time.Sleep(time.Second + stop)
				store.stop.Store(0)
				time.Sleep(3 * time.Second)
				if err := f.Close(); err != nil {
					t.Error(err)
				}
				oldest := slices.Max(handled.ages[1:])
				t.Logf("after a stop of %s the oldest response is handled at an age of %s", stop, oldest)
				if oldest < stop || oldest > stop+100*time.Millisecond {
					t.Errorf("the state was %s old, it is at least %s", oldest, stop)
				}
			})
		})
	}
}

// handledAges records the age of the state after each read.
type handledAges struct {
	lastOffset
	follower *follower.Follower
	ages     []time.Duration
}

func (h *handledAges) SetReachable(bool) { h.ages = append(h.ages, h.follower.Age()) }

// TestSuspendedMachine guards against ages that leave out the time for which the machine was suspended,
// in which neither the monotonic clock nor any timer advances.
func TestSuspendedMachine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var suspended atomic.Int64
		clock := uptime.NewClockWith(func() time.Duration { return time.Duration(suspended.Load()) })
		store := &slowLinkStore{end: 1, maxRecords: 5}
		f := follower.New(hclog.NewNullLogger(), store, record.Partition{Topic: "t"}, &lastOffset{}, follower.WithClock(clock))
		f.Start(t.Context())
		time.Sleep(5 * time.Second)
		calm := f.Age()
		suspended.Store(int64(4 * time.Second))
		if age := f.Age(); age != calm+4*time.Second || calm > follower.DefaultPollTimeout {
			t.Errorf("the state is %s old before and %s after the machine was suspended for 4 s", calm, age)
		}
		time.Sleep(time.Second)
		if age := f.Age(); age > follower.DefaultPollTimeout {
			t.Errorf("the state is %s old a second later", age)
		}
		if err := f.Close(); err != nil {
			t.Error(err)
		}
	})
}

// TestUnknownAge checks that a state that was never read isn't taken for a new one.
func TestUnknownAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &slowLinkStore{unreachable: true}
		f := follower.New(hclog.NewNullLogger(), store, record.Partition{Topic: "t"}, &lastOffset{})
		f.Start(t.Context())
		time.Sleep(time.Second)
		if age := f.Age(); age < time.Hour {
			t.Errorf("the age of nothing is %s", age)
		}
		if silence := f.Silence(); silence != time.Second {
			t.Errorf("the store is silent for %s, want 1 s", silence)
		}
		if err := f.Close(); err != nil {
			t.Error(err)
		}
	})
}

package billing

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/crocusline/crocusline/kernel"
	"github.com/crocusline/crocusline/models/ledger"
)

// fakePoster is a shard that ignores duplicate bills. It can be unreachable, or
// fail to respond after it has stored the entries.
type fakePoster struct {
	mu          sync.Mutex
	unreachable bool
	loseReplies int
	posts       int
	stored      []string
}

// state returns the number of posts and the stored request IDs.
func (f *fakePoster) state() (posts int, stored []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.posts, slices.Clone(f.stored)
}

var errUnreachable = errors.New("shard unreachable")

func (f *fakePoster) Post(_ context.Context, _ int, entries ...ledger.Entry) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.posts++
	if f.unreachable {
		return errUnreachable
	}
	for _, e := range entries {
		if id := e.(ledger.Bill).RequestID; !slices.Contains(f.stored, id) {
			f.stored = append(f.stored, id)
		}
	}
	if f.loseReplies > 0 {
		f.loseReplies--
		return errUnreachable
	}
	return nil
}

func start(t *testing.T, p Poster) *Outbox {
	t.Helper()
	o := New(WithPoster(p))
	if err := o.Start(context.Background(), kernel.New(hclog.NewNullLogger())); err != nil {
		t.Fatal(err)
	}
	return o
}

func bill(id string) []ledger.Entry {
	return []ledger.Entry{ledger.Bill{RequestID: id}}
}

func TestBillsArePostedInOrderAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakePoster{unreachable: true}
		o := start(t, p)
		var settled atomic.Int32
		for _, id := range []string{"a", "b", "c"} {
			o.Add(1, bill(id), func() { settled.Add(1) })
		}
		time.Sleep(time.Minute)
		if settled.Load() != 0 || o.Pending() != 3 {
			t.Fatalf("settled = %d, pending = %d during the outage", settled.Load(), o.Pending())
		}
		p.mu.Lock()
		p.unreachable, p.loseReplies = false, 2
		p.mu.Unlock()
		time.Sleep(time.Minute)
		_, stored := p.state()
		if settled.Load() != 3 || o.Pending() != 0 || !slices.Equal(stored, []string{"a", "b", "c"}) {
			t.Errorf("settled = %d, pending = %d, stored = %v", settled.Load(), o.Pending(), stored)
		}
		if err := o.Close(); err != nil {
			t.Error(err)
		}
	})
}

func TestUnreachableShardDoesNotDelayOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &shardPoster{unreachable: 1}
		o := start(t, p)
		o.Add(1, bill("a"), nil)
		o.Add(2, bill("b"), nil)
		time.Sleep(time.Second)
		if o.Pending() != 1 {
			t.Errorf("pending = %d, want only the bill of the unreachable shard", o.Pending())
		}
		if err := o.Close(); err != nil {
			t.Error(err)
		}
	})
}

// shardPoster is a Poster to which one shard is unreachable.
type shardPoster struct{ unreachable int }

func (s *shardPoster) Post(_ context.Context, shard int, _ ...ledger.Entry) error {
	if shard == s.unreachable {
		return errUnreachable
	}
	return nil
}

func TestLargeBacklogIsPostedInBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakePoster{unreachable: true}
		o := start(t, p)
		for i := range 3 * maxBatch {
			o.Add(1, bill(strconv.Itoa(i)), nil)
		}
		synctest.Wait()
		p.mu.Lock()
		p.unreachable, p.posts = false, 0
		p.mu.Unlock()
		time.Sleep(time.Minute)
		posts, stored := p.state()
		if len(stored) != 3*maxBatch || posts != 3 {
			t.Errorf("stored = %d in %d posts, want 3 posts", len(stored), posts)
		}
		if err := o.Close(); err != nil {
			t.Error(err)
		}
	})
}

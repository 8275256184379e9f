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

// fakePoster is a shard that drops bills it has. It can lose answers after the
// entries took effect, or be away.
type fakePoster struct {
	mu          sync.Mutex
	away        bool
	loseAnswers int
	posts       int
	held        []string
}

// state returns the number of posts and what the shard holds.
func (f *fakePoster) state() (posts int, held []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.posts, slices.Clone(f.held)
}

var errAway = errors.New("away")

func (f *fakePoster) Post(_ context.Context, _ int, entries ...ledger.Entry) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.posts++
	if f.away {
		return errAway
	}
	for _, e := range entries {
		if id := e.(ledger.Bill).RequestID; !slices.Contains(f.held, id) {
			f.held = append(f.held, id)
		}
	}
	if f.loseAnswers > 0 {
		f.loseAnswers--
		return errAway
	}
	return nil
}

func start(t *testing.T, p Poster) *Outbox {
	t.Helper()
	k := New(WithPoster(p))
	if err := k.Start(context.Background(), kernel.New(hclog.NewNullLogger())); err != nil {
		t.Fatal(err)
	}
	return k
}

func bill(id string) []ledger.Entry {
	return []ledger.Entry{ledger.Bill{RequestID: id}}
}

func TestBillsOutliveAnOutageInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakePoster{away: true}
		k := start(t, p)
		var settled atomic.Int32
		for _, id := range []string{"a", "b", "c"} {
			k.Add(1, bill(id), func() { settled.Add(1) })
		}
		time.Sleep(time.Minute)
		if settled.Load() != 0 || k.Pending() != 3 {
			t.Fatalf("settled = %d, owed = %d during the outage", settled.Load(), k.Pending())
		}
		p.mu.Lock()
		p.away, p.loseAnswers = false, 2
		p.mu.Unlock()
		time.Sleep(time.Minute)
		_, held := p.state()
		if settled.Load() != 3 || k.Pending() != 0 || !slices.Equal(held, []string{"a", "b", "c"}) {
			t.Errorf("settled = %d, owed = %d, held = %v", settled.Load(), k.Pending(), held)
		}
		if err := k.Close(); err != nil {
			t.Error(err)
		}
	})
}

func TestOneShardAwayDoesNotHoldUpAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &shardPoster{away: 1}
		k := start(t, p)
		k.Add(1, bill("a"), nil)
		k.Add(2, bill("b"), nil)
		time.Sleep(time.Second)
		if k.Pending() != 1 {
			t.Errorf("owed = %d, want only the bill of the shard that is away", k.Pending())
		}
		if err := k.Close(); err != nil {
			t.Error(err)
		}
	})
}

type shardPoster struct{ away int }

func (s *shardPoster) Post(_ context.Context, shard int, _ ...ledger.Entry) error {
	if shard == s.away {
		return errAway
	}
	return nil
}

func TestLargeBacklogIsPostedInBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakePoster{away: true}
		k := start(t, p)
		for i := range 3 * maxBatch {
			k.Add(1, bill(strconv.Itoa(i)), nil)
		}
		synctest.Wait()
		p.mu.Lock()
		p.away, p.posts = false, 0
		p.mu.Unlock()
		time.Sleep(time.Minute)
		posts, held := p.state()
		if len(held) != 3*maxBatch || posts != 3 {
			t.Errorf("held = %d in %d posts, want 3 posts", len(held), posts)
		}
		if err := k.Close(); err != nil {
			t.Error(err)
		}
	})
}

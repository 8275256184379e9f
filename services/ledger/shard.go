package ledger

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/crocusline/crocusline/coordination/escrow"
	"github.com/crocusline/crocusline/models/ledger"
	"github.com/crocusline/crocusline/services/stream"
)

// tailIdle is how long a shard's stream is read on after its last use while the
// shard has an owner.
const tailIdle = 30 * time.Second

// shard is one ledger shard as this process uses it.
type shard struct {
	number int
	holds  *holds

	mu       sync.Mutex
	tail     *tail
	openings int
	users    int
	used     time.Time
	// settled are the numbers of own holds that the owner said are billed.
	settled escrow.Ranges
	// quiet is until when the owner is not asked, because it did not answer.
	quiet time.Time
	// closed says that the shard's owner closed this process's holder.
	closed atomic.Bool
	// silent is since when the owner does not answer, zero if it does.
	silent time.Time
	// refreshed is when the owner was last asked for the settled holds.
	refreshed time.Time
}

// acquire returns the shard's tail, and opens it on first use. The caller
// releases the shard.
func (c *Client) acquire(sh *shard) *tail {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.tail == nil {
		sh.tail = c.openTail(sh)
	}
	sh.users++
	sh.used = time.Now()
	return sh.tail
}

func (sh *shard) release() {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.users--
}

// opened returns the shard's tail if there is one that caught up with the log.
// The caller releases the shard if so.
func (sh *shard) opened() (*tail, bool) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.tail == nil || !sh.tail.stream.Status().Ready {
		return nil, false
	}
	sh.users++
	return sh.tail, true
}

// isRead says whether the shard's stream is read and caught up with the log.
func (sh *shard) isRead() bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.tail != nil && sh.tail.stream.Status().Ready
}

// closeIdle ends the reading of a shard's stream that nobody needs.
func (sh *shard) closeIdle(now time.Time) error {
	sh.mu.Lock()
	t := sh.tail
	if t == nil || sh.users > 0 || now.Sub(sh.used) < tailIdle {
		sh.mu.Unlock()
		return nil
	}
	sh.tail = nil
	sh.mu.Unlock()
	return t.stream.Close()
}

func (sh *shard) close() error {
	sh.mu.Lock()
	t := sh.tail
	sh.mu.Unlock()
	if t == nil {
		return nil
	}
	return t.stream.Close()
}

// isSettled says whether a hold is known to be billed.
func (sh *shard) isSettled(hold ledger.Hold, holder string) (settled bool) {
	if t, ok := sh.opened(); ok {
		defer sh.release()
		t.stream.View(func(stream.Status) { settled = t.state.Settled(hold) })
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return settled || hold.Holder == holder && sh.settled.Contains(hold.Sequence)
}

// append appends entries to the shard's own stream.
func (c *Client) append(ctx context.Context, sh *shard, entries ...ledger.Entry) error {
	body, err := ledger.Encode(entries...)
	if err != nil {
		return err
	}
	t := c.acquire(sh)
	defer sh.release()
	_, err = t.stream.Append(ctx, body)
	return err
}

// ready waits until the shard's stream was read once.
func (t *tail) ready(ctx context.Context) error {
	return t.stream.Wait(ctx, func(st stream.Status) bool { return st.Ready })
}

// view returns the newest that is known of a workspace's budget and of this
// process's account.
func (c *Client) view(sh *shard, a *account) view {
	a.mu.Lock()
	v := a.seen
	a.mu.Unlock()
	if t, ok := sh.opened(); ok {
		defer sh.release()
		return v.newer(t.view(a.workspace, c.incarnation))
	}
	return v
}

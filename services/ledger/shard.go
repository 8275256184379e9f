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

// replicaIdleTimeout is how long a replica is kept after its last use while
// the shard has an owner.
const replicaIdleTimeout = 30 * time.Second

// shard is this process's client state for one ledger shard.
type shard struct {
	number int
	holds  *holds

	mu        sync.Mutex
	replica   *replica
	openCount int
	refs      int
	lastUsed  time.Time
	// settled has the sequence numbers of this process's holds that the owner
	// reported as billed.
	settled escrow.Ranges
	// backoffUntil is the time before which the owner is not called again,
	// because it did not answer.
	backoffUntil time.Time
	// closed is set when the shard's owner has closed this process's holder.
	closed atomic.Bool
	// unresponsiveSince is the time of the first of the calls in a row that
	// the owner did not answer, or zero if it answered the last one.
	unresponsiveSince time.Time
	// settledReadAt is when settled was last read from the owner.
	settledReadAt time.Time
}

// acquireReplica returns the shard's replica, and opens it on first use. The
// caller must call releaseReplica.
func (c *Client) acquireReplica(sh *shard) *replica {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.replica == nil {
		sh.replica = c.openReplica(sh)
	}
	sh.refs++
	sh.lastUsed = time.Now()
	return sh.replica
}

func (sh *shard) releaseReplica() {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.refs--
}

// acquireIfReady returns the shard's replica if it is open and has caught up
// with the log. If so, the caller must call releaseReplica. It doesn't keep an
// idle replica open, as its callers can do without one.
func (sh *shard) acquireIfReady() (*replica, bool) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.replica == nil || !sh.replica.stream.Status().Ready {
		return nil, false
	}
	sh.refs++
	return sh.replica, true
}

// replicaReady reports whether the shard's replica is open and has caught up
// with the log.
func (sh *shard) replicaReady() bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.replica != nil && sh.replica.stream.Status().Ready
}

// closeIdle closes the replica if it has been unused for replicaIdleTimeout.
func (sh *shard) closeIdle(now time.Time) error {
	sh.mu.Lock()
	rep := sh.replica
	if rep == nil || sh.refs > 0 || now.Sub(sh.lastUsed) < replicaIdleTimeout {
		sh.mu.Unlock()
		return nil
	}
	sh.replica = nil
	sh.mu.Unlock()
	return rep.stream.Close()
}

func (sh *shard) close() error {
	sh.mu.Lock()
	rep := sh.replica
	sh.mu.Unlock()
	if rep == nil {
		return nil
	}
	return rep.stream.Close()
}

// isSettled reports whether this process has read that a hold was billed.
func (sh *shard) isSettled(hold ledger.Hold, holder string) (settled bool) {
	if rep, ok := sh.acquireIfReady(); ok {
		defer sh.releaseReplica()
		rep.stream.View(func(stream.Status) { settled = rep.state.Settled(hold) })
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return settled || hold.Holder == holder && sh.settled.Contains(hold.Sequence)
}

// append appends entries to the shard's stream directly, without the owner.
func (c *Client) append(ctx context.Context, sh *shard, entries ...ledger.Entry) error {
	body, err := ledger.Encode(entries...)
	if err != nil {
		return err
	}
	rep := c.acquireReplica(sh)
	defer sh.releaseReplica()
	_, err = rep.stream.Append(ctx, body)
	return err
}

// ready waits until the replica has caught up with the log once.
func (r *replica) ready(ctx context.Context) error {
	return r.stream.Wait(ctx, func(st stream.Status) bool { return st.Ready })
}

// currentView returns the newer of the owner's last answer and the replica's
// state for a workspace's budget and this process's account in it.
func (c *Client) currentView(sh *shard, a *account) accountView {
	a.mu.Lock()
	v := a.ownerView
	a.mu.Unlock()
	if rep, ok := sh.acquireIfReady(); ok {
		defer sh.releaseReplica()
		return v.newer(rep.view(a.workspace, c.incarnation))
	}
	return v
}

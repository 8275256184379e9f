package ledger

import (
	"context"
	"math"
	"strings"
	"sync"
	"time"

	"github.com/crocusline/crocusline/models/allowance"
	"github.com/crocusline/crocusline/models/ledger"
	"github.com/crocusline/crocusline/models/refusal"
	peerv1 "github.com/crocusline/crocusline/modules/wire/peer/v1"
	"github.com/crocusline/crocusline/services/stream"
)

const (
	// retryAfterReturns is the time until other instances may have returned
	// tokens.
	retryAfterReturns = time.Second
	// retryAfterTopUp is the time until the budget may have been topped up.
	retryAfterTopUp = 30 * time.Second
	// retryAfterLogError is the time until the log may be reachable again.
	retryAfterLogError = time.Second
	// minRecallInterval is the minimum time between two grants that recall
	// tokens of one budget from other instances.
	minRecallInterval = 500 * time.Millisecond
)

// account is this process's account in one workspace's budget.
type account struct {
	workspace string
	// transferLock serializes the draws and returns of the account. It is a
	// channel of capacity 1, so that a caller can wait for it with a timeout
	// or skip if it is taken.
	transferLock chan struct{}

	mu        sync.Mutex
	allowance *allowance.Allowance
	demand    localDemand
	// lastUncovered is when the budget last did not cover a grant of this
	// process.
	lastUncovered time.Time
	// recallRequested is when another process last recalled unused tokens of
	// the budget.
	recallRequested time.Time
	// ownerView is the last answer of the shard's owner.
	ownerView accountView
	// sequence is the sequence number of the last grant or return.
	sequence uint64
	// pendingReturn is the last return. It is sent again until the shard has
	// processed it.
	pendingReturn ledger.Return
}

// nextSequence returns the sequence number of the next grant or return. If the
// shard has not processed the last one yet, its number is reused, so that only
// one of the two takes effect. processed is the last number that the shard has
// processed. The caller must hold mu.
func (a *account) nextSequence(processed uint64) uint64 {
	if a.sequence <= processed {
		a.sequence = a.allowance.NextSequence()
	}
	return a.sequence
}

// account returns this process's account in a workspace's budget, and creates
// it on first use.
func (c *Client) account(workspace string) *account {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.accounts[workspace]
	if a == nil {
		a = &account{
			workspace:    workspace,
			transferLock: make(chan struct{}, 1),
			allowance:    allowance.New(c.policy),
		}
		c.accounts[workspace] = a
	}
	return a
}

func (a *account) tryHold(tokens int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.allowance.TryHold(tokens)
}

// Reserve takes a hold of tokens on a workspace's budget. All errors are of
// type *refusal.Error.
func (c *Client) Reserve(ctx context.Context, workspace string, tokens int64) (ledger.Hold, error) {
	if tokens <= 0 {
		return ledger.Hold{}, refusal.New(refusal.InvalidRequest, 0, "ask for at least one token")
	}
	sh := c.shard(c.ShardOf(workspace))
	if sh.closed.Load() {
		return ledger.Hold{}, refusal.New(refusal.Fenced, retryAfterLogError, "this instance was fenced; retry at another one")
	}
	a := c.account(workspace)
	a.mu.Lock()
	a.allowance.RecordUse(time.Now(), tokens)
	covered := a.allowance.TryHold(tokens)
	low := a.allowance.RefillSize(time.Now(), math.MaxInt64) > 0
	a.mu.Unlock()
	if !covered {
		if err := c.draw(ctx, sh, a, tokens); err != nil {
			return ledger.Hold{}, err
		}
	}
	if low {
		c.scheduleBalance(workspace)
	}
	a.mu.Lock()
	a.demand.requests++
	a.mu.Unlock()
	return sh.holds.create(tokens), nil
}

// scheduleBalance queues a workspace's allowance for balancing. If the queue
// is full, the next periodic balancing does it.
func (c *Client) scheduleBalance(workspace string) {
	select {
	case c.balanceQueue <- workspace:
	default:
	}
}

// Release releases a hold whose request did not run.
func (c *Client) Release(workspace string, hold ledger.Hold) {
	if !c.shard(hold.Shard).holds.release(hold) {
		return
	}
	a := c.account(workspace)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.allowance.Release(hold.Tokens)
	a.demand.requests--
}

// draw draws tokens until the allowance covers a hold, and takes the hold.
func (c *Client) draw(ctx context.Context, sh *shard, a *account, tokens int64) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	select {
	case a.transferLock <- struct{}{}:
	case <-ctx.Done():
		return budgetUnreachable()
	}
	defer func() { <-a.transferLock }()
	c.reconcile(sh, a)
	if a.tryHold(tokens) {
		return nil
	}
	if done, err := c.holdFromOwner(ctx, sh, a, tokens); done {
		return err
	}
	rep := c.acquireReplica(sh)
	defer sh.releaseReplica()
	if err := rep.ready(ctx); err != nil || !rep.stream.Status().Reachable {
		return budgetUnreachable()
	}
	c.reconcile(sh, a)
	if a.tryHold(tokens) {
		return nil
	}
	if c.canBeCovered(sh, a, tokens) {
		return c.holdFromStream(ctx, rep, sh, a, tokens)
	}
	return budgetExhausted(c.currentView(sh, a).budget)
}

// holdFromOwner draws from the shard's owner until the allowance covers a
// hold, and takes the hold. If the budget does not cover the draw, the owner
// recalls unused tokens from other holders. The result is false if the owner
// did not answer.
func (c *Client) holdFromOwner(ctx context.Context, sh *shard, a *account, tokens int64) (bool, error) {
	for range 2 {
		entry, covered := c.holdOrGrant(sh, a, tokens)
		if covered {
			return true, nil
		}
		if !c.drawFromOwner(ctx, sh, a, c.grantRequest(a, entry, tokens)) {
			return false, nil
		}
		if a.tryHold(tokens) {
			return true, nil
		}
		if free := c.currentView(sh, a).budget.Free(); free < a.shortfall(tokens) {
			break
		}
	}
	return true, budgetExhausted(c.currentView(sh, a).budget)
}

// grantRequest returns the request to the shard's owner for a grant that a
// hold of tokens needs.
func (c *Client) grantRequest(a *account, entry ledger.Grant, tokens int64) *peerv1.DrawRequest {
	req := c.newDrawRequest()
	req.Sequence = entry.Sequence
	req.Need = max(1, a.shortfall(tokens))
	req.Want = entry.Tokens
	return req
}

// holdOrGrant takes the hold if the allowance covers it by now, for example
// after a release. Otherwise it returns the grant that the hold needs.
func (c *Client) holdOrGrant(sh *shard, a *account, tokens int64) (entry ledger.Grant, covered bool) {
	v := c.currentView(sh, a)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.allowance.TryHold(tokens) {
		return ledger.Grant{}, true
	}
	return ledger.Grant{
		Workspace: a.workspace,
		Holder:    c.incarnation,
		Sequence:  a.nextSequence(v.totals.Sequence),
		Tokens:    a.allowance.DrawSize(time.Now(), tokens, v.budget.Free()),
	}, false
}

// shortfall returns how many tokens a hold needs beyond the allowance.
func (a *account) shortfall(tokens int64) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return tokens - a.allowance.Free()
}

// canBeCovered reports whether a grant may succeed: the budget covers it, or
// would if other holders returned unused tokens, and none were recalled within
// minRecallInterval.
func (c *Client) canBeCovered(sh *shard, a *account, tokens int64) bool {
	v := c.currentView(sh, a)
	a.mu.Lock()
	defer a.mu.Unlock()
	missing := tokens - a.allowance.Free()
	if v.budget.Free() >= missing {
		return true
	}
	return v.budget.Free()+v.budget.Outstanding >= missing && time.Since(a.lastUncovered) > minRecallInterval
}

// holdFromStream appends a grant to the shard's stream and takes a hold. If
// the budget does not cover the grant, other holders that read it return
// unused tokens, and a second grant follows as soon as they have.
func (c *Client) holdFromStream(ctx context.Context, rep *replica, sh *shard, a *account, tokens int64) error {
	for range 2 {
		entry, covered := c.holdOrGrant(sh, a, tokens)
		if covered {
			return nil
		}
		if err := c.append(ctx, sh, entry); err != nil {
			return budgetUnreachable()
		}
		c.reconcile(sh, a)
		if a.tryHold(tokens) {
			return nil
		}
		if !c.awaitReturns(ctx, rep, a, tokens) {
			break
		}
	}
	return budgetExhausted(c.currentView(sh, a).budget)
}

// reconcile updates the allowance with the account's totals in the shard's
// state. The caller must hold transferLock.
func (c *Client) reconcile(sh *shard, a *account) {
	v := c.currentView(sh, a)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.allowance.Reconcile(v.totals)
}

// awaitReturns waits up to recallWait for other holders to return tokens, and
// reports whether the budget then covers the hold.
func (c *Client) awaitReturns(ctx context.Context, rep *replica, a *account, tokens int64) bool {
	a.mu.Lock()
	a.lastUncovered = time.Now()
	missing := tokens - a.allowance.Free()
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, c.recallWait)
	defer cancel()
	err := rep.stream.Wait(ctx, func(stream.Status) bool {
		return rep.state.Budget(a.workspace).Free() >= missing
	})
	return err == nil
}

func budgetUnreachable() *refusal.Error {
	return refusal.New(refusal.BudgetUnreachable, retryAfterLogError,
		"the ledger cannot be reached and nothing is held here for the workspace; retry")
}

func budgetExhausted(b ledger.Budget) *refusal.Error {
	if b.Outstanding > 0 {
		return refusal.New(refusal.BudgetExhausted, retryAfterReturns,
			"running requests hold the rest of the budget; retry, ask for less, or top up")
	}
	return refusal.New(refusal.BudgetExhausted, retryAfterTopUp, "the prepaid budget is spent; top it up")
}

func compareBudgets(a, b ledger.Budget) int { return strings.Compare(a.Workspace, b.Workspace) }

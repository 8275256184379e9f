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
	"github.com/crocusline/crocusline/services/stream"
)

const (
	// retryTokens is when tokens that others hold may have come back.
	retryTokens = time.Second
	// retryTopUp is when a retry may find a top-up.
	retryTopUp = 30 * time.Second
	// retryLog is when the log may answer again.
	retryLog = time.Second
	// recallQuiet is the least time between two grants that ask others to give
	// back tokens of one budget.
	recallQuiet = 500 * time.Millisecond
)

// account is this process's part in one workspace's budget.
type account struct {
	workspace string
	// turn is held by the one call that may append a grant or a return.
	turn chan struct{}

	mu        sync.Mutex
	allowance *allowance.Allowance
	// returning is the last return, while the stream may not hold it yet.
	returning *ledger.Return
	// recalled is when a grant of this process was last refused.
	recalled time.Time
}

func (c *Client) account(workspace string) *account {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.accounts[workspace]
	if a == nil {
		a = &account{
			workspace: workspace,
			turn:      make(chan struct{}, 1),
			allowance: allowance.New(c.policy),
		}
		c.accounts[workspace] = a
	}
	return a
}

func (a *account) cut(tokens int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.allowance.Cut(tokens)
}

// Reserve takes a hold of tokens on a workspace's budget. Its errors are of
// type *refusal.Error.
func (c *Client) Reserve(ctx context.Context, workspace string, tokens int64) (ledger.Hold, error) {
	if tokens <= 0 {
		return ledger.Hold{}, refusal.New(refusal.InvalidRequest, 0, "ask for at least one token")
	}
	sh := c.shard(c.ShardOf(workspace))
	if sh.closed.Load() {
		return ledger.Hold{}, refusal.New(refusal.Fenced, retryLog, "this instance was taken for dead; retry at another one")
	}
	a := c.account(workspace)
	a.mu.Lock()
	a.allowance.Use(time.Now(), tokens)
	covered := a.allowance.Cut(tokens)
	low := a.allowance.Refill(time.Now(), math.MaxInt64) > 0
	a.mu.Unlock()
	if !covered {
		if err := c.draw(ctx, sh, a, tokens); err != nil {
			return ledger.Hold{}, err
		}
	}
	if low {
		c.wakeFor(workspace)
	}
	return sh.holds.cut(tokens), nil
}

// wakeFor has a workspace's allowance balanced soon. With many waiting, the next
// poll does it.
func (c *Client) wakeFor(workspace string) {
	select {
	case c.wake <- workspace:
	default:
	}
}

// Release gives back a hold whose request did not run.
func (c *Client) Release(workspace string, hold ledger.Hold) {
	if !c.shard(hold.Shard).holds.release(hold) {
		return
	}
	a := c.account(workspace)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.allowance.Release(hold.Tokens)
}

// draw enlarges the allowance until it covers a hold, and cuts the hold.
func (c *Client) draw(ctx context.Context, sh *shard, a *account, tokens int64) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	select {
	case a.turn <- struct{}{}:
	case <-ctx.Done():
		return unreachable()
	}
	defer func() { <-a.turn }()
	c.reconcile(sh, a)
	if a.cut(tokens) {
		return nil
	}
	if err := c.ready(ctx, sh); err != nil || !sh.stream.Status().Reachable {
		return unreachable()
	}
	if c.coveredSoon(sh, a, tokens) {
		return c.drawOnce(ctx, sh, a, tokens)
	}
	return exhausted(sh.view(a.workspace, c.incarnation).budget)
}

// coveredSoon says whether a grant is worth asking for: the budget covers it, or
// others may give back what they do not use and have not just been asked to.
func (c *Client) coveredSoon(sh *shard, a *account, tokens int64) bool {
	v := sh.view(a.workspace, c.incarnation)
	a.mu.Lock()
	defer a.mu.Unlock()
	lack := tokens - a.allowance.Free()
	if v.budget.Free() >= lack {
		return true
	}
	return v.budget.Free()+v.budget.Outstanding >= lack && time.Since(a.recalled) > recallQuiet
}

// drawOnce appends a grant. If the budget does not cover it, the refused grant
// asks others to give back tokens, and a second one follows when they did.
func (c *Client) drawOnce(ctx context.Context, sh *shard, a *account, tokens int64) error {
	for range 2 {
		if err := c.grant(ctx, sh, a, tokens); err != nil {
			return err
		}
		if a.cut(tokens) {
			return nil
		}
		if !c.awaitReturns(ctx, sh, a, tokens) {
			break
		}
	}
	return exhausted(sh.view(a.workspace, c.incarnation).budget)
}

// grant appends one grant and takes over what the shard's state says then. It
// appends none if a release has made the allowance cover the hold meanwhile.
func (c *Client) grant(ctx context.Context, sh *shard, a *account, tokens int64) error {
	free := sh.view(a.workspace, c.incarnation).budget.Free()
	a.mu.Lock()
	if a.allowance.Free() >= tokens {
		a.mu.Unlock()
		return nil
	}
	entry := ledger.Grant{
		Workspace: a.workspace,
		Holder:    c.incarnation,
		Sequence:  a.allowance.Next(),
		Tokens:    a.allowance.Want(time.Now(), tokens, free),
	}
	a.mu.Unlock()
	if err := c.Post(ctx, sh.number, entry); err != nil {
		return unreachable()
	}
	c.reconcile(sh, a)
	return nil
}

// reconcile takes over the sums of the shard's state. The caller has the turn.
func (c *Client) reconcile(sh *shard, a *account) {
	v := sh.view(a.workspace, c.incarnation)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.allowance.Reconcile(v.sums)
}

// awaitReturns says whether the budget came to cover the hold soon.
func (c *Client) awaitReturns(ctx context.Context, sh *shard, a *account, tokens int64) bool {
	a.mu.Lock()
	a.recalled = time.Now()
	lack := tokens - a.allowance.Free()
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, c.recallWait)
	defer cancel()
	err := sh.stream.Wait(ctx, func(stream.Status) bool {
		return sh.state.Budget(a.workspace).Free() >= lack
	})
	return err == nil
}

func unreachable() *refusal.Error {
	return refusal.New(refusal.BudgetUnreachable, retryLog,
		"the ledger cannot be reached and nothing is held here for the workspace; retry")
}

func exhausted(b ledger.Budget) *refusal.Error {
	if b.Outstanding > 0 {
		return refusal.New(refusal.BudgetExhausted, retryTokens,
			"running requests hold the rest of the budget; retry, ask for less, or top up")
	}
	return refusal.New(refusal.BudgetExhausted, retryTopUp, "the prepaid budget is spent; top it up")
}

func compareBudgets(a, b ledger.Budget) int { return strings.Compare(a.Workspace, b.Workspace) }

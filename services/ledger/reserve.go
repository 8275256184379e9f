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
	demand    ownDemand
	// recalled is when a grant of this process was last refused.
	recalled time.Time
	// asked is when somebody else asked for unused tokens of the budget.
	asked time.Time
	// seen is what the shard's owner answered last.
	seen view
	// sequence is the last number used for a grant or return.
	sequence uint64
	// returning is the last return, which is sent again until it is decided.
	returning ledger.Return
}

// number returns the number of the next grant or return. It is the last one
// again if the shard did not decide that one yet, so that of the two only one
// takes effect. The caller holds mu.
func (a *account) number(decided uint64) uint64 {
	if a.sequence <= decided {
		a.sequence = a.allowance.NextSequence()
	}
	return a.sequence
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
	return a.allowance.TryHold(tokens)
}

// Reserve takes a hold of tokens on a workspace's budget. Its errors are of
// type *refusal.Error.
func (c *Client) Reserve(ctx context.Context, workspace string, tokens int64) (ledger.Hold, error) {
	if tokens <= 0 {
		return ledger.Hold{}, refusal.New(refusal.InvalidRequest, 0, "ask for at least one token")
	}
	sh := c.shard(c.ShardOf(workspace))
	if sh.closed.Load() {
		return ledger.Hold{}, refusal.New(refusal.Fenced, retryLog, "this instance was fenced; retry at another one")
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
		c.wakeFor(workspace)
	}
	a.mu.Lock()
	a.demand.requests++
	a.mu.Unlock()
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
	a.demand.requests--
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
	if done, err := c.drawFromOwner(ctx, sh, a, tokens); done {
		return err
	}
	t := c.acquire(sh)
	defer sh.release()
	if err := t.ready(ctx); err != nil || !t.stream.Status().Reachable {
		return unreachable()
	}
	c.reconcile(sh, a)
	if a.cut(tokens) {
		return nil
	}
	if c.coveredSoon(sh, a, tokens) {
		return c.drawOnce(ctx, t, sh, a, tokens)
	}
	return exhausted(c.view(sh, a).budget)
}

// drawFromOwner draws at the shard's owner, which asks others for what they do
// not use if the budget does not cover the draw. It says whether the owner
// decided.
func (c *Client) drawFromOwner(ctx context.Context, sh *shard, a *account, tokens int64) (bool, error) {
	for range 2 {
		entry, covered := c.cutOrGrant(sh, a, tokens)
		if covered {
			return true, nil
		}
		if !c.drawFrom(ctx, sh, a, c.grantRequest(a, entry, tokens)) {
			return false, nil
		}
		if a.cut(tokens) {
			return true, nil
		}
		if free := c.view(sh, a).budget.Free(); free < a.shortfall(tokens) {
			break
		}
	}
	return true, exhausted(c.view(sh, a).budget)
}

func (c *Client) grantRequest(a *account, entry ledger.Grant, tokens int64) *peerv1.DrawRequest {
	req := c.drawRequest()
	req.Sequence = entry.Sequence
	req.Need = max(1, a.shortfall(tokens))
	req.Want = entry.Tokens
	return req
}

// cutOrGrant cuts the hold if a release has made the allowance cover it. If not,
// it returns the grant that the hold needs.
func (c *Client) cutOrGrant(sh *shard, a *account, tokens int64) (entry ledger.Grant, covered bool) {
	v := c.view(sh, a)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.allowance.TryHold(tokens) {
		return ledger.Grant{}, true
	}
	return ledger.Grant{
		Workspace: a.workspace,
		Holder:    c.incarnation,
		Sequence:  a.number(v.sums.Sequence),
		Tokens:    a.allowance.DrawSize(time.Now(), tokens, v.budget.Free()),
	}, false
}

// shortfall returns how many tokens a hold needs beyond the allowance.
func (a *account) shortfall(tokens int64) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return tokens - a.allowance.Free()
}

// coveredSoon says whether a grant is worth asking for: the budget covers it, or
// others may give back what they do not use and have not just been asked to.
func (c *Client) coveredSoon(sh *shard, a *account, tokens int64) bool {
	v := c.view(sh, a)
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
func (c *Client) drawOnce(ctx context.Context, t *tail, sh *shard, a *account, tokens int64) error {
	for range 2 {
		entry, covered := c.cutOrGrant(sh, a, tokens)
		if covered {
			return nil
		}
		if err := c.append(ctx, sh, entry); err != nil {
			return unreachable()
		}
		c.reconcile(sh, a)
		if a.cut(tokens) {
			return nil
		}
		if !c.awaitReturns(ctx, t, a, tokens) {
			break
		}
	}
	return exhausted(c.view(sh, a).budget)
}

// reconcile takes over the sums of the shard's state. The caller has the turn.
func (c *Client) reconcile(sh *shard, a *account) {
	v := c.view(sh, a)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.allowance.Reconcile(v.sums)
}

// awaitReturns says whether the budget came to cover the hold soon.
func (c *Client) awaitReturns(ctx context.Context, t *tail, a *account, tokens int64) bool {
	a.mu.Lock()
	a.recalled = time.Now()
	lack := tokens - a.allowance.Free()
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, c.recallWait)
	defer cancel()
	err := t.stream.Wait(ctx, func(stream.Status) bool {
		return t.state.Budget(a.workspace).Free() >= lack
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

package ledger

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/crocusline/crocusline/models/ledger"
)

const (
	// wakeQueue is how many workspaces may wait to be balanced.
	wakeQueue = 256
	// balancePoll is how often allowances are looked at.
	balancePoll = time.Second
	// reservePoll is how often the standing reserves are looked at.
	reservePoll = 5 * time.Second
	// shortWindow is how long, by the log's clock, a refused grant keeps others
	// from holding unused tokens of that budget.
	shortWindow = 2 * time.Second
	// closeTimeout bounds how long Close waits for the log.
	closeTimeout = time.Second
)

// keepBalance returns surplus tokens and draws ahead of need until the context
// ends.
func (c *Client) keepBalance(ctx context.Context) {
	ticker := time.NewTicker(balancePoll)
	defer ticker.Stop()
	reserves := time.NewTicker(reservePoll)
	defer reserves.Stop()
	for {
		select {
		case workspace := <-c.wake:
			c.balance(ctx, workspace)
		case <-ticker.C:
			for _, workspace := range c.drawnOn() {
				c.balance(ctx, workspace)
			}
		case <-reserves.C:
			for _, workspace := range c.demanded() {
				c.balance(ctx, workspace)
			}
		case <-ctx.Done():
			return
		}
	}
}

// returnAll gives back whatever no hold has taken. A grant that was under way
// may be decided only with the first returns, so that there is a second pass.
func (c *Client) returnAll() {
	ctx, cancel := context.WithTimeout(c.ctx, closeTimeout)
	defer cancel()
	for range 2 {
		returns := map[int][]ledger.Entry{}
		for _, workspace := range c.drawnOn() {
			sh := c.shard(c.ShardOf(workspace))
			if entry := c.balancing(sh, c.account(workspace), true); entry != nil {
				returns[sh.number] = append(returns[sh.number], entry)
			}
		}
		for number, entries := range returns {
			if err := c.Post(ctx, number, entries...); err != nil {
				c.logger.Warn("allowances not returned", "shard", number, "error", err)
			}
		}
	}
}

// demanded returns the workspaces of whose budget this process keeps a standing
// reserve, or did until now.
func (c *Client) demanded() []string {
	c.mu.Lock()
	shards := slices.Collect(maps.Values(c.shards))
	c.mu.Unlock()
	var names []string
	for _, sh := range shards {
		names = append(names, sh.demanded()...)
	}
	slices.Sort(names)
	return names
}

// drawnOn returns the workspaces in whose budget this process has a part.
func (c *Client) drawnOn() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Sorted(maps.Keys(c.accounts))
}

// balance returns what the allowance does not need, or draws ahead of need.
func (c *Client) balance(ctx context.Context, workspace string) {
	a := c.account(workspace)
	select {
	case a.turn <- struct{}{}:
		defer func() { <-a.turn }()
	default:
		// A draw is under way, so that nothing is idle.
		return
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	sh := c.shard(c.ShardOf(workspace))
	entry := c.balancing(sh, a, false)
	if entry == nil {
		return
	}
	if err := c.Post(ctx, sh.number, entry); err != nil {
		c.logger.Warn("allowance not balanced", "workspace", workspace, "error", err)
		return
	}
	c.reconcile(sh, a)
}

// balancing returns the grant or return that balances an allowance, or nil. With
// all set it returns whatever no hold has taken.
func (c *Client) balancing(sh *shard, a *account, all bool) ledger.Entry {
	v := sh.view(a.workspace, c.incarnation)
	short := !v.budget.Short.IsZero() && v.now.Sub(v.budget.Short) <= shortWindow
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.allowance.Reconcile(v.sums)
	a.allowance.Keep(v.reserve)
	if again := a.undecided(v.sums.Sequence); again != nil {
		return *again
	}
	if tokens := a.allowance.Surplus(now, short || all); tokens > 0 {
		entry := ledger.Return{Workspace: a.workspace, Holder: c.incarnation, Tokens: tokens}
		entry.Sequence = a.allowance.Next()
		a.allowance.Return(tokens)
		a.returning = &entry
		return entry
	}
	if short || all || !sh.stream.Status().Reachable {
		return nil
	}
	if tokens := a.allowance.Refill(now, v.budget.Free()); tokens > 0 {
		entry := ledger.Grant{Workspace: a.workspace, Holder: c.incarnation, Tokens: tokens, Ahead: true}
		entry.Sequence = a.allowance.Next()
		return entry
	}
	return nil
}

// undecided returns the last return if the stream has decided neither it nor a
// later move. It is posted again with the same number, so that tokens given
// back during an outage are not lost between this process and the budget.
func (a *account) undecided(decided uint64) *ledger.Return {
	if a.returning != nil && a.returning.Sequence <= decided {
		a.returning = nil
	}
	return a.returning
}

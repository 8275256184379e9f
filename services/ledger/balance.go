package ledger

import (
	"context"
	"slices"
	"time"

	"github.com/crocusline/crocusline/models/ledger"
)

const (
	// wakeQueue is how many workspaces may wait to be balanced.
	wakeQueue = 256
	// balancePoll is how often allowances are looked at.
	balancePoll = time.Second
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
	for {
		select {
		case workspace := <-c.wake:
			c.balance(ctx, workspace, false)
		case <-ticker.C:
			for _, workspace := range c.drawnOn() {
				c.balance(ctx, workspace, false)
			}
		case <-ctx.Done():
			return
		}
	}
}

func (c *Client) returnAll() {
	ctx, cancel := context.WithTimeout(c.ctx, closeTimeout)
	defer cancel()
	for _, workspace := range c.drawnOn() {
		c.balance(ctx, workspace, true)
	}
}

// drawnOn returns the workspaces in whose budget this process has a part.
func (c *Client) drawnOn() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []string
	for name := range c.accounts {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// balance returns what the allowance does not need, or draws ahead of need. With
// all set it returns whatever no hold has taken.
func (c *Client) balance(ctx context.Context, workspace string, all bool) {
	c.mu.Lock()
	a := c.accounts[workspace]
	c.mu.Unlock()
	if a == nil {
		return
	}
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
	entry := c.balancing(sh, a, all)
	if entry == nil {
		return
	}
	if err := c.Post(ctx, sh.number, entry); err != nil {
		c.logger.Warn("allowance not balanced", "workspace", workspace, "error", err)
		return
	}
	c.reconcile(sh, a)
}

// balancing returns the grant or return that balances an allowance, or nil.
func (c *Client) balancing(sh *shard, a *account, all bool) ledger.Entry {
	v := sh.view(a.workspace, c.incarnation)
	short := !v.budget.Short.IsZero() && v.now.Sub(v.budget.Short) <= shortWindow
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.allowance.Reconcile(v.sums)
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
		entry := ledger.Grant{Workspace: a.workspace, Holder: c.incarnation, Tokens: tokens}
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

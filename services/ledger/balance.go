package ledger

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/crocusline/crocusline/models/ledger"
	peerv1 "github.com/crocusline/crocusline/modules/wire/peer/v1"
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
	// settlePoll is how often the owner is asked which holds are billed while
	// nothing is drawn.
	settlePoll = 5 * time.Second
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
			c.closeIdleTails()
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
				c.logger.Warn("allowance not balanced", "shard", number, "error", err)
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
		if t, ok := sh.opened(); ok {
			names = append(names, t.demanded()...)
			sh.release()
		}
	}
	slices.Sort(names)
	return names
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
		c.refreshSettled(ctx, sh, a)
		return
	}
	if c.drawFrom(ctx, sh, a, c.moveRequest(entry)) {
		return
	}
	if c.hasOwner(sh.number) {
		// Nobody waits for it, so that it waits for the owner.
		return
	}
	if err := c.append(ctx, sh, entry); err != nil {
		c.logger.Warn("allowance not balanced", "workspace", workspace, "error", err)
		return
	}
	c.reconcile(sh, a)
}

// moveRequest returns the request to the owner that does what entry does.
func (c *Client) moveRequest(entry ledger.Entry) *peerv1.DrawRequest {
	req := &peerv1.DrawRequest{}
	switch e := entry.(type) {
	case ledger.Grant:
		req.Sequence, req.Need, req.Want = e.Sequence, e.Tokens, e.Tokens
	case ledger.Return:
		req.Sequence, req.Give = e.Sequence, e.Tokens
	default:
	}
	return req
}

// refreshSettled asks the owner which holds are billed, if some may be.
func (c *Client) refreshSettled(ctx context.Context, sh *shard, a *account) {
	sh.mu.Lock()
	due := sh.tail == nil && time.Since(sh.refreshed) >= settlePoll
	sh.mu.Unlock()
	if due && sh.holds.count() > 0 {
		c.drawFrom(ctx, sh, a, &peerv1.DrawRequest{})
	}
}

// closeIdleTails ends the reading of the streams that the owners make needless.
func (c *Client) closeIdleTails() {
	c.mu.Lock()
	shards := make([]*shard, 0, len(c.shards))
	for _, sh := range c.shards {
		shards = append(shards, sh)
	}
	c.mu.Unlock()
	for _, sh := range shards {
		if !c.hasOwner(sh.number) {
			continue
		}
		if err := sh.closeIdle(time.Now()); err != nil {
			c.logger.Warn("shard stream not closed", "shard", sh.number, "error", err)
		}
	}
}

// Recall has the tokens of a workspace's budget that no hold has taken given
// back, because another holder needs them.
func (c *Client) Recall(workspace string) {
	c.mu.Lock()
	a := c.accounts[workspace]
	c.mu.Unlock()
	if a == nil {
		return
	}
	a.mu.Lock()
	a.asked = time.Now()
	a.mu.Unlock()
	c.wakeFor(workspace)
}

// balancing returns the grant or return that balances an allowance, or nil.
func (c *Client) balancing(sh *shard, a *account, all bool) ledger.Entry {
	v := c.view(sh, a)
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	short := v.short() || now.Sub(a.asked) <= shortWindow
	a.allowance.Reconcile(v.sums)
	a.allowance.SetReserve(c.reserve(sh, a, v))
	if a.returning.Sequence > v.sums.Sequence {
		return a.returning
	}
	if tokens := a.allowance.Surplus(now, short || all); tokens > 0 {
		a.returning = ledger.Return{Workspace: a.workspace, Holder: c.incarnation, Tokens: tokens}
		a.returning.Sequence = a.number(v.sums.Sequence)
		a.allowance.RecordReturn(tokens)
		return a.returning
	}
	if short || all || !sh.reachable() {
		return nil
	}
	if tokens := a.allowance.RefillSize(now, v.budget.Free()); tokens > 0 {
		entry := ledger.Grant{Workspace: a.workspace, Holder: c.incarnation, Tokens: tokens, Ahead: true}
		entry.Sequence = a.number(v.sums.Sequence)
		return entry
	}
	return nil
}

// reachable says whether the shard's stream answered the last read, if it is
// read at all.
func (sh *shard) reachable() bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.tail == nil || sh.tail.stream.Status().Reachable
}

// reserve returns the standing reserve to keep. The caller holds the account's
// mutex.
func (c *Client) reserve(sh *shard, a *account, v view) int64 {
	if c.neighbour == nil {
		return 0
	}
	own := a.demand.see(time.Now(), c.policy, v.budget)
	if sh.isRead() {
		return v.reserve
	}
	return own
}

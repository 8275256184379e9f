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
	// balanceQueueSize is the capacity of the queue of workspaces to balance.
	balanceQueueSize = 256
	// balanceInterval is the time between two checks of all allowances.
	balanceInterval = time.Second
	// reserveInterval is the time between two checks of the standing reserves.
	reserveInterval = 5 * time.Second
	// shortageWindow is how long, in log time, holders return all unused
	// tokens of a budget after it did not cover a grant. It also applies, in
	// local time, after a recall.
	shortageWindow = 2 * time.Second
	// settledInterval is the time between two reads of the billed holds from
	// the owner while no tokens are drawn.
	settledInterval = 5 * time.Second
	// closeTimeout bounds how long Close waits for the ledger.
	closeTimeout = time.Second
)

// runBalancer returns surplus tokens and draws tokens ahead of need until the
// context ends.
func (c *Client) runBalancer(ctx context.Context) {
	ticker := time.NewTicker(balanceInterval)
	defer ticker.Stop()
	reserves := time.NewTicker(reserveInterval)
	defer reserves.Stop()
	for {
		select {
		case workspace := <-c.balanceQueue:
			c.balance(ctx, workspace)
		case <-ticker.C:
			for _, workspace := range c.accountWorkspaces() {
				c.balance(ctx, workspace)
			}
			c.closeIdleReplicas()
		case <-reserves.C:
			for _, workspace := range c.demandedWorkspaces() {
				c.balance(ctx, workspace)
			}
		case <-ctx.Done():
			return
		}
	}
}

// returnAll returns all tokens that are not part of a hold. It makes two
// passes, because a grant that was in flight may only be processed together
// with the returns of the first pass.
func (c *Client) returnAll() {
	ctx, cancel := context.WithTimeout(c.ctx, closeTimeout)
	defer cancel()
	for range 2 {
		returns := map[int][]ledger.Entry{}
		for _, workspace := range c.accountWorkspaces() {
			sh := c.shard(c.ShardOf(workspace))
			if entry := c.nextTransfer(sh, c.account(workspace), true); entry != nil {
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

// demandedWorkspaces returns the workspaces for which this process keeps a
// standing reserve, or did until the last call.
func (c *Client) demandedWorkspaces() []string {
	c.mu.Lock()
	shards := slices.Collect(maps.Values(c.shards))
	c.mu.Unlock()
	var names []string
	for _, sh := range shards {
		if rep, ok := sh.acquireIfReady(); ok {
			names = append(names, rep.demandedWorkspaces()...)
			sh.releaseReplica()
		}
	}
	slices.Sort(names)
	return names
}

// accountWorkspaces returns the workspaces in whose budget this process has an
// account.
func (c *Client) accountWorkspaces() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []string
	for name := range c.accounts {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// balance returns surplus tokens of an allowance, or draws tokens ahead of
// need.
func (c *Client) balance(ctx context.Context, workspace string) {
	a := c.account(workspace)
	select {
	case a.transferLock <- struct{}{}:
		defer func() { <-a.transferLock }()
	default:
		// A draw is in flight, so the allowance is in use.
		return
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	sh := c.shard(c.ShardOf(workspace))
	entry := c.nextTransfer(sh, a, false)
	if entry == nil {
		c.refreshSettled(ctx, sh, a)
		return
	}
	if c.drawFromOwner(ctx, sh, a, c.transferRequest(entry)) {
		return
	}
	if c.hasOwner(sh.number) {
		// No request waits for the transfer, so the next balancing retries it
		// through the owner.
		return
	}
	if err := c.append(ctx, sh, entry); err != nil {
		c.logger.Warn("allowance not balanced", "workspace", workspace, "error", err)
		return
	}
	c.reconcile(sh, a)
}

// transferRequest returns the request to the shard's owner that is equivalent
// to a grant or return.
func (c *Client) transferRequest(entry ledger.Entry) *peerv1.DrawRequest {
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

// refreshSettled reads from the owner which holds are billed, if this process
// has live holds and no replica of the shard.
func (c *Client) refreshSettled(ctx context.Context, sh *shard, a *account) {
	sh.mu.Lock()
	due := sh.replica == nil && time.Since(sh.settledReadAt) >= settledInterval
	sh.mu.Unlock()
	if due && sh.holds.count() > 0 {
		c.drawFromOwner(ctx, sh, a, &peerv1.DrawRequest{})
	}
}

// closeIdleReplicas closes the unused replicas of shards that have an owner.
func (c *Client) closeIdleReplicas() {
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

// Recall makes the client return all tokens of a workspace's budget that are
// not part of a hold, because another holder needs them.
func (c *Client) Recall(workspace string) {
	c.mu.Lock()
	a := c.accounts[workspace]
	c.mu.Unlock()
	if a == nil {
		return
	}
	a.mu.Lock()
	a.recallRequested = time.Now()
	a.mu.Unlock()
	c.scheduleBalance(workspace)
}

// nextTransfer returns the grant or return that balances an allowance, or nil
// if none is needed. With all set it returns all tokens that are not part of a
// hold.
func (c *Client) nextTransfer(sh *shard, a *account, all bool) ledger.Entry {
	v := c.currentView(sh, a)
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	short := v.short() || now.Sub(a.recallRequested) <= shortageWindow
	a.allowance.Reconcile(v.totals)
	a.allowance.SetReserve(c.reserve(sh, a, v))
	if a.pendingReturn.Sequence > v.totals.Sequence {
		return a.pendingReturn
	}
	if tokens := a.allowance.Surplus(now, short || all); tokens > 0 {
		a.pendingReturn = ledger.Return{Workspace: a.workspace, Holder: c.incarnation, Tokens: tokens}
		a.pendingReturn.Sequence = a.nextSequence(v.totals.Sequence)
		a.allowance.RecordReturn(tokens)
		return a.pendingReturn
	}
	if short || all || !sh.reachable() {
		return nil
	}
	if tokens := a.allowance.RefillSize(now, v.budget.Free()); tokens > 0 {
		entry := ledger.Grant{Workspace: a.workspace, Holder: c.incarnation, Tokens: tokens, Ahead: true}
		entry.Sequence = a.nextSequence(v.totals.Sequence)
		return entry
	}
	return nil
}

// reachable reports whether the last read of the shard's stream succeeded. It
// is true if there is no replica.
func (sh *shard) reachable() bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.replica == nil || sh.replica.stream.Status().Reachable
}

// reserve returns the standing reserve to keep. The caller must hold the
// account's mutex.
func (c *Client) reserve(sh *shard, a *account, v accountView) int64 {
	if c.sameDomain == nil {
		return 0
	}
	own := a.demand.update(time.Now(), c.policy, v.budget)
	if sh.replicaReady() {
		return v.reserve
	}
	return own
}

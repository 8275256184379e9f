// Package ledger gives a process its part in the ledger: holds on budgets,
// registrations of non-idempotent requests, and bills.
package ledger

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/time/rate"

	"github.com/crocusline/crocusline/coordination/fence"
	"github.com/crocusline/crocusline/kernel"
	"github.com/crocusline/crocusline/models/allowance"
	"github.com/crocusline/crocusline/models/ledger"
	"github.com/crocusline/crocusline/modules/platform"
	"github.com/crocusline/crocusline/services/stream"
)

// Name is the client's name in the kernel.
const Name = "ledger"

const (
	// DefaultTimeout is how long a call waits for the log.
	DefaultTimeout = 2 * time.Second
	// DefaultRecallWait is how long a draw that the budget does not cover waits
	// for other instances to give back what they do not use.
	DefaultRecallWait = 250 * time.Millisecond
	// DefaultShards is the number of ledger shards.
	DefaultShards = 4
)

// Client is a process's part in the ledger. It is a kernel.Service.
type Client struct {
	incarnation string
	log         platform.Log
	logger      hclog.Logger
	count       int
	policy      allowance.Policy
	neighbour   func(incarnation string) bool
	timeout     time.Duration
	recallWait  time.Duration
	interval    time.Duration
	limiter     *rate.Limiter
	schedule    fence.Schedule
	owners      *owners
	// wake takes the workspaces whose allowance is to be balanced.
	wake chan string

	ctx    context.Context
	cancel context.CancelFunc
	// stopBalance ends the goroutine that balances allowances.
	stopBalance context.CancelFunc
	done        sync.WaitGroup

	mu       sync.Mutex
	shards   map[int]*shard
	accounts map[string]*account
}

// Option configures a Client.
type Option func(*Client)

// WithShards sets the number of ledger shards, which must be the same in all
// processes.
func WithShards(n int) Option { return func(c *Client) { c.count = n } }

// WithPolicy sets how allowances are sized.
func WithPolicy(p allowance.Policy) Option { return func(c *Client) { c.policy = p } }

// WithStandingReserve makes the client keep a standing reserve of the budgets that the
// incarnations in its own failure domain, of which neighbour returns true, draw
// on. While it uses a shard through its owner, it counts only what it draws on
// itself. Neighbour is called while a stream is read, and must not block.
func WithStandingReserve(neighbour func(incarnation string) bool) Option {
	return func(c *Client) { c.neighbour = neighbour }
}

// WithTimeout sets how long a call waits for the log.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// WithRecallWait sets how long a draw that the budget does not cover waits for
// other instances to give back what they do not use.
func WithRecallWait(d time.Duration) Option { return func(c *Client) { c.recallWait = d } }

// WithInterval sets the least time between two appends to one shard's stream.
func WithInterval(d time.Duration) Option { return func(c *Client) { c.interval = d } }

// WithLimiter sets a limit on appends that the streams of one process share.
func WithLimiter(l *rate.Limiter) Option { return func(c *Client) { c.limiter = l } }

// WithSchedule sets when checkpoints are written.
func WithSchedule(s fence.Schedule) Option { return func(c *Client) { c.schedule = s } }

// WithLogger sets the logger.
func WithLogger(l hclog.Logger) Option { return func(c *Client) { c.logger = l } }

// New returns the client of the process with the given incarnation.
func New(incarnation string, log platform.Log, opts ...Option) *Client {
	c := &Client{
		incarnation: incarnation,
		log:         log,
		logger:      hclog.NewNullLogger(),
		count:       DefaultShards,
		policy:      allowance.DefaultPolicy,
		timeout:     DefaultTimeout,
		recallWait:  DefaultRecallWait,
		interval:    stream.DefaultInterval,
		limiter:     rate.NewLimiter(rate.Inf, 1),
		schedule:    stream.DefaultSchedule,
		wake:        make(chan string, wakeQueue),
		shards:      map[int]*shard{},
		accounts:    map[string]*account{},
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Name implements kernel.Service.
func (c *Client) Name() string { return Name }

// Start implements kernel.Service. It does not wait for the log.
func (c *Client) Start(ctx context.Context, _ *kernel.Kernel) error {
	c.ctx, c.cancel = context.WithCancel(ctx)
	balancing, stop := context.WithCancel(c.ctx)
	c.stopBalance = stop
	c.done.Go(func() { c.keepBalance(balancing) })
	return nil
}

// Close implements kernel.Service. It gives back the allowances, as far as the
// log answers in time.
func (c *Client) Close() error {
	if c.cancel == nil {
		return nil
	}
	c.stopBalance()
	c.done.Wait()
	c.returnAll()
	c.cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, sh := range c.shards {
		if err := sh.close(); err != nil {
			return err
		}
	}
	return nil
}

// ShardOf returns the shard of a workspace.
func (c *Client) ShardOf(workspace string) int { return ledger.ShardOf(workspace, c.count) }

// Post adds entries to a shard's stream. It returns once the stream holds
// them, whatever their effect. While the shard's owner is known but does not
// answer, it waits some seconds for that one or the next. After an error the
// entries may be there nevertheless.
func (c *Client) Post(ctx context.Context, number int, entries ...ledger.Entry) error {
	sh := c.shard(number)
	for {
		done, err := c.postTo(ctx, sh, entries)
		if done || err != nil {
			return err
		}
		if !c.awaitsOwner(sh) {
			return c.append(ctx, sh, entries...)
		}
		select {
		case <-time.After(ownerRetry):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// postNow is Post for entries that somebody waits for.
func (c *Client) postNow(ctx context.Context, number int, entries ...ledger.Entry) error {
	sh := c.shard(number)
	done, err := c.postTo(ctx, sh, entries)
	if done || err != nil {
		return err
	}
	return c.append(ctx, sh, entries...)
}

// Budget returns the budget of a workspace as its shard's owner knows it, or
// else as far as this process has read the shard's stream.
func (c *Client) Budget(ctx context.Context, workspace string) (ledger.Budget, error) {
	sh := c.shard(c.ShardOf(workspace))
	if budgets, done := c.budgetsFrom(ctx, sh, workspace); done && len(budgets) == 1 {
		return budgets[0], nil
	}
	t := c.acquire(sh)
	defer sh.release()
	if err := t.ready(ctx); err != nil {
		return ledger.Budget{}, err
	}
	return t.view(workspace, c.incarnation).budget, nil
}

// Budgets returns the budgets of all shards, sorted by workspace.
func (c *Client) Budgets(ctx context.Context) ([]ledger.Budget, error) {
	var all []ledger.Budget
	for number := range c.count {
		budgets, err := c.shardBudgets(ctx, c.shard(number))
		if err != nil {
			return nil, err
		}
		all = append(all, budgets...)
	}
	slices.SortFunc(all, compareBudgets)
	return all, nil
}

func (c *Client) shardBudgets(ctx context.Context, sh *shard) ([]ledger.Budget, error) {
	if budgets, done := c.budgetsFrom(ctx, sh, ""); done {
		return budgets, nil
	}
	t := c.acquire(sh)
	defer sh.release()
	if err := t.ready(ctx); err != nil {
		return nil, err
	}
	var all []ledger.Budget
	t.stream.View(func(stream.Status) {
		for _, workspace := range t.state.Workspaces() {
			all = append(all, t.state.Budget(workspace))
		}
	})
	return all, nil
}

// Settled says whether a hold was billed, as far as this process knows: an own
// hold's bill is known some seconds after the shard's stream holds it.
func (c *Client) Settled(hold ledger.Hold) bool {
	return c.shard(hold.Shard).isSettled(hold, c.incarnation)
}

// Closed says whether the holder of a hold was closed, so that the hold pays
// for nothing. It waits until the shard's stream was read once.
func (c *Client) Closed(ctx context.Context, hold ledger.Hold) (closed bool, err error) {
	sh := c.shard(hold.Shard)
	t := c.acquire(sh)
	defer sh.release()
	if err := t.ready(ctx); err != nil {
		return false, err
	}
	t.stream.View(func(stream.Status) { closed = t.state.Closed(hold.Holder) })
	return closed, nil
}

// ClosedError says that a shard's owner closed this process's holder. Its holds
// pay for nothing any more, so that the process has to be restarted.
type ClosedError struct {
	Incarnation string
	Shard       int
}

// Error implements error.
func (e *ClosedError) Error() string {
	return fmt.Sprintf("%s was closed in ledger shard %d: restart the process", e.Incarnation, e.Shard)
}

// Err returns a *ClosedError once this process's holder was closed. A process
// with an error is not ready, and has to be restarted.
func (c *Client) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, sh := range c.shards {
		if sh.closed.Load() {
			return &ClosedError{Incarnation: c.incarnation, Shard: sh.number}
		}
	}
	return nil
}

// shard returns a shard.
func (c *Client) shard(number int) *shard {
	c.mu.Lock()
	defer c.mu.Unlock()
	sh := c.shards[number]
	if sh == nil {
		sh = &shard{number: number, holds: newHolds(c.incarnation, number)}
		c.shards[number] = sh
	}
	return sh
}

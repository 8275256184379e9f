// Package ledger is a process's client for the ledger: it takes holds on
// budgets, registers non-idempotent requests, and posts bills.
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

// Name is the client's service name in the kernel.
const Name = "ledger"

const (
	// DefaultTimeout is the default for WithTimeout.
	DefaultTimeout = 2 * time.Second
	// DefaultRecallWait is the default for WithRecallWait.
	DefaultRecallWait = 250 * time.Millisecond
	// DefaultShards is the default number of ledger shards.
	DefaultShards = 4
)

// Client is a process's client for the ledger. It is a kernel.Service.
type Client struct {
	incarnation string
	log         platform.Log
	logger      hclog.Logger
	shardCount  int
	policy      allowance.Policy
	sameDomain  func(incarnation string) bool
	timeout     time.Duration
	recallWait  time.Duration
	interval    time.Duration
	limiter     *rate.Limiter
	schedule    fence.CheckpointSchedule
	owners      *owners
	// balanceQueue has the workspaces whose allowance is to be balanced soon.
	balanceQueue chan string

	ctx    context.Context
	cancel context.CancelFunc
	// stopBalancer stops the goroutine that balances allowances.
	stopBalancer context.CancelFunc
	background   sync.WaitGroup

	mu       sync.Mutex
	shards   map[int]*shard
	accounts map[string]*account
}

// Option configures a Client.
type Option func(*Client)

// WithShards sets the number of ledger shards, which must be the same in all
// processes.
func WithShards(n int) Option { return func(c *Client) { c.shardCount = n } }

// WithPolicy sets the policy that sizes allowances.
func WithPolicy(p allowance.Policy) Option { return func(c *Client) { c.policy = p } }

// WithStandingReserve makes the client keep a standing reserve of each budget
// that is used in its own failure domain. sameDomain reports whether an
// incarnation belongs to that failure domain. Without a replica of a shard,
// the client sizes the reserve by its own use only. sameDomain is called while
// a stream is read, and must not block.
func WithStandingReserve(sameDomain func(incarnation string) bool) Option {
	return func(c *Client) { c.sameDomain = sameDomain }
}

// WithTimeout sets how long a call of Reserve or Register, or the balancing of
// one allowance, waits for the owner and the log.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// WithRecallWait sets how long a draw that the budget does not cover waits for
// other instances to return unused tokens.
func WithRecallWait(d time.Duration) Option { return func(c *Client) { c.recallWait = d } }

// WithAppendInterval sets the minimum time between two appends to one shard's
// stream.
func WithAppendInterval(d time.Duration) Option { return func(c *Client) { c.interval = d } }

// WithLimiter sets a rate limit on appends that all streams of the process
// share.
func WithLimiter(l *rate.Limiter) Option { return func(c *Client) { c.limiter = l } }

// WithSchedule sets the schedule for writing checkpoints.
func WithSchedule(s fence.CheckpointSchedule) Option { return func(c *Client) { c.schedule = s } }

// WithLogger sets the logger.
func WithLogger(l hclog.Logger) Option { return func(c *Client) { c.logger = l } }

// New returns the client of the process with the given incarnation.
func New(incarnation string, log platform.Log, opts ...Option) *Client {
	c := &Client{
		incarnation:  incarnation,
		log:          log,
		logger:       hclog.NewNullLogger(),
		shardCount:   DefaultShards,
		policy:       allowance.DefaultPolicy,
		timeout:      DefaultTimeout,
		recallWait:   DefaultRecallWait,
		interval:     stream.DefaultAppendInterval,
		limiter:      rate.NewLimiter(rate.Inf, 1),
		schedule:     stream.DefaultSchedule,
		balanceQueue: make(chan string, balanceQueueSize),
		shards:       map[int]*shard{},
		accounts:     map[string]*account{},
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
	c.stopBalancer = stop
	c.background.Go(func() { c.runBalancer(balancing) })
	return nil
}

// Close implements kernel.Service. It returns the allowances to the budgets,
// as far as the ledger answers within closeTimeout.
func (c *Client) Close() error {
	if c.cancel == nil {
		return nil
	}
	c.stopBalancer()
	c.background.Wait()
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
func (c *Client) ShardOf(workspace string) int { return ledger.ShardOf(workspace, c.shardCount) }

// Post adds entries to a shard's stream. It returns after the stream contains
// them, whatever their effect. If the shard's owner is known but does not
// answer, Post retries until the owner, or its successor, has not answered for
// ownerWaitLimit, and then appends to the stream itself. After an error the
// stream may contain the entries as well.
func (c *Client) Post(ctx context.Context, number int, entries ...ledger.Entry) error {
	sh := c.shard(number)
	for {
		done, err := c.postToOwner(ctx, sh, entries)
		if done || err != nil {
			return err
		}
		if !c.shouldAwaitOwner(sh) {
			return c.append(ctx, sh, entries...)
		}
		select {
		case <-time.After(ownerRetryInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// postWithFallback is like Post, but appends to the stream at once if the
// owner does not answer. It is for entries that a request waits for.
func (c *Client) postWithFallback(ctx context.Context, number int, entries ...ledger.Entry) error {
	sh := c.shard(number)
	done, err := c.postToOwner(ctx, sh, entries)
	if done || err != nil {
		return err
	}
	return c.append(ctx, sh, entries...)
}

// Budget returns the budget of a workspace from its shard's owner, or else
// from this process's replica of the shard.
func (c *Client) Budget(ctx context.Context, workspace string) (ledger.Budget, error) {
	sh := c.shard(c.ShardOf(workspace))
	if budgets, done := c.budgetsFromOwner(ctx, sh, workspace); done && len(budgets) == 1 {
		return budgets[0], nil
	}
	rep := c.acquireReplica(sh)
	defer sh.releaseReplica()
	if err := rep.ready(ctx); err != nil {
		return ledger.Budget{}, err
	}
	return rep.view(workspace, c.incarnation).budget, nil
}

// Budgets returns the budgets in all shards, sorted by workspace.
func (c *Client) Budgets(ctx context.Context) ([]ledger.Budget, error) {
	var all []ledger.Budget
	for number := range c.shardCount {
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
	if budgets, done := c.budgetsFromOwner(ctx, sh, ""); done {
		return budgets, nil
	}
	rep := c.acquireReplica(sh)
	defer sh.releaseReplica()
	if err := rep.ready(ctx); err != nil {
		return nil, err
	}
	var all []ledger.Budget
	rep.stream.View(func(stream.Status) {
		for _, workspace := range rep.state.Workspaces() {
			all = append(all, rep.state.Budget(workspace))
		}
	})
	return all, nil
}

// Settled reports whether this process has read that a hold was billed. For
// its own holds that may be some seconds after the shard's stream contains the
// bill.
func (c *Client) Settled(hold ledger.Hold) bool {
	return c.shard(hold.Shard).isSettled(hold, c.incarnation)
}

// Closed reports whether the holder of a hold was closed, after which the hold
// cannot pay for a request. It waits until the replica has caught up with the
// log once.
func (c *Client) Closed(ctx context.Context, hold ledger.Hold) (closed bool, err error) {
	sh := c.shard(hold.Shard)
	rep := c.acquireReplica(sh)
	defer sh.releaseReplica()
	if err := rep.ready(ctx); err != nil {
		return false, err
	}
	rep.stream.View(func(stream.Status) { closed = rep.state.Closed(hold.Holder) })
	return closed, nil
}

// ClosedError is returned after a shard's owner has closed this process's
// holder. The process's holds can no longer pay for requests, so it has to be
// restarted.
type ClosedError struct {
	Incarnation string
	Shard       int
}

// Error implements error.
func (e *ClosedError) Error() string {
	return fmt.Sprintf("%s was closed in ledger shard %d: restart the process", e.Incarnation, e.Shard)
}

// Err returns a *ClosedError after this process's holder was closed. A process
// with an error is not ready and has to be restarted.
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

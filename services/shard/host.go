// Package shard hosts the owners of ledger shards on entry instances. An owner
// batches the entries of many processes into one append at a time, answers what
// they need to know of the shard's state, writes its checkpoints, and closes
// holders that are gone. The shard's stream alone decides what counts, so that a
// paused or cut off owner can commit nothing.
package shard

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/time/rate"

	"github.com/crocusline/crocusline/coordination/fence"
	"github.com/crocusline/crocusline/kernel"
	"github.com/crocusline/crocusline/models/allowance"
	"github.com/crocusline/crocusline/models/fleet"
	"github.com/crocusline/crocusline/modules/platform"
	"github.com/crocusline/crocusline/modules/wire/peer/v1/peerv1connect"
	"github.com/crocusline/crocusline/services/stream"
)

// Name is the host's name in the kernel.
const Name = "shard"

const (
	// DefaultShards is the number of ledger shards.
	DefaultShards = 4
	// DefaultLeaseTimeout is how long an owner may be silent before another
	// process tries to claim its shard.
	DefaultLeaseTimeout = 3 * time.Second
	// stepsPerLease is how often a shard is looked at within a lease timeout.
	stepsPerLease = 6
	// callTimeout bounds calls of peers.
	callTimeout = 500 * time.Millisecond
	// claimTimeout bounds the reading of a shard's stream and the claim.
	claimTimeout = 10 * time.Second
	// hintTimeout bounds the publication of an owner hint.
	hintTimeout = 2 * time.Second
)

// Fleet is the process's copy of the fleet's state.
type Fleet interface {
	State() *fleet.State
	// LogReachable reports whether the last read of the log succeeded.
	LogReachable() bool
	Publish(ctx context.Context, event fleet.Event) (fleet.Result, error)
}

// Recaller has the unused tokens of a budget given back that this process holds.
type Recaller interface {
	Recall(workspace string)
}

// Host owns the ledger shards that fall to this process. It is a kernel.Service
// and serves peerv1connect.LedgerServiceHandler.
type Host struct {
	member   fleet.Member
	log      platform.Log
	fleet    Fleet
	http     *http.Client
	logger   hclog.Logger
	recaller Recaller
	count    int
	lease    time.Duration
	interval time.Duration
	limiter  *rate.Limiter
	schedule fence.CheckpointSchedule
	policy   allowance.Policy
	proofs   *proofs

	cancel context.CancelFunc
	done   sync.WaitGroup
	parts  []*part

	mu     sync.Mutex
	peers  map[netip.AddrPort]peerv1connect.LedgerServiceClient
	closed bool
	// recalls counts the recalls under way.
	recalls sync.WaitGroup
}

// Option configures a Host.
type Option func(*Host)

// WithShards sets the number of ledger shards, which must be the same in all
// processes.
func WithShards(n int) Option { return func(h *Host) { h.count = n } }

// WithLeaseTimeout sets how long an owner may be silent before another process
// tries to claim its shard.
func WithLeaseTimeout(d time.Duration) Option { return func(h *Host) { h.lease = d } }

// WithAppendInterval sets the least time between two appends to one shard's stream.
func WithAppendInterval(d time.Duration) Option { return func(h *Host) { h.interval = d } }

// WithLimiter sets a limit on appends that streams of one process share.
func WithLimiter(l *rate.Limiter) Option { return func(h *Host) { h.limiter = l } }

// WithSchedule sets when checkpoints are written.
func WithSchedule(s fence.CheckpointSchedule) Option { return func(h *Host) { h.schedule = s } }

// WithPolicy sets what part of a budget's free tokens a draw may take beyond
// its need.
func WithPolicy(p allowance.Policy) Option { return func(h *Host) { h.policy = p } }

// WithRecaller sets what gives back this process's unused tokens.
func WithRecaller(r Recaller) Option { return func(h *Host) { h.recaller = r } }

// WithLogger sets the logger.
func WithLogger(l hclog.Logger) Option { return func(h *Host) { h.logger = l.Named(Name) } }

// New returns the host of the process that member describes. client reaches
// peers.
func New(member fleet.Member, log platform.Log, state Fleet, client *http.Client, opts ...Option) *Host {
	h := &Host{
		member:   member,
		log:      log,
		fleet:    state,
		http:     client,
		logger:   hclog.NewNullLogger(),
		count:    DefaultShards,
		lease:    DefaultLeaseTimeout,
		interval: stream.DefaultAppendInterval,
		limiter:  rate.NewLimiter(rate.Inf, 1),
		schedule: stream.DefaultSchedule,
		policy:   allowance.DefaultPolicy,
		peers:    map[netip.AddrPort]peerv1connect.LedgerServiceClient{},
	}
	for _, opt := range opts {
		opt(h)
	}
	h.proofs = newProofs(client)
	for number := range h.count {
		h.parts = append(h.parts, &part{host: h, number: number})
	}
	return h
}

// Name implements kernel.Service.
func (h *Host) Name() string { return Name }

// Start implements kernel.Service. It does not wait for the log.
func (h *Host) Start(ctx context.Context, _ *kernel.Kernel) error {
	ctx, h.cancel = context.WithCancel(ctx)
	for _, p := range h.parts {
		h.done.Go(func() { p.serve(ctx) })
	}
	h.done.Go(func() { h.closeHolders(ctx) })
	return nil
}

// Close implements kernel.Service. The shards are left to others.
func (h *Host) Close() error {
	if h.cancel == nil {
		return nil
	}
	h.mu.Lock()
	h.closed = true
	h.mu.Unlock()
	h.cancel()
	h.done.Wait()
	h.recalls.Wait()
	var first error
	for _, p := range h.parts {
		if err := p.close(); err != nil && first == nil {
			first = err
		}
	}
	return first
}

// OwnedShards returns the numbers of the shards that this process owns.
func (h *Host) OwnedShards() []int {
	var numbers []int
	for _, p := range h.parts {
		if _, ok := p.owned(); ok {
			numbers = append(numbers, p.number)
		}
	}
	return numbers
}

// OwnerAddress returns where the owner of a shard is reached according to the fleet's
// state. An owner that is no longer a member is not named.
func OwnerAddress(state *fleet.State, shard int) (netip.AddrPort, bool) {
	owner, known := state.Owners[shard]
	if !known {
		return netip.AddrPort{}, false
	}
	if _, member := state.Members[owner.Incarnation]; !member {
		return netip.AddrPort{}, false
	}
	return owner.Address, true
}

// peer returns the client of the ledger service at the address.
func (h *Host) peer(address netip.AddrPort) peerv1connect.LedgerServiceClient {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.peers[address] == nil {
		h.peers[address] = peerv1connect.NewLedgerServiceClient(h.http, baseURL(address))
	}
	return h.peers[address]
}

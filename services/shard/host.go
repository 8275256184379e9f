// Package shard hosts the owners of ledger shards on entry instances. An owner
// batches the ledger entries of many processes into one append at a time, answers
// their queries of the shard's state, writes its checkpoints, and closes holders
// that have ended. The claims in the shard's stream determine the owner, so that
// a paused or disconnected owner can't commit anything after another process has
// claimed the shard.
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

// Name is the host's service name in the kernel.
const Name = "shard"

const (
	// DefaultShards is the default number of ledger shards.
	DefaultShards = 4
	// DefaultLeaseTimeout is how long an owner may leave probes unanswered before
	// another process tries to claim its shard.
	DefaultLeaseTimeout = 3 * time.Second
	// checksPerLease is the number of times that a shard is checked per lease
	// timeout.
	checksPerLease = 6
	// callTimeout is the timeout of a call to a peer.
	callTimeout = 500 * time.Millisecond
	// claimTimeout is the timeout for reading a shard's stream and claiming the
	// shard.
	claimTimeout = 10 * time.Second
	// hintTimeout is the timeout for publishing an owner hint.
	hintTimeout = 2 * time.Second
)

// Fleet is the process's copy of the fleet's state.
type Fleet interface {
	State() *fleet.State
	// LogReachable reports whether the last read of the log succeeded.
	LogReachable() bool
	Publish(ctx context.Context, event fleet.Event) (fleet.Result, error)
}

// Recaller returns this process's unused tokens of a workspace's budget to the
// budget.
type Recaller interface {
	Recall(workspace string)
}

// Host claims and serves ledger shards for which this process is a candidate. It
// implements kernel.Service and peerv1connect.LedgerServiceHandler.
type Host struct {
	member         fleet.Member
	log            platform.Log
	fleet          Fleet
	http           *http.Client
	logger         hclog.Logger
	recaller       Recaller
	shardCount     int
	leaseTimeout   time.Duration
	appendInterval time.Duration
	limiter        *rate.Limiter
	schedule       fence.CheckpointSchedule
	policy         allowance.Policy
	fences         *fenceTracker

	cancel     context.CancelFunc
	background sync.WaitGroup
	shards     []*hostedShard

	mu     sync.Mutex
	peers  map[netip.AddrPort]peerv1connect.LedgerServiceClient
	closed bool
	// recalls waits for the recalls in flight.
	recalls sync.WaitGroup
}

// Option configures a Host.
type Option func(*Host)

// WithShards sets the number of ledger shards, which must be the same in all
// processes.
func WithShards(n int) Option { return func(h *Host) { h.shardCount = n } }

// WithLeaseTimeout sets how long an owner may leave probes unanswered before
// another process tries to claim its shard.
func WithLeaseTimeout(d time.Duration) Option { return func(h *Host) { h.leaseTimeout = d } }

// WithAppendInterval sets the minimum time between two appends to one shard's
// stream.
func WithAppendInterval(d time.Duration) Option { return func(h *Host) { h.appendInterval = d } }

// WithLimiter sets the rate limiter that all streams of a process share for their
// appends.
func WithLimiter(l *rate.Limiter) Option { return func(h *Host) { h.limiter = l } }

// WithSchedule sets the schedule for writing checkpoints.
func WithSchedule(s fence.CheckpointSchedule) Option { return func(h *Host) { h.schedule = s } }

// WithPolicy sets the policy that limits the tokens granted beyond the need of a
// draw.
func WithPolicy(p allowance.Policy) Option { return func(h *Host) { h.policy = p } }

// WithRecaller sets the Recaller for this process's unused tokens.
func WithRecaller(r Recaller) Option { return func(h *Host) { h.recaller = r } }

// WithLogger sets the logger.
func WithLogger(l hclog.Logger) Option { return func(h *Host) { h.logger = l.Named(Name) } }

// New returns the host of the process that member describes. It calls peers with
// client.
func New(member fleet.Member, log platform.Log, state Fleet, client *http.Client, opts ...Option) *Host {
	h := &Host{
		member:         member,
		log:            log,
		fleet:          state,
		http:           client,
		logger:         hclog.NewNullLogger(),
		shardCount:     DefaultShards,
		leaseTimeout:   DefaultLeaseTimeout,
		appendInterval: stream.DefaultAppendInterval,
		limiter:        rate.NewLimiter(rate.Inf, 1),
		schedule:       stream.DefaultSchedule,
		policy:         allowance.DefaultPolicy,
		peers:          map[netip.AddrPort]peerv1connect.LedgerServiceClient{},
	}
	for _, opt := range opts {
		opt(h)
	}
	h.fences = newFenceTracker(client)
	for number := range h.shardCount {
		h.shards = append(h.shards, &hostedShard{host: h, number: number})
	}
	return h
}

// Name implements kernel.Service.
func (h *Host) Name() string { return Name }

// Start implements kernel.Service. It does not wait for the log.
func (h *Host) Start(ctx context.Context, _ *kernel.Kernel) error {
	ctx, h.cancel = context.WithCancel(ctx)
	for _, s := range h.shards {
		h.background.Go(func() { s.run(ctx) })
	}
	h.background.Go(func() { h.runHolderCleanup(ctx) })
	return nil
}

// Close implements kernel.Service. Other processes can claim the shards.
func (h *Host) Close() error {
	if h.cancel == nil {
		return nil
	}
	h.mu.Lock()
	h.closed = true
	h.mu.Unlock()
	h.cancel()
	h.background.Wait()
	h.recalls.Wait()
	var first error
	for _, s := range h.shards {
		if err := s.close(); err != nil && first == nil {
			first = err
		}
	}
	return first
}

// OwnedShards returns the numbers of the shards that this process owns and serves.
func (h *Host) OwnedShards() []int {
	var numbers []int
	for _, s := range h.shards {
		if _, ok := s.ownedReplica(); ok {
			numbers = append(numbers, s.number)
		}
	}
	return numbers
}

// OwnerAddress returns the address of a shard's owner according to the fleet's
// state, and whether the owner is known and still a member.
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

// peer returns the client for the ledger service at the address.
func (h *Host) peer(address netip.AddrPort) peerv1connect.LedgerServiceClient {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.peers[address] == nil {
		h.peers[address] = peerv1connect.NewLedgerServiceClient(h.http, baseURL(address))
	}
	return h.peers[address]
}

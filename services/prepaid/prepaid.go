// Package prepaid manages a gateway's part of each workspace's prepaid tokens. It
// follows the grants and reports in the platform's store, adjusts the gateway's own
// grants, reports its spending, and reserves tokens for requests. A reservation that
// the grant covers needs no call to the store or to other gateways.
package prepaid

import (
	"cmp"
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/crocusline/crocusline/kernel"
	"github.com/crocusline/crocusline/models/gateway"
	"github.com/crocusline/crocusline/models/prepaid"
	"github.com/crocusline/crocusline/models/record"
	"github.com/crocusline/crocusline/models/route"
	"github.com/crocusline/crocusline/modules/metric"
	"github.com/crocusline/crocusline/modules/uptime"
	"github.com/crocusline/crocusline/services/follower"
)

// Name is the service's name.
const Name = "prepaid"

const (
	// partitionCount is the number of partitions over which the workspaces' grants are
	// distributed, so that concurrent writes of gateways seldom conflict. All gateways
	// must use the same number.
	partitionCount = 4
	// unmetTTL is how long the size of an unmet request influences the grant.
	unmetTTL = time.Second
	// assumedSpendTime is the time in which a workspace is assumed to spend its prepaid
	// total as long as no demand was observed.
	assumedSpendTime = 45 * time.Second
	// assumedHolders is the number of holders assumed until more grants are known.
	assumedHolders = 4
	// minGrantReadInterval and minReportReadInterval are the shortest times between two
	// reads while no request lacks tokens. Each read has a price, and grants change
	// seldom.
	minGrantReadInterval  = 500 * time.Millisecond
	minReportReadInterval = 300 * time.Millisecond
	// DefaultReturnTimeout bounds the return of borrowed and unused tokens at shutdown. Together
	// with the time for requests in flight it must not exceed the grace period.
	DefaultReturnTimeout = 700 * time.Millisecond
)

// Store is the platform's store of records.
type Store interface {
	follower.Log
	// Append performs a write if its condition holds.
	Append(ctx context.Context, w record.Write) error
}

// Directory lists the gateways of the fleet.
type Directory interface {
	Members() map[string]gateway.Member
	// Count returns the largest number of gateways that was observed.
	Count() gateway.Count
	// Ready reports whether the gateways were loaded.
	Ready() bool
	// Restored reports whether the store had returned from a copy between the start of
	// another gateway and the start of this one.
	Restored() bool
	// StateEra records that this gateway has stated all its grants in the store's era, and
	// AllStated reports whether the grants of all gateways are known in it.
	StateEra(era int64)
	AllStated(era int64) bool
	// ReleasedEra returns the latest era of the store of which a gateway has recorded that
	// the grants of all are known in it, and Release records that.
	ReleasedEra() int64
	Release(era int64)
}

// TableSource provides the current routing tables.
type TableSource interface {
	Table() *route.Table
}

// Topics are the names of the topics that hold grants and reports.
type Topics struct {
	Grants  string
	Reports string
}

// Option configures a Service.
type Option func(*Service)

// WithPlanner sets the planner for grants and spending limits.
func WithPlanner(p *prepaid.Planner) Option { return func(s *Service) { s.planner = p } }

// BootClock reads the time since the machine was booted, including the time for which
// it was suspended.
type BootClock func() (time.Duration, error)

// WithBootClock sets the clock of the time since boot.
func WithBootClock(c BootClock) Option { return func(s *Service) { s.bootClock = c } }

// WallClock reads a lower bound of the time of day in ms since 1970.
type WallClock func() int64

// WithWallClock sets the clock of the time of day.
func WithWallClock(c WallClock) Option { return func(s *Service) { s.wallClock = c } }

// WithDirectory sets the directory from which the gateways that hold tokens are selected.
// Without one, each gateway holds tokens.
func WithDirectory(d Directory) Option { return func(s *Service) { s.directory = d } }

// WithReturnTimeout sets how long the return of tokens may take at shutdown. 0 keeps the default.
func WithReturnTimeout(d time.Duration) Option {
	return func(s *Service) { s.returnTimeout = cmp.Or(d, s.returnTimeout) }
}

// Service manages the gateway's local budgets.
type Service struct {
	log       hclog.Logger
	store     Store
	topics    Topics
	tables    TableSource
	instance  string
	planner   *prepaid.Planner
	wallClock WallClock
	bootClock BootClock
	// startedAt is when the process started.
	startedAt    prepaid.ClockReading
	grantWriters []*grantWriter
	reportWriter *reportWriter
	metrics      *metric.Set
	directory    Directory
	peers        Peers
	peerAddress  netip.AddrPort
	// returnTimeout bounds the return of tokens at shutdown.
	returnTimeout time.Duration

	mu sync.Mutex
	// incarnation is higher than those of all earlier processes of the instance. It is
	// set once their records were read.
	incarnation int64
	sequence    int64
	accounts    map[string]prepaid.Account
	witnesses   *prepaid.Witnesses
	// undecodable are, by workspace, the records that can't be decoded and without which the sum
	// of the grants is unknown.
	undecodable map[string]map[recordID]bool
	budgets     map[string]*localBudget
	// era is the store's era, and eraBeganAt when it was seen to rise, or the zero value.
	era        int64
	eraKnown   bool
	eraBeganAt time.Time
	// loadedAt is when grants and reports had been loaded.
	loadedAt time.Time
	// incomplete is set once grants are unknown that earlier processes or eras had: what
	// this process states doesn't make up for them.
	incomplete bool
	// releasedEra is the era in which the grants of all gateways are known.
	releasedEra int64
	// withheld is the number of tokens paid in before the era began, by workspace.
	withheld map[string]int64
	// holders are the holders of workspaces' tokens as last selected.
	holders map[string]selection
	// able are the gateways among which the holders are selected.
	able selection
	// latestWallTime is the latest wall-clock time in all reports.
	latestWallTime int64
	// avoidedUntil is the time until which no tokens are borrowed from a peer, by instance
	// or, for a single workspace, by record key.
	avoidedUntil map[string]time.Time
	// firstRequestAt is when the gateway received its first request.
	firstRequestAt time.Time
	// changed is closed and replaced when grants or reports change.
	changed chan struct{}

	cancel context.CancelFunc
	done   sync.WaitGroup
	// loans and returns are the loans and returns of borrowed tokens in progress.
	loans   sync.WaitGroup
	returns sync.WaitGroup
	// closing is set once no more loans and returns may be started by requests.
	closing bool
	// lending ends when loans and returns are no longer awaited.
	lending    context.Context
	endLending context.CancelFunc
}

// localBudget is the budget of one workspace, with the time of its last unmet request.
type localBudget struct {
	*prepaid.LocalBudget
	unmetAt time.Time
	role    prepaid.Role
	// lender is the peer that lent last, and observed what peers had left after loans
	// since their last reports.
	lender   netip.AddrPort
	observed map[string]prepaid.Observation
}

// New returns the service for a process of the instance.
func New(log hclog.Logger, store Store, topics Topics, tables TableSource, instance string, opts ...Option) *Service {
	s := &Service{
		log: log.Named(Name), store: store, topics: topics, tables: tables,
		instance: instance, planner: prepaid.NewPlanner(), wallClock: uptime.NewWallClock().Earliest, bootClock: uptime.SinceBoot,
		accounts: map[string]prepaid.Account{}, undecodable: map[string]map[recordID]bool{}, budgets: map[string]*localBudget{}, holders: map[string]selection{}, withheld: map[string]int64{},
		changed: make(chan struct{}), avoidedUntil: map[string]time.Time{}, metrics: metric.New(), returnTimeout: DefaultReturnTimeout,
	}
	s.lending, s.endLending = context.WithCancel(context.Background())
	for _, opt := range opts {
		opt(s)
	}
	s.metrics.Gauge(workspacesWithheld, s.countWithheld)
	s.startedAt = s.clockReading()
	s.witnesses = prepaid.NewWitnesses(instance, s.startedAt)
	for number := range partitionCount {
		s.grantWriters = append(s.grantWriters, newGrantWriter(s, number))
	}
	s.reportWriter = newReportWriter(s)
	return s
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Start implements kernel.Service.
func (s *Service) Start(ctx context.Context, _ *kernel.Kernel) error {
	s.reportWriter.follower.Start(ctx)
	for _, g := range s.grantWriters {
		g.follower.Start(ctx)
	}
	ctx, s.cancel = context.WithCancel(ctx)
	s.done.Go(func() { s.reportWriter.run(ctx) })
	for _, g := range s.grantWriters {
		s.done.Go(func() { g.run(ctx) })
	}
	return nil
}

// Close implements kernel.Service. It first returns borrowed tokens to their lenders, and
// unused ones if the store is reachable.
func (s *Service) Close() error {
	if s.cancel != nil {
		s.cancel()
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.returnTimeout)
	defer cancel()
	// The other half is for unused tokens.
	defer time.AfterFunc(s.returnTimeout/2, s.endLending).Stop()
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	s.done.Wait()
	s.loans.Wait()
	s.mu.Lock()
	for workspace := range s.budgets {
		s.startReturn(workspace, 1)
	}
	s.mu.Unlock()
	s.returns.Wait()
	s.returnUnused(ctx)
	err := s.reportWriter.follower.Close()
	for _, g := range s.grantWriters {
		if closeErr := g.follower.Close(); err == nil {
			err = closeErr
		}
	}
	return err
}

// Ready reports whether grants and reports were loaded.
func (s *Service) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loaded()
}

func (s *Service) loaded() bool {
	if s.directory != nil && !s.directory.Ready() {
		return false
	}
	for _, g := range s.grantWriters {
		if !g.loaded {
			return false
		}
	}
	return s.reportWriter.loaded
}

func (s *Service) countWithheld() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return float64(len(s.withheld))
}

// storeReachable reports whether the last read of the reports in the store succeeded.
func (s *Service) storeReachable() bool { return s.reportWriter.follower.Reachable() }

// grantWriter returns the writer of the partition that holds the workspace's grants.
func (s *Service) grantWriter(workspace string) *grantWriter {
	return s.grantWriters[xxhash.Sum64String(workspace)%partitionCount]
}

// budget returns the workspace's budget, and creates it if it doesn't exist.
func (s *Service) budget(w route.Workspace, now time.Time) *localBudget {
	b, exists := s.budgets[w.Name]
	if !exists {
		holders := max(len(s.accounts[w.Name].Grants), assumedHolders)
		prior := float64(w.Prepaid) / assumedSpendTime.Seconds() / float64(holders)
		b = &localBudget{LocalBudget: prepaid.NewLocalBudget(now, prior), observed: map[string]prepaid.Observation{}}
		if !s.firstRequestAt.IsZero() {
			b.MarkStarted(now)
		}
		s.budgets[w.Name] = b
	}
	if now.Sub(b.unmetAt) > unmetTTL {
		b.ClearUnmet()
	}
	return b
}

// triggerWrites triggers writing and reading the workspace's grants, and writing
// reports.
func (s *Service) triggerWrites(workspace string) {
	g := s.grantWriter(workspace)
	g.pacer.trigger()
	g.follower.TriggerRead()
	s.reportWriter.pacer.trigger()
}

// notify wakes the requests that wait for a change of grants or reports.
func (s *Service) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// holderState returns the state of the gateway as the holder of its grant of the
// workspace.
func (s *Service) holderState(w route.Workspace, now time.Time, clock prepaid.ClockReading) prepaid.HolderState {
	s.sequence++
	h := s.budget(w, now).HolderState(now, prepaid.HolderState{
		Instance: s.instance, PeerAddress: s.peerAddress, Incarnation: s.currentIncarnation(), Sequence: s.sequence,
		StartedAt: s.startedAt, Now: clock, LatestWallTime: s.latestWallTime,
		Witnesses: s.witnesses, AwaitWitnesses: s.witnesses.Awaited(),
		ReportInterval: s.reportWriter.currentInterval(), Era: s.era, Withheld: s.withheldTokens(w, now),
	})
	s.setRole(w.Name, &h, now)
	return h
}

// currentIncarnation returns the incarnation of this process. On the first call it is
// chosen to exceed those in the instance's records.
func (s *Service) currentIncarnation() int64 {
	if s.incarnation == 0 {
		s.incarnation = s.wallClock()
		for _, a := range s.accounts {
			s.incarnation = max(s.incarnation, a.Grants[s.instance].Incarnation+1, a.Reports[s.instance].Incarnation+1)
		}
		s.log.Info("incarnation started", "instance", s.instance, "incarnation", s.incarnation)
	}
	return s.incarnation
}

// clockReading reads the clocks that a successor of this process compares with its own.
func (s *Service) clockReading() prepaid.ClockReading {
	return readClocks(s.log, s.wallClock, s.bootClock)
}

// ClockReading reads the clocks of the machine at the start of a process.
func ClockReading(log hclog.Logger) prepaid.ClockReading {
	return readClocks(log.Named(Name), uptime.NewWallClock().Earliest, uptime.SinceBoot)
}

func readClocks(log hclog.Logger, wall WallClock, boot BootClock) prepaid.ClockReading {
	c := prepaid.ClockReading{Wall: wall()}
	up, err := boot()
	if err != nil {
		log.Debug("uptime unavailable", "error", err)
		return c
	}
	c.Uptime, c.BootID = up.Milliseconds(), xxhash.Sum64String(uptime.BootID())
	return c
}

// returnUnused returns the unused tokens before the process exits.
func (s *Service) returnUnused(ctx context.Context) {
	s.mu.Lock()
	s.planner = prepaid.NewPlanner(prepaid.WithHorizon(0), prepaid.WithTolerance(0))
	for _, b := range s.budgets {
		b.ClearUnmet()
		b.unmetAt = time.Time{}
	}
	s.mu.Unlock()
	var returned sync.WaitGroup
	for _, g := range s.grantWriters {
		returned.Go(func() { g.returnUnused(ctx) })
	}
	returned.Wait()
}

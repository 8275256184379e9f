// Package prepaid keeps an entry's part of each workspace's prepaid tokens. It
// follows grants and reports in the platform's store, grows and shrinks the
// entry's grants there, reports what was spent, and reserves tokens for requests
// without asking anybody.
package prepaid

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/crocusline/crocusline/kernel"
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
	// partitions share the workspaces' grants, so that entries that write at once
	// seldom meet. All entries must use the same number.
	partitions = 4
	// wantedMemory is how long a refused request counts as wanting tokens.
	wantedMemory = time.Second
	// usualDay is the time in which a workspace is assumed to use its prepaid total
	// until its demand was seen.
	usualDay = 45 * time.Second
	// assumedEntries is the number of entries until their grants are known.
	assumedEntries = 4
	// grantPace and reportPace are the shortest times between two reads while no
	// request lacks tokens. Reads are priced, and grants change seldom.
	grantPace  = 500 * time.Millisecond
	reportPace = 300 * time.Millisecond
	// giveBackTimeout bounds the return of unused tokens when the process ends. With
	// the time for requests under way it must stay within the grace.
	giveBackTimeout = 700 * time.Millisecond
)

// Store is the store.
type Store interface {
	follower.Log
	// Append makes a write if its condition holds.
	Append(ctx context.Context, w record.Write) error
}

// TableSource gives the tables in force.
type TableSource interface {
	Table() *route.Table
}

// Topics are where grants and reports are.
type Topics struct {
	Grants  string
	Reports string
}

// Option changes a Service at construction.
type Option func(*Service)

// WithPlanner sets how grants are sized.
func WithPlanner(p *prepaid.Planner) Option { return func(s *Service) { s.planner = p } }

// Service holds the entry's purses.
type Service struct {
	log      hclog.Logger
	store    Store
	topics   Topics
	tables   TableSource
	instance string
	planner  *prepaid.Planner
	wall     *uptime.Wall
	// began is when the process began.
	began    prepaid.ClockReading
	grants   []*granter
	reporter *reporter
	metrics  *metric.Set
	peers    Peers
	address  netip.AddrPort

	mu sync.Mutex
	// incarnation is higher than those of all former processes of the instance. It
	// is set once their records are known.
	incarnation int64
	sequence    int64
	accounts    map[string]prepaid.Account
	// broken are the workspaces with a grant that can't be decoded.
	broken map[string]bool
	purses map[string]*purse
	// avoided says until when peers are not asked, by instance and by key of record.
	avoided map[string]time.Time
	// started is when the entry took its first request.
	started time.Time
	changed chan struct{}

	cancel context.CancelFunc
	done   sync.WaitGroup
}

// purse is one workspace's purse and since when it lacked tokens.
type purse struct {
	*prepaid.LocalBudget
	wanted time.Time
}

// New returns the service of a process of the instance.
func New(log hclog.Logger, store Store, topics Topics, tables TableSource, instance string, opts ...Option) *Service {
	s := &Service{
		log: log.Named(Name), store: store, topics: topics, tables: tables,
		instance: instance, planner: prepaid.NewPlanner(), wall: uptime.NewWall(),
		accounts: map[string]prepaid.Account{}, broken: map[string]bool{}, purses: map[string]*purse{},
		changed: make(chan struct{}), avoided: map[string]time.Time{}, metrics: metric.New(),
	}
	for _, opt := range opts {
		opt(s)
	}
	s.began = s.clock()
	for number := range partitions {
		s.grants = append(s.grants, newGranter(s, number))
	}
	s.reporter = newReporter(s)
	return s
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Start implements kernel.Service.
func (s *Service) Start(ctx context.Context, _ *kernel.Kernel) error {
	s.reporter.follower.Start(ctx)
	for _, g := range s.grants {
		g.follower.Start(ctx)
	}
	ctx, s.cancel = context.WithCancel(ctx)
	s.done.Go(func() { s.reporter.run(ctx) })
	for _, g := range s.grants {
		s.done.Go(func() { g.run(ctx) })
	}
	return nil
}

// Close implements kernel.Service. Unused tokens go back first, if the store can
// be reached.
func (s *Service) Close() error {
	if s.cancel != nil {
		s.cancel()
	}
	s.done.Wait()
	s.giveBack()
	err := s.reporter.follower.Close()
	for _, g := range s.grants {
		if closeErr := g.follower.Close(); err == nil {
			err = closeErr
		}
	}
	return err
}

// Ready says whether grants and reports are known.
func (s *Service) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known()
}

func (s *Service) known() bool {
	for _, g := range s.grants {
		if !g.known {
			return false
		}
	}
	return s.reporter.known
}

// reachable says whether the store was read a short while ago.
func (s *Service) reachable() bool { return s.reporter.follower.Reachable() }

// granter returns what writes the workspace's grants.
func (s *Service) granter(workspace string) *granter {
	return s.grants[xxhash.Sum64String(workspace)%partitions]
}

// purse returns the workspace's purse.
func (s *Service) purse(w route.Workspace, now time.Time) *purse {
	p, known := s.purses[w.Name]
	if !known {
		entries := max(len(s.accounts[w.Name].Grants), assumedEntries)
		prior := float64(w.Prepaid) / usualDay.Seconds() / float64(entries)
		p = &purse{LocalBudget: prepaid.NewLocalBudget(now, prior)}
		if !s.started.IsZero() {
			p.MarkStarted(now)
		}
		s.purses[w.Name] = p
	}
	if now.Sub(p.wanted) > wantedMemory {
		p.ClearUnmet()
	}
	return p
}

// urge makes grants and reports be written and read at once.
func (s *Service) urge(workspace string) {
	g := s.granter(workspace)
	g.pacer.urge()
	g.follower.TriggerRead()
	s.reporter.pacer.urge()
}

// Balance is what an entry knows of a workspace's tokens, for log lines.
type Balance struct {
	// Free is what the terms allow now, Granted what is left of the entry's grant,
	// and Unspent what may be left of the prepaid total.
	Free    int64
	Granted int64
	Unspent int64
	// Demand is the tokens a second that callers ask of this entry.
	Demand float64
	// Age is the time since the reports were read.
	Age time.Duration
}

// Balance returns what is known of the workspace's tokens.
func (s *Service) Balance(w route.Workspace) Balance {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := Balance{Unspent: s.accounts[w.Name].Unspent(w.Prepaid), Age: s.reporter.follower.Age()}
	if p, known := s.purses[w.Name]; known {
		now := time.Now()
		b.Free, b.Granted, b.Demand = p.Free(now), p.GrantRemaining(), p.Demand(now)
	}
	return b
}

// notify wakes the requests that wait for a change.
func (s *Service) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// holder is the entry's view of its grant of the workspace.
func (s *Service) holder(w route.Workspace, now time.Time, clock prepaid.ClockReading) prepaid.HolderState {
	s.sequence++
	return s.purse(w, now).HolderState(now, prepaid.HolderState{
		Instance: s.instance, PeerAddress: s.address, Incarnation: s.begun(), Sequence: s.sequence,
		StartedAt: s.began, Now: clock, LatestWallTime: s.newest(),
	})
}

// begun returns the incarnation, which exceeds those that the records name.
func (s *Service) begun() int64 {
	if s.incarnation == 0 {
		s.incarnation = s.wall.Earliest()
		for _, a := range s.accounts {
			s.incarnation = max(s.incarnation, a.Grants[s.instance].Incarnation+1, a.Reports[s.instance].Incarnation+1)
		}
		s.log.Info("incarnation begun", "instance", s.instance, "incarnation", s.incarnation)
	}
	return s.incarnation
}

// clock reads the clocks that a successor of this process can compare.
func (s *Service) clock() prepaid.ClockReading {
	c := prepaid.ClockReading{Wall: s.wall.Earliest()}
	up, err := uptime.Now()
	if err != nil {
		s.log.Debug("uptime not known", "error", err)
		return c
	}
	c.Uptime, c.BootID = up.Milliseconds(), xxhash.Sum64String(uptime.Boot())
	return c
}

// newest is the latest time of day in all accounts.
func (s *Service) newest() int64 {
	var newest int64
	for _, a := range s.accounts {
		newest = max(newest, a.LatestWallTime())
	}
	return newest
}

// giveBack returns the unused tokens before the process ends.
func (s *Service) giveBack() {
	ctx, cancel := context.WithTimeout(context.Background(), giveBackTimeout)
	defer cancel()
	s.mu.Lock()
	s.planner = prepaid.NewPlanner(prepaid.WithHorizon(0), prepaid.WithTolerance(0))
	for _, p := range s.purses {
		p.ClearUnmet()
		p.wanted = time.Time{}
	}
	s.mu.Unlock()
	var returned sync.WaitGroup
	for _, g := range s.grants {
		returned.Go(func() { g.giveBack(ctx) })
	}
	returned.Wait()
}

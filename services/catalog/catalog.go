// Package catalog maintains the current routing tables and the set of usable backend
// servers of a gateway. It reads them from the platform's store, and from other
// gateways while the store is unreachable.
package catalog

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/crocusline/crocusline/kernel"
	"github.com/crocusline/crocusline/models/balance"
	"github.com/crocusline/crocusline/models/evacuation"
	"github.com/crocusline/crocusline/models/notice"
	"github.com/crocusline/crocusline/models/record"
	"github.com/crocusline/crocusline/models/roster"
	"github.com/crocusline/crocusline/models/route"
	"github.com/crocusline/crocusline/modules/uptime"
	"github.com/crocusline/crocusline/services/follower"
)

// Name is the service's name.
const Name = "catalog"

// refreshInterval is how often servers that are no longer usable are removed from the
// balancers.
const refreshInterval = 250 * time.Millisecond

// Shares of the operators' bounds on how soon changes are in force. A read that gets no
// answer on a dead connection costs its poll timeout, the call timeout and a retry; a
// change of a server costs one read interval.
const (
	tablePollShare  = 0.3
	serverReadShare = 0.15
	// currentShare is the part of the bound of the tables in which they count as current
	// without a further read.
	currentShare = 0.75
)

// Codec decodes the records of the store.
type Codec interface {
	// Topics returns the names of the topics of the routing tables and of the servers.
	Topics() (tables, servers string)
	// Table decodes the record of the routing tables. It returns nil if the record has
	// another key.
	Table(r record.Record) (*route.Table, error)
	// Evacuation decodes the record of an evacuation, which the topic of the routing tables has too. It returns false
	// if the record has another key.
	Evacuation(r record.Record) (evacuation.Change, bool)
	// Server decodes the record of a server.
	Server(r record.Record) (roster.Server, error)
}

// Option configures a Service.
type Option func(*Service)

// WithFailureDomain sets the failure domain of the gateway.
func WithFailureDomain(domain string) Option { return func(s *Service) { s.domain = domain } }

// WithInstance sets the name of the gateway, which shares limits with others.
func WithInstance(name string) Option {
	return func(s *Service) { s.fleet = notice.NewFleet(name) }
}

// WithColdTolerance sets what all gateways together may send a cold server within any second beyond its
// limit.
func WithColdTolerance(over, slack float64) Option {
	return func(s *Service) { s.boardOptions = append(s.boardOptions, notice.WithColdTolerance(over, slack)) }
}

// WithSlowStart has servers start slowly that have started or recovered, or are cold or just warm.
func WithSlowStart() Option {
	return func(s *Service) { s.boardOptions = append(s.boardOptions, notice.WithSlowStart()) }
}

// WithHeartbeat sets the time between two heartbeats of a server.
func WithHeartbeat(d time.Duration) Option { return func(s *Service) { s.heartbeat = d } }

// WithClock sets the clock by which the age of the tables and of the list of servers is measured.
func WithClock(c *uptime.Clock) Option { return func(s *Service) { s.clock = c } }

// WithPeers sets the source of snapshots while the store is unreachable.
func WithPeers(p Peers) Option { return func(s *Service) { s.peers = p } }

// WithBounds sets the operators' bounds on how soon a change of the tables, and of a
// server, must be in force.
func WithBounds(tables, servers time.Duration) Option {
	return func(s *Service) { s.tableBound, s.serverBound = tables, servers }
}

// WithEvacuationBound sets the operators' bound on how soon the evacuation of a failure domain must be in force.
func WithEvacuationBound(d time.Duration) Option { return func(s *Service) { s.evacuationBound = d } }

// Service is the catalog.
type Service struct {
	log    hclog.Logger
	codec  Codec
	domain string
	peers  Peers
	// tableBound, serverBound and evacuationBound are how soon changes must be in force.
	tableBound      time.Duration
	serverBound     time.Duration
	evacuationBound time.Duration
	// heartbeat is the time between two heartbeats of a server.
	heartbeat time.Duration

	clock   *uptime.Clock
	tables  *follower.Follower
	servers *follower.Follower
	table   atomic.Pointer[route.Table]
	// tablesSlow is whether work has waited in vain for the response of the tables that arrives.
	tablesSlow atomic.Bool

	mu     sync.Mutex
	roster *roster.Roster
	// serversLoaded is set once a full list of the servers was read.
	serversLoaded bool
	serverRecords map[string]record.Record
	tableRecord   record.Record
	// peerCurrentAt is when the tables were those of a peer that knew them to be current, by the clock,
	// or nil.
	peerCurrentAt *time.Duration
	// position is how far the servers' topic was read, by this gateway or a peer.
	position  record.Position
	balancers map[string]*balance.Balancer
	// evacuations is what is known of evacuations, and evacuated the failure domains whose servers the balancers lack.
	evacuations *evacuation.State
	evacuated   []string
	// read is closed after the next read of the tables or the servers.
	read chan struct{}
	// board holds what servers announce, and onNotice is called after anything new.
	fleet        *notice.Fleet
	boardOptions []notice.Option
	board        *notice.Board
	onNotice     func()

	cancel  context.CancelFunc
	running sync.WaitGroup
}

// New returns a catalog that reads from the store.
func New(log hclog.Logger, store follower.Log, codec Codec, opts ...Option) *Service {
	s := &Service{
		log: log.Named(Name), codec: codec,
		serverRecords: map[string]record.Record{}, balancers: map[string]*balance.Balancer{},
		evacuations: evacuation.New(), onNotice: func() {}, clock: uptime.NewClock(), read: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(s)
	}
	s.board = notice.NewBoard(s.fleet, s.boardOptions...)
	s.roster = roster.New(roster.WithHeartbeat(s.heartbeat))
	tables, servers := codec.Topics()
	s.tables = follower.New(s.log, store, record.Partition{Topic: tables}, tableHandler{s}, follower.WithResyncOnError(), follower.WithClock(s.clock),
		follower.WithPace(func() follower.Pace {
			return follower.Pace{MinInterval: follower.DefaultMinInterval, PollTimeout: s.tablePollTimeout()}
		}))
	timed := &timedLog{log: store, clock: s.clock}
	s.servers = follower.New(s.log, timed, record.Partition{Topic: servers}, serverHandler{s: s, reads: timed}, follower.WithResyncOnError(), follower.WithClock(s.clock),
		follower.WithPace(func() follower.Pace {
			interval := max(follower.DefaultMinInterval, time.Duration(serverReadShare*float64(s.serverBound)))
			return follower.Pace{MinInterval: interval, PollTimeout: follower.DefaultPollTimeout}
		}))
	return s
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Start implements kernel.Service.
func (s *Service) Start(ctx context.Context, _ *kernel.Kernel) error {
	ctx, s.cancel = context.WithCancel(ctx)
	s.tables.Start(ctx)
	s.servers.Start(ctx)
	s.running.Go(func() { s.refreshPeriodically(ctx) })
	if s.peers != nil {
		s.running.Go(func() { s.pollPeers(ctx) })
	}
	return nil
}

// Close implements kernel.Service.
func (s *Service) Close() error {
	if s.cancel != nil {
		s.cancel()
	}
	s.running.Wait()
	if err := s.tables.Close(); err != nil {
		return err
	}
	return s.servers.Close()
}

// Table returns the current routing tables, or nil if none have been loaded.
func (s *Service) Table() *route.Table { return s.table.Load() }

// Age returns the time since the routing tables were known to be the newest ones.
func (s *Service) Age() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	age := s.tables.Age()
	if s.peerCurrentAt != nil {
		age = min(age, s.clock.Elapsed()-*s.peerCurrentAt)
	}
	return age
}

// Ready reports whether routing tables and servers have been loaded.
func (s *Service) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Load() != nil && s.serversLoaded
}

// WithBalancer calls f with the balancer of the pool. Calls are serialized.
func (s *Service) WithBalancer(pool string, f func(*balance.Balancer)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.balancer(pool))
}

func (s *Service) balancer(pool string) *balance.Balancer {
	b, exists := s.balancers[pool]
	if !exists {
		b = balance.New(balance.WithFailureDomain(s.domain), balance.WithBoard(s.board), balance.WithRand(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))))
		s.balancers[pool] = b
	}
	return b
}

// WithBoard calls f with what servers announce. Calls are serialized.
func (s *Service) WithBoard(f func(*notice.Board)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.board)
}

// ColdServers returns the number of servers that are cold and limited.
func (s *Service) ColdServers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.board.Cold(time.Now())
}

// StartingServers returns the number of servers with a slow start.
func (s *Service) StartingServers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.board.Starting(time.Now())
}

// OnNotice sets the function that is called after a server announced anything new.
func (s *Service) OnNotice(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onNotice = f
}

// RecordNotice records what a server announces about itself in a response, whether or not the store can be
// read, and reports whether that was new.
func (s *Service) RecordNotice(server roster.Server, r notice.Response) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	drains := r.Draining && s.roster.RecordDraining(server, now)
	if drains {
		s.refresh(now)
	}
	news := s.board.Record(now, server, r)
	if news {
		s.onNotice()
	}
	return drains || news
}

// Confirmed returns what shows that the process behind a connection that was opened at the given time is the listed
// start of the server.
func (s *Service) Confirmed(server roster.Server, openedAt time.Time) roster.Evidence {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.roster.Confirmed(server, openedAt)
}

// RecordStart records the start that a server named when it was asked, and reports whether it is that of the server as it was
// chosen.
func (s *Service) RecordStart(server roster.Server, askedAt time.Time, started int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.roster.RecordStart(server, askedAt, started)
}

// applyTable replaces the routing tables unless the version of the current ones is the
// same or newer. It reports whether the tables are now those of the record or newer ones.
func (s *Service) applyTable(r record.Record, source string) bool {
	table, err := s.codec.Table(r)
	if err != nil {
		s.log.Error("cannot decode routing tables", "offset", r.Offset, "source", source, "error", err)
		return false
	}
	if table == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if current := s.table.Load(); current != nil && current.Version >= table.Version {
		return true
	}
	s.table.Store(table)
	s.tableRecord = r
	s.refresh(time.Now())
	s.log.Info("tables adopted", "version", table.Version, "routes", len(table.Routes),
		"workspaces", len(table.Workspaces), "source", source)
	return true
}

// refreshPeriodically updates the balancers until the context ends, so that servers
// whose grace period has passed are removed.
func (s *Service) refreshPeriodically(ctx context.Context) {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.mu.Lock()
			s.refresh(time.Now())
			s.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

// refresh passes the usable servers of each pool to its balancer, other than those of evacuated failure domains.
func (s *Service) refresh(now time.Time) {
	byPool, evacuated := map[string][]roster.Server{}, map[string][]roster.Server{}
	s.updateEvacuated(now)
	usable := s.roster.Usable(s.listTime(now))
	table := s.table.Load()
	s.setListed(now, table, usable)
	for _, server := range usable {
		if slices.Contains(s.evacuated, server.FailureDomain) {
			evacuated[server.Pool] = append(evacuated[server.Pool], server)
			continue
		}
		byPool[server.Pool] = append(byPool[server.Pool], server)
	}
	if table != nil {
		// Entries may name pools that the tables don't have.
		for pool := range table.Pools {
			s.balancer(pool)
		}
	}
	for pool, b := range s.balancers {
		var memory int64
		if table != nil && table.Pools[pool].Engine != nil {
			memory = table.Pools[pool].Engine.Memory
		}
		b.SetServers(byPool[pool], memory)
		b.SetEvacuated(evacuated[pool])
	}
}

// setListed passes the listed servers to the board, and has heartbeats written once one becomes cold.
func (s *Service) setListed(now time.Time, table *route.Table, servers []roster.Server) {
	if table != nil {
		s.board.SetPools(table.Pools)
	}
	cold := s.board.SetListed(now, servers)
	for _, server := range cold {
		s.log.Info("server cold", "server", server.ID, "pool", server.Pool, "started", server.Started,
			"sequence", server.Sequence, "left", server.WarmUp, "limit", table.Pools[server.Pool].ColdLimit)
	}
	for _, e := range s.board.TakeEndedStarts() {
		s.log.Debug("slow start ended", "server", e.Server.ID, "pool", e.Server.Pool, "started", e.Server.Started,
			"took", e.Duration.Round(time.Millisecond), "held", e.Held, "late", e.Late)
	}
	if len(cold) > 0 {
		s.onNotice()
	}
}

// putServer applies a server's record. A record without a value, or one that cannot be
// decoded, removes the server.
func (s *Service) putServer(r record.Record, now time.Time) {
	if r.Value == nil {
		s.removeServer(r.Key, now)
		return
	}
	server, err := s.codec.Server(r)
	if err != nil {
		s.log.Warn("cannot decode server record", "server", r.Key, "offset", r.Offset, "error", err)
		s.removeServer(r.Key, now)
		return
	}
	if _, listed := s.serverRecords[r.Key]; !listed {
		s.log.Info("server listed", "server", server.ID, "pool", server.Pool, "address", server.Address, "version", server.Version,
			"started", server.Started, "draining", server.Draining, "offset", r.Offset)
	}
	s.serverRecords[r.Key] = r
	s.roster.Put(server, now)
}

// setServers replaces the list of servers by one that was read up to the position.
func (s *Service) setServers(records []record.Record, at record.Position, now time.Time) {
	listed := map[string]bool{}
	for _, r := range records {
		listed[r.Key] = true
		s.putServer(r, now)
	}
	for id := range s.serverRecords {
		if !listed[id] {
			s.removeServer(id, now)
		}
	}
	s.serversLoaded, s.position = true, at
	s.refresh(now)
}

func (s *Service) removeServer(id string, now time.Time) {
	if _, listed := s.serverRecords[id]; !listed {
		return
	}
	s.log.Info("server no longer listed", "server", id)
	delete(s.serverRecords, id)
	s.roster.Remove(id, now)
}

// tableHandler applies the records of the routing tables' topic.
type tableHandler struct{ s *Service }

// Reset implements follower.Handler. Evacuations come first: a process that starts serves no request by
// tables before it knows them.
func (h tableHandler) Reset(records []record.Record, next int64) {
	h.s.resetEvacuations(records, next)
	h.applyTables(records)
}

// Apply implements follower.Handler.
func (h tableHandler) Apply(records []record.Record, next int64) {
	h.s.applyEvacuations(records, next)
	h.applyTables(records)
}

func (h tableHandler) applyTables(records []record.Record) {
	for _, r := range records {
		if r.Value != nil {
			h.s.applyTable(r, "store")
		}
	}
}

// SetReachable implements follower.Handler.
func (h tableHandler) SetReachable(bool) {
	h.s.mu.Lock()
	defer h.s.mu.Unlock()
	h.s.tablesSlow.Store(false)
	h.s.notifyRead()
}

// Package catalog holds what an entry serves by: the tables in force and the
// backend servers in use. It follows the platform's store, and asks peers while
// the store can't be read.
package catalog

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/crocusline/crocusline/kernel"
	"github.com/crocusline/crocusline/models/balance"
	"github.com/crocusline/crocusline/models/record"
	"github.com/crocusline/crocusline/models/roster"
	"github.com/crocusline/crocusline/models/route"
	"github.com/crocusline/crocusline/services/follower"
)

// Name is the service's name.
const Name = "catalog"

// refreshInterval is how often lapsed servers are looked for.
const refreshInterval = 250 * time.Millisecond

// Codec decodes the records of the store.
type Codec interface {
	// Topics are the names of the topics with the tables and with the servers.
	Topics() (tables, servers string)
	// Table decodes the record of the tables; it returns nil for another key.
	Table(r record.Record) (*route.Table, error)
	// Server decodes the record of a server.
	Server(r record.Record) (roster.Server, error)
}

// Option changes a Service at construction.
type Option func(*Service)

// WithFailureDomain sets where the entry is.
func WithFailureDomain(domain string) Option { return func(s *Service) { s.domain = domain } }

// WithPeers sets a source that is asked while the store can't be read.
func WithPeers(p Peers) Option { return func(s *Service) { s.peers = p } }

// Service is the catalog.
type Service struct {
	log     hclog.Logger
	codec   Codec
	domain  string
	peers   Peers
	tables  *follower.Follower
	servers *follower.Follower
	table   atomic.Pointer[route.Table]

	mu        sync.Mutex
	roster    *roster.Roster
	listed    bool
	raw       map[string]record.Record
	config    record.Record
	next      int64
	balancers map[string]*balance.Balancer

	cancel context.CancelFunc
	done   sync.WaitGroup
}

// New returns a catalog that follows the store.
func New(log hclog.Logger, from follower.Log, codec Codec, opts ...Option) *Service {
	s := &Service{
		log: log.Named(Name), codec: codec, roster: roster.New(),
		raw: map[string]record.Record{}, balancers: map[string]*balance.Balancer{},
	}
	for _, opt := range opts {
		opt(s)
	}
	tables, servers := codec.Topics()
	s.tables = follower.New(s.log, from, record.Partition{Topic: tables}, tableHandler{s}, follower.WithResyncOnError())
	s.servers = follower.New(s.log, from, record.Partition{Topic: servers}, serverHandler{s}, follower.WithResyncOnError())
	return s
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Start implements kernel.Service.
func (s *Service) Start(ctx context.Context, _ *kernel.Kernel) error {
	ctx, s.cancel = context.WithCancel(ctx)
	s.tables.Start(ctx)
	s.servers.Start(ctx)
	s.done.Go(func() { s.refreshAll(ctx) })
	if s.peers != nil {
		s.done.Go(func() { s.askPeers(ctx) })
	}
	return nil
}

// Close implements kernel.Service.
func (s *Service) Close() error {
	if s.cancel != nil {
		s.cancel()
	}
	s.done.Wait()
	if err := s.tables.Close(); err != nil {
		return err
	}
	return s.servers.Close()
}

// Table returns the tables in force, or nil before the first.
func (s *Service) Table() *route.Table { return s.table.Load() }

// Age is the time since the tables were last compared with the store's.
func (s *Service) Age() time.Duration { return s.tables.Age() }

// Ready says whether tables and servers are known.
func (s *Service) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Load() != nil && s.listed
}

// WithBalancer calls f with the balancer of the pool. Calls exclude each other.
func (s *Service) WithBalancer(pool string, f func(*balance.Balancer)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.balancer(pool))
}

func (s *Service) balancer(pool string) *balance.Balancer {
	b, known := s.balancers[pool]
	if !known {
		b = balance.New(balance.WithFailureDomain(s.domain), balance.WithRand(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))))
		s.balancers[pool] = b
	}
	return b
}

// adopt puts tables in force unless newer ones are.
func (s *Service) adopt(r record.Record, source string) {
	table, err := s.codec.Table(r)
	if err != nil {
		s.log.Error("tables not readable", "offset", r.Offset, "source", source, "error", err)
		return
	}
	if table == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.table.Load(); old != nil && old.Version >= table.Version {
		return
	}
	s.table.Store(table)
	s.config = r
	s.refresh(time.Now())
	s.log.Info("tables adopted", "version", table.Version, "routes", len(table.Routes),
		"workspaces", len(table.Workspaces), "source", source)
}

// refreshAll drops lapsed servers in time.
func (s *Service) refreshAll(ctx context.Context) {
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

// refresh gives each pool its servers.
func (s *Service) refresh(now time.Time) {
	byPool := map[string][]roster.Server{}
	for _, server := range s.roster.Usable(now) {
		byPool[server.Pool] = append(byPool[server.Pool], server)
	}
	for pool := range byPool {
		s.balancer(pool)
	}
	table := s.table.Load()
	for pool, b := range s.balancers {
		var memory int64
		if table != nil && table.Pools[pool].Engine != nil {
			memory = table.Pools[pool].Engine.Memory
		}
		b.SetServers(byPool[pool], memory)
	}
}

// putServer takes a server's record.
func (s *Service) putServer(r record.Record, now time.Time) {
	if r.Value == nil {
		s.removeServer(r.Key, now)
		return
	}
	server, err := s.codec.Server(r)
	if err != nil {
		s.log.Warn("server not readable", "server", r.Key, "offset", r.Offset, "error", err)
		s.removeServer(r.Key, now)
		return
	}
	if _, known := s.raw[r.Key]; !known {
		s.log.Info("server listed", "server", server.ID, "pool", server.Pool, "address", server.Address,
			"draining", server.Draining, "offset", r.Offset)
	}
	s.raw[r.Key] = r
	s.roster.Put(server)
}

func (s *Service) removeServer(id string, now time.Time) {
	if _, known := s.raw[id]; !known {
		return
	}
	s.log.Info("server not listed any more", "server", id)
	delete(s.raw, id)
	s.roster.Remove(id, now)
}

// tableHandler takes the records of the tables.
type tableHandler struct{ s *Service }

// Reset implements follower.Handler.
func (h tableHandler) Reset(records []record.Record, next int64) { h.Apply(records, next) }

// Apply implements follower.Handler.
func (h tableHandler) Apply(records []record.Record, _ int64) {
	for _, r := range records {
		if r.Value != nil {
			h.s.adopt(r, "store")
		}
	}
}

// SetReachable implements follower.Handler.
func (tableHandler) SetReachable(bool) {}

// serverHandler takes the records of the servers.
type serverHandler struct{ s *Service }

// Reset implements follower.Handler.
func (h serverHandler) Reset(records []record.Record, next int64) {
	s, now := h.s, time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roster.ListAvailable(now)
	listed := map[string]bool{}
	for _, r := range records {
		listed[r.Key] = true
		s.putServer(r, now)
	}
	for id := range s.raw {
		if !listed[id] {
			s.removeServer(id, now)
		}
	}
	s.listed, s.next = true, next
	s.refresh(now)
}

// Apply implements follower.Handler.
func (h serverHandler) Apply(records []record.Record, next int64) {
	s, now := h.s, time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roster.ListAvailable(now)
	for _, r := range records {
		s.putServer(r, now)
	}
	s.next = max(s.next, next)
	s.refresh(now)
}

// SetReachable implements follower.Handler.
func (h serverHandler) SetReachable(ok bool) {
	h.s.mu.Lock()
	defer h.s.mu.Unlock()
	if ok {
		h.s.roster.ListAvailable(time.Now())
		return
	}
	h.s.roster.ListUnavailable()
}

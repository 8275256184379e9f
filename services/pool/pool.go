// Package pool tracks the backend servers of each pool on an entry instance: which
// sidecar serves each server, and in which order the servers are tried.
package pool

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/hashicorp/go-hclog"

	"github.com/crocusline/crocusline/kernel"
	"github.com/crocusline/crocusline/models/fleet"
	"github.com/crocusline/crocusline/models/placement"
	"github.com/crocusline/crocusline/models/queue"
	"github.com/crocusline/crocusline/models/rank"
	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/modules/peer"
	commonv1 "github.com/crocusline/crocusline/modules/wire/common/v1"
	peerv1 "github.com/crocusline/crocusline/modules/wire/peer/v1"
	"github.com/crocusline/crocusline/modules/wire/peer/v1/peerv1connect"
	"github.com/crocusline/crocusline/services/dispatch"
)

// Name is the service's name.
const Name = "pool"

const (
	// probeBacklog is the maximum number of probes that wait to be sent.
	probeBacklog = 64
	// probeTimeout is the timeout of a probe.
	probeTimeout = time.Second
)

// Control is the part of the control stream that the service uses.
type Control interface {
	State() *fleet.State
	// Subscribe calls f with each new state, in order.
	Subscribe(f func(*fleet.State))
}

// Service orders servers and looks up their sidecars. It implements
// dispatch.ServerSelector and dispatch.Directory.
type Service struct {
	log     hclog.Logger
	control Control
	client  *http.Client
	options []placement.Option
	probes  chan probe
	wg      sync.WaitGroup
	cancel  context.CancelFunc

	mu       sync.Mutex
	pools    map[string]*placement.Selector
	sidecars map[string]dispatch.Sidecar
	clients  map[netip.AddrPort]peerv1connect.SidecarServiceClient
}

type probe struct {
	pool   string
	server string
}

// New returns a service that passes the options to the placement.Selector of each
// pool.
func New(log hclog.Logger, c Control, client *http.Client, opts ...placement.Option) *Service {
	return &Service{
		log:      log.Named(Name),
		control:  c,
		client:   client,
		options:  opts,
		probes:   make(chan probe, probeBacklog),
		pools:    map[string]*placement.Selector{},
		sidecars: map[string]dispatch.Sidecar{},
		clients:  map[netip.AddrPort]peerv1connect.SidecarServiceClient{},
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Start implements kernel.Service.
func (s *Service) Start(ctx context.Context, _ *kernel.Kernel) error {
	ctx, s.cancel = context.WithCancel(ctx)
	s.update(s.control.State())
	s.control.Subscribe(s.update)
	s.wg.Go(func() { s.runProbes(ctx) })
	return nil
}

// Close implements kernel.Service.
func (s *Service) Close() error {
	s.cancel()
	s.wg.Wait()
	return nil
}

// Sidecar implements dispatch.Directory.
func (s *Service) Sidecar(server string) (dispatch.Sidecar, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sidecar, ok := s.sidecars[server]
	return sidecar, ok
}

// Choose implements dispatch.ServerSelector.
func (s *Service) Choose(pool string, r placement.Request) ([]string, error) {
	s.mu.Lock()
	p, ok := s.pools[pool]
	if !ok {
		s.mu.Unlock()
		return nil, refusal.New(refusal.NoServer, time.Second, "the pool "+pool+" is not in the tables in force")
	}
	candidates, err := p.Choose(time.Now(), r)
	s.mu.Unlock()
	for _, server := range candidates.Probe {
		s.enqueueProbe(probe{pool: pool, server: server})
	}
	return candidates.Servers, err
}

// ObserveLoad implements dispatch.ServerSelector.
func (s *Service) ObserveLoad(pool, server string, load *commonv1.Load) {
	if load == nil {
		return
	}
	s.withSelector(pool, func(p *placement.Selector, now time.Time) { p.ObserveLoad(now, server, loadFrom(load)) })
}

// RecordFailure implements dispatch.ServerSelector.
func (s *Service) RecordFailure(pool, server string) {
	s.withSelector(pool, func(p *placement.Selector, now time.Time) { p.RecordFailure(now, server) })
}

// RecordSuccess implements dispatch.ServerSelector.
func (s *Service) RecordSuccess(pool, server string) {
	s.withSelector(pool, func(p *placement.Selector, now time.Time) { p.RecordSuccess(now, server) })
}

func (s *Service) withSelector(pool string, f func(*placement.Selector, time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, ok := s.pools[pool]; ok {
		f(p, time.Now())
	}
}

// update applies the current tables and members.
func (s *Service) update(state *fleet.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateSidecars(state)
	pools := map[string]*placement.Selector{}
	for name, pool := range state.Tables.Pools {
		p, ok := s.pools[name]
		if !ok {
			p = placement.New(s.placementOptions()...)
		}
		p.SetServers(servers(state, pool.Servers))
		pools[name] = p
	}
	s.pools = pools
}

func (s *Service) placementOptions() []placement.Option {
	seeded := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return append([]placement.Option{placement.WithRand(seeded)}, s.options...)
}

func (s *Service) updateSidecars(state *fleet.State) {
	s.sidecars = map[string]dispatch.Sidecar{}
	for _, m := range state.Members {
		if m.Role != fleet.Sidecar {
			continue
		}
		client, ok := s.clients[m.Address]
		if !ok {
			// The size of a compressed message doesn't tell how much memory it needs.
			client = peerv1connect.NewSidecarServiceClient(s.client, peer.URL(m.Address), connect.WithAcceptCompression("gzip", nil, nil))
			s.clients[m.Address] = client
		}
		s.sidecars[m.Server] = dispatch.Sidecar{Server: m.Server, Incarnation: m.Incarnation, Client: client}
	}
}

// servers returns the pool's servers that may be tried: those with a sidecar and
// without a planned stop.
func servers(state *fleet.State, names []string) []placement.Server {
	var list []placement.Server
	for _, name := range names {
		m, ok := state.SidecarFor(name)
		if !ok || state.Tables.HasPlannedStop(name) {
			continue
		}
		list = append(list, placement.Server{Name: name, FailureDomain: m.FailureDomain, Region: m.Region})
	}
	return list
}

func (s *Service) enqueueProbe(p probe) {
	select {
	case s.probes <- p:
	default:
		// The selector requests the probe again after its backoff.
	}
}

// runProbes sends the queued probes to failed servers.
func (s *Service) runProbes(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-s.probes:
			s.probe(ctx, p)
		}
	}
}

func (s *Service) probe(ctx context.Context, p probe) {
	sidecar, ok := s.Sidecar(p.server)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	resp, err := sidecar.Client.Probe(ctx, connect.NewRequest(&peerv1.ProbeRequest{}))
	if err != nil {
		s.RecordFailure(p.pool, p.server)
		return
	}
	s.RecordSuccess(p.pool, p.server)
	s.ObserveLoad(p.pool, p.server, resp.Msg.GetLoad())
}

func loadFrom(m *commonv1.Load) queue.Load {
	load := queue.Load{
		Running:  int(m.GetRunning()),
		Slots:    int(m.GetSlots()),
		Draining: m.GetDraining(),
	}
	for i := range rank.Count {
		if i < len(m.GetQueued()) {
			load.Queued[i] = int(m.GetQueued()[i])
		}
		if i < len(m.GetAhead()) {
			load.Ahead[i] = int(m.GetAhead()[i])
		}
		if i < len(m.GetWait()) {
			load.Wait[i] = m.GetWait()[i].AsDuration()
		}
	}
	return load
}

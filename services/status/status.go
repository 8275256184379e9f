// Package status gathers what operators ask about: the state of this process
// and, from the other members, that of the fleet.
package status

import (
	"context"
	"net/netip"
	"slices"
	"strings"
	"time"

	commonv1 "github.com/crocusline/crocusline/modules/wire/common/v1"
	operatorv1 "github.com/crocusline/crocusline/modules/wire/operator/v1"

	"github.com/crocusline/crocusline/kernel"
	"github.com/crocusline/crocusline/models/fleet"
	"github.com/crocusline/crocusline/models/ledger"
)

// Name is the service's name in the kernel.
const Name = "status"

const (
	defaultParallel = 64
	defaultTimeout  = time.Second
)

// Control is what the service needs of the control stream.
type Control interface {
	State() *fleet.State
	Member() fleet.Member
	// Ready says whether this process has tables and may still use them.
	Ready() bool
	// LogReachable reports whether the last read of the log succeeded.
	LogReachable() bool
}

// Ledger is what the service needs of the ledger.
type Ledger interface {
	// Budgets returns the budgets of all shards, sorted by workspace.
	Budgets(ctx context.Context) ([]ledger.Budget, error)
}

// PeerClient asks other members for their state.
type PeerClient interface {
	Status(ctx context.Context, address netip.AddrPort) (*operatorv1.StatusResponse, error)
}

// Service gathers status. It is a kernel.Service.
type Service struct {
	control  Control
	ledger   Ledger
	peers    PeerClient
	load     func() *commonv1.Load
	waitsFor func() []string
	shards   func() []int
	checks   []check
	parallel int
	timeout  time.Duration
}

// check is something that has to hold before the process is ready.
type check struct {
	name string
	run  func() error
}

// Option changes a new Service.
type Option func(*Service)

// WithLedger makes the fleet's status show budgets.
func WithLedger(l Ledger) Option { return func(s *Service) { s.ledger = l } }

// WithPeerClient makes the fleet's status show the other members.
func WithPeerClient(p PeerClient) Option { return func(s *Service) { s.peers = p } }

// WithLoad makes the status show the load of the backend server.
func WithLoad(load func() *commonv1.Load) Option { return func(s *Service) { s.load = load } }

// WithWaitsFor makes the status show what a drain waits for, one line each.
func WithWaitsFor(waitsFor func() []string) Option {
	return func(s *Service) { s.waitsFor = waitsFor }
}

// WithShards makes the status show the ledger shards that this process owns.
func WithShards(owned func() []int) Option { return func(s *Service) { s.shards = owned } }

// WithCheck makes readiness depend on a check, whose error says what is missing.
func WithCheck(name string, run func() error) Option {
	return func(s *Service) { s.checks = append(s.checks, check{name: name, run: run}) }
}

// WithPollTimeout sets how long a member may take to answer.
func WithPollTimeout(d time.Duration) Option { return func(s *Service) { s.timeout = d } }

// WithMaxConcurrentPolls sets how many members are asked at once.
func WithMaxConcurrentPolls(n int) Option { return func(s *Service) { s.parallel = n } }

// New returns the service.
func New(control Control, opts ...Option) *Service {
	s := &Service{control: control, parallel: defaultParallel, timeout: defaultTimeout}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Start implements kernel.Service.
func (s *Service) Start(context.Context, *kernel.Kernel) error { return nil }

// Close implements kernel.Service.
func (s *Service) Close() error { return nil }

// NotReady returns what keeps this process from being ready, one line each.
func (s *Service) NotReady() []string {
	var missing []string
	if !s.control.Ready() {
		missing = append(missing, s.withoutTables())
	}
	for _, c := range s.checks {
		if err := c.run(); err != nil {
			missing = append(missing, c.name+": "+err.Error())
		}
	}
	return missing
}

func (s *Service) withoutTables() string {
	if s.control.State().HasEnded(s.control.Member().Incarnation) {
		return "control: this incarnation was replaced or fenced; restart the process"
	}
	return "control: no tables yet; publish tables, or wait for the log or a peer"
}

// Status returns the state of this process.
func (s *Service) Status() *operatorv1.StatusResponse {
	m := s.control.Member()
	missing := s.NotReady()
	status := &operatorv1.StatusResponse{
		Name:          m.Name,
		Role:          m.Role.String(),
		Incarnation:   m.Incarnation,
		Region:        m.Region,
		FailureDomain: m.FailureDomain,
		Address:       m.Address.String(),
		Server:        m.Server,
		TableVersion:  s.control.State().Version(),
		Ready:         len(missing) == 0,
		NotReady:      missing,
		LogReachable:  s.control.LogReachable(),
	}
	if s.load != nil {
		status.Load = s.load()
	}
	if s.waitsFor != nil {
		status.WaitsFor = s.waitsFor()
	}
	if s.shards != nil {
		for _, shard := range s.shards() {
			status.OwnedShards = append(status.OwnedShards, int32(shard))
		}
	}
	return status
}

func byName(a, b *operatorv1.StatusResponse) int {
	if order := strings.Compare(a.GetRole(), b.GetRole()); order != 0 {
		return order
	}
	return strings.Compare(a.GetName(), b.GetName())
}

// sortedMembers returns the other members in the order of their names.
func (s *Service) sortedMembers() []fleet.Member {
	own := s.control.Member().Incarnation
	var others []fleet.Member
	for incarnation, m := range s.control.State().Members {
		if incarnation != own {
			others = append(others, m)
		}
	}
	slices.SortFunc(others, func(a, b fleet.Member) int { return strings.Compare(a.Incarnation, b.Incarnation) })
	return others
}

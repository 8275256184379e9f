// Package status provides operators with the status of this process and of the
// fleet. It polls the other members for theirs.
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
	defaultMaxConcurrentPolls = 64
	defaultTimeout            = time.Second
)

// Control provides the fleet's state and this process's membership.
type Control interface {
	State() *fleet.State
	Member() fleet.Member
	// Ready reports whether this process has tables and has not been replaced or
	// fenced.
	Ready() bool
	// LogReachable reports whether the last read of the log succeeded.
	LogReachable() bool
}

// Ledger provides the budgets.
type Ledger interface {
	// Budgets returns the budgets of all shards, sorted by workspace.
	Budgets(ctx context.Context) ([]ledger.Budget, error)
}

// PeerClient requests the status of other members.
type PeerClient interface {
	Status(ctx context.Context, address netip.AddrPort) (*operatorv1.StatusResponse, error)
}

// Service collects status. It is a kernel.Service.
type Service struct {
	control  Control
	ledger   Ledger
	peers    PeerClient
	load     func() *commonv1.Load
	waitsFor func() []string
	shards   func() []int
	checks   []check
	maxPolls int
	timeout  time.Duration
}

// check is a readiness check of this process.
type check struct {
	name string
	run  func() error
}

// Option configures a Service.
type Option func(*Service)

// WithLedger includes budgets in the fleet's status.
func WithLedger(l Ledger) Option { return func(s *Service) { s.ledger = l } }

// WithPeerClient includes the other members in the fleet's status.
func WithPeerClient(p PeerClient) Option { return func(s *Service) { s.peers = p } }

// WithLoad includes the backend server's load in the status.
func WithLoad(load func() *commonv1.Load) Option { return func(s *Service) { s.load = load } }

// WithWaitsFor includes the remaining work of a drain in the status. The function
// returns one line for each kind of work.
func WithWaitsFor(waitsFor func() []string) Option {
	return func(s *Service) { s.waitsFor = waitsFor }
}

// WithShards includes the ledger shards that this process owns in the status.
func WithShards(owned func() []int) Option { return func(s *Service) { s.shards = owned } }

// WithCheck adds a readiness check. The process is not ready while the check
// returns an error, which is included in the status.
func WithCheck(name string, run func() error) Option {
	return func(s *Service) { s.checks = append(s.checks, check{name: name, run: run}) }
}

// WithTimeout sets the timeout of one poll of a member and of the read of the
// budgets.
func WithTimeout(d time.Duration) Option { return func(s *Service) { s.timeout = d } }

// WithMaxConcurrentPolls sets the maximum number of members polled at the same time.
func WithMaxConcurrentPolls(n int) Option { return func(s *Service) { s.maxPolls = n } }

// New returns the service.
func New(control Control, opts ...Option) *Service {
	s := &Service{control: control, maxPolls: defaultMaxConcurrentPolls, timeout: defaultTimeout}
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

// NotReady returns the reasons why this process is not ready, one line each. It is
// empty if the process is ready.
func (s *Service) NotReady() []string {
	var reasons []string
	if !s.control.Ready() {
		reasons = append(reasons, s.controlNotReady())
	}
	for _, c := range s.checks {
		if err := c.run(); err != nil {
			reasons = append(reasons, c.name+": "+err.Error())
		}
	}
	return reasons
}

// controlNotReady returns the reason why the control service is not ready.
func (s *Service) controlNotReady() string {
	if s.control.State().HasEnded(s.control.Member().Incarnation) {
		return "control: this incarnation was replaced or fenced; restart the process"
	}
	return "control: no tables yet; publish tables, or wait for the log or a peer"
}

// Status returns the status of this process.
func (s *Service) Status() *operatorv1.StatusResponse {
	m := s.control.Member()
	notReady := s.NotReady()
	status := &operatorv1.StatusResponse{
		Name:          m.Name,
		Role:          m.Role.String(),
		Incarnation:   m.Incarnation,
		Region:        m.Region,
		FailureDomain: m.FailureDomain,
		Address:       m.Address.String(),
		Server:        m.Server,
		TableVersion:  s.control.State().Version(),
		Ready:         len(notReady) == 0,
		NotReady:      notReady,
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

// compareInstances orders instances by role and name.
func compareInstances(a, b *operatorv1.StatusResponse) int {
	if c := strings.Compare(a.GetRole(), b.GetRole()); c != 0 {
		return c
	}
	return strings.Compare(a.GetName(), b.GetName())
}

// otherMembers returns the other members, ordered by incarnation.
func (s *Service) otherMembers() []fleet.Member {
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

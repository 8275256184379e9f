// Package membership fences members of the fleet whose processes ended without
// publishing a Retire event and whose names no newer incarnation has registered. It
// compares the members with the platform's list of instances.
package membership

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"

	"github.com/crocusline/crocusline/kernel"
	"github.com/crocusline/crocusline/models/fleet"
	"github.com/crocusline/crocusline/modules/platform"
)

// Name is the service's name in the kernel.
const Name = "membership"

const (
	defaultInterval = 30 * time.Second
	// absentIntervals is the number of intervals that a member must be absent from
	// the list before it is fenced.
	absentIntervals = 5
	// requestTimeout is the timeout of one read of the list and of one probe.
	requestTimeout = 3 * time.Second
	// publishTimeout is the timeout for publishing one fence event.
	publishTimeout = 10 * time.Second
	// maxFencedPerCheck is the maximum number of members fenced in one check.
	maxFencedPerCheck = 32
)

var (
	membersFenced = metrics.NewCounter("crocusline_membership_fenced_total")
	listErrors    = metrics.NewCounter("crocusline_membership_list_errors_total")
)

// Control is the part of the control stream that the service uses.
type Control interface {
	State() *fleet.State
	Member() fleet.Member
	// IsCoordinator reports whether this process is the fleet's current coordinator.
	// Only the coordinator fences members.
	IsCoordinator() bool
	Publish(ctx context.Context, event fleet.Event) (fleet.Result, error)
}

// Lister reads the platform's list of instances.
type Lister interface {
	Instances(ctx context.Context) ([]platform.Instance, error)
}

// Prober checks whether a member is running.
type Prober interface {
	// Alive reports whether the process at the member's address responds and is the
	// same incarnation.
	Alive(ctx context.Context, m fleet.Member) bool
}

// Service periodically compares the members with the platform's list. It is a
// kernel.Service.
type Service struct {
	log      hclog.Logger
	control  Control
	lister   Lister
	prober   Prober
	interval time.Duration
	absence  *fleet.AbsenceTracker
	cancel   context.CancelFunc
	done     sync.WaitGroup
}

// Option configures a Service.
type Option func(*Service)

// WithInterval sets the time between two reads of the list.
func WithInterval(d time.Duration) Option { return func(s *Service) { s.interval = d } }

// New returns the service.
func New(log hclog.Logger, control Control, lister Lister, prober Prober, opts ...Option) *Service {
	s := &Service{log: log.Named(Name), control: control, lister: lister, prober: prober, interval: defaultInterval}
	for _, opt := range opts {
		opt(s)
	}
	s.absence = fleet.NewAbsenceTracker(absentIntervals * s.interval)
	return s
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Start implements kernel.Service.
func (s *Service) Start(ctx context.Context, _ *kernel.Kernel) error {
	ctx, s.cancel = context.WithCancel(ctx)
	s.done.Go(func() { s.run(ctx) })
	return nil
}

// Close implements kernel.Service.
func (s *Service) Close() error {
	if s.cancel != nil {
		s.cancel()
	}
	s.done.Wait()
	return nil
}

func (s *Service) run(ctx context.Context) {
	ticker := time.NewTicker(s.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.check(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// check reads the list once and fences overdue members. An empty list is ignored,
// because it does not prove that any member has ended.
func (s *Service) check(ctx context.Context) {
	listCtx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	list, err := s.lister.Instances(listCtx)
	if err != nil {
		listErrors.Inc()
		s.log.Debug("instance list not read", "error", err)
		return
	}
	if len(list) == 0 {
		return
	}
	listed := map[string]bool{s.control.Member().Name: true}
	for _, instance := range list {
		listed[instance.Name] = true
	}
	overdue := s.absence.Observe(time.Now(), listed, s.control.State().Members)
	if !s.control.IsCoordinator() {
		return
	}
	for _, m := range overdue[:min(len(overdue), maxFencedPerCheck)] {
		s.fenceIfDown(ctx, m)
	}
}

// fenceIfDown fences a member unless it responds to a probe.
func (s *Service) fenceIfDown(ctx context.Context, m fleet.Member) {
	probeCtx, cancelProbe := context.WithTimeout(ctx, requestTimeout)
	defer cancelProbe()
	if s.prober.Alive(probeCtx, m) {
		return
	}
	publishCtx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	event := fleet.Fence{Incarnation: m.Incarnation, By: s.control.Member().Incarnation}
	if _, err := s.control.Publish(publishCtx, event); err != nil {
		s.log.Warn("absent member not fenced", "incarnation", m.Incarnation, "error", err)
		return
	}
	membersFenced.Inc()
	s.log.Info("absent member fenced", "incarnation", m.Incarnation, "address", m.Address)
}

// Package membership takes members off the fleet's list whose processes ended
// without saying so and whose names nobody has taken over.
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
	// absentIntervals is how many intervals the list has to leave a member out.
	absentIntervals = 5
	// probeTimeout is how long a member may take to show that it lives.
	probeTimeout = 3 * time.Second
	// publishTimeout bounds one change of the list of members.
	publishTimeout = 10 * time.Second
	// perRound bounds the members that one round takes off.
	perRound = 32
)

var (
	membersFenced = metrics.NewCounter("crocusline_membership_fenced_total")
	listErrors    = metrics.NewCounter("crocusline_membership_list_errors_total")
)

// Control is what the service needs of the control stream.
type Control interface {
	State() *fleet.State
	Member() fleet.Member
	// IsCoordinator says whether it is this process's turn to look after what the fleet
	// shares.
	IsCoordinator() bool
	Publish(ctx context.Context, event fleet.Event) (fleet.Result, error)
}

// Lister reads the platform's list of instances.
type Lister interface {
	Instances(ctx context.Context) ([]platform.Instance, error)
}

// Prober finds out whether a member lives.
type Prober interface {
	// Alive says whether the incarnation itself answers.
	Alive(ctx context.Context, m fleet.Member) bool
}

// Service compares the members with the platform's list. It is a
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

// Option changes a new Service.
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
	s.done.Go(func() { s.watch(ctx) })
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

func (s *Service) watch(ctx context.Context) {
	ticker := time.NewTicker(s.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.round(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// round looks at the list once. An empty list says nothing about anybody.
func (s *Service) round(ctx context.Context) {
	listCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	list, err := s.lister.Instances(listCtx)
	if err != nil {
		listErrors.Inc()
		s.log.Debug("list of instances not read", "error", err)
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
	for _, m := range overdue[:min(len(overdue), perRound)] {
		s.takeOff(ctx, m)
	}
}

// takeOff fences a member unless it answers.
func (s *Service) takeOff(ctx context.Context, m fleet.Member) {
	probeCtx, cancelProbe := context.WithTimeout(ctx, probeTimeout)
	defer cancelProbe()
	if s.prober.Alive(probeCtx, m) {
		return
	}
	publishCtx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	event := fleet.Fence{Incarnation: m.Incarnation, By: s.control.Member().Incarnation}
	if _, err := s.control.Publish(publishCtx, event); err != nil {
		s.log.Warn("absent member not taken off", "incarnation", m.Incarnation, "error", err)
		return
	}
	membersFenced.Inc()
	s.log.Info("absent member taken off", "incarnation", m.Incarnation, "address", m.Address)
}

// Package control keeps this process's copy of the fleet's state: it folds the
// control stream, asks peers while the log is away, and publishes changes.
package control

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/crocusline/crocusline/coordination/fence"
	"github.com/crocusline/crocusline/kernel"
	"github.com/crocusline/crocusline/models/fleet"
	"github.com/crocusline/crocusline/modules/platform"
	"github.com/crocusline/crocusline/services/stream"
)

// Name is the service's name in the kernel.
const Name = "control"

// StreamName is the name of the control stream.
const StreamName = "control"

// retireTimeout bounds how long Close waits for the log.
const retireTimeout = time.Second

// Service keeps the fleet's state. It is a kernel.Service.
type Service struct {
	log    hclog.Logger
	member fleet.Member
	stream *stream.Stream
	fold   *fold

	observes bool
	source   PeerClient
	seeds    []netip.AddrPort
	interval time.Duration
	schedule fence.Schedule
	limiter  *rate.Limiter
	pace     time.Duration
	counters counters

	state      atomic.Pointer[fleet.State]
	registered atomic.Bool
	cancel     context.CancelFunc
	done       sync.WaitGroup

	mu          sync.Mutex
	subscribers []*subscriber
	// changed is closed and replaced when subscribers have something to see.
	changed chan struct{}
}

// subscriber is called with each newer state.
type subscriber struct {
	call func(*fleet.State)
	// seen is the last state that the subscriber was called with.
	seen *fleet.State
}

// Option changes a new Service.
type Option func(*Service)

// WithPeers makes the service ask peers for the state while it can't read the
// log: the seeds and the members it knows.
func WithPeers(source PeerClient, seeds ...netip.AddrPort) Option {
	return func(s *Service) { s.source, s.seeds = source, seeds }
}

// AsObserver keeps the process out of the list of members: it is neither
// registered nor writes checkpoints. It may publish.
func AsObserver() Option {
	return func(s *Service) { s.observes = true }
}

// WithPeerPollInterval sets the time between two questions to peers.
func WithPeerPollInterval(d time.Duration) Option {
	return func(s *Service) { s.pace = d }
}

// WithSchedule sets when checkpoints of the control stream are due.
func WithSchedule(schedule fence.Schedule) Option {
	return func(s *Service) { s.schedule = schedule }
}

// WithAppendInterval sets the least time between two appends.
func WithAppendInterval(d time.Duration) Option {
	return func(s *Service) { s.interval = d }
}

// WithLimiter sets a limit on appends that streams of one process share.
func WithLimiter(l *rate.Limiter) Option {
	return func(s *Service) { s.limiter = l }
}

// New returns the service of the process that member describes.
func New(log hclog.Logger, plog platform.Log, member fleet.Member, opts ...Option) *Service {
	s := &Service{
		log:      log.Named(Name),
		member:   member,
		fold:     newFold(),
		interval: stream.DefaultInterval,
		schedule: stream.DefaultSchedule,
		limiter:  rate.NewLimiter(rate.Inf, 1),
		pace:     defaultAskInterval,
		counters: newCounters(),
		changed:  make(chan struct{}),
	}
	s.state.Store(fleet.New())
	for _, opt := range opts {
		opt(s)
	}
	s.stream = stream.New(StreamName, member.Incarnation, plog, s.fold,
		stream.WithInterval(s.interval),
		stream.WithLimiter(s.limiter),
		stream.WithLogger(s.log),
		stream.WithCheckpoints(s.schedule, s.IsCoordinator),
		stream.WithReadWait(readWait),
	)
	return s
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Start implements kernel.Service. It does not wait for the log.
func (s *Service) Start(ctx context.Context, _ *kernel.Kernel) error {
	ctx, s.cancel = context.WithCancel(ctx)
	s.stream.Run(ctx)
	s.done.Go(func() { s.follow(ctx) })
	s.done.Go(func() { s.deliver(ctx) })
	if !s.observes {
		s.done.Go(func() { s.register(ctx) })
	}
	if s.source != nil {
		s.done.Go(func() { s.askPeers(ctx) })
	}
	return nil
}

// Close implements kernel.Service. It retires this incarnation, as far as the
// log answers in time.
func (s *Service) Close() error {
	if s.cancel == nil {
		return nil
	}
	if s.registered.Load() {
		s.retire()
	}
	s.cancel()
	s.done.Wait()
	return s.stream.Close()
}

func (s *Service) retire() {
	ctx, cancel := context.WithTimeout(context.Background(), retireTimeout)
	defer cancel()
	if _, err := s.Publish(ctx, fleet.Retire{Incarnation: s.member.Incarnation}); err != nil {
		s.log.Warn("retirement not published", "error", err)
	}
}

// register makes this incarnation known, however long the log is away.
func (s *Service) register(ctx context.Context) {
	result, err := s.Publish(ctx, fleet.Register{Member: s.member})
	if err != nil {
		if ctx.Err() == nil {
			s.log.Error("registration failed", "error", err)
		}
		return
	}
	if ignored, ok := result.(fleet.Ignored); ok && ignored.Cause == fleet.Gone {
		s.log.Error("incarnation has ended", "incarnation", s.member.Incarnation, "detail", ignored.Detail)
		return
	}
	s.registered.Store(true)
	s.log.Info("incarnation registered", "incarnation", s.member.Incarnation)
}

// Member returns this process's entry in the list of members.
func (s *Service) Member() fleet.Member { return s.member }

// State returns the newest state known. It is empty until the log or a peer
// was read.
func (s *Service) State() *fleet.State { return s.state.Load() }

// Version returns the version of the tables in force here.
func (s *Service) Version() int64 { return s.State().Version() }

// TableVersion is Version, as the routers ask for it.
func (s *Service) TableVersion() int64 { return s.Version() }

// Ready says whether this process has tables and may still use them: it has
// not been replaced or fenced.
func (s *Service) Ready() bool {
	state := s.State()
	return state.Version() > 0 && !state.HasEnded(s.member.Incarnation)
}

// LogReachable reports whether the last read of the log succeeded.
func (s *Service) LogReachable() bool { return s.stream.Status().Reachable }

// CatchUp waits until the log was read to its end once, and returns the state
// that it held then or later.
func (s *Service) CatchUp(ctx context.Context) (*fleet.State, error) {
	if err := s.stream.Wait(ctx, func(st stream.Status) bool { return st.Ready }); err != nil {
		return nil, errors.Wrap(err, "read the control stream")
	}
	s.catchUp()
	return s.State(), nil
}

// Subscribe makes the service call f with the state, now and after changes.
// All subscribers are called from one goroutine, each with states that hold
// ever more of the stream; a slow one misses states in between.
func (s *Service) Subscribe(f func(*fleet.State)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers = append(s.subscribers, &subscriber{call: f})
	s.wake()
}

// wake makes deliver look again. The caller holds mu.
func (s *Service) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// adopt takes the state up if it holds more of the stream than the present one.
func (s *Service) adopt(next *fleet.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.State()
	newer := current.Newer(next)
	if newer == current {
		return
	}
	s.state.Store(newer)
	s.wake()
	if newer.Version() != current.Version() {
		s.log.Info("tables in force", "version", newer.Version(), "offset", newer.Next)
	}
}

// follow takes up what the fold has read, once it has caught up with the log.
// Before that its states are of the past.
func (s *Service) follow(ctx context.Context) {
	var last *fleet.State
	for {
		next := last
		err := s.stream.Wait(ctx, func(st stream.Status) bool {
			next = s.fold.state
			return st.Ready && next != last
		})
		if err != nil {
			return
		}
		last = next
		s.adopt(next)
	}
}

// deliver calls the subscribers until the context ends.
func (s *Service) deliver(ctx context.Context) {
	for {
		s.mu.Lock()
		changed := s.changed
		state := s.State()
		subscribers := append([]*subscriber(nil), s.subscribers...)
		s.mu.Unlock()
		for _, sub := range subscribers {
			if sub.seen != state {
				sub.seen = state
				sub.call(state)
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

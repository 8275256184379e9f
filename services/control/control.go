// Package control maintains this process's copy of the fleet's state. It applies the
// events of the control stream, polls peers while the log is unreachable, and
// publishes changes.
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

// retireTimeout bounds how long Close waits for the log to accept the retirement.
const retireTimeout = time.Second

// Service maintains the fleet's state. It is a kernel.Service.
type Service struct {
	log     hclog.Logger
	member  fleet.Member
	stream  *stream.Stream
	replica *replica

	observer       bool
	peerClient     PeerClient
	seeds          []netip.AddrPort
	appendInterval time.Duration
	schedule       fence.CheckpointSchedule
	limiter        *rate.Limiter
	pollInterval   time.Duration
	counters       counters

	state      atomic.Pointer[fleet.State]
	registered atomic.Bool
	cancel     context.CancelFunc
	done       sync.WaitGroup

	mu          sync.Mutex
	subscribers []*subscriber
	// changed is closed and replaced when the state or the subscribers change.
	changed chan struct{}
}

// subscriber is a function that is called with newer states.
type subscriber struct {
	call func(*fleet.State)
	// seen is the state of the last call.
	seen *fleet.State
}

// Option configures a Service.
type Option func(*Service)

// WithPeers makes the service poll peers for the state while it can't read the log.
// The peers are the seeds and the members that are entry instances.
func WithPeers(client PeerClient, seeds ...netip.AddrPort) Option {
	return func(s *Service) { s.peerClient, s.seeds = client, seeds }
}

// AsObserver keeps the process out of the members: it neither registers nor writes
// checkpoints. It may publish.
func AsObserver() Option {
	return func(s *Service) { s.observer = true }
}

// WithPeerPollInterval sets the interval between two polls of peers.
func WithPeerPollInterval(d time.Duration) Option {
	return func(s *Service) { s.pollInterval = d }
}

// WithSchedule sets when checkpoints of the control stream are due.
func WithSchedule(schedule fence.CheckpointSchedule) Option {
	return func(s *Service) { s.schedule = schedule }
}

// WithAppendInterval sets the minimum interval between two appends.
func WithAppendInterval(d time.Duration) Option {
	return func(s *Service) { s.appendInterval = d }
}

// WithLimiter sets the rate limit of appends, which the streams of a process share.
func WithLimiter(l *rate.Limiter) Option {
	return func(s *Service) { s.limiter = l }
}

// New returns the service of the process that member describes.
func New(log hclog.Logger, plog platform.Log, member fleet.Member, opts ...Option) *Service {
	s := &Service{
		log:            log.Named(Name),
		member:         member,
		replica:        newReplica(),
		appendInterval: stream.DefaultAppendInterval,
		schedule:       stream.DefaultSchedule,
		limiter:        rate.NewLimiter(rate.Inf, 1),
		pollInterval:   defaultPeerPollInterval,
		counters:       newCounters(),
		changed:        make(chan struct{}),
	}
	s.state.Store(fleet.New())
	for _, opt := range opts {
		opt(s)
	}
	s.stream = stream.New(StreamName, member.Incarnation, plog, s.replica,
		stream.WithAppendInterval(s.appendInterval),
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
	s.done.Go(func() { s.followStream(ctx) })
	s.done.Go(func() { s.notifySubscribers(ctx) })
	if !s.observer {
		s.done.Go(func() { s.register(ctx) })
	}
	if s.peerClient != nil {
		s.done.Go(func() { s.pollPeers(ctx) })
	}
	return nil
}

// Close implements kernel.Service. It retires this incarnation if the log accepts the
// retirement within retireTimeout.
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

// register registers this incarnation. It waits for as long as the log is
// unreachable.
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

// Member returns this process as a member of the fleet.
func (s *Service) Member() fleet.Member { return s.member }

// State returns the newest state read from the log or a peer. It is empty before the
// first read.
func (s *Service) State() *fleet.State { return s.state.Load() }

// Version returns the version of the current tables.
func (s *Service) Version() int64 { return s.State().Version() }

// TableVersion returns the same as Version. It implements an interface of the
// routers.
func (s *Service) TableVersion() int64 { return s.Version() }

// Ready reports whether this process has tables and has not been replaced, retired or
// fenced.
func (s *Service) Ready() bool {
	state := s.State()
	return state.Version() > 0 && !state.HasEnded(s.member.Incarnation)
}

// LogReachable reports whether the last read of the log succeeded.
func (s *Service) LogReachable() bool { return s.stream.Status().Reachable }

// CatchUp waits until the log has been read to its end once, and returns the state as
// of then or later.
func (s *Service) CatchUp(ctx context.Context) (*fleet.State, error) {
	if err := s.stream.Wait(ctx, func(st stream.Status) bool { return st.Ready }); err != nil {
		return nil, errors.Wrap(err, "read the control stream")
	}
	s.refreshState()
	return s.State(), nil
}

// Subscribe makes the service call f with the current state and after each change.
// All subscribers are called from one goroutine, with states at increasing offsets.
// Slow subscribers skip states.
func (s *Service) Subscribe(f func(*fleet.State)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers = append(s.subscribers, &subscriber{call: f})
	s.notifyChange()
}

// notifyChange wakes up notifySubscribers. The caller holds mu.
func (s *Service) notifyChange() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// advance replaces the state if next is at a higher offset of the stream.
func (s *Service) advance(next *fleet.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.State()
	newer := current.Newer(next)
	if newer == current {
		return
	}
	s.state.Store(newer)
	s.notifyChange()
	if newer.Version() != current.Version() {
		s.log.Info("tables updated", "version", newer.Version(), "offset", newer.Next)
	}
}

// followStream advances the state with the stream, once the stream has caught up with
// the log. States before that are out of date.
func (s *Service) followStream(ctx context.Context) {
	var last *fleet.State
	for {
		next := last
		err := s.stream.Wait(ctx, func(st stream.Status) bool {
			next = s.replica.state
			return st.Ready && next != last
		})
		if err != nil {
			return
		}
		last = next
		s.advance(next)
	}
}

// notifySubscribers calls the subscribers until the context ends.
func (s *Service) notifySubscribers(ctx context.Context) {
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

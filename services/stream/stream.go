// Package stream folds one stream of the platform's log and appends to it. An
// append is done only once its record was read back, so that a lost answer
// never hides or doubles an effect.
package stream

import (
	"context"
	"hash/fnv"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/time/rate"

	"github.com/crocusline/crocusline/coordination/fence"
	"github.com/crocusline/crocusline/kernel"
	"github.com/crocusline/crocusline/modules/platform"
)

const (
	// DefaultAppendInterval is the least time between two appends to one stream.
	DefaultAppendInterval = 20 * time.Millisecond
	// DefaultQueueSize is the number of appends that may wait.
	DefaultQueueSize = 1024
	// DefaultReadWait is how long a read waits for a record.
	DefaultReadWait = 5 * time.Second

	readLimit = 1000
	// readTimeout is how long a read may take beyond its wait.
	readTimeout   = 2 * time.Second
	appendTimeout = 2 * time.Second
	// maxBatchBytes bounds the bodies that one record carries.
	maxBatchBytes = 128 << 10
)

// DefaultSchedule is when checkpoints are due unless an option says otherwise.
var DefaultSchedule = fence.CheckpointSchedule{Records: 2000, Interval: 5 * time.Minute}

// Position is where the log took a record.
type Position struct {
	Offset int64
	// Time is by the log's clock.
	Time time.Time
}

// StateMachine is the state that a stream's accepted records build up. Its methods are
// called one at a time.
type StateMachine interface {
	// Apply applies the bodies of one accepted record.
	Apply(at Position, bodies [][]byte)
	// Snapshot returns the state for a checkpoint.
	Snapshot() ([]byte, error)
	// Restore sets the state to a snapshot. Nil is the empty state.
	Restore(data []byte) error
}

// Stream folds one stream and appends to it. It is a kernel.Service.
type Stream struct {
	name        string
	incarnation string
	log         platform.Log
	fold        StateMachine
	logger      hclog.Logger
	interval    time.Duration
	limiter     *rate.Limiter
	readWait    time.Duration
	schedule    fence.CheckpointSchedule
	checkpoints func() bool
	queue       chan *item
	counters    counters

	cancel context.CancelFunc
	done   sync.WaitGroup

	mu        sync.Mutex
	reader    *fence.Reader
	changed   chan struct{}
	waiting   map[uint64]chan verdict
	reachable bool
	ready     bool
	// answered is when the log answered last, by the local clock.
	answered time.Time
	// since is when the newest checkpoint was met, by the local clock.
	since time.Time

	// sequence and last belong to the writer goroutine.
	sequence uint64
	last     time.Time
}

// Option configures a Stream.
type Option func(*Stream)

// WithAppendInterval sets the least time between two appends.
func WithAppendInterval(d time.Duration) Option { return func(s *Stream) { s.interval = d } }

// WithLimiter sets a limit on appends that streams of one process share.
func WithLimiter(l *rate.Limiter) Option { return func(s *Stream) { s.limiter = l } }

// WithReadWait sets how long a read waits for a record.
func WithReadWait(d time.Duration) Option { return func(s *Stream) { s.readWait = d } }

// WithQueueSize sets how many appends may wait.
func WithQueueSize(n int) Option { return func(s *Stream) { s.queue = make(chan *item, n) } }

// WithLogger sets the logger.
func WithLogger(l hclog.Logger) Option { return func(s *Stream) { s.logger = l } }

// WithCheckpoints makes the stream write checkpoints when the schedule says so
// and allowed returns true.
func WithCheckpoints(schedule fence.CheckpointSchedule, allowed func() bool) Option {
	return func(s *Stream) { s.schedule, s.checkpoints = schedule, allowed }
}

// New returns the stream of that name, for the process with the given incarnation.
func New(name, incarnation string, log platform.Log, fold StateMachine, opts ...Option) *Stream {
	s := &Stream{
		name:        name,
		incarnation: incarnation,
		log:         log,
		fold:        fold,
		logger:      hclog.NewNullLogger(),
		interval:    DefaultAppendInterval,
		limiter:     rate.NewLimiter(rate.Inf, 1),
		readWait:    DefaultReadWait,
		schedule:    DefaultSchedule,
		queue:       make(chan *item, DefaultQueueSize),
		counters:    newCounters(name),
		reader:      fence.New(),
		changed:     make(chan struct{}),
		waiting:     map[uint64]chan verdict{},
	}
	for _, opt := range opts {
		opt(s)
	}
	s.schedule = stagger(s.schedule, incarnation)
	return s
}

// stagger lengthens a schedule by up to its own length, by the incarnation, so
// that of several processes one writes the checkpoint and the others see it.
func stagger(s fence.CheckpointSchedule, incarnation string) fence.CheckpointSchedule {
	part := share(incarnation)
	s.Records += int64(part * float64(s.Records))
	s.Interval += time.Duration(part * float64(s.Interval))
	return s
}

// share returns a number from 0 up to 1 that differs between incarnations.
func share(incarnation string) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(incarnation))
	return float64(h.Sum32()) / (1 << 32)
}

// Name implements kernel.Service.
func (s *Stream) Name() string { return "stream/" + s.name }

// Start implements kernel.Service. It does not wait for the log.
func (s *Stream) Start(ctx context.Context, _ *kernel.Kernel) error {
	s.Run(ctx)
	return nil
}

// Run starts the stream's goroutines. They end with the context or by Close.
func (s *Stream) Run(ctx context.Context) {
	ctx, s.cancel = context.WithCancel(ctx)
	s.since = time.Now()
	s.done.Go(func() { s.tail(ctx) })
	s.done.Go(func() { s.write(ctx) })
	if s.checkpoints != nil {
		s.done.Go(func() { s.keepCheckpoints(ctx) })
	}
}

// Close implements kernel.Service.
func (s *Stream) Close() error {
	if s.cancel != nil {
		s.cancel()
	}
	s.done.Wait()
	return nil
}

// Status is the state of a stream.
type Status struct {
	// Reachable says whether the log answered the last read.
	Reachable bool
	// LastReadAt is when it last did, by the local clock.
	LastReadAt time.Time
	// Ready says whether the fold has been caught up with the log once.
	Ready bool
	Next  int64
	Epoch uint64
	Owner string
	// LogTime is the log time of the last record.
	LogTime time.Time
}

// Status returns the state of the stream.
func (s *Stream) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status()
}

func (s *Stream) status() Status {
	return Status{
		Reachable:  s.reachable,
		LastReadAt: s.answered,
		Ready:      s.ready,
		Next:       s.reader.Next(),
		Epoch:      s.reader.Epoch(),
		Owner:      s.reader.Owner(),
		LogTime:    s.reader.Now(),
	}
}

// View calls f while no record is being applied.
func (s *Stream) View(f func(Status)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.status())
}

// Wait calls cond as View does, now and after each change of the stream or of
// its status, until it returns true or the context ends.
func (s *Stream) Wait(ctx context.Context, cond func(Status) bool) error {
	for {
		s.mu.Lock()
		ok, changed := cond(s.status()), s.changed
		s.mu.Unlock()
		if ok {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// notify wakes all in Wait. The caller holds mu.
func (s *Stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Package stream replicates a state machine over one stream of the platform's
// log: it applies the stream's records and appends new ones. An append is
// confirmed only when its record is read back from the stream, so that a lost
// response can neither hide the append nor make it take effect twice.
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
	// DefaultAppendInterval is the minimum time between two appends to one
	// stream.
	DefaultAppendInterval = 20 * time.Millisecond
	// DefaultQueueSize is the number of appends that may be queued.
	DefaultQueueSize = 1024
	// DefaultReadWait is how long a read waits at the log for a new record.
	DefaultReadWait = 5 * time.Second

	// readLimit is the maximum number of records per read.
	readLimit = 1000
	// readTimeout is the timeout of a read in addition to its wait.
	readTimeout   = 2 * time.Second
	appendTimeout = 2 * time.Second
	// maxBatchBytes is the maximum total size of the bodies batched into one
	// record. A single larger body gets a record of its own.
	maxBatchBytes = 128 << 10
)

// DefaultSchedule is the default schedule for writing checkpoints.
var DefaultSchedule = fence.CheckpointSchedule{Records: 2000, Interval: 5 * time.Minute}

// Position is a record's position in the stream.
type Position struct {
	Offset int64
	// Time is the log time of the record. It never decreases from one record to
	// the next.
	Time time.Time
}

// StateMachine is the state that results from applying a stream's accepted records
// in order. Its methods are never called concurrently.
type StateMachine interface {
	// Apply applies the bodies of one accepted record.
	Apply(at Position, bodies [][]byte)
	// Snapshot returns the state for a checkpoint.
	Snapshot() ([]byte, error)
	// Restore sets the state to a snapshot, or to the empty state if data is nil.
	Restore(data []byte) error
}

// Stream reads one stream into a StateMachine and appends to it. It implements
// kernel.Service.
type Stream struct {
	name           string
	writer         string
	log            platform.Log
	machine        StateMachine
	logger         hclog.Logger
	appendInterval time.Duration
	limiter        *rate.Limiter
	readWait       time.Duration
	schedule       fence.CheckpointSchedule
	// mayCheckpoint is nil if this process writes no checkpoints by schedule.
	mayCheckpoint func() bool
	queue         chan *pendingAppend
	counters      counters

	cancel     context.CancelFunc
	background sync.WaitGroup

	mu     sync.Mutex
	reader *fence.Reader
	// changed is closed and replaced on each change of the stream or its status.
	changed chan struct{}
	// unconfirmed has a channel for the result of each sent record that was not
	// read back yet, by sequence number.
	unconfirmed map[uint64]chan recordResult
	reachable   bool
	ready       bool
	// lastReadAt is the local time of the last successful read.
	lastReadAt time.Time
	// checkpointReadAt is the local time at which the newest checkpoint was read,
	// or at which the stream was started.
	checkpointReadAt time.Time

	// limit is the maximum number of records of the next read. It is used only by the goroutine
	// of readLoop.
	limit int

	// sequence and lastAppendAt are used only by the goroutine of writeLoop.
	sequence     uint64
	lastAppendAt time.Time
}

// Option configures a Stream.
type Option func(*Stream)

// WithAppendInterval sets the minimum time between two appends.
func WithAppendInterval(d time.Duration) Option { return func(s *Stream) { s.appendInterval = d } }

// WithLimiter sets the rate limiter that all streams of a process share for their
// appends.
func WithLimiter(l *rate.Limiter) Option { return func(s *Stream) { s.limiter = l } }

// WithReadWait sets how long a read waits at the log for a new record.
func WithReadWait(d time.Duration) Option { return func(s *Stream) { s.readWait = d } }

// WithQueueSize sets the number of appends that may be queued.
func WithQueueSize(n int) Option {
	return func(s *Stream) { s.queue = make(chan *pendingAppend, n) }
}

// WithLogger sets the logger.
func WithLogger(l hclog.Logger) Option { return func(s *Stream) { s.logger = l } }

// WithCheckpoints makes the stream write a checkpoint when one is due by the
// schedule and allowed returns true.
func WithCheckpoints(schedule fence.CheckpointSchedule, allowed func() bool) Option {
	return func(s *Stream) { s.schedule, s.mayCheckpoint = schedule, allowed }
}

// New returns the stream with the given name. Its records are appended under the
// name writer, which must be unique among the stream's writers.
func New(name, writer string, log platform.Log, machine StateMachine, opts ...Option) *Stream {
	s := &Stream{
		name:           name,
		writer:         writer,
		log:            log,
		machine:        machine,
		logger:         hclog.NewNullLogger(),
		appendInterval: DefaultAppendInterval,
		limiter:        rate.NewLimiter(rate.Inf, 1),
		limit:          readLimit,
		readWait:       DefaultReadWait,
		schedule:       DefaultSchedule,
		queue:          make(chan *pendingAppend, DefaultQueueSize),
		counters:       newCounters(name),
		reader:         fence.New(),
		changed:        make(chan struct{}),
		unconfirmed:    map[uint64]chan recordResult{},
	}
	for _, opt := range opts {
		opt(s)
	}
	s.schedule = stagger(s.schedule, writer)
	return s
}

// stagger multiplies a schedule by a factor from 1 up to 2 that depends on the
// writer, so that usually one of several processes writes a checkpoint and the
// others read it before theirs is due.
func stagger(s fence.CheckpointSchedule, writer string) fence.CheckpointSchedule {
	fraction := hashFraction(writer)
	s.Records += int64(fraction * float64(s.Records))
	s.Interval += time.Duration(fraction * float64(s.Interval))
	return s
}

// hashFraction returns a hash of the writer as a number in [0, 1).
func hashFraction(writer string) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(writer))
	return float64(h.Sum32()) / (1 << 32)
}

// Name implements kernel.Service.
func (s *Stream) Name() string { return "stream/" + s.name }

// Start implements kernel.Service. It does not wait for the log.
func (s *Stream) Start(ctx context.Context, _ *kernel.Kernel) error {
	s.Run(ctx)
	return nil
}

// Run starts the stream's goroutines and returns. They run until the context ends
// or Close is called.
func (s *Stream) Run(ctx context.Context) {
	ctx, s.cancel = context.WithCancel(ctx)
	s.checkpointReadAt = time.Now()
	s.background.Go(func() { s.readLoop(ctx) })
	s.background.Go(func() { s.writeLoop(ctx) })
	if s.mayCheckpoint != nil {
		s.background.Go(func() { s.checkpointLoop(ctx) })
	}
}

// Close implements kernel.Service.
func (s *Stream) Close() error {
	if s.cancel != nil {
		s.cancel()
	}
	s.background.Wait()
	return nil
}

// Status is the status of a stream.
type Status struct {
	// Reachable reports whether the last read from the log succeeded.
	Reachable bool
	// LastReadAt is the local time of the last successful read.
	LastReadAt time.Time
	// Ready is set once all records in the log have been applied, and stays set
	// when new records arrive.
	Ready bool
	// Next is the offset of the next record to apply.
	Next int64
	// Epoch is the current epoch, or 0 if the stream has no claim yet.
	Epoch uint64
	// Owner is the writer whose claim began the current epoch.
	Owner string
	// LogTime is the log time of the last record.
	LogTime time.Time
}

// Status returns the current status of the stream.
func (s *Stream) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status()
}

func (s *Stream) status() Status {
	return Status{
		Reachable:  s.reachable,
		LastReadAt: s.lastReadAt,
		Ready:      s.ready,
		Next:       s.reader.Next(),
		Epoch:      s.reader.Epoch(),
		Owner:      s.reader.Owner(),
		LogTime:    s.reader.Now(),
	}
}

// View calls f with the current status. No record is applied during the call, so
// that f may read the state machine.
func (s *Stream) View(f func(Status)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.status())
}

// Wait calls cond like View, at once and after each change of the stream or its
// status, until cond returns true or the context ends.
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

// notify wakes all callers of Wait. The caller must hold mu.
func (s *Stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

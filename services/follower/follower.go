// Package follower subscribes to one partition of the platform's store. It passes a
// handler a snapshot with the newest record of each key first, then all later records
// in order.
package follower

import (
	"context"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/record"
	"github.com/crocusline/crocusline/modules/delay"
	"github.com/crocusline/crocusline/modules/uptime"
)

// Defaults of the options.
const (
	// DefaultPollTimeout is how long the store may hold a read open while there are no
	// new records. Together with the client's call timeout it bounds how long a dead
	// connection goes undetected.
	DefaultPollTimeout = 700 * time.Millisecond
	// DefaultMinInterval is the minimum time between the starts of two reads. Each read
	// has a price, and changes may take up to a second to be applied.
	DefaultMinInterval = 300 * time.Millisecond

	// triggeredMinInterval replaces the minimum interval after TriggerRead. It covers a
	// few round trips to the store.
	triggeredMinInterval = 40 * time.Millisecond

	// unknownAge is the age of the state before anything was read.
	unknownAge = 24 * time.Hour

	initialRetryDelay = 100 * time.Millisecond
	maxRetryDelay     = 500 * time.Millisecond
)

// Log reads the platform's store.
type Log interface {
	// Read returns the records from an offset on. If there are none, it waits for one.
	Read(ctx context.Context, r record.Read) (record.Batch, error)
	// Snapshot returns the newest record of each key.
	Snapshot(ctx context.Context, p record.Partition) (record.Snapshot, error)
}

// Handler processes the records that were read. All calls are made by one goroutine.
type Handler interface {
	// Reset replaces the handler's state by a snapshot; next is the offset that follows
	// it.
	Reset(records []record.Record, next int64)
	// Apply applies later records; next is the offset that follows them.
	Apply(records []record.Record, next int64)
	// SetReachable is called with the result of each read: whether the store responded.
	SetReachable(ok bool)
}

// Option configures a Follower.
type Option func(*Follower)

// Pace is how often a follower reads.
type Pace struct {
	// MinInterval is the minimum time between the starts of two reads.
	MinInterval time.Duration
	// PollTimeout is how long the store may hold a read open while there are no new
	// records.
	PollTimeout time.Duration
}

// WithPace sets the pace, which is read before each read.
func WithPace(pace func() Pace) Option { return func(f *Follower) { f.pace = pace } }

// WithResyncOnError makes the follower read a new snapshot after a failed read instead
// of all records that it missed. Changes of large records may add up to more than a
// slow link transfers within a call's timeout.
func WithResyncOnError() Option { return func(f *Follower) { f.resyncOnError = true } }

// WithClock sets the clock by which ages are measured.
func WithClock(c *uptime.Clock) Option { return func(f *Follower) { f.clock = c } }

// Follower is a subscription to one partition.
type Follower struct {
	log       hclog.Logger
	source    Log
	partition record.Partition
	handler   Handler
	pace      func() Pace

	resyncOnError bool
	nextOffset    int64
	// era is the store's era of the last snapshot.
	era atomic.Int64
	// synced is false until a snapshot was applied, and while a new one is due.
	synced  bool
	trigger chan struct{}
	// reachable is whether the last read succeeded.
	reachable atomic.Bool
	// responding is whether a response is being read.
	responding atomic.Bool
	// currentAt is the latest time at which the state is known to have been that of the store, in ns
	// of the clock.
	currentAt atomic.Int64
	// contactAt is the time of the last successful read, in ns of the clock.
	contactAt atomic.Int64
	clock     *uptime.Clock
	cancel    context.CancelFunc
	running   sync.WaitGroup
}

// New returns a follower of the partition.
func New(log hclog.Logger, source Log, partition record.Partition, handler Handler, opts ...Option) *Follower {
	f := &Follower{
		log:    log.With("topic", partition.Topic, "partition", partition.Number),
		source: source, partition: partition, handler: handler,
		pace:  func() Pace { return Pace{MinInterval: DefaultMinInterval, PollTimeout: DefaultPollTimeout} },
		clock: uptime.NewClock(), trigger: make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(f)
	}
	f.currentAt.Store(int64(f.clock.Elapsed() - unknownAge))
	f.contactAt.Store(int64(f.clock.Elapsed()))
	return f
}

// Start starts reading in the background.
func (f *Follower) Start(ctx context.Context) {
	ctx, f.cancel = context.WithCancel(ctx)
	f.running.Go(func() { f.run(ctx) })
}

// Close stops reading and waits until the last handler call has returned.
func (f *Follower) Close() error {
	if f.cancel != nil {
		f.cancel()
	}
	f.running.Wait()
	return nil
}

// Reachable reports whether the last read succeeded.
func (f *Follower) Reachable() bool { return f.reachable.Load() }

// Era returns the store's era of the last snapshot.
func (f *Follower) Era() int64 { return f.era.Load() }

// Age returns the time since the state is known to have been that of the store, which is more than
// unknownAge if nothing was read. The state may lack what was written since.
func (f *Follower) Age() time.Duration {
	// The clock is read last, so that a pause of the process makes the age larger.
	currentAt := time.Duration(f.currentAt.Load())
	return f.clock.Elapsed() - currentAt
}

// Silence returns the time since the last successful read, or since the follower was created
// if there was none. It is 0 while a response arrives, which may take long over a thin link. It is
// no measure of the state's age.
func (f *Follower) Silence() time.Duration {
	if f.responding.Load() {
		return 0
	}
	return f.clock.Elapsed() - time.Duration(f.contactAt.Load())
}

// Arriving reports whether a response arrives.
func (f *Follower) Arriving() bool { return f.responding.Load() }

// trace returns a context that records that the response begins.
func (f *Follower) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: func() { f.responding.Store(true) }})
}

func (f *Follower) run(ctx context.Context) {
	retryDelays := backoff.ExponentialBackOff{
		InitialInterval: initialRetryDelay, Multiplier: backoff.DefaultMultiplier, MaxInterval: maxRetryDelay,
		RandomizationFactor: backoff.DefaultRandomizationFactor,
	}
	retryDelays.Reset()
	for ctx.Err() == nil {
		readStart := time.Now()
		currentAt, err := f.read(f.trace(ctx))
		if ctx.Err() != nil {
			return
		}
		f.recordResult(currentAt, err)
		f.responding.Store(false)
		if err != nil {
			if !delay.Wait(ctx, retryDelays.NextBackOff()) {
				return
			}
			continue
		}
		retryDelays.Reset()
		if !f.waitForNextRead(ctx, readStart) {
			return
		}
	}
}

// TriggerRead makes the next read start after triggeredMinInterval instead of the
// minimum interval.
func (f *Follower) TriggerRead() {
	select {
	case f.trigger <- struct{}{}:
	default:
	}
}

// waitForNextRead waits until the next read is due. It returns false when the context
// ends.
func (f *Follower) waitForNextRead(ctx context.Context, readStart time.Time) bool {
	if !delay.Wait(ctx, triggeredMinInterval-time.Since(readStart)) {
		return false
	}
	timer := time.NewTimer(f.pace().MinInterval - time.Since(readStart))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.trigger:
	case <-ctx.Done():
		return false
	}
	return true
}

// recordResult logs a change of the store's reachability and passes it to the handler. The
// state is that of currentAt. Expired records are no failure of the store.
func (f *Follower) recordResult(currentAt time.Duration, err error) {
	var expired *record.ExpiredError
	if errors.As(err, &expired) {
		f.log.Warn("records expired", "error", err)
		return
	}
	ok := err == nil
	before := f.reachable.Swap(ok)
	switch {
	case ok && !before:
		f.log.Info("store reachable", "next", f.nextOffset, "age", f.clock.Elapsed()-time.Duration(f.contactAt.Load()))
	case !ok && before:
		f.log.Warn("store unreachable", "next", f.nextOffset, "error", err)
	case !ok:
		f.log.Debug("store still unreachable", "error", err)
	}
	if ok {
		f.currentAt.Store(int64(currentAt))
		f.contactAt.Store(int64(f.clock.Elapsed()))
	}
	f.handler.SetReachable(ok)
}

// read reads a snapshot or the next batch of records and passes it to the handler. It returns
// the time at which the state is known to have been that of the store.
func (f *Follower) read(ctx context.Context) (time.Duration, error) {
	sentAt := f.clock.Elapsed()
	if !f.synced {
		snapshot, err := f.source.Snapshot(ctx, f.partition)
		if err != nil {
			return 0, err
		}
		f.era.Store(snapshot.Era)
		f.handler.Reset(snapshot.Records, snapshot.Next)
		f.nextOffset, f.synced = snapshot.Next, true
		return sentAt, nil
	}
	read := record.Read{Partition: f.partition, From: f.nextOffset, Wait: f.pace().PollTimeout}
	batch, err := f.source.Read(ctx, read)
	if err != nil {
		var expired *record.ExpiredError
		if f.resyncOnError || errors.As(err, &expired) {
			f.synced = false
		}
		return 0, err
	}
	if era := f.era.Load(); batch.Era != era {
		// The records that were read before may be gone, and others have their offsets.
		f.log.Warn("store returned from a copy", "era", batch.Era, "before", era, "next", f.nextOffset)
		f.synced = false
		return time.Duration(f.currentAt.Load()), nil
	}
	currentAt, known := read.KnownAt(batch, sentAt, f.clock.Elapsed())
	if !known {
		currentAt = time.Duration(f.currentAt.Load())
	}
	if batch.Unreadable > 0 {
		f.log.Warn("unreadable records", "count", batch.Unreadable, "next", batch.Next)
	}
	f.handler.Apply(batch.Records, batch.Next)
	f.nextOffset = batch.Next
	return currentAt, nil
}

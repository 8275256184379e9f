// Package follower keeps a process up to date with one partition of the platform's
// store: first the newest record of each key, then all changes in order.
package follower

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/record"
	"github.com/crocusline/crocusline/modules/delay"
)

// Defaults of the options.
const (
	// DefaultPollTimeout is how long the store may hold a read without news. With the
	// client's own timeout it bounds how long a silent connection goes unnoticed.
	DefaultPollTimeout = 700 * time.Millisecond
	// DefaultMinInterval is the shortest time between two reads. Reads are priced, and
	// changes may take a second to be followed.
	DefaultMinInterval = 300 * time.Millisecond

	// hurriedPace is the shortest time between two reads when changes are waited for:
	// some exchanges with the store.
	hurriedPace = 40 * time.Millisecond

	firstRetry   = 100 * time.Millisecond
	longestRetry = 500 * time.Millisecond
)

// Log is the store.
type Log interface {
	// Read returns records from an offset on, waiting for one if there is none.
	Read(ctx context.Context, r record.Read) (record.Batch, error)
	// Snapshot returns the newest record of each key.
	Snapshot(ctx context.Context, p record.Partition) (record.Snapshot, error)
}

// Handler takes what was read. It is called by one goroutine.
type Handler interface {
	// Reset replaces all that is known by the newest records.
	Reset(records []record.Record, next int64)
	// Apply takes changes; next is the offset after them.
	Apply(records []record.Record, next int64)
	// SetReachable says whether the topic could be read just now.
	SetReachable(ok bool)
}

// Option changes a Follower at construction.
type Option func(*Follower)

// WithMinInterval sets the shortest time between two reads.
func WithMinInterval(d time.Duration) Option { return func(f *Follower) { f.pace = d } }

// WithResyncOnError begins with the newest records again after an outage,
// instead of reading all that was missed. Changes of large records may add up to
// more than a thin link carries within a call's timeout.
func WithResyncOnError() Option { return func(f *Follower) { f.newest = true } }

// WithPollTimeout sets how long the store may hold a read without news.
func WithPollTimeout(d time.Duration) Option { return func(f *Follower) { f.wait = d } }

// Follower follows one partition.
type Follower struct {
	log     hclog.Logger
	from    Log
	part    record.Partition
	handler Handler
	pace    time.Duration
	wait    time.Duration

	newest    bool
	next      int64
	known     bool
	hurry     chan struct{}
	reachable atomic.Bool
	answered  atomic.Int64
	began     time.Time
	cancel    context.CancelFunc
	done      sync.WaitGroup
}

// New returns a follower of the partition.
func New(log hclog.Logger, from Log, part record.Partition, handler Handler, opts ...Option) *Follower {
	f := &Follower{
		log: log.With("topic", part.Topic, "partition", part.Number), from: from, part: part, handler: handler,
		pace: DefaultMinInterval, wait: DefaultPollTimeout, began: time.Now(), hurry: make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Start begins to follow.
func (f *Follower) Start(ctx context.Context) {
	ctx, f.cancel = context.WithCancel(ctx)
	f.done.Go(func() { f.run(ctx) })
}

// Close ends the following and waits for it.
func (f *Follower) Close() error {
	if f.cancel != nil {
		f.cancel()
	}
	f.done.Wait()
	return nil
}

// Reachable says whether the last read was answered.
func (f *Follower) Reachable() bool { return f.reachable.Load() }

// Age is the time since the topic was last read.
func (f *Follower) Age() time.Duration {
	return time.Since(f.began) - time.Duration(f.answered.Load())
}

func (f *Follower) run(ctx context.Context) {
	policy := backoff.ExponentialBackOff{
		InitialInterval: firstRetry, Multiplier: backoff.DefaultMultiplier, MaxInterval: longestRetry,
		RandomizationFactor: backoff.DefaultRandomizationFactor,
	}
	policy.Reset()
	for ctx.Err() == nil {
		began := time.Now()
		err := f.step(ctx)
		if ctx.Err() != nil {
			return
		}
		f.note(err)
		if err != nil {
			if !delay.Wait(ctx, policy.NextBackOff()) {
				return
			}
			continue
		}
		policy.Reset()
		if !f.rest(ctx, began) {
			return
		}
	}
}

// TriggerRead makes the next read begin soon.
func (f *Follower) TriggerRead() {
	select {
	case f.hurry <- struct{}{}:
	default:
	}
}

// rest waits until the next read is due. It returns false when the context ends.
func (f *Follower) rest(ctx context.Context, began time.Time) bool {
	if !delay.Wait(ctx, hurriedPace-time.Since(began)) {
		return false
	}
	timer := time.NewTimer(f.pace - time.Since(began))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.hurry:
	case <-ctx.Done():
		return false
	}
	return true
}

// note logs a change of the topic's reachability and tells the handler.
func (f *Follower) note(err error) {
	var expired *record.ExpiredError
	if errors.As(err, &expired) {
		f.log.Warn("records expired", "error", err)
		return
	}
	ok := err == nil
	was := f.reachable.Swap(ok)
	switch {
	case ok && !was:
		f.log.Info("store reached", "next", f.next, "age", f.Age())
	case !ok && was:
		f.log.Warn("store lost", "next", f.next, "error", err)
	case !ok:
		f.log.Debug("store still lost", "error", err)
	}
	if ok {
		f.answered.Store(int64(time.Since(f.began)))
	}
	f.handler.SetReachable(ok)
}

// step makes one read.
func (f *Follower) step(ctx context.Context) error {
	if !f.known {
		newest, err := f.from.Snapshot(ctx, f.part)
		if err != nil {
			return err
		}
		f.handler.Reset(newest.Records, newest.Next)
		f.next, f.known = newest.Next, true
		return nil
	}
	batch, err := f.from.Read(ctx, record.Read{Partition: f.part, From: f.next, Wait: f.wait})
	if err != nil {
		var expired *record.ExpiredError
		if f.newest || errors.As(err, &expired) {
			f.known = false
		}
		return err
	}
	if batch.Unreadable > 0 {
		f.log.Warn("unreadable records", "count", batch.Unreadable, "next", batch.Next)
	}
	f.handler.Apply(batch.Records, batch.Next)
	f.next = batch.Next
	return nil
}

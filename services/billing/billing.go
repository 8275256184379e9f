// Package billing queues ledger entries in memory and posts them to the ledger
// shards until the shards' streams contain them.
package billing

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cenkalti/backoff/v5"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/kernel"
	"github.com/crocusline/crocusline/models/ledger"
	"github.com/crocusline/crocusline/modules/delay"
)

// Name is the name of the billing service.
const Name = "billing"

// PosterName is the name of the service that Start uses as the Poster by
// default.
const PosterName = "ledger"

// Poster posts entries to a ledger shard. Post returns nil after the shard's
// stream contains all of them. After an error the stream may contain them as
// well; they are posted again, and the shard ignores the duplicates.
type Poster interface {
	Post(ctx context.Context, shard int, entries ...ledger.Entry) error
}

const (
	// maxBatch is the maximum number of entries in one post, unless a single
	// request has more.
	maxBatch = 256
	// postTimeout is the timeout of one post.
	postTimeout = 5 * time.Second
	// minRetryInterval and maxRetryInterval bound the delay before a failed
	// post is retried.
	minRetryInterval = 100 * time.Millisecond
	maxRetryInterval = 5 * time.Second
)

var (
	entriesPosted = metrics.NewCounter("crocusline_billing_entries_posted_total")
	postsFailed   = metrics.NewCounter("crocusline_billing_posts_failed_total")
)

// Outbox queues ledger entries for each shard, in order, until they are
// posted. The queue is in memory only.
type Outbox struct {
	poster  Poster
	log     hclog.Logger
	ctx     context.Context
	cancel  context.CancelFunc
	workers sync.WaitGroup

	mu     sync.Mutex
	shards map[int]*shard
	closed bool
}

// requestEntries are the entries of one request, which are posted together.
type requestEntries struct {
	entries []ledger.Entry
	// settled is called after the entries were posted. It may be nil.
	settled func()
}

// shard is the queue of one ledger shard.
type shard struct {
	number  int
	pending []requestEntries
	wake    chan struct{}
}

// Option configures an Outbox.
type Option func(*Outbox)

// WithPoster sets the Poster. By default, Start uses the service named
// PosterName.
func WithPoster(p Poster) Option { return func(o *Outbox) { o.poster = p } }

// New returns an empty outbox.
func New(opts ...Option) *Outbox {
	o := &Outbox{shards: map[int]*shard{}}
	for _, opt := range opts {
		opt(o)
	}
	return o
}

// Name implements kernel.Service.
func (o *Outbox) Name() string { return Name }

// Start implements kernel.Service.
func (o *Outbox) Start(ctx context.Context, kn *kernel.Kernel) error {
	if o.poster == nil {
		poster, ok := kn.Find(PosterName).(Poster)
		if !ok {
			return errors.WithStack(&kernel.NotFoundError{Name: PosterName, Want: "billing.Poster"})
		}
		o.poster = poster
	}
	o.log = kn.Log().Named(Name)
	o.ctx, o.cancel = context.WithCancel(ctx)
	return nil
}

// Close stops posting and waits until the current post has ended. Entries that
// are still pending are lost with the process, and their number is logged.
func (o *Outbox) Close() error {
	o.mu.Lock()
	o.closed = true
	o.mu.Unlock()
	o.cancel()
	o.workers.Wait()
	if n := o.Pending(); n > 0 {
		o.log.Error("pending bills lost at shutdown", "requests", n)
	}
	return nil
}

// Add queues the entries of one request for a shard. settled is called from
// another goroutine after the shard's stream contains them. The outbox is
// unbounded: the caller limits how many requests it accepts while entries are
// pending.
func (o *Outbox) Add(number int, entries []ledger.Entry, settled func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.shards[number]
	if s == nil {
		s = &shard{number: number, wake: make(chan struct{}, 1)}
		o.shards[number] = s
		if !o.closed {
			o.workers.Add(1)
			go o.run(s)
		}
	}
	s.pending = append(s.pending, requestEntries{entries: entries, settled: settled})
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Pending returns the number of requests whose entries are not posted yet.
func (o *Outbox) Pending() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, s := range o.shards {
		n += len(s.pending)
	}
	return n
}

// run posts the entries of one shard until the outbox closes.
func (o *Outbox) run(s *shard) {
	defer o.workers.Done()
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = minRetryInterval
	retry.MaxInterval = maxRetryInterval
	for {
		batch := o.nextBatch(s)
		if len(batch) == 0 {
			select {
			case <-s.wake:
				continue
			case <-o.ctx.Done():
				return
			}
		}
		if err := o.post(s.number, batch); err != nil {
			postsFailed.Inc()
			o.log.Warn("post to ledger shard failed", "shard", s.number, "requests", len(batch), "error", err)
			if !delay.Wait(o.ctx, retry.NextBackOff()) {
				return
			}
			continue
		}
		retry.Reset()
		o.remove(s, batch)
	}
}

// nextBatch returns the entries to post next. They stay in the queue until
// remove.
func (o *Outbox) nextBatch(s *shard) []requestEntries {
	o.mu.Lock()
	defer o.mu.Unlock()
	n, entries := 0, 0
	for n < len(s.pending) && (n == 0 || entries+len(s.pending[n].entries) <= maxBatch) {
		entries += len(s.pending[n].entries)
		n++
	}
	return s.pending[:n:n]
}

func (o *Outbox) post(number int, batch []requestEntries) error {
	ctx, cancel := context.WithTimeout(o.ctx, postTimeout)
	defer cancel()
	var entries []ledger.Entry
	for _, it := range batch {
		entries = append(entries, it.entries...)
	}
	if err := o.poster.Post(ctx, number, entries...); err != nil {
		return err
	}
	entriesPosted.Add(len(entries))
	return nil
}

// remove removes a posted batch from the queue and calls its settled
// callbacks.
func (o *Outbox) remove(s *shard, batch []requestEntries) {
	o.mu.Lock()
	rest := make([]requestEntries, len(s.pending)-len(batch))
	copy(rest, s.pending[len(batch):])
	s.pending = rest
	o.mu.Unlock()
	for _, it := range batch {
		if it.settled != nil {
			it.settled()
		}
	}
}

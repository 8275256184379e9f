// Package billing keeps the entries that a process owes the ledger shards until
// the shards' streams hold them.
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

// PosterName is the name of the service that reaches the ledger shards.
const PosterName = "ledger"

// Poster hands entries to a ledger shard. Post returns nil once the shard's
// stream holds all of them. After an error they may be there nevertheless, and
// are posted again: the shard drops what it has.
type Poster interface {
	Post(ctx context.Context, shard int, entries ...ledger.Entry) error
}

// Bounds of a post.
const (
	// maxBatch is the number of entries of one post.
	maxBatch = 256
	// postTimeout is how long one post may take.
	postTimeout = 5 * time.Second
	// minRetry and maxRetry bound the pause before a failed post is repeated.
	minRetry = 100 * time.Millisecond
	maxRetry = 5 * time.Second
)

var (
	entriesPosted = metrics.NewCounter("crocusline_billing_entries_posted_total")
	postsFailed   = metrics.NewCounter("crocusline_billing_posts_failed_total")
)

// Outbox keeps ledger entries, in order by shard, until they are posted.
type Outbox struct {
	poster Poster
	log    hclog.Logger
	ctx    context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup

	mu     sync.Mutex
	shards map[int]*shard
	closed bool
}

// item is the entries of one request, which are posted together.
type item struct {
	entries []ledger.Entry
	settled func()
}

// shard is what is owed to one ledger shard.
type shard struct {
	number int
	owed   []item
	wake   chan struct{}
}

// Option changes a Keeper at construction.
type Option func(*Outbox)

// WithPoster sets what reaches the shards. Without it, Start looks for the
// service named PosterName.
func WithPoster(p Poster) Option { return func(k *Outbox) { k.poster = p } }

// New returns a keeper that owes nothing.
func New(opts ...Option) *Outbox {
	k := &Outbox{shards: map[int]*shard{}}
	for _, opt := range opts {
		opt(k)
	}
	return k
}

// Name implements kernel.Service.
func (k *Outbox) Name() string { return Name }

// Start implements kernel.Service.
func (k *Outbox) Start(ctx context.Context, kn *kernel.Kernel) error {
	if k.poster == nil {
		poster, ok := kn.Find(PosterName).(Poster)
		if !ok {
			return errors.WithStack(&kernel.NotFoundError{Name: PosterName, Want: "billing.Poster"})
		}
		k.poster = poster
	}
	k.log = kn.Log().Named(Name)
	k.ctx, k.cancel = context.WithCancel(ctx)
	return nil
}

// Close stops posting and waits until it has stopped. What is still owed is
// lost with the process, and logged.
func (k *Outbox) Close() error {
	k.mu.Lock()
	k.closed = true
	k.mu.Unlock()
	k.cancel()
	k.work.Wait()
	if n := k.Pending(); n > 0 {
		k.log.Error("bills lost with the process", "requests", n)
	}
	return nil
}

// Add takes the entries of one request. settled is called from another
// goroutine once the shard's stream holds them. The caller bounds how many
// requests it lets go on while entries are owed.
func (k *Outbox) Add(number int, entries []ledger.Entry, settled func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.shards[number]
	if s == nil {
		s = &shard{number: number, wake: make(chan struct{}, 1)}
		k.shards[number] = s
		if !k.closed {
			k.work.Add(1)
			go k.serve(s)
		}
	}
	s.owed = append(s.owed, item{entries: entries, settled: settled})
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Pending returns the number of requests whose entries are not posted yet.
func (k *Outbox) Pending() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := 0
	for _, s := range k.shards {
		n += len(s.owed)
	}
	return n
}

// serve posts what is owed to one shard until the keeper closes.
func (k *Outbox) serve(s *shard) {
	defer k.work.Done()
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = minRetry
	pause.MaxInterval = maxRetry
	for {
		batch := k.batch(s)
		if len(batch) == 0 {
			select {
			case <-s.wake:
				continue
			case <-k.ctx.Done():
				return
			}
		}
		if err := k.post(s.number, batch); err != nil {
			postsFailed.Inc()
			k.log.Warn("post to ledger shard failed", "shard", s.number, "requests", len(batch), "error", err)
			if !delay.Wait(k.ctx, pause.NextBackOff()) {
				return
			}
			continue
		}
		pause.Reset()
		k.settle(s, batch)
	}
}

// batch returns what is posted next, without taking it out.
func (k *Outbox) batch(s *shard) []item {
	k.mu.Lock()
	defer k.mu.Unlock()
	n, entries := 0, 0
	for n < len(s.owed) && (n == 0 || entries+len(s.owed[n].entries) <= maxBatch) {
		entries += len(s.owed[n].entries)
		n++
	}
	return s.owed[:n:n]
}

func (k *Outbox) post(number int, batch []item) error {
	ctx, cancel := context.WithTimeout(k.ctx, postTimeout)
	defer cancel()
	var entries []ledger.Entry
	for _, it := range batch {
		entries = append(entries, it.entries...)
	}
	if err := k.poster.Post(ctx, number, entries...); err != nil {
		return err
	}
	entriesPosted.Add(len(entries))
	return nil
}

// settle takes out what was posted.
func (k *Outbox) settle(s *shard, batch []item) {
	k.mu.Lock()
	rest := make([]item, len(s.owed)-len(batch))
	copy(rest, s.owed[len(batch):])
	s.owed = rest
	k.mu.Unlock()
	for _, it := range batch {
		if it.settled != nil {
			it.settled()
		}
	}
}

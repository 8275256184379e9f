// Package runner runs the requests of one backend server. One goroutine, the event
// loop, queues, starts and cancels requests; each running request has a goroutine
// of its own.
package runner

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/kernel"
	"github.com/crocusline/crocusline/models/ledger"
	"github.com/crocusline/crocusline/models/queue"
	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/models/run"
)

// Name is the name of the runner service.
const Name = "runner"

// BillingName is the name of the service that implements Outbox.
const BillingName = "billing"

// Outbox posts ledger entries to a shard's stream. It retries until the stream has
// stored them and then calls settled.
type Outbox interface {
	Add(shard int, entries []ledger.Entry, settled func())
}

// Waiting counts the work that has to end before a draining server can stop.
type Waiting struct {
	// Requests counts the requests that are queued, running, or cancelled but not
	// ended.
	Requests int
	// Subscriptions counts the open answer streams.
	Subscriptions int
	// Bills counts the bills that the ledger has not stored yet.
	Bills int
}

const (
	// DefaultSlots is the default for WithSlots.
	DefaultSlots = 16
	// EventQueueSize is the capacity of the event loop's channel.
	EventQueueSize = 1024
	// expiryInterval is the time between two checks for expired runs and answers.
	expiryInterval = 100 * time.Millisecond
)

// Runner runs the requests of one backend server.
type Runner struct {
	server      string
	incarnation string
	backend     Backend
	slots       int
	limits      run.Limits
	outbox      Outbox
	log         hclog.Logger

	queueOptions []queue.Option

	ctx     context.Context
	cancel  context.CancelFunc
	events  chan event
	done    chan struct{}
	jobs    sync.WaitGroup
	load    atomic.Pointer[queue.Load]
	waiting atomic.Pointer[Waiting]

	loop *eventLoop
}

// Option configures a Runner.
type Option func(*Runner)

// WithSlots sets how many requests the server runs concurrently.
func WithSlots(n int) Option { return func(r *Runner) { r.slots = n } }

// WithQueueOptions sets the options of the queue.
func WithQueueOptions(opts ...queue.Option) Option {
	return func(r *Runner) { r.queueOptions = opts }
}

// WithLimits sets the limits of the request tracker.
func WithLimits(l run.Limits) Option { return func(r *Runner) { r.limits = l } }

// WithOutbox sets the outbox for bills. By default, Start uses the service named
// BillingName.
func WithOutbox(b Outbox) Option { return func(r *Runner) { r.outbox = b } }

// New returns the runner of the backend server with the given name.
func New(server, incarnation string, backend Backend, opts ...Option) *Runner {
	r := &Runner{
		server:      server,
		incarnation: incarnation,
		backend:     backend,
		slots:       DefaultSlots,
		limits:      run.DefaultLimits(),
		events:      make(chan event, EventQueueSize),
		done:        make(chan struct{}),
	}
	for _, opt := range opts {
		opt(r)
	}
	r.loop = newLoop(r)
	r.load.Store(&queue.Load{Slots: r.slots})
	r.waiting.Store(&Waiting{})
	return r
}

// Name implements kernel.Service.
func (r *Runner) Name() string { return Name }

// Start implements kernel.Service.
func (r *Runner) Start(ctx context.Context, k *kernel.Kernel) error {
	if r.outbox == nil {
		outbox, ok := k.Find(BillingName).(Outbox)
		if !ok {
			return errors.WithStack(&kernel.NotFoundError{Name: BillingName, Want: "runner.Outbox"})
		}
		r.outbox = outbox
	}
	r.log = k.Log().Named(Name)
	r.ctx, r.cancel = context.WithCancel(ctx)
	go r.loop.run()
	return nil
}

// Close cancels the running requests and waits until they have ended.
func (r *Runner) Close() error {
	r.cancel()
	<-r.done
	r.jobs.Wait()
	return nil
}

// Server returns the backend server's name.
func (r *Runner) Server() string { return r.server }

// Incarnation returns the sidecar's incarnation.
func (r *Runner) Incarnation() string { return r.incarnation }

// Load returns the load of the server.
func (r *Runner) Load() queue.Load { return *r.load.Load() }

// WaitsFor returns the work that has not ended.
func (r *Runner) WaitsFor() Waiting { return *r.waiting.Load() }

// Submit queues a request, or joins the run of an earlier request with the same
// identity. The caller must close the subscription. The error is a *refusal.Error;
// outcome "not run" means that this call started nothing.
func (r *Runner) Submit(ctx context.Context, req run.Request) (*Subscription, error) {
	reply := make(chan submitReply, 1)
	select {
	case r.events <- submitEvent{request: req, reply: reply}:
	case <-r.done:
		return nil, refusal.New(refusal.ShuttingDown, 0, "The sidecar is shutting down: try another server.")
	default:
		countRefusal(refusal.QueueFull)
		return nil, refusal.New(refusal.QueueFull, time.Second, "The sidecar is behind with its events.")
	}
	select {
	case got := <-reply:
		return got.subscription, got.err
	case <-r.done:
		return nil, shutdownError()
	case <-ctx.Done():
		go r.closeAbandoned(reply)
		return nil, &refusal.Error{
			Reason:  refusal.DeadlineExpired,
			Outcome: refusal.Unknown,
			Advice:  "The request was given up while it was taken in.",
		}
	}
}

// closeAbandoned closes the subscription opened by a Submit call that has already
// returned.
func (r *Runner) closeAbandoned(reply <-chan submitReply) {
	select {
	case got := <-reply:
		if got.subscription != nil {
			got.subscription.Close(false)
		}
	case <-r.done:
	}
}

// Acknowledge records that a whole answer reached the caller.
func (r *Runner) Acknowledge(ctx context.Context, requestID string) (run.Acknowledgement, error) {
	reply := make(chan run.Acknowledgement, 1)
	if err := r.send(ctx, acknowledgeEvent{requestID: requestID, reply: reply}); err != nil {
		return run.Acknowledgement{}, err
	}
	select {
	case got := <-reply:
		return got, nil
	case <-r.done:
		return run.Acknowledgement{}, shutdownError()
	}
}

// Inquire returns the state of a request and optionally fences it, see
// run.Tracker.Inquire.
func (r *Runner) Inquire(ctx context.Context, ref run.RequestRef, fence bool) (run.State, error) {
	reply := make(chan inquireReply, 1)
	if err := r.send(ctx, inquireEvent{ref: ref, fence: fence, reply: reply}); err != nil {
		return run.NotSeen, err
	}
	select {
	case got := <-reply:
		return got.state, got.err
	case <-r.done:
		return run.NotSeen, shutdownError()
	}
}

// FenceEntry refuses all further requests of an entry incarnation. It reports
// whether this sidecar can no longer charge a hold of the entry.
func (r *Runner) FenceEntry(ctx context.Context, entry string) (bool, error) {
	reply := make(chan bool, 1)
	if err := r.send(ctx, fenceEvent{entry: entry, reply: reply}); err != nil {
		return false, err
	}
	select {
	case settled := <-reply:
		return settled, nil
	case <-r.done:
		return false, shutdownError()
	}
}

// Drain starts or ends draining. It returns once new requests are refused, or
// accepted again.
func (r *Runner) Drain(ctx context.Context, draining bool) error {
	reply := make(chan struct{}, 1)
	if err := r.send(ctx, drainEvent{draining: draining, reply: reply}); err != nil {
		return err
	}
	select {
	case <-reply:
		return nil
	case <-r.done:
		return shutdownError()
	}
}

// send sends an event to the event loop, unless ctx ends first.
func (r *Runner) send(ctx context.Context, e event) error {
	select {
	case r.events <- e:
		return nil
	case <-r.done:
		return shutdownError()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// mustSend sends an event that must not be lost. It blocks until the event loop has
// room for the event or has ended.
func (r *Runner) mustSend(e event) {
	select {
	case r.events <- e:
	case <-r.done:
	}
}

// queueID returns the id of a run in the queue.
func queueID(id run.ID) string {
	return strconv.FormatUint(uint64(id), 10)
}

// runID returns the run of an id in the queue.
func runID(s string) run.ID {
	id, _ := strconv.ParseUint(s, 10, 64)
	return run.ID(id)
}

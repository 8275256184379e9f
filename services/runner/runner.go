// Package runner runs the requests of one backend server: one goroutine decides
// what is queued, started and cancelled, and each running request has one of
// its own.
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

// BillingName is the name of the service that keeps the bills.
const BillingName = "billing"

// Outbox keeps ledger entries until the shard's stream holds them, then calls
// settled.
type Outbox interface {
	Add(shard int, entries []ledger.Entry, settled func())
}

// Waiting says what a drained server still waits for.
type Waiting struct {
	// Requests are queued, running, or cancelled and about to end.
	Requests int
	// Subscriptions still read an answer.
	Subscriptions int
	// Bills are not in the ledger yet.
	Bills int
}

// Defaults of the options.
const (
	DefaultSlots = 16
	// EventQueueSize is the number of events that may wait for the loop.
	EventQueueSize = 1024
	// expiryInterval is how often the loop looks for runs and answers whose time is over.
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

// Option changes a Runner at construction.
type Option func(*Runner)

// WithSlots sets how many requests the server runs at once.
func WithSlots(n int) Option { return func(r *Runner) { r.slots = n } }

// WithQueueOptions sets options of the queue.
func WithQueueOptions(opts ...queue.Option) Option {
	return func(r *Runner) { r.queueOptions = opts }
}

// WithLimits sets the bounds of the record.
func WithLimits(l run.Limits) Option { return func(r *Runner) { r.limits = l } }

// WithOutbox sets the keeper of the bills. Without it, Start looks for the
// service named BillingName.
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
		biller, ok := k.Find(BillingName).(Outbox)
		if !ok {
			return errors.WithStack(&kernel.NotFoundError{Name: BillingName, Want: "runner.Outbox"})
		}
		r.outbox = biller
	}
	r.log = k.Log().Named(Name)
	r.ctx, r.cancel = context.WithCancel(ctx)
	go r.loop.run()
	return nil
}

// Close cancels what still runs and waits for it.
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

// Load returns the server's state.
func (r *Runner) Load() queue.Load { return *r.load.Load() }

// WaitsFor returns what still runs and which bills the ledger does not hold.
func (r *Runner) WaitsFor() Waiting { return *r.waiting.Load() }

// Submit queues a request, or joins the run of an earlier one with the same
// identity. The error is a *refusal.Error whose outcome says whether this call
// started anything. The relay has to be closed.
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

// closeAbandoned closes the relay that an abandoned Submit opens.
func (r *Runner) closeAbandoned(reply <-chan submitReply) {
	select {
	case got := <-reply:
		if got.subscription != nil {
			got.subscription.Close(false)
		}
	case <-r.done:
	}
}

// Acknowledge says that a whole answer reached the caller.
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

// Inquire returns the state of a request, and fences it if asked: see
// run.Book.Inquire.
func (r *Runner) Inquire(ctx context.Context, name run.RequestRef, fence bool) (run.State, error) {
	reply := make(chan inquireReply, 1)
	if err := r.send(ctx, inquireEvent{ref: name, fence: fence, reply: reply}); err != nil {
		return run.NotSeen, err
	}
	select {
	case got := <-reply:
		return got.state, got.err
	case <-r.done:
		return run.NotSeen, shutdownError()
	}
}

// FenceEntry refuses all later requests of an entry incarnation. It returns
// whether no hold of the entry can be charged by this sidecar any more.
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

// Drain refuses new requests, or takes them again. It returns once the decision
// is in force.
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

// send hands an event to the loop.
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

// mustSend hands over an event that must not be lost.
func (r *Runner) mustSend(e event) {
	select {
	case r.events <- e:
	case <-r.done:
	}
}

// queueID is the run's name in the queue.
func queueID(id run.ID) string {
	return strconv.FormatUint(uint64(id), 10)
}

// runID returns the run that a name in the queue stands for.
func runID(name string) run.ID {
	id, _ := strconv.ParseUint(name, 10, 64)
	return run.ID(id)
}

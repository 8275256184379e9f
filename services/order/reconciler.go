// Package order reconciles a model engine's role and loaded models with the
// published tables. Only the engine's current sidecar incarnation sends it orders.
// Before each order it appends a claim to the control stream. The claim's position
// in the stream is the order's fencing number, and the claim fails if a newer
// incarnation has registered or this one was fenced. The engine's reported state is
// compared periodically, so that the effect of a delayed order on an engine that
// ignores fencing numbers is corrected.
package order

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cenkalti/backoff/v5"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/kernel"
	"github.com/crocusline/crocusline/models/fleet"
	"github.com/crocusline/crocusline/services/server"
)

// Name is the name of the order service.
const Name = "order"

// ControlName is the name of the service that keeps the fleet's state.
const ControlName = "control"

// Control provides the fleet's state and appends events to the control stream.
type Control interface {
	Member() fleet.Member
	State() *fleet.State
	// Publish appends the event and returns when it has been read back and applied.
	Publish(ctx context.Context, event fleet.Event) (fleet.Result, error)
}

// Engine is a model engine. *server.Engine implements it.
type Engine interface {
	State(ctx context.Context) (server.EngineState, error)
	// SendOrder sends the order. It fails if the order is not written before
	// sendDeadline.
	SendOrder(ctx context.Context, order server.Order, sendDeadline time.Time) error
}

// Intervals and timeouts.
const (
	// DefaultInterval is the default time between two comparisons of the engine's
	// state with the tables.
	DefaultInterval = 2 * time.Second
	// maxClaimAge is the maximum time from the start of a claim until its order is
	// written to the engine.
	maxClaimAge = 2 * time.Second
	// orderTimeout is the maximum time that an engine may take to carry out an order.
	orderTimeout = 5 * time.Minute
	// settleIntervals is the number of intervals until the next comparison after an
	// order, because the engine's report may not yet include the order.
	settleIntervals = 5
	// maxBackoff is the maximum time between two attempts after failures.
	maxBackoff = time.Minute
)

var (
	ordersSent       = metrics.NewCounter("crocusline_orders_given_total")
	ordersFenced     = metrics.NewCounter("crocusline_orders_refused_total{reason=\"fenced\"}")
	ordersFailed     = metrics.NewCounter("crocusline_orders_refused_total{reason=\"engineFailed\"}")
	claimsFailed     = metrics.NewCounter("crocusline_orders_refused_total{reason=\"logUnavailable\"}")
	claimsStale      = metrics.NewCounter("crocusline_orders_refused_total{reason=\"claimOutdated\"}")
	claimsSuperseded = metrics.NewCounter("crocusline_orders_refused_total{reason=\"superseded\"}")
)

// SupersededError reports that this incarnation may no longer send orders, because a
// newer incarnation has replaced it or it was fenced. This is permanent.
type SupersededError struct {
	Incarnation string
}

// Error implements error.
func (e *SupersededError) Error() string {
	return "incarnation " + e.Incarnation + " was replaced or fenced"
}

// StaleClaimError reports that an order was not sent because its claim is too old:
// another incarnation may have registered since.
type StaleClaimError struct {
	Age time.Duration
}

// Error implements error.
func (e *StaleClaimError) Error() string {
	return "claim is stale: it was started " + e.Age.String() + " ago"
}

// Reconciler sends orders to one engine until its reported state matches the
// published tables. It is a kernel.Service.
type Reconciler struct {
	engine   Engine
	control  Control
	interval time.Duration
	log      hclog.Logger
	cancel   context.CancelFunc
	done     sync.WaitGroup
}

// Option configures a Reconciler.
type Option func(*Reconciler)

// WithControl sets the control service. Without it, Start uses the kernel's service
// with the name ControlName.
func WithControl(c Control) Option { return func(r *Reconciler) { r.control = c } }

// WithInterval sets the time between two comparisons.
func WithInterval(d time.Duration) Option { return func(r *Reconciler) { r.interval = d } }

// New returns a reconciler of an engine.
func New(engine Engine, opts ...Option) *Reconciler {
	r := &Reconciler{engine: engine, interval: DefaultInterval}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Name implements kernel.Service.
func (r *Reconciler) Name() string { return Name }

// Start implements kernel.Service.
func (r *Reconciler) Start(ctx context.Context, k *kernel.Kernel) error {
	if r.control == nil {
		control, ok := k.Find(ControlName).(Control)
		if !ok {
			return errors.WithStack(&kernel.NotFoundError{Name: ControlName, Want: "order.Control"})
		}
		r.control = control
	}
	r.log = k.Log().Named(Name)
	ctx, r.cancel = context.WithCancel(ctx)
	r.done.Go(func() { r.run(ctx) })
	return nil
}

// Close implements kernel.Service.
func (r *Reconciler) Close() error {
	r.cancel()
	r.done.Wait()
	return nil
}

// run reconciles periodically until the reconciler is closed or superseded.
func (r *Reconciler) run(ctx context.Context) {
	retryDelay := backoff.NewExponentialBackOff()
	retryDelay.InitialInterval = r.interval
	retryDelay.MaxInterval = max(maxBackoff, r.interval)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		sent, err := r.reconcile(ctx)
		var superseded *SupersededError
		switch {
		case errors.As(err, &superseded):
			r.log.Warn("engine orders stopped", "incarnation", superseded.Incarnation)
			return
		case err != nil:
			r.log.Warn("engine orders not sent", "error", err)
			timer.Reset(retryDelay.NextBackOff())
		case sent > 0:
			retryDelay.Reset()
			timer.Reset(settleIntervals * r.interval)
		default:
			retryDelay.Reset()
			timer.Reset(r.interval)
		}
	}
}

// reconcile compares the engine's state with the tables, sends the orders that are
// needed and returns their number.
func (r *Reconciler) reconcile(ctx context.Context) (int, error) {
	name := r.control.Member().Server
	reported, err := r.engine.State(ctx)
	if err != nil {
		ordersFailed.Inc()
		return 0, errors.WithMessage(err, "read engine state")
	}
	sent := 0
	for _, o := range PlanOrders(DesiredState(r.control.State().Tables, name), reported) {
		claimedAt := time.Now()
		state, err := r.claim(ctx)
		if err != nil {
			return sent, err
		}
		if !slices.Contains(PlanOrders(DesiredState(state.Tables, name), reported), o) {
			continue
		}
		o.FencingNumber = state.Next - 1
		o.Sender = r.control.Member().Incarnation
		if err := r.send(ctx, claimedAt, o); err != nil {
			return sent, err
		}
		sent++
	}
	return sent, nil
}

// claim appends this incarnation's registration again and returns the state after
// it was read back. It fails if this incarnation was replaced or fenced before.
func (r *Reconciler) claim(ctx context.Context) (*fleet.State, error) {
	self := r.control.Member()
	if _, err := r.control.Publish(ctx, fleet.Register{Member: self}); err != nil {
		claimsFailed.Inc()
		return nil, errors.WithMessage(err, "append claim")
	}
	state := r.control.State()
	if _, current := state.Members[self.Incarnation]; !current {
		claimsSuperseded.Inc()
		return nil, errors.WithStack(&SupersededError{Incarnation: self.Incarnation})
	}
	return state, nil
}

// send sends one order. It fails if the claim is too old, for example because the
// process was suspended.
func (r *Reconciler) send(ctx context.Context, claimedAt time.Time, o server.Order) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if age := time.Since(claimedAt); age >= maxClaimAge {
		claimsStale.Inc()
		return errors.WithStack(&StaleClaimError{Age: age})
	}
	err := r.engine.SendOrder(ctx, o, claimedAt.Add(maxClaimAge))
	var fenced *server.FencedError
	switch {
	case errors.As(err, &fenced):
		ordersFenced.Inc()
	case err != nil:
		ordersFailed.Inc()
	default:
		ordersSent.Inc()
		r.log.Info("engine order carried out", "order", o.Order, "model", o.Model, "role", o.Role, "fencingNumber", o.FencingNumber)
	}
	return errors.WithMessage(err, "send order")
}

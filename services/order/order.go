// Package order makes a model engine hold the models and play the role that the
// published tables ask of it. The sidecar is the engine's only writer. Before each
// order it claims the turn in the control stream: the claim's position is the
// fencing number, and the claim fails once a newer incarnation took over.
// What the engine reports is compared again and again, so that an order which
// came late to an engine that ignores fencing numbers is put right.
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

// Control knows the fleet's state and appends to its stream.
type Control interface {
	Member() fleet.Member
	State() *fleet.State
	// Publish appends the event and returns once it was read back at its place.
	Publish(ctx context.Context, event fleet.Event) (fleet.Result, error)
}

// Engine takes orders. *server.Engine implements it.
type Engine interface {
	State(ctx context.Context) (server.EngineState, error)
	// SendOrder gives the order, unless it can't be sent by the given time.
	SendOrder(ctx context.Context, order server.Order, by time.Time) error
}

// Defaults and bounds.
const (
	// DefaultInterval is how often the engine's report is compared.
	DefaultInterval = 2 * time.Second
	// claimAge is how long after a claim began its order may be sent.
	claimAge = 2 * time.Second
	// answerTimeout is how long an engine may take to carry out an order.
	answerTimeout = 5 * time.Minute
	// settleIntervals is how many intervals an engine has to report an order
	// that it carried out.
	settleIntervals = 5
	// maxPause bounds the pause after orders that did not succeed.
	maxPause = time.Minute
)

var (
	ordersGiven    = metrics.NewCounter("crocusline_orders_given_total")
	ordersRefused  = metrics.NewCounter("crocusline_orders_refused_total{reason=\"fenced\"}")
	ordersFailed   = metrics.NewCounter("crocusline_orders_refused_total{reason=\"engineFailed\"}")
	claimsFailed   = metrics.NewCounter("crocusline_orders_refused_total{reason=\"logUnavailable\"}")
	claimsOutdated = metrics.NewCounter("crocusline_orders_refused_total{reason=\"claimOutdated\"}")
	ordersEnded    = metrics.NewCounter("crocusline_orders_refused_total{reason=\"superseded\"}")
)

// SupersededError says that a newer incarnation took over, for good.
type SupersededError struct {
	Incarnation string
}

// Error implements error.
func (e *SupersededError) Error() string {
	return "incarnation " + e.Incarnation + " is not the engine's writer any more"
}

// StaleClaimError says that too much time passed since the turn was claimed.
type StaleClaimError struct {
	Age time.Duration
}

// Error implements error.
func (e *StaleClaimError) Error() string {
	return "claim is " + e.Age.String() + " old"
}

// Reconciler gives orders to one engine.
type Reconciler struct {
	engine   Engine
	control  Control
	interval time.Duration
	log      hclog.Logger
	cancel   context.CancelFunc
	done     sync.WaitGroup
}

// Option changes a Writer at construction.
type Option func(*Reconciler)

// WithControl sets what knows the fleet's state. Without it, Start looks for
// the service named ControlName.
func WithControl(c Control) Option { return func(w *Reconciler) { w.control = c } }

// WithInterval sets how often the engine's report is compared.
func WithInterval(d time.Duration) Option { return func(w *Reconciler) { w.interval = d } }

// New returns the writer of an engine.
func New(engine Engine, opts ...Option) *Reconciler {
	w := &Reconciler{engine: engine, interval: DefaultInterval}
	for _, opt := range opts {
		opt(w)
	}
	return w
}

// Name implements kernel.Service.
func (w *Reconciler) Name() string { return Name }

// Start implements kernel.Service.
func (w *Reconciler) Start(ctx context.Context, k *kernel.Kernel) error {
	if w.control == nil {
		control, ok := k.Find(ControlName).(Control)
		if !ok {
			return errors.WithStack(&kernel.NotFoundError{Name: ControlName, Want: "order.Control"})
		}
		w.control = control
	}
	w.log = k.Log().Named(Name)
	ctx, w.cancel = context.WithCancel(ctx)
	w.done.Go(func() { w.serve(ctx) })
	return nil
}

// Close implements kernel.Service.
func (w *Reconciler) Close() error {
	w.cancel()
	w.done.Wait()
	return nil
}

// serve compares until the writer closes or was superseded.
func (w *Reconciler) serve(ctx context.Context) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = w.interval
	pause.MaxInterval = max(maxPause, w.interval)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		given, err := w.step(ctx)
		var superseded *SupersededError
		switch {
		case errors.As(err, &superseded):
			w.log.Warn("orders ended", "incarnation", superseded.Incarnation)
			return
		case err != nil:
			w.log.Warn("orders not given", "error", err)
			timer.Reset(pause.NextBackOff())
		case given > 0:
			pause.Reset()
			timer.Reset(settleIntervals * w.interval)
		default:
			pause.Reset()
			timer.Reset(w.interval)
		}
	}
}

// step compares once, gives the orders that are missing and returns their
// number.
func (w *Reconciler) step(ctx context.Context) (int, error) {
	name := w.control.Member().Server
	has, err := w.engine.State(ctx)
	if err != nil {
		ordersFailed.Inc()
		return 0, errors.WithMessage(err, "read setup")
	}
	given := 0
	for _, o := range PlanOrders(DesiredState(w.control.State().Tables, name), has) {
		began := time.Now()
		state, err := w.claim(ctx)
		if err != nil {
			return given, err
		}
		if !slices.Contains(PlanOrders(DesiredState(state.Tables, name), has), o) {
			continue
		}
		o.FencingNumber = state.Next - 1
		o.Sender = w.control.Member().Incarnation
		if err := w.give(ctx, began, o); err != nil {
			return given, err
		}
		given++
	}
	return given, nil
}

// claim appends this incarnation's registration once more and reads it back.
// The state that it returns holds the claim, and no later incarnation.
func (w *Reconciler) claim(ctx context.Context) (*fleet.State, error) {
	self := w.control.Member()
	if _, err := w.control.Publish(ctx, fleet.Register{Member: self}); err != nil {
		claimsFailed.Inc()
		return nil, errors.WithMessage(err, "claim")
	}
	state := w.control.State()
	if _, current := state.Members[self.Incarnation]; !current {
		ordersEnded.Inc()
		return nil, errors.WithStack(&SupersededError{Incarnation: self.Incarnation})
	}
	return state, nil
}

// give gives one order, unless the process was held up since the claim began.
func (w *Reconciler) give(ctx context.Context, began time.Time, o server.Order) error {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	if age := time.Since(began); age >= claimAge {
		claimsOutdated.Inc()
		return errors.WithStack(&StaleClaimError{Age: age})
	}
	err := w.engine.SendOrder(ctx, o, began.Add(claimAge))
	var fenced *server.FencedError
	switch {
	case errors.As(err, &fenced):
		ordersRefused.Inc()
	case err != nil:
		ordersFailed.Inc()
	default:
		ordersGiven.Inc()
		w.log.Info("order given", "order", o.Order, "model", o.Model, "role", o.Role, "fencingNumber", o.FencingNumber)
	}
	return errors.WithMessage(err, "give order")
}

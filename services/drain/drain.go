// Package drain takes a backend server out of service without cutting off a
// request: new work is refused at once, what runs goes to its end and what is
// owed to the ledger is posted.
package drain

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/coordination/drain"
	"github.com/crocusline/crocusline/kernel"
	"github.com/crocusline/crocusline/services/runner"
)

// Name is the name of the drain service.
const Name = "drain"

// Drainable is the work that has to end. *runner.Runner implements it.
type Drainable interface {
	Drain(ctx context.Context, draining bool) error
	WaitsFor() runner.Waiting
}

// TimeoutError says that a drain did not end in time.
type TimeoutError struct {
	Waited    time.Duration
	Remaining runner.Waiting
}

// Error implements error.
func (e *TimeoutError) Error() string {
	return fmt.Sprintf("drain not ended after %s: %d requests running, %d answers being read, %d bills not posted",
		e.Waited, e.Remaining.Requests, e.Remaining.Subscriptions, e.Remaining.Bills)
}

// poll is how often an ending drain is looked at.
const poll = 50 * time.Millisecond

// Drainer drains one backend server.
type Drainer struct {
	work Drainable
	log  hclog.Logger

	mu    sync.Mutex
	state drain.State
}

// Option changes a Drainer at construction.
type Option func(*Drainer)

// WithWork sets what is drained. Without it, Start looks for the runner.
func WithWork(w Drainable) Option { return func(d *Drainer) { d.work = w } }

// New returns a drainer of a server that is in service.
func New(opts ...Option) *Drainer {
	d := &Drainer{}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// Name implements kernel.Service.
func (d *Drainer) Name() string { return Name }

// Start implements kernel.Service.
func (d *Drainer) Start(_ context.Context, k *kernel.Kernel) error {
	if d.work == nil {
		work, ok := k.Find(runner.Name).(Drainable)
		if !ok {
			return errors.WithStack(&kernel.NotFoundError{Name: runner.Name, Want: "drain.Drainable"})
		}
		d.work = work
	}
	d.log = k.Log().Named(Name)
	return nil
}

// Close implements kernel.Service. It does not wait for the drain: Shutdown does.
func (d *Drainer) Close() error { return nil }

// SetPlannedStop follows the published plan: from now on the server is leaving, or it is
// in service again. It returns once the decision is in force.
func (d *Drainer) SetPlannedStop(ctx context.Context, leaving bool) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := d.state.WithPlannedStop(leaving)
	if next == d.state {
		return nil
	}
	if err := d.work.Drain(ctx, next.Draining()); err != nil {
		return errors.WithMessage(err, "drain")
	}
	d.state = next
	d.log.Info("planned stop", "leaving", leaving)
	return nil
}

// Draining reports whether the server takes no new work.
func (d *Drainer) Draining() bool { return d.current().Draining() }

func (d *Drainer) current() drain.State {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state
}

// WaitsFor returns what has to end before the stop is safe.
func (d *Drainer) WaitsFor() runner.Waiting { return d.work.WaitsFor() }

// SafeToStop reports whether the server takes no new work and nothing is left.
func (d *Drainer) SafeToStop() bool {
	return d.current().SafeToStop(loads(d.work.WaitsFor())...)
}

func loads(w runner.Waiting) []drain.PendingWork {
	return []drain.PendingWork{
		{Name: "requests", Count: w.Requests},
		{Name: "relays", Count: w.Subscriptions},
		{Name: "bills", Count: w.Bills},
	}
}

// Shutdown refuses new work and waits until nothing is left. When the context
// ends first it returns a *TimeoutError.
func (d *Drainer) Shutdown(ctx context.Context) error {
	began := time.Now()
	d.mu.Lock()
	d.state = d.state.WithShutdown()
	err := d.work.Drain(ctx, true)
	d.mu.Unlock()
	if err != nil {
		return errors.WithMessage(err, "drain")
	}
	ticker := time.NewTicker(poll)
	defer ticker.Stop()
	for {
		left := d.work.WaitsFor()
		if d.current().SafeToStop(loads(left)...) {
			d.log.Info("drained", "waited", time.Since(began))
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return &TimeoutError{Waited: time.Since(began), Remaining: left}
		}
	}
}

// Package drain takes a backend server out of service without interrupting
// requests. New requests are refused immediately, running requests complete and
// outstanding bills are posted to the ledger.
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

// Drainable runs the server's requests and can refuse new ones. *runner.Runner
// implements it.
type Drainable interface {
	Drain(ctx context.Context, draining bool) error
	WaitsFor() runner.Waiting
}

// TimeoutError reports that work remained when the drain timed out.
type TimeoutError struct {
	Waited    time.Duration
	Remaining runner.Waiting
}

// Error implements error.
func (e *TimeoutError) Error() string {
	return fmt.Sprintf("drain timed out after %s: %d requests running, %d responses being streamed, %d bills not posted",
		e.Waited, e.Remaining.Requests, e.Remaining.Subscriptions, e.Remaining.Bills)
}

// pollInterval is the time between two checks for remaining work during Shutdown.
const pollInterval = 50 * time.Millisecond

// Drainer drains one backend server.
type Drainer struct {
	work Drainable
	log  hclog.Logger

	mu    sync.Mutex
	state drain.State
}

// Option configures a Drainer.
type Option func(*Drainer)

// WithWork sets what is drained. Without it, Start uses the kernel's runner service.
func WithWork(w Drainable) Option { return func(d *Drainer) { d.work = w } }

// New returns a Drainer of a server that accepts requests.
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

// Close implements kernel.Service. It does not wait for remaining work; Shutdown
// does.
func (d *Drainer) Close() error { return nil }

// SetPlannedStop starts the drain when a stop of the server is planned, and ends it
// when the plan is withdrawn. It returns after the change has taken effect.
func (d *Drainer) SetPlannedStop(ctx context.Context, planned bool) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := d.state.WithPlannedStop(planned)
	if next == d.state {
		return nil
	}
	if err := d.work.Drain(ctx, next.Draining()); err != nil {
		return errors.WithMessage(err, "drain")
	}
	d.state = next
	d.log.Info("planned stop", "leaving", planned)
	return nil
}

// Draining reports whether the server refuses new requests.
func (d *Drainer) Draining() bool { return d.currentState().Draining() }

func (d *Drainer) currentState() drain.State {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state
}

// WaitsFor returns the work that must end before the server can stop safely.
func (d *Drainer) WaitsFor() runner.Waiting { return d.work.WaitsFor() }

// SafeToStop reports whether the server refuses new requests and no work remains.
func (d *Drainer) SafeToStop() bool {
	return d.currentState().SafeToStop(pendingWork(d.work.WaitsFor())...)
}

func pendingWork(w runner.Waiting) []drain.PendingWork {
	return []drain.PendingWork{
		{Name: "requests", Count: w.Requests},
		{Name: "subscriptions", Count: w.Subscriptions},
		{Name: "bills", Count: w.Bills},
	}
}

// Shutdown refuses new requests and waits until no work remains. If the context
// ends first, it returns a *TimeoutError.
func (d *Drainer) Shutdown(ctx context.Context) error {
	start := time.Now()
	d.mu.Lock()
	d.state = d.state.WithShutdown()
	err := d.work.Drain(ctx, true)
	d.mu.Unlock()
	if err != nil {
		return errors.WithMessage(err, "drain")
	}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		remaining := d.work.WaitsFor()
		if d.currentState().SafeToStop(pendingWork(remaining)...) {
			d.log.Info("drained", "waited", time.Since(start))
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return &TimeoutError{Waited: time.Since(start), Remaining: remaining}
		}
	}
}

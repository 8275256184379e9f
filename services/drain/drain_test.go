package drain

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/crocusline/crocusline/kernel"
	"github.com/crocusline/crocusline/services/runner"
)

// fakeWork has one running request until a point in time.
type fakeWork struct {
	draining bool
	endsAt   time.Time
}

func (f *fakeWork) Drain(_ context.Context, draining bool) error {
	f.draining = draining
	return nil
}

func (f *fakeWork) WaitsFor() runner.Waiting {
	if time.Now().Before(f.endsAt) {
		return runner.Waiting{Requests: 1}
	}
	return runner.Waiting{}
}

func start(t *testing.T, w Drainable) *Drainer {
	t.Helper()
	d := New(WithWork(w))
	if err := d.Start(context.Background(), kernel.New(hclog.NewNullLogger())); err != nil {
		t.Fatal(err)
	}
	return d
}

func TestPlannedStopIsSafeOnceWorkEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &fakeWork{endsAt: time.Now().Add(time.Minute)}
		d := start(t, w)
		if err := d.SetPlannedStop(context.Background(), true); err != nil || !w.draining {
			t.Fatalf("SetPlannedStop = %v, draining = %t", err, w.draining)
		}
		if d.SafeToStop() {
			t.Error("safe to stop while a request runs")
		}
		time.Sleep(time.Minute)
		if !d.SafeToStop() {
			t.Error("not safe to stop though no work remains")
		}
		if err := d.SetPlannedStop(context.Background(), false); err != nil || w.draining || d.SafeToStop() {
			t.Errorf("plan withdrawn: %v, draining = %t, safe = %t", err, w.draining, d.SafeToStop())
		}
	})
}

func TestShutdownWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &fakeWork{endsAt: time.Now().Add(time.Minute)}
		d := start(t, w)
		startedAt := time.Now()
		if err := d.Shutdown(context.Background()); err != nil || time.Since(startedAt) < time.Minute {
			t.Errorf("Shutdown = %v after %s", err, time.Since(startedAt))
		}
		if err := d.SetPlannedStop(context.Background(), true); err != nil {
			t.Fatal(err)
		}
		if err := d.SetPlannedStop(context.Background(), false); err != nil || !w.draining {
			t.Error("withdrawing the plan ended the drain of a process that shuts down")
		}
	})
}

func TestShutdownReportsRemainingWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := start(t, &fakeWork{endsAt: time.Now().Add(time.Hour)})
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		var timeout *TimeoutError
		if err := d.Shutdown(ctx); !errors.As(err, &timeout) || timeout.Remaining.Requests != 1 {
			t.Errorf("Shutdown = %v, want a timeout with one remaining request", err)
		}
	})
}

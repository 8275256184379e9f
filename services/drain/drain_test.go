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

// fakeWork has work left until a time.
type fakeWork struct {
	draining bool
	until    time.Time
}

func (f *fakeWork) Drain(_ context.Context, draining bool) error {
	f.draining = draining
	return nil
}

func (f *fakeWork) WaitsFor() runner.Waiting {
	if time.Now().Before(f.until) {
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

func TestPlanIsSafeOnceNothingIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &fakeWork{until: time.Now().Add(time.Minute)}
		d := start(t, w)
		if err := d.SetPlannedStop(context.Background(), true); err != nil || !w.draining {
			t.Fatalf("Plan = %v, draining = %t", err, w.draining)
		}
		if d.SafeToStop() {
			t.Error("safe while a request runs")
		}
		time.Sleep(time.Minute)
		if !d.SafeToStop() {
			t.Error("not safe though nothing is left")
		}
		if err := d.SetPlannedStop(context.Background(), false); err != nil || w.draining || d.SafeToStop() {
			t.Errorf("withdrawn plan: %v, draining = %t, safe = %t", err, w.draining, d.SafeToStop())
		}
	})
}

func TestShutdownWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &fakeWork{until: time.Now().Add(time.Minute)}
		d := start(t, w)
		began := time.Now()
		if err := d.Shutdown(context.Background()); err != nil || time.Since(began) < time.Minute {
			t.Errorf("Shutdown = %v after %s", err, time.Since(began))
		}
		if err := d.SetPlannedStop(context.Background(), true); err != nil {
			t.Fatal(err)
		}
		if err := d.SetPlannedStop(context.Background(), false); err != nil || !w.draining {
			t.Error("a withdrawn plan ended the drain of a process that shuts down")
		}
	})
}

func TestShutdownSaysWhatIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := start(t, &fakeWork{until: time.Now().Add(time.Hour)})
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		var timeout *TimeoutError
		if err := d.Shutdown(ctx); !errors.As(err, &timeout) || timeout.Remaining.Requests != 1 {
			t.Errorf("Shutdown = %v, want a timeout with one request left", err)
		}
	})
}

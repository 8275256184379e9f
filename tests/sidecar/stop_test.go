package sidecar_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusline/crocusline/models/fleet"
	"github.com/crocusline/crocusline/models/table"
	"github.com/crocusline/crocusline/services/dispatch"
	"github.com/crocusline/crocusline/services/runner"
	"github.com/crocusline/crocusline/standin/engine"
)

// planStop hands a sidecar the fleet's state with a planned stop of its server.
func planStop(t *testing.T, s *sidecar) {
	t.Helper()
	state := fleet.New()
	for _, e := range []fleet.Event{
		fleet.Publish{ID: "p", Delta: table.Delta{Pools: map[string]table.Pool{"drafting": {Servers: []string{s.server}}}}},
		fleet.PlanStop{ID: "s", Server: s.server},
	} {
		state, _ = state.Apply(state.Next, time.Now(), e)
	}
	if err := s.drain.SetPlannedStop(t.Context(), state.Tables.HasPlannedStop(s.server)); err != nil {
		t.Fatal(err)
	}
}

// idle reports whether an engine runs nothing.
func idle(e *engine.Engine) bool {
	for _, r := range e.Requests() {
		if !r.Finished && !r.Cancelled {
			return false
		}
	}
	return true
}

// awaitSafe waits until the stop is safe and checks what that means at that
// moment of virtual time.
func awaitSafe(t *testing.T, s *sidecar, e *engine.Engine) {
	t.Helper()
	for range 1000 {
		if s.drain.SafeToStop() {
			synctest.Wait()
			if !idle(e) || s.bills.Pending() != 0 {
				t.Errorf("safe with %d bills owed, engine idle: %t", s.bills.Pending(), idle(e))
			}
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("not safe: waits for %+v", s.drain.WaitsFor())
}

// TestPlannedStopCutsNothing plans a stop under load. The entry is cut off from
// the control stream: it knows nothing of the plan and prefers the leaving
// server to the end. Two requests run there, a third is queued.
func TestPlannedStopCutsNothing(t *testing.T) {
	const maxTokens = 60
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, "clinic")
		leaving, leavingDriver := w.engine()
		staying, driver := w.engine()
		s := w.sidecar("drafting-1", "sidecar-1/1", leavingDriver, runner.WithSlots(2))
		w.sidecar("drafting-2", "sidecar-2/1", driver)
		e := w.entry("entry-1/1", "drafting-1", "drafting-2")
		var wg sync.WaitGroup
		var tokens int64
		ask := func(i int) {
			text := fmt.Sprint(prompt, i)
			tokens += cost(text, maxTokens)
			wg.Go(func() {
				to := &sink{}
				if _, err := e.draft(t.Context(), dispatch.Request{Workspace: "clinic", Prompt: text}, maxTokens, to); err != nil {
					t.Errorf("request %d: %v", i, err)
				}
				wantAnswer(t, to.tokens, text, maxTokens, 0)
			})
			time.Sleep(100 * time.Millisecond)
		}
		for i := range 3 {
			ask(i)
		}
		planStop(t, s)
		if s.drain.SafeToStop() {
			t.Error("safe while two requests run")
		}
		for i := range 8 {
			ask(3 + i)
		}
		awaitSafe(t, s, leaving)
		wg.Wait()
		for _, r := range leaving.Requests() {
			if !r.Finished {
				t.Errorf("leaving server: %+v was cut off", r)
			}
		}
		if a, b := len(leaving.Requests()), len(staying.Requests()); a != 2 || b != 9 {
			t.Errorf("%d runs at the leaving server, %d at the other, want 2 and 9", a, b)
		}
		w.wantBills("clinic", 11, tokens)
	})
}

// TestStopIsNotSafeWhileABillIsOwed cuts the sidecar off from the log while it
// answers. It goes on answering, keeps its bill, and is safe only afterwards.
func TestStopIsNotSafeWhileABillIsOwed(t *testing.T) {
	const maxTokens = 20
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, "clinic")
		e, driver := w.engine()
		s := w.sidecar("drafting-1", "sidecar-1/1", driver)
		s.wire.cut(true)
		to := &sink{}
		if _, err := w.entry("entry-1/1", "drafting-1").draft(t.Context(), dispatch.Request{Workspace: "clinic", Prompt: prompt}, maxTokens, to); err != nil {
			t.Fatal(err)
		}
		wantAnswer(t, to.tokens, prompt, maxTokens, 0)
		planStop(t, s)
		time.Sleep(time.Minute)
		if left := s.drain.WaitsFor(); s.drain.SafeToStop() || left.Bills != 1 {
			t.Errorf("safe: %t, waits for %+v, want one bill", s.drain.SafeToStop(), left)
		}
		w.wantBills("clinic", 1, cost(prompt, maxTokens))
		s.wire.cut(false)
		awaitSafe(t, s, e)
		w.wantBills("clinic", 1, cost(prompt, maxTokens))
	})
}

// TestStopIsNotSafeWhileAnAbandonedRequestRuns has a caller give up. The run
// goes on for the grace time, in case of a retry.
func TestStopIsNotSafeWhileAnAbandonedRequestRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, "clinic")
		ran, driver := w.engine()
		s := w.sidecar("drafting-1", "sidecar-1/1", driver)
		ctx, cancel := context.WithCancel(t.Context())
		to := &sink{onToken: func(int) { cancel() }}
		if _, err := w.entry("entry-1/1", "drafting-1").draft(ctx, dispatch.Request{Workspace: "clinic", Prompt: prompt}, 400, to); err == nil {
			t.Fatal("the call was not given up")
		}
		planStop(t, s)
		time.Sleep(time.Second)
		if left := s.drain.WaitsFor(); s.drain.SafeToStop() || idle(ran) || left.Subscriptions != 0 {
			t.Errorf("safe %t, idle %t, waits for %+v, want one request", s.drain.SafeToStop(), idle(ran), left)
		}
		awaitSafe(t, s, ran)
		w.wantBills("clinic", 0, 0)
	})
}

func TestShutdownWaitsForWhatRuns(t *testing.T) {
	const maxTokens = 40
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, "clinic")
		ran, driver := w.engine()
		s := w.sidecar("drafting-1", "sidecar-1/1", driver)
		to := &sink{}
		var wg sync.WaitGroup
		wg.Go(func() {
			if _, err := w.entry("entry-1/1", "drafting-1").draft(t.Context(), dispatch.Request{Workspace: "clinic", Prompt: prompt}, maxTokens, to); err != nil {
				t.Error(err)
			}
		})
		time.Sleep(time.Second)
		if err := s.drain.Shutdown(t.Context()); err != nil || !idle(ran) || s.bills.Pending() != 0 {
			t.Errorf("Shutdown = %v, idle %t, %d bills owed", err, idle(ran), s.bills.Pending())
		}
		wg.Wait()
		wantAnswer(t, to.tokens, prompt, maxTokens, 0)
	})
}

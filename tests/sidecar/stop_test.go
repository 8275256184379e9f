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

// applyPlannedStop passes a sidecar the fleet's state with a planned stop of its server.
func applyPlannedStop(t *testing.T, s *sidecar) {
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

// isIdle reports whether an engine has no running request.
func isIdle(e *engine.Engine) bool {
	for _, r := range e.Requests() {
		if !r.Finished && !r.Cancelled {
			return false
		}
	}
	return true
}

// awaitSafeToStop waits until the sidecar is safe to stop and checks that at this moment
// no request is running and no bill is pending.
func awaitSafeToStop(t *testing.T, s *sidecar, e *engine.Engine) {
	t.Helper()
	for range 1000 {
		if s.drain.SafeToStop() {
			synctest.Wait()
			if !isIdle(e) || s.outbox.Pending() != 0 {
				t.Errorf("safe to stop with %d bills pending, engine idle: %t", s.outbox.Pending(), isIdle(e))
			}
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("not safe to stop: waits for %+v", s.drain.WaitsFor())
}

// TestPlannedStopAbortsNoRequest plans a stop under load. The entry doesn't learn of the
// stop, since it is disconnected from the control stream, and keeps preferring the
// stopping server. Two requests run there, and a third is queued.
func TestPlannedStopAbortsNoRequest(t *testing.T) {
	const maxTokens = 60
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, "clinic")
		stopping, stoppingDriver := env.startEngine()
		staying, driver := env.startEngine()
		s := env.startSidecar("drafting-1", "sidecar-1/1", stoppingDriver, runner.WithSlots(2))
		env.startSidecar("drafting-2", "sidecar-2/1", driver)
		e := env.startEntry("entry-1/1", "drafting-1", "drafting-2")
		var wg sync.WaitGroup
		var tokens int64
		submit := func(i int) {
			text := fmt.Sprint(prompt, i)
			tokens += answerCost(text, maxTokens)
			wg.Go(func() {
				sink := &tokenSink{}
				if _, err := e.draft(t.Context(), dispatch.Request{Workspace: "clinic", Prompt: text}, maxTokens, sink); err != nil {
					t.Errorf("request %d: %v", i, err)
				}
				checkAnswer(t, sink.tokens, text, maxTokens, 0)
			})
			time.Sleep(100 * time.Millisecond)
		}
		for i := range 3 {
			submit(i)
		}
		applyPlannedStop(t, s)
		if s.drain.SafeToStop() {
			t.Error("safe to stop while two requests are running")
		}
		for i := range 8 {
			submit(3 + i)
		}
		awaitSafeToStop(t, s, stopping)
		wg.Wait()
		for _, r := range stopping.Requests() {
			if !r.Finished {
				t.Errorf("stopping server: %+v was aborted", r)
			}
		}
		if a, b := len(stopping.Requests()), len(staying.Requests()); a != 2 || b != 9 {
			t.Errorf("%d requests at the stopping server, %d at the other, want 2 and 9", a, b)
		}
		env.checkBills("clinic", 11, tokens)
	})
}

// TestStopWaitsForPendingBill disconnects the sidecar from the log. It completes an
// answer nevertheless, keeps its bill pending, and is safe to stop only after it has
// reconnected to the log.
func TestStopWaitsForPendingBill(t *testing.T) {
	const maxTokens = 20
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, "clinic")
		e, driver := env.startEngine()
		s := env.startSidecar("drafting-1", "sidecar-1/1", driver)
		s.logLink.setDisconnected(true)
		sink := &tokenSink{}
		if _, err := env.startEntry("entry-1/1", "drafting-1").draft(t.Context(), dispatch.Request{Workspace: "clinic", Prompt: prompt}, maxTokens, sink); err != nil {
			t.Fatal(err)
		}
		checkAnswer(t, sink.tokens, prompt, maxTokens, 0)
		applyPlannedStop(t, s)
		time.Sleep(time.Minute)
		if remaining := s.drain.WaitsFor(); s.drain.SafeToStop() || remaining.Bills != 1 {
			t.Errorf("safe to stop: %t, waits for %+v, want one bill", s.drain.SafeToStop(), remaining)
		}
		env.checkBills("clinic", 1, answerCost(prompt, maxTokens))
		s.logLink.setDisconnected(false)
		awaitSafeToStop(t, s, e)
		env.checkBills("clinic", 1, answerCost(prompt, maxTokens))
	})
}

// TestStopWaitsForAbandonedRequest cancels a call. Its request keeps running for the
// grace period, in case the caller retries.
func TestStopWaitsForAbandonedRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, "clinic")
		modelEngine, driver := env.startEngine()
		s := env.startSidecar("drafting-1", "sidecar-1/1", driver)
		ctx, cancel := context.WithCancel(t.Context())
		sink := &tokenSink{onToken: func(int) { cancel() }}
		if _, err := env.startEntry("entry-1/1", "drafting-1").draft(ctx, dispatch.Request{Workspace: "clinic", Prompt: prompt}, 400, sink); err == nil {
			t.Fatal("the call was not cancelled")
		}
		applyPlannedStop(t, s)
		time.Sleep(time.Second)
		if remaining := s.drain.WaitsFor(); s.drain.SafeToStop() || isIdle(modelEngine) || remaining.Subscriptions != 0 {
			t.Errorf("safe to stop %t, idle %t, waits for %+v, want one request", s.drain.SafeToStop(), isIdle(modelEngine), remaining)
		}
		awaitSafeToStop(t, s, modelEngine)
		env.checkBills("clinic", 0, 0)
	})
}

// TestShutdownWaitsForRunningRequest checks that a shutdown completes the running
// request and writes its bill.
func TestShutdownWaitsForRunningRequest(t *testing.T) {
	const maxTokens = 40
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, "clinic")
		modelEngine, driver := env.startEngine()
		s := env.startSidecar("drafting-1", "sidecar-1/1", driver)
		sink := &tokenSink{}
		var wg sync.WaitGroup
		wg.Go(func() {
			if _, err := env.startEntry("entry-1/1", "drafting-1").draft(t.Context(), dispatch.Request{Workspace: "clinic", Prompt: prompt}, maxTokens, sink); err != nil {
				t.Error(err)
			}
		})
		time.Sleep(time.Second)
		if err := s.drain.Shutdown(t.Context()); err != nil || !isIdle(modelEngine) || s.outbox.Pending() != 0 {
			t.Errorf("Shutdown = %v, idle %t, %d bills pending", err, isIdle(modelEngine), s.outbox.Pending())
		}
		wg.Wait()
		checkAnswer(t, sink.tokens, prompt, maxTokens, 0)
	})
}

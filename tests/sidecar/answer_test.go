package sidecar_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusline/crocusline/services/dispatch"
	"github.com/crocusline/crocusline/standin/control"
	"github.com/crocusline/crocusline/standin/engine"
	"github.com/crocusline/crocusline/standin/service"
)

const prompt = "write the cold chain report of the week for the clinic"

// answerCost returns the number of tokens billed for a complete answer.
func answerCost(prompt string, maxTokens int) int64 {
	return int64(len(engine.Tokenize(prompt)) + len(engine.Completion(prompt, maxTokens)))
}

// checkAnswer checks that got contains the tokens of the expected answer from the given
// index on.
func checkAnswer(t *testing.T, got []string, prompt string, maxTokens, from int) {
	t.Helper()
	if want := engine.Completion(prompt, maxTokens)[from:]; !slices.Equal(got, want) {
		t.Errorf("caller received %d tokens %q, want %d tokens %q", len(got), got, len(want), want)
	}
}

// TestStreamResumesOnAnotherServer interrupts a stream by an engine that aborts its
// response, a sidecar that crashes and restarts, or the loss of the connections to the
// sidecar. The caller must get each token once, and the answer must be billed once.
func TestStreamResumesOnAnotherServer(t *testing.T) {
	const maxTokens, failAfter = 40, 7
	for _, failure := range []string{"engine", "sidecar", "connections"} {
		t.Run(failure, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newTestEnv(t, "clinic")
				first, firstDriver := env.startEngine()
				second, secondDriver := env.startEngine()
				a := env.startSidecar("drafting-1", "sidecar-1/1", firstDriver)
				env.startSidecar("drafting-2", "sidecar-2/1", secondDriver)
				sink := &tokenSink{}
				switch failure {
				case "engine":
					first.SetFaults(engine.Faults{BreakNext: 1, BreakAfter: failAfter})
				case "sidecar":
					sink.onToken = func(n int) {
						if n == failAfter {
							a.crash()
							env.startSidecar("drafting-1", "sidecar-1/2", firstDriver)
						}
					}
				case "connections":
					sink.onToken = func(n int) {
						if n == failAfter {
							a.endpoint.closeConnections()
						}
					}
				}
				e := env.startEntry("entry/1", "drafting-1", "drafting-2")
				if _, err := e.draft(t.Context(), dispatch.Request{Workspace: "clinic", Prompt: prompt}, maxTokens, sink); err != nil {
					t.Fatal(err)
				}
				checkAnswer(t, sink.tokens, prompt, maxTokens, 0)
				if requests := second.Requests(); len(requests) != 1 || requests[0].StartToken != failAfter {
					t.Errorf("second engine received %+v, want one request from token %d", requests, failAfter)
				}
				env.checkBills("clinic", 1, answerCost(prompt, maxTokens))
			})
		})
	}
}

// TestDelayedAnswerWithSharedKey sends requests of two workspaces with the same
// idempotency key at the same time. An engine that is frozen for some seconds delays
// answers. Each workspace must get the answer to its own prompt.
func TestDelayedAnswerWithSharedKey(t *testing.T) {
	const maxTokens = 30
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, "north", "south")
		frozen, frozenDriver := env.startEngine()
		_, driver := env.startEngine()
		env.startSidecar("drafting-1", "sidecar-1/1", frozenDriver)
		env.startSidecar("drafting-2", "sidecar-2/1", driver)
		frozen.SetFaults(engine.Faults{Freeze: true})
		entries := map[string]*entry{"north": env.startEntry("entry/1", "drafting-1"), "south": env.startEntry("entry/1b", "drafting-1", "drafting-2")}
		sinks := map[string]*tokenSink{"north": {}, "south": {}}
		var wg sync.WaitGroup
		for ws, e := range entries {
			wg.Go(func() {
				req := dispatch.Request{Workspace: ws, IdempotencyKey: "k", Prompt: prompt + " " + ws}
				if _, err := e.draft(t.Context(), req, maxTokens, sinks[ws]); err != nil {
					t.Errorf("%s: %v", ws, err)
				}
			})
		}
		time.Sleep(5 * time.Second)
		frozen.SetFaults(engine.Faults{})
		wg.Wait()
		for ws, s := range sinks {
			checkAnswer(t, s.tokens, prompt+" "+ws, maxTokens, 0)
			env.checkBills(ws, 1, answerCost(prompt+" "+ws, maxTokens))
		}
	})
}

// TestConcurrentBookingsWithSharedKey books for two workspaces with the same
// idempotency key at the same time, at a slow service.
func TestConcurrentBookingsWithSharedKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, "north", "south")
		booking, driver := env.startService()
		booking.SetFaults(service.Faults{Slowness: control.Duration(2 * time.Second)})
		env.startSidecar("booking-1", "sidecar-1/1", driver)
		e := env.startEntry("entry/1", "booking-1")
		var wg sync.WaitGroup
		for _, ws := range []string{"north", "south"} {
			wg.Go(func() {
				body := "bay of " + ws
				answer, err := e.book(t.Context(), ws, "k", body, false)
				var got service.Response
				if err != nil || json.Unmarshal(answer.Body, &got) != nil || got.BodyHash != service.BodyHash([]byte(body)) {
					t.Errorf("%s: answer %s, %v", ws, answer.Body, err)
				}
			})
		}
		wg.Wait()
		env.checkBills("north", 1, bookingPrice)
		env.checkBills("south", 1, bookingPrice)
	})
}

// TestRetryResumesAnswer disconnects a caller from an entry during an answer. The
// caller then requests the rest through another entry with the same key.
func TestRetryResumesAnswer(t *testing.T) {
	const maxTokens = 40
	for _, stopAfter := range []int{1, 9} {
		t.Run(fmt.Sprint(stopAfter), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newTestEnv(t, "clinic")
				modelEngine, driver := env.startEngine()
				env.startSidecar("drafting-1", "sidecar-1/1", driver)
				first, second := env.startEntry("entry-1/1", "drafting-1"), env.startEntry("entry-2/1", "drafting-1")
				req := dispatch.Request{Workspace: "clinic", IdempotencyKey: "k", Prompt: prompt}
				ctx, cancel := context.WithCancel(t.Context())
				received := &tokenSink{onToken: func(n int) {
					if n == stopAfter {
						cancel()
					}
				}}
				if _, err := first.draft(ctx, req, maxTokens, received); err == nil {
					t.Fatal("the first call was not cancelled")
				}
				time.Sleep(time.Second)
				req.Retry, req.FromToken = true, int64(len(received.tokens))
				rest := &tokenSink{}
				if _, err := second.draft(t.Context(), req, maxTokens, rest, "drafting-1"); err != nil {
					t.Fatal(err)
				}
				checkAnswer(t, rest.tokens, prompt, maxTokens, len(received.tokens))
				if n := len(modelEngine.Requests()); n != 1 {
					t.Errorf("engine received the request %d times", n)
				}
				env.checkBills("clinic", 1, answerCost(prompt, maxTokens))
			})
		})
	}
}

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

// cost is what a whole answer is billed.
func cost(prompt string, maxTokens int) int64 {
	return int64(len(engine.Tokenize(prompt)) + len(engine.Completion(prompt, maxTokens)))
}

func wantAnswer(t *testing.T, got []string, prompt string, maxTokens, from int) {
	t.Helper()
	if want := engine.Completion(prompt, maxTokens)[from:]; !slices.Equal(got, want) {
		t.Errorf("caller got %d tokens %q, want %d tokens %q", len(got), got, len(want), want)
	}
}

func TestServerLostInMidStreamIsResumedElsewhere(t *testing.T) {
	const maxTokens, lostAfter = 40, 7
	for _, lost := range []string{"engine", "sidecar", "connections"} {
		t.Run(lost, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, "clinic")
				first, firstDriver := w.engine()
				second, secondDriver := w.engine()
				a := w.sidecar("drafting-1", "sidecar-1/1", firstDriver)
				w.sidecar("drafting-2", "sidecar-2/1", secondDriver)
				to := &sink{}
				switch lost {
				case "engine":
					first.SetFaults(engine.Faults{BreakNext: 1, BreakAfter: lostAfter})
				case "sidecar":
					to.onToken = func(n int) {
						if n == lostAfter {
							a.kill()
							w.sidecar("drafting-1", "sidecar-1/2", firstDriver)
						}
					}
				case "connections":
					to.onToken = func(n int) {
						if n == lostAfter {
							a.host.cut()
						}
					}
				}
				e := w.entry("entry/1", "drafting-1", "drafting-2")
				if _, err := e.draft(t.Context(), dispatch.Request{Workspace: "clinic", Prompt: prompt}, maxTokens, to); err != nil {
					t.Fatal(err)
				}
				wantAnswer(t, to.tokens, prompt, maxTokens, 0)
				if ran := second.Requests(); len(ran) != 1 || ran[0].StartToken != lostAfter {
					t.Errorf("second engine ran %+v, want one run from token %d", ran, lostAfter)
				}
				w.wantBills("clinic", 1, cost(prompt, maxTokens))
			})
		})
	}
}

// TestAnswersCrossedAndLate has two workspaces use one key at one moment, with
// the first answer held up until long after the second.
func TestAnswersCrossedAndLate(t *testing.T) {
	const maxTokens = 30
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, "north", "south")
		held, heldDriver := w.engine()
		_, driver := w.engine()
		w.sidecar("drafting-1", "sidecar-1/1", heldDriver)
		w.sidecar("drafting-2", "sidecar-2/1", driver)
		held.SetFaults(engine.Faults{Freeze: true})
		entries := map[string]*entry{"north": w.entry("entry/1", "drafting-1"), "south": w.entry("entry/1b", "drafting-1", "drafting-2")}
		sinks := map[string]*sink{"north": {}, "south": {}}
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
		held.SetFaults(engine.Faults{})
		wg.Wait()
		for ws, s := range sinks {
			wantAnswer(t, s.tokens, prompt+" "+ws, maxTokens, 0)
			w.wantBills(ws, 1, cost(prompt+" "+ws, maxTokens))
		}
	})
}

func TestBookingsCrossedAndLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, "north", "south")
		booking, driver := w.service()
		booking.SetFaults(service.Faults{Slowness: control.Duration(2 * time.Second)})
		w.sidecar("booking-1", "sidecar-1/1", driver)
		e := w.entry("entry/1", "booking-1")
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
		w.wantBills("north", 1, price)
		w.wantBills("south", 1, price)
	})
}

// TestRetryPicksTheAnswerUp breaks off a caller at an entry, which then asks at
// another with the same key for the rest.
func TestRetryPicksTheAnswerUp(t *testing.T) {
	const maxTokens = 40
	for _, stopAfter := range []int{1, 9} {
		t.Run(fmt.Sprint(stopAfter), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, "clinic")
				ran, driver := w.engine()
				w.sidecar("drafting-1", "sidecar-1/1", driver)
				first, second := w.entry("entry-1/1", "drafting-1"), w.entry("entry-2/1", "drafting-1")
				req := dispatch.Request{Workspace: "clinic", IdempotencyKey: "k", Prompt: prompt}
				ctx, cancel := context.WithCancel(t.Context())
				begin := &sink{onToken: func(n int) {
					if n == stopAfter {
						cancel()
					}
				}}
				if _, err := first.draft(ctx, req, maxTokens, begin); err == nil {
					t.Fatal("the first call was not broken off")
				}
				time.Sleep(time.Second)
				req.Retry, req.FromToken = true, int64(len(begin.tokens))
				rest := &sink{}
				if _, err := second.draft(t.Context(), req, maxTokens, rest, "drafting-1"); err != nil {
					t.Fatal(err)
				}
				wantAnswer(t, rest.tokens, prompt, maxTokens, len(begin.tokens))
				if n := len(ran.Requests()); n != 1 {
					t.Errorf("engine ran the request %d times", n)
				}
				w.wantBills("clinic", 1, cost(prompt, maxTokens))
			})
		})
	}
}

package sidecar_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/services/dispatch"
)

// TestOneBillAnAnswer answers drafts through two entries, some of them again
// with the same key, while the log loses answers, doubles appends and is away.
// A leaving server, which each call meets first, answers "not run".
func TestOneBillAnAnswer(t *testing.T) {
	const maxTokens = 12
	answers := 0
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rng := rand.New(rand.NewPCG(seed, 3))
				w := newWorld(t, "clinic")
				leaving, leavingDriver := w.engine()
				_, driver := w.engine()
				if err := w.sidecar("drafting-0", "sidecar-0/1", leavingDriver).drain.SetPlannedStop(t.Context(), true); err != nil {
					t.Fatal(err)
				}
				w.sidecar("drafting-1", "sidecar-1/1", driver)
				entries := []*entry{
					w.entry("entry-1/1", "drafting-0", "drafting-1"),
					w.entry("entry-2/1", "drafting-0", "drafting-1"),
				}
				var mu sync.Mutex
				answered := map[string]int64{}
				var wg sync.WaitGroup
				for i := range 8 {
					req := dispatch.Request{Workspace: "clinic", Prompt: fmt.Sprint(prompt, i), IdempotencyKey: fmt.Sprint("k", i)}
					delay, again := time.Duration(rng.IntN(3000))*time.Millisecond, rng.IntN(3)
					wg.Go(func() {
						time.Sleep(delay)
						for try := range again + 1 {
							req.Retry = try > 0
							answer, err := entries[(i+try)%2].draft(t.Context(), req, maxTokens, &sink{}, "drafting-0", "drafting-1")
							if err != nil {
								continue
							}
							mu.Lock()
							answered[req.Prompt] = answer.Usage.BilledTokens
							mu.Unlock()
						}
					})
				}
				for range 5 {
					time.Sleep(time.Duration(rng.IntN(600)) * time.Millisecond)
					switch rng.IntN(3) {
					case 0:
						w.log.DropResponses(1 + rng.IntN(3))
					case 1:
						w.log.DuplicateAppends(1 + rng.IntN(2))
					case 2:
						w.log.SetUnavailable(true)
						time.Sleep(time.Duration(rng.IntN(8000)) * time.Millisecond)
						w.log.SetUnavailable(false)
					}
				}
				wg.Wait()
				var tokens int64
				for text, billed := range answered {
					if billed != cost(text, maxTokens) {
						t.Errorf("%d tokens billed for %q, want %d", billed, text, cost(text, maxTokens))
					}
					tokens += billed
				}
				if n := len(leaving.Requests()); n != 0 {
					t.Errorf("%d runs at the leaving server", n)
				}
				answers += len(answered)
				w.wantBills("clinic", int64(len(answered)), tokens)
			})
		})
	}
	if answers == 0 {
		t.Error("no request was answered")
	}
	t.Logf("%d answers", answers)
}

func TestNotRunIsNotBilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, "clinic")
		_, driver := w.engine()
		booking, plain := w.service()
		for _, s := range []*sidecar{w.sidecar("drafting-1", "sidecar-1/1", driver), w.sidecar("booking-1", "sidecar-2/1", plain)} {
			if err := s.drain.SetPlannedStop(t.Context(), true); err != nil {
				t.Fatal(err)
			}
		}
		_, err := w.entry("entry-1/1", "drafting-1").draft(t.Context(), dispatch.Request{Workspace: "clinic", Prompt: prompt}, 9, &sink{})
		if e, ok := refusal.As(err); !ok || e.Outcome != refusal.NotRun {
			t.Errorf("draft = %v, want not run", err)
		}
		_, err = w.entry("entry-2/1", "booking-1").book(t.Context(), "clinic", "k", "bay", false)
		if e, ok := refusal.As(err); !ok || e.Outcome != refusal.NotRun || len(booking.Calls()) != 0 {
			t.Errorf("booking = %v, want not run", err)
		}
		w.wantBills("clinic", 0, 0)
	})
}

// answerThenLose gives an answer while the log is away and loses processes
// before it is back.
func answerThenLose(t *testing.T, lose func(s *sidecar, e *entry)) *world {
	t.Helper()
	w := newWorld(t, "clinic")
	_, driver := w.engine()
	s := w.sidecar("drafting-1", "sidecar-1/1", driver)
	e := w.entry("entry-1/1", "drafting-1")
	to := &sink{onToken: func(n int) {
		if n == 1 {
			w.log.SetUnavailable(true)
		}
	}}
	if _, err := e.draft(t.Context(), dispatch.Request{Workspace: "clinic", Prompt: prompt}, 20, to); err != nil {
		t.Fatal(err)
	}
	wantAnswer(t, to.tokens, prompt, 20, 0)
	lose(s, e)
	time.Sleep(time.Minute)
	w.log.SetUnavailable(false)
	time.Sleep(settleTime)
	return w
}

func TestLossOfOneProcessLosesNoBill(t *testing.T) {
	losses := map[string]func(s *sidecar, e *entry){
		"none":    func(*sidecar, *entry) {},
		"sidecar": func(s *sidecar, _ *entry) { s.kill() },
		"entry":   func(_ *sidecar, e *entry) { e.kill() },
	}
	for name, lose := range losses {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := answerThenLose(t, lose).budget("clinic")
				if b.Bills != 1 || b.Settled != cost(prompt, 20) {
					t.Errorf("%d bills, %d tokens settled, want 1 bill of %d", b.Bills, b.Settled, cost(prompt, 20))
				}
			})
		})
	}
}

// TestLossOfBothWitnessesLosesTheBill shows the double loss that harms: sidecar
// and entry lost after the answer, with the log away in between. The answer goes
// unbilled; the budget is not overspent, since the hold stays outstanding.
func TestLossOfBothWitnessesLosesTheBill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := answerThenLose(t, func(s *sidecar, e *entry) {
			s.kill()
			e.kill()
		})
		b := w.budget("clinic")
		if b.Bills != 0 || b.Outstanding < cost(prompt, 20) {
			t.Errorf("%d bills, %d tokens outstanding, want no bill and the hold", b.Bills, b.Outstanding)
		}
	})
}

// TestReplacedSidecarThatRunsOnBillsItsAnswer has the first entry free its hold,
// since the sidecar's incarnation counts as gone. An entry that has not seen that
// picks the answer up at the old incarnation and pays with a hold of its own.
func TestReplacedSidecarThatRunsOnBillsItsAnswer(t *testing.T) {
	const maxTokens = 100
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, "clinic")
		_, driver := w.engine()
		w.sidecar("drafting-1", "sidecar-1/1", driver)
		old, _ := w.Sidecar("drafting-1")
		first, second := w.entry("entry-1/1", "drafting-1"), w.entry("entry-2/1", "drafting-1")
		second.stale = &old
		req := dispatch.Request{Workspace: "clinic", IdempotencyKey: "k", Prompt: prompt}
		ctx, cancel := context.WithCancel(t.Context())
		if _, err := first.draft(ctx, req, maxTokens, &sink{onToken: func(int) { cancel() }}); err == nil {
			t.Fatal("the first call was not broken off")
		}
		w.mu.Lock()
		w.sidecars["drafting-1"] = &sidecar{incarnation: "sidecar-1/2"}
		w.mu.Unlock()
		req.Retry = true
		to := &sink{}
		if _, err := second.draft(t.Context(), req, maxTokens, to, "drafting-1"); err != nil {
			t.Fatal(err)
		}
		wantAnswer(t, to.tokens, prompt, maxTokens, 0)
		w.wantBills("clinic", 1, cost(prompt, maxTokens))
	})
}

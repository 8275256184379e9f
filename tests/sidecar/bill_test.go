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

// TestOneBillPerAnswer sends draft requests through two entries and repeats some of
// them with the same key. Meanwhile the log drops responses, duplicates appends and is
// unavailable at times. Each call first tries a draining server, which refuses it with
// the outcome "not run".
func TestOneBillPerAnswer(t *testing.T) {
	const maxTokens = 12
	answers := 0
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rng := rand.New(rand.NewPCG(seed, 3))
				env := newTestEnv(t, "clinic")
				draining, drainingDriver := env.startEngine()
				_, driver := env.startEngine()
				if err := env.startSidecar("drafting-0", "sidecar-0/1", drainingDriver).drain.SetPlannedStop(t.Context(), true); err != nil {
					t.Fatal(err)
				}
				env.startSidecar("drafting-1", "sidecar-1/1", driver)
				entries := []*entry{
					env.startEntry("entry-1/1", "drafting-0", "drafting-1"),
					env.startEntry("entry-2/1", "drafting-0", "drafting-1"),
				}
				var mu sync.Mutex
				answered := map[string]int64{}
				var wg sync.WaitGroup
				for i := range 8 {
					req := dispatch.Request{Workspace: "clinic", Prompt: fmt.Sprint(prompt, i), IdempotencyKey: fmt.Sprint("k", i)}
					delay, retries := time.Duration(rng.IntN(3000))*time.Millisecond, rng.IntN(3)
					wg.Go(func() {
						time.Sleep(delay)
						for attempt := range retries + 1 {
							req.Retry = attempt > 0
							answer, err := entries[(i+attempt)%2].draft(t.Context(), req, maxTokens, &tokenSink{}, "drafting-0", "drafting-1")
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
						env.log.DropResponses(1 + rng.IntN(3))
					case 1:
						env.log.DuplicateAppends(1 + rng.IntN(2))
					case 2:
						env.log.SetUnavailable(true)
						time.Sleep(time.Duration(rng.IntN(8000)) * time.Millisecond)
						env.log.SetUnavailable(false)
					}
				}
				wg.Wait()
				var tokens int64
				for text, billed := range answered {
					if billed != answerCost(text, maxTokens) {
						t.Errorf("%d tokens billed for %q, want %d", billed, text, answerCost(text, maxTokens))
					}
					tokens += billed
				}
				if n := len(draining.Requests()); n != 0 {
					t.Errorf("%d requests at the draining server", n)
				}
				answers += len(answered)
				env.checkBills("clinic", int64(len(answered)), tokens)
			})
		})
	}
	if answers == 0 {
		t.Error("no request was answered")
	}
	t.Logf("%d answers", answers)
}

// TestNotRunIsNotBilled checks that requests refused by draining servers have the
// outcome "not run" and are not billed.
func TestNotRunIsNotBilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, "clinic")
		_, driver := env.startEngine()
		booking, plain := env.startService()
		for _, s := range []*sidecar{env.startSidecar("drafting-1", "sidecar-1/1", driver), env.startSidecar("booking-1", "sidecar-2/1", plain)} {
			if err := s.drain.SetPlannedStop(t.Context(), true); err != nil {
				t.Fatal(err)
			}
		}
		_, err := env.startEntry("entry-1/1", "drafting-1").draft(t.Context(), dispatch.Request{Workspace: "clinic", Prompt: prompt}, 9, &tokenSink{})
		if e, ok := refusal.As(err); !ok || e.Outcome != refusal.NotRun {
			t.Errorf("draft = %v, want not run", err)
		}
		_, err = env.startEntry("entry-2/1", "booking-1").book(t.Context(), "clinic", "k", "bay", false)
		if e, ok := refusal.As(err); !ok || e.Outcome != refusal.NotRun || len(booking.Calls()) != 0 {
			t.Errorf("booking = %v, want not run", err)
		}
		env.checkBills("clinic", 0, 0)
	})
}

// answerThenCrash completes an answer while the log is unavailable, calls crash, and
// makes the log available again a minute later.
func answerThenCrash(t *testing.T, crash func(s *sidecar, e *entry)) *testEnv {
	t.Helper()
	env := newTestEnv(t, "clinic")
	_, driver := env.startEngine()
	s := env.startSidecar("drafting-1", "sidecar-1/1", driver)
	e := env.startEntry("entry-1/1", "drafting-1")
	sink := &tokenSink{onToken: func(n int) {
		if n == 1 {
			env.log.SetUnavailable(true)
		}
	}}
	if _, err := e.draft(t.Context(), dispatch.Request{Workspace: "clinic", Prompt: prompt}, 20, sink); err != nil {
		t.Fatal(err)
	}
	checkAnswer(t, sink.tokens, prompt, 20, 0)
	crash(s, e)
	time.Sleep(time.Minute)
	env.log.SetUnavailable(false)
	time.Sleep(settlementTime)
	return env
}

// TestBillSurvivesLossOfOneProcess checks that an answer is billed although the sidecar
// or the entry crashed before it could write the bill.
func TestBillSurvivesLossOfOneProcess(t *testing.T) {
	crashes := map[string]func(s *sidecar, e *entry){
		"none":    func(*sidecar, *entry) {},
		"sidecar": func(s *sidecar, _ *entry) { s.crash() },
		"entry":   func(_ *sidecar, e *entry) { e.crash() },
	}
	for name, crash := range crashes {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := answerThenCrash(t, crash).budget("clinic")
				if b.Bills != 1 || b.Settled != answerCost(prompt, 20) {
					t.Errorf("%d bills, %d tokens settled, want 1 bill of %d", b.Bills, b.Settled, answerCost(prompt, 20))
				}
			})
		})
	}
}

// TestBillIsLostWithSidecarAndEntry covers the one double failure that loses a bill:
// sidecar and entry crash after the answer, while the log is unavailable. The budget is
// not overspent, since the tokens held for the request stay outstanding.
func TestBillIsLostWithSidecarAndEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := answerThenCrash(t, func(s *sidecar, e *entry) {
			s.crash()
			e.crash()
		})
		b := env.budget("clinic")
		if b.Bills != 0 || b.Outstanding < answerCost(prompt, 20) {
			t.Errorf("%d bills, %d tokens outstanding, want no bill and at least %d tokens", b.Bills, b.Outstanding, answerCost(prompt, 20))
		}
	})
}

// TestSupersededSidecarBillsItsAnswer lets the first entry release the tokens held for
// a request, since the sidecar's incarnation is considered ended. A second entry with an
// outdated view resumes the answer at the old incarnation, and the answer is billed
// against tokens that the second entry holds.
func TestSupersededSidecarBillsItsAnswer(t *testing.T) {
	const maxTokens = 100
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, "clinic")
		_, driver := env.startEngine()
		env.startSidecar("drafting-1", "sidecar-1/1", driver)
		old, _ := env.Sidecar("drafting-1")
		first, second := env.startEntry("entry-1/1", "drafting-1"), env.startEntry("entry-2/1", "drafting-1")
		second.staleSidecar = &old
		req := dispatch.Request{Workspace: "clinic", IdempotencyKey: "k", Prompt: prompt}
		ctx, cancel := context.WithCancel(t.Context())
		if _, err := first.draft(ctx, req, maxTokens, &tokenSink{onToken: func(int) { cancel() }}); err == nil {
			t.Fatal("the first call was not cancelled")
		}
		env.mu.Lock()
		env.sidecars["drafting-1"] = &sidecar{incarnation: "sidecar-1/2"}
		env.mu.Unlock()
		req.Retry = true
		sink := &tokenSink{}
		if _, err := second.draft(t.Context(), req, maxTokens, sink, "drafting-1"); err != nil {
			t.Fatal(err)
		}
		checkAnswer(t, sink.tokens, prompt, maxTokens, 0)
		env.checkBills("clinic", 1, answerCost(prompt, maxTokens))
	})
}

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
	"github.com/crocusline/crocusline/standin/control"
	"github.com/crocusline/crocusline/standin/service"
)

// bookingResults counts the results that callers of one workspace received, by key.
// Answers are counted by their bodies.
type bookingResults struct {
	mu       sync.Mutex
	answered map[string]map[string]int
	notRun   map[string]int
	other    map[string]int
}

func newBookingResults() *bookingResults {
	return &bookingResults{answered: map[string]map[string]int{}, notRun: map[string]int{}, other: map[string]int{}}
}

// record counts a result and reports whether the caller has to retry.
func (b *bookingResults) record(key string, body []byte, err error) (retry bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err == nil {
		if b.answered[key] == nil {
			b.answered[key] = map[string]int{}
		}
		b.answered[key][string(body)]++
		return false
	}
	if e, ok := refusal.As(err); ok && e.Outcome == refusal.NotRun {
		b.notRun[key]++
		return true
	}
	b.other[key]++
	return true
}

// bookWithRetries books under a key until it gets an answer, with at most the given
// number of attempts. retry reports whether the request may have been sent before. In
// that case the outcome must not be "not run" once the service has executed the key.
func (b *bookingResults) bookWithRetries(t *testing.T, e *entry, s *service.Service, key string, attempts int, retry bool) {
	for range attempts {
		answer, err := e.book(t.Context(), "clinic", key, "bay for "+key, retry)
		if !b.record(key, answer.Body, err) {
			return
		}
		if r, ok := refusal.As(err); ok && r.Outcome == refusal.NotRun && retry && s.Calls()[key].Count > 0 {
			t.Errorf("a retry of %s got the outcome not run, but the key was executed: %v", key, err)
		}
		retry = true
		time.Sleep(500 * time.Millisecond)
	}
}

// check compares the results with the service's record of executed bookings. It returns
// the number of executions and of distinct answers.
func (b *bookingResults) check(t *testing.T, keys []string, ran map[string]service.CallRecord) (executions, answers int64) {
	t.Helper()
	for _, key := range keys {
		r := ran[key]
		switch {
		case r.Count > 1 || r.OtherBodies > 0:
			t.Errorf("%s was executed %d times: %v", key, r.Count, r.RequestIDs)
		case len(b.answered[key]) > 1:
			t.Errorf("%s has different answers: %v", key, b.answered[key])
		case len(b.answered[key]) == 1 && r.Count != 1:
			t.Errorf("%s was answered, but was executed %d times", key, r.Count)
		case len(b.answered[key]) == 0 && b.other[key] == 0 && r.Count != 0:
			t.Errorf("all callers of %s got the outcome not run, but it was executed", key)
		}
		executions += int64(r.Count)
		answers += int64(len(b.answered[key]))
	}
	return executions, answers
}

// injectFaults injects random faults for some seconds: closed connections, delayed
// calls, lost responses of the service and the log, duplicate appends, an unavailable
// log and failing bookings.
func injectFaults(env *testEnv, rng *rand.Rand, booking *service.Service, s *sidecar) {
	for range 6 {
		time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
		faults := booking.Faults()
		switch rng.IntN(9) {
		case 0, 1:
			s.endpoint.closeConnections()
		case 2:
			faults.LoseNextAnswers = 1
		case 3:
			faults.FailNext = 1
		case 4:
			env.log.DropResponses(1 + rng.IntN(2))
		case 5:
			env.log.DuplicateAppends(1)
		case 6, 7:
			s.runDelay.delayNext(time.Duration(rng.IntN(4000)) * time.Millisecond)
		case 8:
			env.log.SetUnavailable(true)
			time.Sleep(time.Duration(rng.IntN(3000)) * time.Millisecond)
			env.log.SetUnavailable(false)
		}
		booking.SetFaults(faults)
	}
}

// TestBookingRunsAtMostOnce has callers retry two bookings through two entries
// concurrently, with injected faults, and compares the results with the service's
// record of executions.
func TestBookingRunsAtMostOnce(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rng := rand.New(rand.NewPCG(seed, 1))
				env := newTestEnv(t, "clinic")
				booking, driver := env.startService()
				booking.SetFaults(service.Faults{Slowness: control.Duration(rng.IntN(1000)) * control.Duration(time.Millisecond)})
				s := env.startSidecar("booking-1", "sidecar-1/1", driver)
				entries := []*entry{env.startEntry("entry-1/1", "booking-1"), env.startEntry("entry-2/1", "booking-1")}
				results := newBookingResults()
				keys := []string{"k1", "k2"}
				var wg sync.WaitGroup
				for i, e := range entries {
					for _, key := range keys {
						delay := time.Duration(rng.IntN(300)) * time.Millisecond
						wg.Go(func() {
							time.Sleep(delay)
							results.bookWithRetries(t, e, booking, key, 4, i > 0)
						})
					}
				}
				injectFaults(env, rng, booking, s)
				wg.Wait()
				time.Sleep(settlementTime)
				executions, answers := results.check(t, keys, booking.Calls())
				b := env.budget("clinic")
				if b.Bills < answers || b.Bills > executions || b.Settled != b.Bills*bookingPrice || b.Outstanding != 0 {
					t.Errorf("%d bills, %d settled, %d outstanding for %d executions, %d answers", b.Bills, b.Settled, b.Outstanding, executions, answers)
				}
				t.Logf("executions %d, answers %d, notRun %v, other %v, bills %d", executions, answers, results.notRun, results.other, b.Bills)
			})
		})
	}
}

// TestBookingRunsAtMostOnceUnderRestarts replaces the sidecar, whose earlier
// incarnation keeps running unreachable, and crashes an entry with calls in flight,
// in addition to the other faults. The callers continue at the other entry.
func TestBookingRunsAtMostOnceUnderRestarts(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rng := rand.New(rand.NewPCG(seed, 4))
				env := newTestEnv(t, "clinic")
				booking, driver := env.startService()
				booking.SetFaults(service.Faults{Slowness: control.Duration(rng.IntN(1000)) * control.Duration(time.Millisecond)})
				s := env.startSidecar("booking-1", "sidecar-1/1", driver)
				crashing, other := env.startEntry("entry-1/1", "booking-1"), env.startEntry("entry-2/1", "booking-1")
				results := newBookingResults()
				keys := []string{"k1", "k2", "k3"}
				callCtx, cancelCalls := context.WithCancel(t.Context())
				crashAfter, restartAfter := time.Duration(rng.IntN(1500))*time.Millisecond, time.Duration(rng.IntN(1500))*time.Millisecond
				var wg sync.WaitGroup
				wg.Go(func() {
					time.Sleep(crashAfter)
					crashing.crash()
					cancelCalls()
				})
				wg.Go(func() {
					time.Sleep(restartAfter)
					s.crash()
					env.startSidecar("booking-1", "sidecar-1/2", driver)
				})
				for _, key := range keys {
					delay := time.Duration(rng.IntN(1000)) * time.Millisecond
					wg.Go(func() {
						time.Sleep(delay)
						answer, err := crashing.book(callCtx, "clinic", key, "bay for "+key, false)
						// A crashed entry returns no result to its caller.
						if callCtx.Err() != nil || results.record(key, answer.Body, err) {
							results.bookWithRetries(t, other, booking, key, 3, true)
						}
					})
				}
				injectFaults(env, rng, booking, s)
				wg.Wait()
				time.Sleep(settlementTime)
				executions, answers := results.check(t, keys, booking.Calls())
				if b := env.budget("clinic"); b.Bills > executions || b.Settled != b.Bills*bookingPrice || b.Settled+b.Outstanding > b.ToppedUp {
					t.Errorf("%d bills, %d settled, %d outstanding for %d executions", b.Bills, b.Settled, b.Outstanding, executions)
				}
				t.Logf("executions %d, answers %d, notRun %v, other %v", executions, answers, results.notRun, results.other)
			})
		})
	}
}

// TestNotRunOutcomeIsTrue books each key once, without retries, and checks that the
// service never executes a key whose booking was refused with the outcome "not run".
func TestNotRunOutcomeIsTrue(t *testing.T) {
	refused := 0
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 2))
			env := newTestEnv(t, "clinic")
			booking, driver := env.startService()
			s := env.startSidecar("booking-1", "sidecar-1/1", driver)
			e := env.startEntry("entry/1", "booking-1")
			results := newBookingResults()
			var keys []string
			var wg sync.WaitGroup
			for i := range 6 {
				key := fmt.Sprint("k", i)
				keys = append(keys, key)
				delay := time.Duration(rng.IntN(1500)) * time.Millisecond
				wg.Go(func() {
					time.Sleep(delay)
					results.bookWithRetries(t, e, booking, key, 1, false)
				})
			}
			injectFaults(env, rng, booking, s)
			wg.Wait()
			time.Sleep(settlementTime)
			results.check(t, keys, booking.Calls())
			refused += len(results.notRun)
		})
	}
	if refused == 0 {
		t.Error("no booking got the outcome not run")
	}
	t.Logf("%d of 240 bookings got the outcome not run", refused)
}

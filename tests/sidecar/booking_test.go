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

// bookings is what callers of one workspace were told, by key.
type bookings struct {
	mu     sync.Mutex
	whole  map[string]map[string]int
	notRun map[string]int
	other  map[string]int
}

func newBookings() *bookings {
	return &bookings{whole: map[string]map[string]int{}, notRun: map[string]int{}, other: map[string]int{}}
}

// note records an answer, and whether the caller has to try again.
func (b *bookings) note(key string, body []byte, err error) (again bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err == nil {
		if b.whole[key] == nil {
			b.whole[key] = map[string]int{}
		}
		b.whole[key][string(body)]++
		return false
	}
	if e, ok := refusal.As(err); ok && e.Outcome == refusal.NotRun {
		b.notRun[key]++
		return true
	}
	b.other[key]++
	return true
}

// call books under a key until it has a whole answer or gave up. retry says that
// somebody sent the request before: it must not be told "not run" if it ran.
func (b *bookings) call(t *testing.T, e *entry, s *service.Service, key string, tries int, retry bool) {
	for range tries {
		answer, err := e.book(t.Context(), "clinic", key, "bay for "+key, retry)
		if !b.note(key, answer.Body, err) {
			return
		}
		if r, ok := refusal.As(err); ok && r.Outcome == refusal.NotRun && retry && s.Calls()[key].Count > 0 {
			t.Errorf("a retry of %s was told that it did not run: %v", key, err)
		}
		retry = true
		time.Sleep(500 * time.Millisecond)
	}
}

// check compares with what the service really ran.
func (b *bookings) check(t *testing.T, keys []string, ran map[string]service.CallRecord) (runs, whole int64) {
	t.Helper()
	for _, key := range keys {
		r := ran[key]
		switch {
		case r.Count > 1 || r.OtherBodies > 0:
			t.Errorf("%s ran %d times: %v", key, r.Count, r.RequestIDs)
		case len(b.whole[key]) > 1:
			t.Errorf("%s has answers %v", key, b.whole[key])
		case len(b.whole[key]) == 1 && r.Count != 1:
			t.Errorf("%s was answered and ran %d times", key, r.Count)
		case len(b.whole[key]) == 0 && b.other[key] == 0 && r.Count != 0:
			t.Errorf("all callers of %s were told that it did not run, but it ran", key)
		}
		runs += int64(r.Count)
		whole += int64(len(b.whole[key]))
	}
	return runs, whole
}

// disturb makes faults for some seconds: connections cut, calls delivered late,
// answers of service and log lost, appends doubled, the log away, the service
// failing.
func disturb(w *world, rng *rand.Rand, s *service.Service, at *sidecar) {
	for range 6 {
		time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
		faults := s.Faults()
		switch rng.IntN(9) {
		case 0, 1:
			at.host.cut()
		case 2:
			faults.LoseNextAnswers = 1
		case 3:
			faults.FailNext = 1
		case 4:
			w.log.DropResponses(1 + rng.IntN(2))
		case 5:
			w.log.DuplicateAppends(1)
		case 6, 7:
			at.late.hold(time.Duration(rng.IntN(4000)) * time.Millisecond)
		case 8:
			w.log.SetUnavailable(true)
			time.Sleep(time.Duration(rng.IntN(3000)) * time.Millisecond)
			w.log.SetUnavailable(false)
		}
		s.SetFaults(faults)
	}
}

// TestBookingRunsAtMostOnce has callers retry two bookings through two entries
// at once under seeded faults. The service's record is the truth.
func TestBookingRunsAtMostOnce(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rng := rand.New(rand.NewPCG(seed, 1))
				w := newWorld(t, "clinic")
				booking, driver := w.service()
				booking.SetFaults(service.Faults{Slowness: control.Duration(rng.IntN(1000)) * control.Duration(time.Millisecond)})
				s := w.sidecar("booking-1", "sidecar-1/1", driver)
				entries := []*entry{w.entry("entry-1/1", "booking-1"), w.entry("entry-2/1", "booking-1")}
				told := newBookings()
				keys := []string{"k1", "k2"}
				var wg sync.WaitGroup
				for i, e := range entries {
					for _, key := range keys {
						delay := time.Duration(rng.IntN(300)) * time.Millisecond
						wg.Go(func() {
							time.Sleep(delay)
							told.call(t, e, booking, key, 4, i > 0)
						})
					}
				}
				disturb(w, rng, booking, s)
				wg.Wait()
				time.Sleep(settleTime)
				runs, whole := told.check(t, keys, booking.Calls())
				b := w.budget("clinic")
				if b.Bills < whole || b.Bills > runs || b.Settled != b.Bills*price || b.Outstanding != 0 {
					t.Errorf("%d bills, %d settled, %d outstanding for %d runs, %d answers", b.Bills, b.Settled, b.Outstanding, runs, whole)
				}
				t.Logf("runs %d, whole %d, notRun %v, other %v, bills %d", runs, whole, told.notRun, told.other, b.Bills)
			})
		})
	}
}

// TestBookingRunsAtMostOnceUnderRestarts restarts the sidecar, whose earlier
// incarnation runs on unseen, and kills an entry with its calls under way, beside
// the other faults. The callers go on at the other entry.
func TestBookingRunsAtMostOnceUnderRestarts(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rng := rand.New(rand.NewPCG(seed, 4))
				w := newWorld(t, "clinic")
				booking, driver := w.service()
				booking.SetFaults(service.Faults{Slowness: control.Duration(rng.IntN(1000)) * control.Duration(time.Millisecond)})
				s := w.sidecar("booking-1", "sidecar-1/1", driver)
				doomed, other := w.entry("entry-1/1", "booking-1"), w.entry("entry-2/1", "booking-1")
				told := newBookings()
				keys := []string{"k1", "k2", "k3"}
				life, kill := context.WithCancel(t.Context())
				killAt, restartAt := time.Duration(rng.IntN(1500))*time.Millisecond, time.Duration(rng.IntN(1500))*time.Millisecond
				var wg sync.WaitGroup
				wg.Go(func() {
					time.Sleep(killAt)
					doomed.kill()
					kill()
				})
				wg.Go(func() {
					time.Sleep(restartAt)
					s.kill()
					w.sidecar("booking-1", "sidecar-1/2", driver)
				})
				for _, key := range keys {
					delay := time.Duration(rng.IntN(1000)) * time.Millisecond
					wg.Go(func() {
						time.Sleep(delay)
						answer, err := doomed.book(life, "clinic", key, "bay for "+key, false)
						// A dead entry tells its caller nothing.
						if life.Err() != nil || told.note(key, answer.Body, err) {
							told.call(t, other, booking, key, 3, true)
						}
					})
				}
				disturb(w, rng, booking, s)
				wg.Wait()
				time.Sleep(settleTime)
				runs, whole := told.check(t, keys, booking.Calls())
				if b := w.budget("clinic"); b.Bills > runs || b.Settled != b.Bills*price || b.Settled+b.Outstanding > b.ToppedUp {
					t.Errorf("%d bills, %d settled, %d outstanding for %d runs", b.Bills, b.Settled, b.Outstanding, runs)
				}
				t.Logf("runs %d, whole %d, notRun %v, other %v", runs, whole, told.notRun, told.other)
			})
		})
	}
}

// TestNotRunDidNotRun books once a key, with no retry: at the moment of a "not
// run" answer and ever after, the service did not run the key.
func TestNotRunDidNotRun(t *testing.T) {
	refused := 0
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 2))
			w := newWorld(t, "clinic")
			booking, driver := w.service()
			s := w.sidecar("booking-1", "sidecar-1/1", driver)
			e := w.entry("entry/1", "booking-1")
			told := newBookings()
			var keys []string
			var wg sync.WaitGroup
			for i := range 6 {
				key := fmt.Sprint("k", i)
				keys = append(keys, key)
				delay := time.Duration(rng.IntN(1500)) * time.Millisecond
				wg.Go(func() {
					time.Sleep(delay)
					told.call(t, e, booking, key, 1, false)
				})
			}
			disturb(w, rng, booking, s)
			wg.Wait()
			time.Sleep(settleTime)
			told.check(t, keys, booking.Calls())
			refused += len(told.notRun)
		})
	}
	if refused == 0 {
		t.Error("no request was told that it did not run")
	}
	t.Logf("%d of 240 bookings were told that they did not run", refused)
}

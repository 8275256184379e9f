package retry

import (
	"slices"
	"sync"
	"time"
)

// WindowBudget limits the retries of one gateway to a pool within any sliding
// window, without coordination between gateways: each gateway limits its retries to
// a ratio of the requests that it has received itself, so that the sum over all
// gateways keeps to the ratio of all requests.
type WindowBudget struct {
	ratio  float64
	extra  func() int
	length time.Duration

	mu       sync.Mutex
	requests []time.Time
	retries  []time.Time
}

// NewWindowBudget returns a budget over a window of the given length, in which
// retries are at most ratio times the requests, plus extra, which may change.
func NewWindowBudget(length time.Duration, ratio float64, extra func() int) *WindowBudget {
	return &WindowBudget{ratio: ratio, extra: extra, length: length}
}

// RecordRequest records a request.
func (w *WindowBudget) RecordRequest(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests = append(w.prune(w.requests, now), now)
}

// Reservation is a retry that the budget has allowed, and that may be returned until it is made.
type Reservation struct{ at time.Time }

// Reserve reserves a retry if the window has room for another one.
func (w *WindowBudget) Reserve(now time.Time) (Reservation, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests, w.retries = w.prune(w.requests, now), w.prune(w.retries, now)
	if float64(len(w.retries)+1) > w.ratio*float64(len(w.requests))+float64(w.extra()) {
		return Reservation{}, false
	}
	w.retries = append(w.retries, now)
	return Reservation{at: now}, true
}

// Spend records that a reserved retry is made now, and returns its reservation from then on.
func (w *WindowBudget) Spend(now time.Time, r Reservation) Reservation {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.remove(r)
	w.retries = append(w.retries, now)
	return Reservation{at: now}
}

// Return gives a reserved retry that reached no server back to the budget.
func (w *WindowBudget) Return(r Reservation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.remove(r)
}

func (w *WindowBudget) remove(r Reservation) {
	if i := slices.IndexFunc(w.retries, r.at.Equal); i >= 0 {
		w.retries = slices.Delete(w.retries, i, i+1)
	}
}

// prune removes the times before the window.
func (w *WindowBudget) prune(times []time.Time, now time.Time) []time.Time {
	start := now.Add(-w.length)
	for len(times) > 0 && times[0].Before(start) {
		times = times[1:]
	}
	return times
}

package retry

import (
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

// Allow reports whether the window has room for another retry, and records the
// retry if it has.
func (w *WindowBudget) Allow(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests, w.retries = w.prune(w.requests, now), w.prune(w.retries, now)
	if float64(len(w.retries)+1) > w.ratio*float64(len(w.requests))+float64(w.extra()) {
		return false
	}
	w.retries = append(w.retries, now)
	return true
}

// prune removes the times before the window.
func (w *WindowBudget) prune(times []time.Time, now time.Time) []time.Time {
	start := now.Add(-w.length)
	for len(times) > 0 && times[0].Before(start) {
		times = times[1:]
	}
	return times
}

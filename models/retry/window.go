package retry

import (
	"sync"
	"time"
)

// WindowBudget bounds the repeats of one entry at a pool in any sliding span, without
// asking other entries: each spends a share of the requests that it has seen
// itself, so that the sum over all entries keeps to the share of all requests.
type WindowBudget struct {
	share  float64
	extra  int
	length time.Duration

	mu       sync.Mutex
	requests []time.Time
	repeats  []time.Time
}

// NewWindowBudget returns a window of that length. In it, repeats are at most the
// share of the requests and the extra.
func NewWindowBudget(length time.Duration, share float64, extra int) *WindowBudget {
	return &WindowBudget{share: share, extra: extra, length: length}
}

// RecordRequest counts a request.
func (w *WindowBudget) RecordRequest(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests = append(w.since(w.requests, now), now)
}

// Allow takes one repeat, and reports whether the window has room for it.
func (w *WindowBudget) Allow(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests, w.repeats = w.since(w.requests, now), w.since(w.repeats, now)
	if float64(len(w.repeats)+1) > w.share*float64(len(w.requests))+float64(w.extra) {
		return false
	}
	w.repeats = append(w.repeats, now)
	return true
}

// since drops what is older than the window.
func (w *WindowBudget) since(times []time.Time, now time.Time) []time.Time {
	start := now.Add(-w.length)
	for len(times) > 0 && times[0].Before(start) {
		times = times[1:]
	}
	return times
}

// Package slowstart limits the requests of one gateway that are in flight at a server which has
// started, recovered or just become warm, by how the server responds. It is designed for servers that
// are slow for some seconds and fail if all gateways prefer them at once because they look idle, and
// for fleets in which a gateway sends each server only a few requests per second.
package slowstart

import (
	"math"
	"slices"
	"time"
)

const (
	// lateRatio and lateMargin bound the time to a first event that is in time: twice the prediction, and
	// the scheduling delay of a gateway with a small share of a core.
	lateRatio  = 2
	lateMargin = 50 * time.Millisecond
	// quietTime is the time without a held or a failed request after which a window ends. Gateways of a
	// large fleet have less than one request per second for a server, so a longer time would keep
	// servers idle.
	quietTime = time.Second
	// openTime is the time in which the gateways open their windows one after the other. All of them
	// read of a server at about the same time, and one request of each would already be more than it
	// takes while it is slow.
	openTime = 1500 * time.Millisecond
	// maxTime is the longest time that a window lasts at a server that is always late: some times
	// the warm-up of the reference deployments. By then the predictions include the server's speed.
	maxTime = 15 * time.Second
	// reduceInterval is the shortest time between two reductions: requests that were in flight together
	// fail together.
	reduceInterval = 100 * time.Millisecond
	// minEndSize is the smallest size at which a window ends because of the gateway's mean load, and
	// loadRatio the multiple of that load. A gateway of a large fleet has less than one request in flight
	// for each server, and a single response in time proves little.
	minEndSize = 4
	loadRatio  = 2
	// RetryAfter is the time after which a held request may return: about that of a first event.
	RetryAfter = 250 * time.Millisecond
)

// request is a request in flight.
type request struct {
	id string
	// lateAt is when its first event is late.
	lateAt time.Time
	begun  bool
}

// Window is the number of requests that may be in flight at a server. Only those that were sent since the
// window began count. The times begin with the first call that states one.
type Window struct {
	size     float64
	phase    float64
	inFlight []request
	begunAt  time.Time
	openAt   time.Time
	// blockedAt is when a request was last held, late or failed.
	blockedAt time.Time
	reducedAt time.Time
	// reached is whether the size has reached the gateway's mean load.
	reached bool
	held    int
	late    int
}

// New returns a window of one request. phase, from 0 to 1, is the place of the gateway in the order in which
// the gateways open their windows.
func New(phase float64) *Window { return &Window{size: 1, phase: phase} }

// Admits reports whether another request may be sent now: the window has opened, and fewer than as many as may
// be are in flight.
func (w *Window) Admits(now time.Time) bool {
	w.begin(now)
	return !w.full() && !now.Before(w.openAt)
}

func (w *Window) full() bool { return float64(len(w.inFlight)) >= math.Floor(w.size) }

// RecordHeld records a request for which the server was not considered, as the window admits none.
func (w *Window) RecordHeld(now time.Time) {
	w.begin(now)
	w.held++
	if w.full() {
		w.blockedAt = now
	}
}

// Idle reports whether no request is in flight.
func (w *Window) Idle() bool { return len(w.inFlight) == 0 }

func (w *Window) begin(now time.Time) {
	if w.begunAt.IsZero() {
		w.begunAt = now
		w.openAt = now.Add(time.Duration(w.phase * float64(openTime)))
		w.blockedAt = w.openAt
	}
}

// RecordSent records a request with the predicted time to its first event.
func (w *Window) RecordSent(now time.Time, id string, predicted time.Duration) {
	w.begin(now)
	w.inFlight = append(w.inFlight, request{id: id, lateAt: now.Add(lateRatio*predicted + lateMargin)})
}

// RecordFirstEvent records the first event of a response, or the response of a plain service. meanLoad is
// the number of the gateway's requests in flight per server of the pool.
func (w *Window) RecordFirstEvent(now time.Time, id string, meanLoad float64) {
	w.begin(now)
	i := slices.IndexFunc(w.inFlight, func(r request) bool { return r.id == id && !r.begun })
	switch {
	case i < 0:
	case now.After(w.inFlight[i].lateAt):
		w.inFlight[i].begun = true
		w.late++
		w.reduce(now)
	default:
		w.inFlight[i].begun = true
		w.size++
		w.reached = w.reached || w.size >= max(minEndSize, loadRatio*meanLoad)
	}
}

// RecordFailure records a request that was refused, failed or had no response in time.
func (w *Window) RecordFailure(now time.Time) {
	w.begin(now)
	w.late++
	w.reduce(now)
}

func (w *Window) reduce(now time.Time) {
	w.blockedAt = now
	if !w.reducedAt.IsZero() && now.Sub(w.reducedAt) < reduceInterval {
		return
	}
	w.reducedAt = now
	w.size = max(1, w.size/2)
}

// RecordEnd records the end of a request.
func (w *Window) RecordEnd(id string) {
	if i := slices.IndexFunc(w.inFlight, func(r request) bool { return r.id == id }); i >= 0 {
		w.inFlight = slices.Delete(w.inFlight, i, i+1)
	}
}

// ForgetInFlight forgets the requests in flight, whose ends are no longer recorded.
func (w *Window) ForgetInFlight() { w.inFlight = nil }

// Ended reports whether the server may get as many requests as others.
func (w *Window) Ended(now time.Time) bool {
	w.begin(now)
	return w.reached || now.Sub(w.blockedAt) >= quietTime || now.Sub(w.begunAt) >= maxTime
}

// Stats describes a window.
type Stats struct {
	// Duration is the time since it began.
	Duration time.Duration
	// Held is how often a server was not considered because of the window, and Late the number of
	// requests that were late or failed.
	Held, Late int
}

// Stats returns what has happened since the window began.
func (w *Window) Stats(now time.Time) Stats {
	w.begin(now)
	return Stats{Duration: now.Sub(w.begunAt), Held: w.held, Late: w.late}
}

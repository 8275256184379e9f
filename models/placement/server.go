// Package placement chooses the backend servers of a pool that a request is
// tried at, most suitable first.
//
// A Placement is pure state: it takes the time and a random source, and the
// caller serialises all calls.
package placement

import (
	"slices"
	"time"

	"github.com/crocusline/crocusline/models/queue"
	"github.com/crocusline/crocusline/models/rank"
)

// Server is a backend server of the pool.
type Server struct {
	Name          string
	FailureDomain string
	Region        string
}

// state is what an entry knows of a server.
type state struct {
	Server
	load     queue.Load
	observed time.Time
	// sent holds the times of the requests that the observation may not cover.
	sent     []time.Time
	failures int
	// until is when a failed server may be probed.
	until   time.Time
	probing bool
}

// failed says whether the server is out of use after a failure.
func (s *state) failed() bool { return s.failures > 0 }

// usable says whether the server may be chosen.
func (s *state) usable() bool { return !s.load.Draining && !s.failed() }

// observe takes in a load that is known late by at most lag.
func (s *state) observe(now time.Time, load queue.Load, lag time.Duration) {
	s.load, s.observed = load, now
	s.forget(now.Add(-lag))
}

// forget drops the requests that were sent up to a time.
func (s *state) forget(until time.Time) {
	s.sent = slices.DeleteFunc(s.sent, func(at time.Time) bool { return !at.After(until) })
}

// busy is the part of the slots that a new request of the rank would find
// taken, by what was observed and was sent since. It passes 1 when requests
// wait.
func (s *state) busy(r rank.Rank) float64 {
	return float64(s.load.Ahead[r]+len(s.sent)) / float64(max(s.load.Slots, 1))
}

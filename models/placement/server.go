// Package placement chooses the backend servers of a pool that a request is
// tried at, most suitable first.
//
// A Placement is pure state: it takes the time and a random source, and the
// caller serialises all calls.
package placement

import (
	"math"
	"time"

	"github.com/crocusline/crocusline/models/queue"
	"github.com/crocusline/crocusline/models/rank"
)

// Server is a backend server of the pool.
type Server struct {
	Name   string
	Domain string
	Region string
}

// state is what an entry knows of a server.
type state struct {
	Server
	load     queue.Load
	observed time.Time
	// sent counts the requests sent there since the last observation.
	sent     int
	failures int
	// until is when a failed server may be probed.
	until   time.Time
	probing bool
}

// failed says whether the server is out of use after a failure.
func (s *state) failed() bool { return s.failures > 0 }

// usable says whether the server may be chosen.
func (s *state) usable() bool { return !s.load.Draining && !s.failed() }

// busy estimates the requests running and waiting at or above the rank, as a
// share of the slots. What was observed counts less the older it is.
func (s *state) busy(now time.Time, r rank.Rank, memory time.Duration) float64 {
	slots := max(s.load.Slots, 1)
	open := float64(s.load.Running)
	for q := rank.Urgent; q <= r; q++ {
		open += float64(s.load.Queued[q])
	}
	if memory > 0 && !s.observed.IsZero() {
		open *= math.Exp(-float64(now.Sub(s.observed)) / float64(memory))
	}
	return (open + float64(s.sent)) / float64(slots)
}

// hasRoom says whether a request of the rank would start at once there, as far
// as is known.
func (s *state) hasRoom(now time.Time, r rank.Rank, memory time.Duration) bool {
	if s.load.Slots == 0 {
		return true
	}
	return s.busy(now, r, memory) < 1 || s.load.Wait[r] == 0 && s.sent == 0
}

// Package placement selects, on an entry instance, the backend servers of a pool on
// which a request is tried, in order of preference.
//
// A Selector does no I/O and reads no clock: callers pass the time and a random
// source, and serialise all calls.
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

// serverState is the state that an entry has recorded for a server.
type serverState struct {
	Server
	load     queue.Load
	observed time.Time
	// sentAt holds the send times of the requests that the load report may not
	// include.
	sentAt   []time.Time
	failures int
	// probeAt is when a failed server may be probed.
	probeAt time.Time
	probing bool
}

// failed reports whether the server is excluded after a failure.
func (s *serverState) failed() bool { return s.failures > 0 }

// usable reports whether the server may be selected.
func (s *serverState) usable() bool { return !s.load.Draining && !s.failed() }

// setLoad records a load report that is at most lag old.
func (s *serverState) setLoad(now time.Time, load queue.Load, lag time.Duration) {
	s.load, s.observed = load, now
	s.dropSentUntil(now.Add(-lag))
}

// dropSentUntil removes the requests that were sent up to the given time.
func (s *serverState) dropSentUntil(until time.Time) {
	s.sentAt = slices.DeleteFunc(s.sentAt, func(at time.Time) bool { return !at.After(until) })
}

// utilization returns the fraction of the slots that a new request of the rank
// would find occupied, according to the last load report and the requests sent
// since. It exceeds 1 when requests are waiting.
func (s *serverState) utilization(r rank.Rank) float64 {
	return float64(s.load.Ahead[r]+len(s.sentAt)) / float64(max(s.load.Slots, 1))
}

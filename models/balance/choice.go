package balance

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/crocusline/crocusline/models/call"
	"github.com/crocusline/crocusline/models/roster"
)

// Request describes a request for which a server is selected.
type Request struct {
	ID           string
	Segments     []call.PrefixSegment
	PromptTokens int64
	// Exclude lists the servers that have already been tried.
	Exclude []string
	// Version is the software version that a server must have, or empty if any will do.
	Version string
	// Goal is the target for the time to the first event.
	Goal time.Duration
	// Idempotent requests may be used to test a server that was unreachable.
	Idempotent bool
	// MaxRunning is the number of this gateway's requests that a server can run, or 0 if
	// it is not limited.
	MaxRunning int
}

// Choice is the server selected for a request.
type Choice struct {
	Server roster.Server
	// PredictedLatency is the expected time to the first event, or to the response
	// of a plain service.
	PredictedLatency time.Duration
	// CachedTokens is the number of prompt tokens that the server probably has
	// cached.
	CachedTokens int64
	// Trial is set if the server was unreachable before and the request tests it.
	Trial bool
}

// Choose returns the server with the lowest expected cost. It reports false if
// there is no server to choose.
func (b *Balancer) Choose(now time.Time, r Request) (Choice, bool) {
	preferred := b.preferredServer(now, r)
	var best, reserve *server
	var choice Choice
	bestCost := time.Duration(math.MaxInt64)
	for _, s := range b.ordered {
		if slices.Contains(r.Exclude, s.ID) || (r.Version != "" && s.Version != r.Version) || (r.MaxRunning > 0 && s.running >= r.MaxRunning) {
			continue
		}
		if !b.board.Admits(now, s.Server) {
			if !b.board.HeldByStart(now, s.Server) {
				continue
			}
			start := b.board.Start(s.Server)
			start.RecordHeld(now)
			if s.suspension == 0 && (reserve == nil || start.Idle()) {
				reserve = s
			}
			continue
		}
		predicted, cached := b.predict(now, s, r, s == preferred)
		cost := latencyCost(r, predicted) + b.recomputeCost(s, r, cached) + b.penalty(now, s, r) + time.Duration(b.rand.Int64N(int64(time.Millisecond)))
		if cost < bestCost {
			best, bestCost = s, cost
			choice = Choice{Server: s.Server, PredictedLatency: predicted, CachedTokens: cached, Trial: s.suspension > 0}
		}
	}
	if reserve == nil || (best != nil && !best.avoided(now, r)) {
		return choice, best != nil
	}
	if !b.board.Start(reserve.Server).Idle() {
		return Choice{}, false
	}
	predicted, cached := b.predict(now, reserve, r, reserve == preferred)
	return Choice{Server: reserve.Server, PredictedLatency: predicted, CachedTokens: cached}, true
}

// heldByStart reports whether a server that isn't suspended gets no more requests for now because of its
// slow start. If there is no other server that isn't suspended, one with nothing in flight gets a request, and
// the rest are refused.
func (b *Balancer) heldByStart(now time.Time, s *server) bool {
	return s.suspension == 0 && b.board.HeldByStart(now, s.Server)
}

// avoided reports whether the server is suspended and the request doesn't test it.
func (s *server) avoided(now time.Time, r Request) bool {
	return s.suspension > 0 && (now.Before(s.suspendedUntil) || len(s.trials) > 0 || !r.Idempotent)
}

// preferredServer returns the server to which every gateway maps the shared
// segments of a prompt, by rendezvous hashing over the servers that are neither
// suspended, nor in backoff, nor limited.
func (b *Balancer) preferredServer(now time.Time, r Request) *server {
	if len(r.Segments) < 2 || b.cacheTokens == 0 {
		return nil
	}
	key := xxhash.Sum64String(r.Segments[len(r.Segments)-2].ID)
	var preferred *server
	var highest uint64
	for id, s := range b.servers {
		if limited, _ := b.board.Limits(now, s.Server); limited || s.suspension > 0 || !b.board.Admits(now, s.Server) {
			continue
		}
		score := xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(id), key))
		if preferred == nil || score > highest {
			preferred, highest = s, score
		}
	}
	return preferred
}

// AcceptsIn returns the time until this gateway may send a request to a server of the pool. It is 0 if
// it may now, and also if there is no server.
func (b *Balancer) AcceptsIn(now time.Time) time.Duration {
	held := false
	for _, s := range b.servers {
		if b.heldByStart(now, s) {
			if b.board.Start(s.Server).Idle() {
				return 0
			}
			held = true
		}
	}
	var shortest time.Duration
	for _, s := range b.servers {
		if held && s.avoided(now, Request{Idempotent: true}) {
			continue
		}
		wait := b.board.Wait(now, s.Server)
		if wait == 0 {
			return 0
		}
		if shortest == 0 || wait < shortest {
			shortest = wait
		}
	}
	return shortest
}

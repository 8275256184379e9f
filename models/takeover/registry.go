// Package takeover decides which attempts at a stream must end before another one sends it to a server. A caller
// resumes a stream at any gateway, while the one before may not have noticed that its caller left, and its server
// works on. The gateway that began a stream is asked first and names the one that resumed it last. The load that it
// answers are gateways that wait for the processor, and callers that resume a stream several times.
package takeover

import (
	"net/netip"
	"slices"
	"time"

	"github.com/crocusline/crocusline/models/lineage"
)

const (
	// successorLifetime is longer than callers resume a stream.
	successorLifetime = 2 * time.Minute
	// pruneInterval is how often expired successors are removed.
	pruneInterval = 10 * time.Second
)

// Registry holds the attempts at streams of one gateway, and which other gateway resumed each stream last.
type Registry struct {
	attempts     map[lineage.ID][]int64
	lastAttempt  int64
	successors   map[lineage.ID]successor
	lastPrunedAt time.Time
}

type successor struct {
	gateway netip.AddrPort
	until   time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{attempts: map[lineage.ID][]int64{}, successors: map[lineage.ID]successor{}}
}

// Begin adds an attempt at the stream and returns its number.
func (r *Registry) Begin(id lineage.ID) int64 {
	r.lastAttempt++
	r.attempts[id] = append(r.attempts[id], r.lastAttempt)
	return r.lastAttempt
}

// End removes an attempt.
func (r *Registry) End(id lineage.ID, attempt int64) {
	left := slices.DeleteFunc(r.attempts[id], func(n int64) bool { return n == attempt })
	if len(left) == 0 {
		delete(r.attempts, id)
		return
	}
	r.attempts[id] = left
}

// Before returns the attempts at the stream that began before the given one.
func (r *Registry) Before(id lineage.ID, attempt int64) []int64 {
	return slices.DeleteFunc(slices.Clone(r.attempts[id]), func(n int64) bool { return n >= attempt })
}

// Supersede records that another gateway resumes the stream. It returns the attempts that must end, and the gateway
// that resumed it before, which is invalid if there is none.
func (r *Registry) Supersede(now time.Time, id lineage.ID, by netip.AddrPort) (attempts []int64, before netip.AddrPort) {
	r.prune(now)
	before = r.Successor(id)
	r.successors[id] = successor{gateway: by, until: now.Add(successorLifetime)}
	return slices.Clone(r.attempts[id]), before
}

// Successor returns the other gateway that resumed the stream last, which is invalid if there is none.
func (r *Registry) Successor(id lineage.ID) netip.AddrPort { return r.successors[id].gateway }

// Holds reports whether there are attempts at the stream, or another gateway that resumed it.
func (r *Registry) Holds(id lineage.ID) bool {
	return len(r.attempts[id]) > 0 || r.Successor(id).IsValid()
}

func (r *Registry) prune(now time.Time) {
	if now.Sub(r.lastPrunedAt) < pruneInterval {
		return
	}
	r.lastPrunedAt = now
	for id, s := range r.successors {
		if now.After(s.until) {
			delete(r.successors, id)
		}
	}
}

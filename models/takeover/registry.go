// Package takeover decides which attempts at a stream must end before another one sends it to a server. A caller
// resumes a stream at any gateway, while the one before may not have noticed that its caller left, and its server
// works on. The gateways that recorded a stream are asked and name those that resumed it. The load that it
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
	// maxSuccessors bounds the successors of a stream, and maxStreams the streams that have some.
	maxSuccessors = maxAsked
	maxStreams    = 4096
)

// Registry holds the attempts at streams of one gateway, and which other gateways resumed each stream.
type Registry struct {
	attempts    map[lineage.ID][]int64
	lastAttempt int64
	// successors holds the gateways that resumed each stream, the last one first.
	successors   map[lineage.ID][]successor
	lastPrunedAt time.Time
}

type successor struct {
	gateway netip.AddrPort
	until   time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{attempts: map[lineage.ID][]int64{}, successors: map[lineage.ID][]successor{}}
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

// Supersede records that another gateway resumes the stream. It returns the attempts that must end, and the other gateways
// that resumed it before.
func (r *Registry) Supersede(now time.Time, id lineage.ID, by netip.AddrPort) (attempts []int64, before []netip.AddrPort) {
	r.Prune(now)
	all := slices.DeleteFunc(r.successors[id], func(s successor) bool { return s.gateway == by })
	for _, s := range all {
		before = append(before, s.gateway)
	}
	if len(r.successors) >= maxStreams && r.successors[id] == nil {
		r.forgetFirst()
	}
	all = slices.Insert(all, 0, successor{gateway: by, until: now.Add(successorLifetime)})
	r.successors[id] = all[:min(len(all), maxSuccessors)]
	return slices.Clone(r.attempts[id]), before
}

// forgetFirst removes the successors of the stream whose last one is the oldest.
func (r *Registry) forgetFirst() {
	var first lineage.ID
	var until time.Time
	for id, all := range r.successors {
		if until.IsZero() || all[0].until.Before(until) {
			first, until = id, all[0].until
		}
	}
	delete(r.successors, first)
}

// Successors returns the other gateways that resumed the stream, the last one first. One that missed a response doesn't
// know of those before it, so that the last one isn't enough.
func (r *Registry) Successors(id lineage.ID) []netip.AddrPort {
	var all []netip.AddrPort
	for _, s := range r.successors[id] {
		all = append(all, s.gateway)
	}
	return all
}

// Holds reports whether there are attempts at the stream, or other gateways that resumed it.
func (r *Registry) Holds(id lineage.ID) bool {
	return len(r.attempts[id]) > 0 || len(r.successors[id]) > 0
}

// Prune removes expired successors from time to time.
func (r *Registry) Prune(now time.Time) {
	if now.Sub(r.lastPrunedAt) < pruneInterval {
		return
	}
	r.lastPrunedAt = now
	for id, all := range r.successors {
		all = slices.DeleteFunc(all, func(s successor) bool { return now.After(s.until) })
		if len(all) == 0 {
			delete(r.successors, id)
			continue
		}
		r.successors[id] = all
	}
}

package takeover

import (
	"net/netip"
	"slices"
)

// maxAsked bounds the gateways that are asked for one stream.
const maxAsked = 8

// Answer is what a gateway says that has ended its attempts at a stream.
type Answer struct {
	// Successor is the gateway that resumed the stream before, which is invalid if there is none.
	Successor netip.AddrPort
	// Recorded is whether the process recorded the stream, so that gateways that resume it later find it by its record,
	// and from its answer those that it answered.
	Recorded bool
}

// Search selects the gateways that may still work on a stream: those that recorded it, and those that they name as
// successors.
type Search struct {
	seen     []netip.AddrPort
	pending  []netip.AddrPort
	complete bool
}

// NewSearch returns the search of a gateway that begins with the others given.
func NewSearch(self netip.AddrPort, first ...netip.AddrPort) *Search {
	s := &Search{seen: []netip.AddrPort{self}}
	for _, g := range first {
		s.Add(g)
	}
	return s
}

// Add adds a gateway, unless it is invalid or was added before.
func (s *Search) Add(g netip.AddrPort) {
	if !g.IsValid() || slices.Contains(s.seen, g) || len(s.seen) > maxAsked {
		return
	}
	s.seen = append(s.seen, g)
	s.pending = append(s.pending, g)
}

// Record records the answer of a gateway.
func (s *Search) Record(a Answer) {
	s.complete = s.complete || a.Recorded
	s.Add(a.Successor)
}

// Complete reports whether a process that recorded the stream has answered, or is this one. Others find the gateway that
// searches by that one. It doesn't say that all gateways that resumed the stream were found.
func (s *Search) Complete() bool { return s.complete }

// Next returns the next gateway to ask, and whether there is one.
func (s *Search) Next() (netip.AddrPort, bool) {
	if len(s.pending) == 0 {
		return netip.AddrPort{}, false
	}
	next := s.pending[0]
	s.pending = s.pending[1:]
	return next, true
}

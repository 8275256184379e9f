package takeover

import (
	"net/netip"
	"slices"
)

// maxAsked bounds the gateways that are asked for one stream.
const maxAsked = 8

// Answer is what a gateway says that has ended its attempts at a stream.
type Answer struct {
	// Successors are the other gateways that resumed the stream before, the last one first.
	Successors []netip.AddrPort
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
	s.Add(first...)
	return s
}

// Add adds gateways, but for those that are invalid or were added before.
func (s *Search) Add(gateways ...netip.AddrPort) {
	for _, g := range gateways {
		if !g.IsValid() || slices.Contains(s.seen, g) || len(s.seen) > maxAsked {
			continue
		}
		s.seen = append(s.seen, g)
		s.pending = append(s.pending, g)
	}
}

// Record records the answer of a gateway.
func (s *Search) Record(a Answer) {
	s.complete = s.complete || a.Recorded
	s.Add(a.Successors...)
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

// Package roster decides which backend servers can be used, from what the
// platform's list says of them and from whether the list itself can be read.
package roster

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

// lapseGrace is how long after the list can be read again a server stays in use
// whose entry lapsed meanwhile. Living servers are back in the list within about
// 2 s of its return, as the platform's operators say.
const lapseGrace = 2200 * time.Millisecond

// Server is a backend server as the list names it.
type Server struct {
	// ID belongs to one start of the server, or several in a row.
	ID            string
	Pool          string
	Address       netip.AddrPort
	FailureDomain string
	Slots         int
	// Draining servers take no new requests.
	Draining bool
	// WarmUp is how much longer the server was slow when it said so.
	WarmUp time.Duration
	// Started is when the server started, by its own clock, in ms since 1970; 0
	// if it did not say.
	Started int64
}

// entry is a server, and whether its entry went during an outage of the list.
type entry struct {
	Server
	lapsed bool
}

// Roster holds the servers. Times are those of the caller's clock.
type Roster struct {
	servers  map[string]entry
	lost     bool
	regained time.Time
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{servers: map[string]entry{}}
}

// Put adds a server or replaces what is known of it.
func (r *Roster) Put(s Server) {
	r.servers[s.ID] = entry{Server: s}
}

// ListUnavailable says that the list can't be read.
func (r *Roster) ListUnavailable() { r.lost = true }

// ListAvailable says that the list can be read again.
func (r *Roster) ListAvailable(now time.Time) {
	if r.lost {
		r.lost, r.regained = false, now
	}
}

// Remove says that the server's entry is gone. Just after an outage of the list
// the server is kept for the grace, since entries lapse during outages as well.
func (r *Roster) Remove(id string, now time.Time) {
	e, known := r.servers[id]
	if !known {
		return
	}
	if e.Draining || (!r.lost && !r.inGrace(now)) {
		delete(r.servers, id)
		return
	}
	e.lapsed = true
	r.servers[id] = e
}

func (r *Roster) inGrace(now time.Time) bool {
	return !r.regained.IsZero() && now.Before(r.regained.Add(lapseGrace))
}

// Usable returns the servers that take new requests, ordered by id.
func (r *Roster) Usable(now time.Time) []Server {
	var usable []Server
	for id, e := range r.servers {
		if e.lapsed && !r.lost && !r.inGrace(now) {
			delete(r.servers, id)
			continue
		}
		if !e.Draining {
			usable = append(usable, e.Server)
		}
	}
	slices.SortFunc(usable, func(a, b Server) int { return strings.Compare(a.ID, b.ID) })
	return usable
}

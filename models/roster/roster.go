// Package roster determines which backend servers can be used, based on the
// platform's server list and on whether that list can be read.
package roster

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

// expiryGrace is how long a server stays in use after an outage of the list if its
// record expired in the meantime. According to the platform's operators, servers that
// are running are listed again within about 2 s after the outage.
const expiryGrace = 2200 * time.Millisecond

// Server is a backend server as described in the list.
type Server struct {
	// ID identifies the server for one or several consecutive starts.
	ID            string
	Pool          string
	Address       netip.AddrPort
	FailureDomain string
	// Version is the version of the server's software, or empty if unknown. Streams of different
	// versions can't be joined.
	Version string
	Slots   int
	// Draining servers accept no new requests.
	Draining bool
	// WarmUp is the remaining time of the server's slow warm-up phase, at the time when
	// it was reported.
	WarmUp time.Duration
	// Sequence increases with each change that the server reports.
	Sequence int64
	// Started is when the server started, by its own clock in ms since 1970, or 0 if
	// unknown.
	Started int64
}

// copyGrace is how long a server that left the list is remembered. It is longer than the age of a
// copy to which the list returns, which is some seconds.
const copyGrace = time.Minute

// listedServer is a server of the list. It is expired if its record was removed during
// an outage of the list or within expiryGrace after one.
type listedServer struct {
	Server
	expired bool
	// confirmedAt is when the server was asked last and confirmed that it is the listed start, or the
	// zero value.
	confirmedAt time.Time
	// aliveAt is a time after which an expired server was alive.
	aliveAt time.Time
	// regressed is whether the list had a later start of the server before.
	regressed bool
}

// departure records that a server drains or was removed from the list.
type departure struct {
	started  int64
	sequence int64
	// selfReported is whether the server itself announced it in a response.
	selfReported bool
	at           time.Time
}

// supersededBy reports whether the record shows that the server takes requests again. A later start is
// another incarnation. A later report of the same one undoes what the list said, but not what the
// server announced itself. Without a start time, or after an earlier one, it may be an older record.
func (d departure) supersededBy(s Server) bool {
	return s.Started > d.started || (s.Started == d.started && s.Sequence > d.sequence && !d.selfReported)
}

// Roster is the set of listed servers. All times are from the caller's clock.
//
// A server that drains or was removed stays out of use until a record shows that it accepts
// requests again. The load that it answers are servers whose entry stays ready while they drain,
// and a list that returns from an older copy.
type Roster struct {
	servers map[string]listedServer
	// departures are the servers that drain or were removed, by id.
	departures      map[string]departure
	listUnavailable bool
	availableSince  time.Time
	heartbeat       time.Duration
	// readAt is when the last read began, and readsSince when the first one did of those through which
	// the list was available all the while.
	readAt, readsSince time.Time
	// aliveAt is a time after which all listed servers that haven't expired were alive.
	aliveAt time.Time
}

// New returns an empty roster.
func New(opts ...Option) *Roster {
	r := &Roster{servers: map[string]listedServer{}, departures: map[string]departure{}, heartbeat: DefaultHeartbeat}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Put adds or replaces a server.
func (r *Roster) Put(s Server, now time.Time) {
	d, departed := r.departures[s.ID]
	switch {
	case departed && !d.supersededBy(s):
		s.Draining = true
	case s.Draining:
		r.recordDeparture(s, now, false)
	default:
		delete(r.departures, s.ID)
	}
	listed := listedServer{Server: s}
	if before, exists := r.servers[s.ID]; exists {
		listed.regressed = s.Started < before.Started || (before.regressed && s.Started == before.Started)
		if before.Started == s.Started {
			listed.confirmedAt = before.confirmedAt
		}
	}
	r.servers[s.ID] = listed
}

// recordDeparture records that the server drains or was removed.
func (r *Roster) recordDeparture(s Server, now time.Time, selfReported bool) {
	d := r.departures[s.ID]
	d.at = now
	if s.Started > d.started {
		d = departure{started: s.Started, at: now}
	}
	if s.Started == d.started {
		d.sequence, d.selfReported = max(d.sequence, s.Sequence), d.selfReported || selfReported
	}
	r.departures[s.ID] = d
}

// RecordDraining records that the server itself announced that it drains. It returns false if that was
// known, or if the list has another incarnation of the server by now.
func (r *Roster) RecordDraining(s Server, now time.Time) bool {
	listed, exists := r.servers[s.ID]
	if exists && listed.Started != s.Started {
		return false
	}
	if known := r.departures[s.ID]; known.selfReported && known.started == s.Started {
		return false
	}
	r.recordDeparture(s, now, true)
	if exists {
		listed.Draining = true
		r.servers[s.ID] = listed
	}
	return true
}

// ListUnavailable records that the list can't be read.
func (r *Roster) ListUnavailable() {
	r.listUnavailable = true
	r.ResetReads()
}

// ListAvailable records that the list can be read.
func (r *Roster) ListAvailable(now time.Time) {
	if r.listUnavailable {
		r.listUnavailable, r.availableSince = false, now
	}
}

// Remove records that the server was removed from the list. During an outage of the
// list, and for expiryGrace after it, the server is kept, since records of running
// servers also expire in an outage. Draining servers are always removed.
func (r *Roster) Remove(id string, now time.Time) {
	s, exists := r.servers[id]
	if !exists {
		return
	}
	if s.Draining || (!r.listUnavailable && !r.inGrace(now)) {
		r.removeDeparted(s.Server, now)
		return
	}
	if !s.expired {
		s.expired, s.aliveAt = true, r.aliveAt
	}
	r.servers[id] = s
}

// removeDeparted removes a server that has left.
func (r *Roster) removeDeparted(s Server, now time.Time) {
	delete(r.servers, s.ID)
	r.recordDeparture(s, now, false)
}

func (r *Roster) inGrace(now time.Time) bool {
	return !r.availableSince.IsZero() && now.Before(r.availableSince.Add(expiryGrace))
}

// Usable returns the servers that accept new requests, ordered by ID.
func (r *Roster) Usable(now time.Time) []Server {
	var usable []Server
	for _, s := range r.servers {
		if s.expired && !r.listUnavailable && !r.inGrace(now) {
			r.removeDeparted(s.Server, now)
			continue
		}
		if !s.Draining {
			usable = append(usable, s.Server)
		}
	}
	r.pruneDepartures(now)
	slices.SortFunc(usable, func(a, b Server) int { return strings.Compare(a.ID, b.ID) })
	return usable
}

// pruneDepartures removes the servers that left the list so long ago that no copy has them.
func (r *Roster) pruneDepartures(now time.Time) {
	for id, d := range r.departures {
		if _, listed := r.servers[id]; !listed && now.Sub(d.at) > copyGrace {
			delete(r.departures, id)
		}
	}
}

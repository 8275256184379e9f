package notice

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/crocusline/crocusline/models/gateway"
)

const (
	// minHeartbeatInterval is the shortest time between two heartbeats of a gateway, and
	// maxHeartbeats the number of all gateways' heartbeats per second: each gateway reads all.
	minHeartbeatInterval = time.Second
	maxHeartbeats        = 100.0
	// missedHeartbeats is the number of heartbeats after whose absence a gateway has no share.
	missedHeartbeats = 3
	// disconnectedShare is the part of its share that a gateway uses while the others may have
	// divided that among themselves. With it all gateways together never exceed 1.5 times a
	// limit, whichever of them are disconnected from the store.
	disconnectedShare = 0.5
	// unknownGateways is the number of gateways assumed while none are known: as many as the
	// largest planned fleet has.
	unknownGateways = 400
	// learnTime is how long the other gateways take at most to read a heartbeat or an entry of this one.
	// Both usually take 0.1 to 0.4 s. unreadTime is after how long at most they know that they can't read.
	learnTime  = 500 * time.Millisecond
	unreadTime = 1500 * time.Millisecond
	// spareSharers is how many gateways may save up a request each at a server with the smallest
	// limit, and sharersPerLimit how many more for each request per second of its limit. That is
	// about half of what servers tolerate in a burst.
	spareSharers    = 2.5
	sharersPerLimit = 1.0
)

// Fleet is the set of gateways that live. It divides what servers allow to all gateways
// together.
//
// A gateway lives until its heartbeats have been missing for a while in which they were read
// (gateway.Presence). The loads that it answers are fleets in which a share for each gateway would be
// far below one request, and gateways that are killed, stopped, replaced or cut off.
type Fleet struct {
	self string
	// others are the other gateways that are registered.
	others *gateway.Presence
	// known is whether the gateways are known.
	known bool
	// knownAt is when the gateways were first known, about when this one registered.
	knownAt time.Time
	// confirmedAt is when the last heartbeat of this gateway that the store accepted was sent.
	confirmedAt time.Time
	// watchedAt is when this gateway began to write heartbeats, and connectedFrom when the others know
	// of those that have followed each other since without a gap.
	watchedAt     time.Time
	connectedFrom time.Time
}

// NewFleet returns the fleet of the gateway, whose others are unknown.
func NewFleet(self string) *Fleet { return &Fleet{self: self, others: gateway.NewPresence()} }

// SetMembers replaces the gateways that are registered. One that was not known before counts as
// alive.
func (f *Fleet) SetMembers(now time.Time, instances []string) {
	if !f.known {
		f.known, f.knownAt = true, now
	}
	f.others.Keep(now, slices.DeleteFunc(slices.Clone(instances), func(instance string) bool { return instance == f.self }))
}

// RecordHeartbeat records that a heartbeat of the gateway was read.
func (f *Fleet) RecordHeartbeat(now time.Time, instance string) {
	if f.others.Known(instance) {
		f.others.Record(now, instance)
	}
}

// Watch begins to wait for heartbeats, which gateways write only while there is a limit.
func (f *Fleet) Watch(now time.Time) {
	f.watchedAt = now
	f.others.Watch(now)
}

// Confirm records that the store accepted this gateway's heartbeat that was sent at the time.
func (f *Fleet) Confirm(now, sentAt time.Time) {
	if f.confirmedAt.IsZero() || now.Sub(f.confirmedAt) >= f.confirmedFor() {
		f.connectedFrom = now.Add(learnTime)
		if f.confirmedAt.After(f.watchedAt) || now.Sub(f.watchedAt) >= f.confirmedFor() {
			// Another gateway may have replaced this one, and may be unable to read that it is back.
			f.connectedFrom = f.connectedFrom.Add(unreadTime)
		}
	}
	f.confirmedAt = sentAt
}

// RecordRead records that the store's heartbeats were read up to those of the time.
func (f *Fleet) RecordRead(at time.Time) { f.others.RecordRead(at) }

// RecordUnreadable records that the store doesn't respond to reads.
func (f *Fleet) RecordUnreadable() { f.others.RecordUnreadable() }

// HeartbeatInterval returns the time between two heartbeats of a gateway. It grows with the fleet,
// so that what each gateway reads doesn't.
func (f *Fleet) HeartbeatInterval() time.Duration {
	return max(minHeartbeatInterval, time.Duration(float64(f.others.Len()+1)/maxHeartbeats*float64(time.Second)))
}

func (f *Fleet) expiry() time.Duration { return missedHeartbeats * f.HeartbeatInterval() }

// confirmedFor is how long after a heartbeat this gateway counts as living at the others. They replace it
// after the expiry, and its share is in use for up to shareTTL after it was determined.
func (f *Fleet) confirmedFor() time.Duration { return f.expiry() - shareTTL }

// connected reports whether the others know that this gateway lives, and it reads which of them do. Those that
// replaced it while its heartbeats were missing stop once they have read one.
func (f *Fleet) connected(now time.Time) bool {
	return !f.confirmedAt.IsZero() && now.Sub(f.confirmedAt) < f.confirmedFor() && !now.Before(f.connectedFrom) && f.others.Current(now)
}

// Share is a gateway's part of what a server allows to all.
type Share struct {
	// Rate is in requests per second. It is 0 if the gateway must send the server nothing.
	Rate float64
	// Rank is the gateway's place among the Sharers, from 0.
	Rank, Sharers int
}

// quota is what a server allows to all gateways together. The zero value allows everything.
type quota struct {
	// rate is in requests per second.
	rate float64
	// sharers is the largest number of gateways that share the rate.
	sharers int
	// burst is the number of requests that the sharers together may save up, if no second may have more
	// than that and the rate. It is 0 if only longer times count.
	burst float64
}

func (q quota) unlimited() bool { return q.sharers == 0 }

// exact reports whether each single second counts.
func (q quota) exact() bool { return q.burst > 0 }

// saved returns how many requests a gateway with the share may save up.
func (q quota) saved(s Share) float64 {
	if q.exact() {
		return max(1, q.burst/float64(max(1, s.Sharers)))
	}
	return max(1, s.Rate*burstTime.Seconds())
}

// and returns the quota that observes both.
func (q quota) and(other quota) quota {
	switch {
	case q.unlimited():
		return other
	case other.unlimited():
		return q
	}
	return quota{rate: min(q.rate, other.rate), sharers: min(q.sharers, other.sharers), burst: max(q.burst, other.burst)}
}

// namedQuota returns the quota of a server that names a limit. If a part for each gateway would let them
// save up more requests than the server bears at once, some of them share it.
func namedQuota(limit float64) quota {
	return quota{rate: limit, sharers: int(math.Min(spareSharers+sharersPerLimit*limit, math.MaxInt32))}
}

// Share returns this gateway's part of a server's quota. The sharers are chosen by rendezvous hashing:
// among the gateways that live, or, if the others may not know that this one lives, among all that are
// registered. A gateway that is cut off sees the others fall silent that are cut off as well, and all
// would take the whole quota.
func (f *Fleet) Share(now time.Time, server string, q quota) Share {
	if !f.known {
		s := Share{Sharers: unknownGateways}
		if !q.exact() {
			s.Rate = disconnectedShare * q.rate / unknownGateways
		}
		return s
	}
	own, connected := score(server, f.self), f.connected(now)
	count, rank := 1, 0
	for instance := range f.others.All() {
		if connected && f.others.Silence(instance) >= f.expiry() {
			continue
		}
		count++
		if s := score(server, instance); s > own || (s == own && instance < f.self) {
			rank++
		}
	}
	s := Share{Rank: rank, Sharers: min(count, q.sharers)}
	if rank >= s.Sharers {
		return s
	}
	s.Rate = q.rate / float64(s.Sharers)
	if !connected {
		s.Rate *= disconnectedShare
	}
	return s
}

func score(server, instance string) uint64 { return xxhash.Sum64String(server + "\x1f" + instance) }

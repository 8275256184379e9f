package notice

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minHeartbeatInterval is the shortest time between two heartbeats of a gateway, and
	// maxHeartbeats the number of all gateways' heartbeats per second: each gateway reads all.
	minHeartbeatInterval = time.Second
	maxHeartbeats        = 100.0
	// maxReadInterval is the longest time between the states of two reads in which the absence of
	// heartbeats counts. While a server names a limit, each gateway reads at least its own.
	maxReadInterval = 1500 * time.Millisecond
	// missedHeartbeats is the number of heartbeats after whose absence a gateway has no share.
	missedHeartbeats = 3
	// disconnectedShare is the part of its share that a gateway uses while the others may have
	// divided that among themselves. With it all gateways together never exceed 1.5 times a
	// limit, whichever of them are disconnected from the store.
	disconnectedShare = 0.5
	// unknownGateways is the number of gateways assumed while none are known: as many as the
	// largest planned fleet has.
	unknownGateways = 400
	// spareSharers is how many gateways may save up a request each at a server with the smallest
	// limit, and sharersPerLimit how many more for each request per second of its limit. That is
	// about half of what servers tolerate in a burst.
	spareSharers    = 2.5
	sharersPerLimit = 1.0
)

// Fleet is the set of gateways that live. It divides what servers allow to all gateways
// together.
//
// A gateway lives until its heartbeats have been missing for a while in which the store was read:
// time without the store, and time in which this process did not run, is no evidence. The loads that
// it answers are fleets in which a share for each gateway would be far below one request, gateways that
// are killed, stopped, replaced or cut off, and outages of the store.
type Fleet struct {
	self string
	// seenAt is when each other gateway was last known to live.
	seenAt map[string]time.Time
	// known is whether the gateways are known.
	known bool
	// unreadable is whether the store stopped responding, and readAt the time whose state was read last,
	// or the zero value.
	unreadable bool
	readAt     time.Time
	// confirmedAt is when the last heartbeat of this gateway that the store accepted was sent.
	confirmedAt time.Time
}

// NewFleet returns the fleet of the gateway, whose others are unknown.
func NewFleet(self string) *Fleet { return &Fleet{self: self, seenAt: map[string]time.Time{}} }

// SetMembers replaces the gateways that are registered. One that was not known before counts as
// alive.
func (f *Fleet) SetMembers(now time.Time, instances []string) {
	f.known = true
	current := make(map[string]time.Time, len(instances))
	for _, instance := range instances {
		if instance == f.self {
			continue
		}
		seenAt, known := f.seenAt[instance]
		if !known {
			seenAt = now
		}
		current[instance] = seenAt
	}
	f.seenAt = current
}

// RecordHeartbeat records that a heartbeat of the gateway was read.
func (f *Fleet) RecordHeartbeat(now time.Time, instance string) {
	if _, known := f.seenAt[instance]; known {
		f.seenAt[instance] = now
	}
}

// Watch begins to wait for heartbeats, which gateways write only while there is a limit.
func (f *Fleet) Watch(now time.Time) {
	for instance, seenAt := range f.seenAt {
		if now.After(seenAt) {
			f.seenAt[instance] = now
		}
	}
}

// Confirm records that the store accepted this gateway's heartbeat that was sent at the time.
func (f *Fleet) Confirm(sentAt time.Time) { f.confirmedAt = sentAt }

// RecordRead records that the store's heartbeats were read up to those of the time.
func (f *Fleet) RecordRead(at time.Time) {
	if !f.readAt.IsZero() && (f.unreadable || at.Sub(f.readAt) > maxReadInterval) {
		f.Watch(at)
	}
	f.unreadable = false
	if at.After(f.readAt) {
		f.readAt = at
	}
}

// RecordUnreadable records that the store doesn't respond to reads.
func (f *Fleet) RecordUnreadable() { f.unreadable = true }

// HeartbeatInterval returns the time between two heartbeats of a gateway. It grows with the fleet,
// so that what each gateway reads doesn't.
func (f *Fleet) HeartbeatInterval() time.Duration {
	return max(minHeartbeatInterval, time.Duration(float64(len(f.seenAt)+1)/maxHeartbeats*float64(time.Second)))
}

func (f *Fleet) expiry() time.Duration { return missedHeartbeats * f.HeartbeatInterval() }

// connected reports whether the others know that this gateway lives.
func (f *Fleet) connected(now time.Time) bool {
	return !f.confirmedAt.IsZero() && now.Sub(f.confirmedAt) < f.expiry()
}

// Share is a gateway's part of what a server allows to all.
type Share struct {
	// Rate is in requests per second. It is 0 if the gateway must send the server nothing.
	Rate float64
	// Rank is the gateway's place among the Sharers, from 0.
	Rank, Sharers int
}

// Share returns the part of a server's limit of requests per second. If a part for each gateway
// would let them save up more requests than the server bears at once, some of them share the limit,
// by rendezvous hashing.
func (f *Fleet) Share(now time.Time, server string, limit float64) Share {
	if !f.known {
		return Share{Rate: disconnectedShare * limit / unknownGateways, Sharers: unknownGateways}
	}
	own := score(server, f.self)
	living, rank := 1, 0
	for instance, seenAt := range f.seenAt {
		if f.readAt.Sub(seenAt) >= f.expiry() {
			continue
		}
		living++
		if s := score(server, instance); s > own || (s == own && instance < f.self) {
			rank++
		}
	}
	s := Share{Rank: rank, Sharers: min(living, sharers(limit))}
	if rank >= s.Sharers {
		return s
	}
	s.Rate = limit / float64(s.Sharers)
	if !f.connected(now) {
		s.Rate *= disconnectedShare
	}
	return s
}

// sharers returns the largest number of gateways that share a limit.
func sharers(limit float64) int {
	return int(math.Min(spareSharers+sharersPerLimit*limit, math.MaxInt32))
}

func score(server, instance string) uint64 { return xxhash.Sum64String(server + "\x1f" + instance) }

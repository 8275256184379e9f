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
	// confirmedAt is when the last heartbeat of this gateway that the store accepted was sent.
	confirmedAt time.Time
}

// NewFleet returns the fleet of the gateway, whose others are unknown.
func NewFleet(self string) *Fleet { return &Fleet{self: self, others: gateway.NewPresence()} }

// SetMembers replaces the gateways that are registered. One that was not known before counts as
// alive.
func (f *Fleet) SetMembers(now time.Time, instances []string) {
	f.known = true
	f.others.Keep(now, slices.DeleteFunc(slices.Clone(instances), func(instance string) bool { return instance == f.self }))
}

// RecordHeartbeat records that a heartbeat of the gateway was read.
func (f *Fleet) RecordHeartbeat(now time.Time, instance string) {
	if f.others.Known(instance) {
		f.others.Record(now, instance)
	}
}

// Watch begins to wait for heartbeats, which gateways write only while there is a limit.
func (f *Fleet) Watch(now time.Time) { f.others.Watch(now) }

// Confirm records that the store accepted this gateway's heartbeat that was sent at the time.
func (f *Fleet) Confirm(sentAt time.Time) { f.confirmedAt = sentAt }

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
	for instance := range f.others.All() {
		if f.others.Silence(instance) >= f.expiry() {
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

package intake

import (
	"math"
	"time"
)

const (
	// A direction of the link is saturated once it carries saturatedLinkRatio of the bandwidth, until it carries
	// less than relievedLinkRatio. Streams that go on need a quarter of it.
	saturatedLinkRatio = 0.55
	relievedLinkRatio  = 0.35
)

// Link estimates how long bytes wait for the network link in each direction, by the bytes that are read
// from and written to all connections. It is not safe for concurrent use.
//
// The load that it answers is bodies that arrive and are forwarded, and events of streams that come from
// servers and go to callers: each direction carries both.
type Link struct {
	receive, transmit direction
}

// direction is the estimate for one direction of the link.
type direction struct {
	// bytesPerSecond is the usable part of the bandwidth.
	bytesPerSecond float64
	// queued is the number of bytes that were counted and not yet carried at updatedAt.
	queued    float64
	updatedAt time.Time
	// carried is the decayed number of bytes at updatedAt.
	carried   float64
	saturated bool
}

// NewLink returns an idle link with this bandwidth. A bandwidth of 0 means that it is unknown, and that
// nothing waits.
func NewLink(bytesPerSecond float64) *Link {
	d := direction{bytesPerSecond: bytesPerSecond * usableRatio}
	return &Link{receive: d, transmit: d}
}

// Record records the bytes that were read and written since the last call.
func (l *Link) Record(now time.Time, read, written int64) {
	l.receive.record(now, read)
	l.transmit.record(now, written)
}

// Delays returns how long a byte waits now in each direction.
func (l *Link) Delays(now time.Time) (receive, transmit time.Duration) {
	return l.receive.delay(now), l.transmit.delay(now)
}

// Saturated reports whether a direction carries about as much as it can. What callers send waits before it
// reaches the gateway then, so that refusals come too late: new connections should go to other gateways.
func (l *Link) Saturated(now time.Time) bool {
	received, transmitted := l.receive.isSaturated(now), l.transmit.isSaturated(now)
	return received || transmitted
}

func (d *direction) isSaturated(now time.Time) bool {
	if d.bytesPerSecond == 0 {
		return false
	}
	d.update(now)
	threshold := saturatedLinkRatio
	if d.saturated {
		threshold = relievedLinkRatio
	}
	d.saturated = d.carried/rateTimeConstant.Seconds() >= threshold*d.bytesPerSecond/usableRatio
	return d.saturated
}

func (d *direction) record(now time.Time, size int64) {
	d.update(now)
	d.queued += float64(max(0, size))
	d.carried += float64(max(0, size))
}

func (d *direction) update(now time.Time) {
	elapsed := max(0, now.Sub(d.updatedAt).Seconds())
	d.queued = max(0, d.queued-elapsed*d.bytesPerSecond)
	d.carried *= math.Exp(-elapsed / rateTimeConstant.Seconds())
	d.updatedAt = now
}

func (d *direction) delay(now time.Time) time.Duration {
	if d.bytesPerSecond == 0 {
		return 0
	}
	d.update(now)
	return time.Duration(d.queued / d.bytesPerSecond * float64(time.Second))
}

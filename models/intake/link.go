package intake

import "time"

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
	// sent are the bytes that were written, which all of the bandwidth carries.
	sent backlog
}

// direction is the estimate for one direction of the link.
type direction struct {
	queued  backlog
	carried rate
}

// NewLink returns an idle link with this bandwidth. A bandwidth of 0 means that it is unknown, and that
// nothing waits.
func NewLink(bytesPerSecond float64) *Link {
	d := direction{
		queued:  backlog{bytesPerSecond: bytesPerSecond * usableRatio},
		carried: rate{bytesPerSecond: bytesPerSecond, begin: saturatedLinkRatio, end: relievedLinkRatio},
	}
	return &Link{receive: d, transmit: d, sent: backlog{bytesPerSecond: bytesPerSecond}}
}

// Record records the bytes that were read and written since the last call.
func (l *Link) Record(now time.Time, read, written int64) {
	l.receive.record(now, read)
	l.transmit.record(now, written)
	l.sent.add(now, written)
}

// Delays returns how long a byte waits now in each direction.
func (l *Link) Delays(now time.Time) (receive, transmit time.Duration) {
	return l.receive.queued.delay(now), l.transmit.queued.delay(now)
}

// MinTransmitDelay returns how long a byte that is written now waits at least. Delays counts on usableRatio of the
// bandwidth: in 10 s of full load that is up to 0.96 s more.
func (l *Link) MinTransmitDelay(now time.Time) time.Duration { return l.sent.delay(now) }

// Saturated reports whether a direction carries about as much as it can. What callers send waits before it
// reaches the gateway then, so that refusals come too late: new connections should go to other gateways.
func (l *Link) Saturated(now time.Time) bool {
	received, transmitted := l.receive.carried.isSaturated(now), l.transmit.carried.isSaturated(now)
	return received || transmitted
}

func (d *direction) record(now time.Time, size int64) {
	d.queued.add(now, size)
	d.carried.add(now, size)
}

// Package intake decides which request bodies a gateway accepts, by the bandwidth of its
// network link in both directions and by how busy its processor is. It is designed for a workspace that sends
// several times its usual load to one gateway with a fraction of the others' bandwidth and
// processor: prompts queue there, and small calls wait behind them until they miss their
// goaq. What the gateway can't carry in time is refused before its body is read, so that
// callers come back at another one.
package intake

import (
	"math"
	"time"
)

const (
	// maxDelay is the longest time that a body may wait for the link, and a request for the
	// processor: a part of the shortest latency goaq.
	maxDelay = 60 * time.Millisecond
	// lessUrgentRatio is the part of maxDelay for requests that are not of the most urgent
	// priority, so that these find room.
	lessUrgentRatio = 0.7
	// idleRatio is the part of maxDelay for bodies that would themselves take the delay beyond
	// maxDelay. Otherwise a body of 100,000 bytes behind others makes what follows wait 140 ms in
	// each direction at 10 Mbit/s, nearly as long as a connection attempt may take.
	idleRatio = 0.2
	// smallBody is the size in bytes up to which bodies don't wait for the link, as they
	// hardly add to its queue. These requests may wait smallBodyRatio times as long for the
	// processor.
	smallBody      = 2 << 10
	smallBodyRatio = 2
	// usableRatio is the part of the bandwidth that the estimate counts on. The rest is for
	// headers and for what isn't counted.
	usableRatio = 0.85
	// initialWindow is what a caller sends of a body at once: 10 segments.
	initialWindow = 10 * 1448
	// minRetryAfter is the shortest time after which a caller should come back. It reaches
	// another gateway then.
	minRetryAfter = 50 * time.Millisecond
	// A direction is saturated once it carries saturatedRatio of the bandwidth, until it
	// carries less than relievedRatio, both averaged over rateTimeConstant. Streams that
	// go on need a quarter of it.
	saturatedRatio   = 0.7
	relievedRatio    = 0.45
	rateTimeConstant = 400 * time.Millisecond
)

// Queue estimates how long bytes wait for the network link. It is not safe for concurrent
// use.
type Queue struct {
	receive, transmit direction
}

// direction is the estimate for one direction of the link. The load that it is designed for is
// bodies that arrive and are forwarded, and events of streams that come from servers and go
// to callers: each direction carries both.
type direction struct {
	// bytesPerSecond is the usable part of the bandwidth.
	bytesPerSecond float64
	// queued is the number of bytes that were counted and not yet carried at updatedAt, and
	// waiting that of accepted bodies that are to follow. Those that are not forwarded for long
	// count as carried until they are.
	queued, waiting float64
	updatedAt       time.Time
	// expected is the part of the accepted bodies that the counts of the connections have not
	// reported yet.
	expected float64
	// carried is the decayed number of bytes at carriedAt.
	carried   float64
	carriedAt time.Time
	saturated bool
}

// New returns the queue of an idle link with this bandwidth. A bandwidth of 0 means that it
// is unknown, and that it refuses no body.
func New(bytesPerSecond float64) *Queue {
	d := direction{bytesPerSecond: bytesPerSecond * usableRatio}
	return &Queue{receive: d, transmit: d}
}

// Delay returns how long a byte waits now, in the direction where it waits longer.
func (q *Queue) Delay(now time.Time) time.Duration {
	return max(q.receive.delay(now), q.transmit.delay(now))
}

// Delays returns how long a byte waits now in each direction.
func (q *Queue) Delays(now time.Time) (receive, transmit time.Duration) {
	return q.receive.delay(now), q.transmit.delay(now)
}

// RecordReceived records bytes that arrive from callers, whether accepted or not.
func (q *Queue) RecordReceived(now time.Time, size int64) {
	q.receive.recordCarried(now, float64(max(0, size)))
}

// RecordTraffic records the bytes that were read from and written to the connections of callers,
// servers, the store and peers since the last call. Accepted bodies are a part of them.
func (q *Queue) RecordTraffic(now time.Time, read, written int64) {
	q.receive.recordTraffic(now, read)
	q.transmit.recordWritten(now, written)
}

// RecordRefused records that the body of a refused request of this size isn't read. What its caller
// sends before it gets the response takes the link nevertheless.
func (q *Queue) RecordRefused(now time.Time, size int64) {
	q.receive.update(now)
	q.receive.queued += float64(min(max(0, size), initialWindow))
}

// RecordNotForwarded records that an accepted body of this size won't be forwarded.
func (q *Queue) RecordNotForwarded(now time.Time, size int64) {
	q.transmit.cancel(now, float64(max(0, size)))
}

// RecordNotReceived records that an accepted body of this size doesn't arrive.
func (q *Queue) RecordNotReceived(now time.Time, size int64) {
	q.receive.cancel(now, float64(max(0, size)))
	q.transmit.cancel(now, float64(max(0, size)))
}

// Saturated reports whether a direction carries about as much as it can. What callers send
// waits before it reaches the gateway then, so that refusals come too late: new connections
// should go to other gateways.
func (q *Queue) Saturated(now time.Time) bool {
	received, transmitted := q.receive.isSaturated(now), q.transmit.isSaturated(now)
	return received || transmitted
}

// Accept reports whether a request with a body of this size is carried in time, and adds
// the body to both directions if so. Otherwise it returns the time after which the caller should
// come back. Priority 0 is the most urgent. processorDelay is how long requests wait for
// the processor now.
func (q *Queue) Accept(now time.Time, size int64, priority int, processorDelay time.Duration) (retryAfter time.Duration, accepted bool) {
	delay, limit := max(q.Delay(now), processorDelay), maxDelay
	switch {
	case size <= smallBody:
		delay, limit = processorDelay, smallBodyRatio*maxDelay
	case delay+q.receive.timeFor(size) > maxDelay:
		limit = time.Duration(float64(maxDelay) * idleRatio)
	case priority > 0:
		limit = time.Duration(float64(maxDelay) * lessUrgentRatio)
	}
	if delay > limit {
		return max(minRetryAfter, delay-limit), false
	}
	q.receive.expect(float64(max(0, size)))
	q.transmit.expect(float64(max(0, size)))
	q.transmit.recordCarried(now, float64(max(0, size)))
	return 0, true
}

// delay returns how long a byte waits now.
func (d *direction) delay(now time.Time) time.Duration {
	if d.bytesPerSecond == 0 {
		return 0
	}
	d.update(now)
	return time.Duration((d.queued + d.waiting) / d.bytesPerSecond * float64(time.Second))
}

// timeFor returns how long the link takes for bytes.
func (d *direction) timeFor(size int64) time.Duration {
	if d.bytesPerSecond == 0 {
		return 0
	}
	return time.Duration(float64(size) / d.bytesPerSecond * float64(time.Second))
}

func (d *direction) update(now time.Time) {
	carried := max(0, now.Sub(d.updatedAt).Seconds()) * d.bytesPerSecond
	d.waiting = max(0, d.waiting-max(0, carried-d.queued))
	d.queued = max(0, d.queued-carried)
	d.updatedAt = now
}

// expect adds an accepted body.
func (d *direction) expect(size float64) {
	d.waiting += size
	d.expected += size
}

// cancel removes an accepted body, as far as no count has reported it.
func (d *direction) cancel(now time.Time, size float64) {
	d.update(now)
	size = min(size, d.expected)
	d.expected -= size
	d.waiting = max(0, d.waiting-size)
}

// recordWritten adds bytes that were handed to the kernel. Accepted bodies among them wait no longer
// to be forwarded, but for the link.
func (d *direction) recordWritten(now time.Time, size int64) {
	d.update(now)
	known := min(float64(max(0, size)), d.expected)
	d.expected -= known
	d.waiting = max(0, d.waiting-known)
	d.queued += float64(max(0, size))
	d.recordCarried(now, float64(max(0, size))-known)
}

// recordTraffic adds bytes that arrived and are no part of accepted bodies.
func (d *direction) recordTraffic(now time.Time, size int64) {
	d.update(now)
	known := min(float64(max(0, size)), d.expected)
	d.expected -= known
	other := float64(max(0, size)) - known
	d.queued += other
	d.recordCarried(now, other)
}

// recordCarried adds to the rate by which a direction is saturated.
func (d *direction) recordCarried(now time.Time, size float64) {
	d.decay(now)
	d.carried += size
}

func (d *direction) decay(now time.Time) {
	d.carried *= math.Exp(-now.Sub(d.carriedAt).Seconds() / rateTimeConstant.Seconds())
	d.carriedAt = now
}

func (d *direction) isSaturated(now time.Time) bool {
	if d.bytesPerSecond == 0 {
		return false
	}
	d.decay(now)
	threshold := saturatedRatio
	if d.saturated {
		threshold = relievedRatio
	}
	d.saturated = d.carried/rateTimeConstant.Seconds() >= threshold*d.bytesPerSecond/usableRatio
	return d.saturated
}

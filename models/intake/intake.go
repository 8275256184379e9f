// Package intake decides which request bodies a gateway accepts, by the bandwidth of its
// network link and by how busy its processor is. It is designed for a workspace that sends
// several times its usual load to one gateway with a fraction of the others' bandwidth and
// processor: prompts queue there, and small calls wait behind them until they miss their
// goal. What the gateway can't carry in time is refused before its body is read, so that
// callers come back at another one.
package intake

import "time"

const (
	// maxDelay is the longest time that a body may wait for the link, and a request for the
	// processor: a part of the shortest latency goal.
	maxDelay = 60 * time.Millisecond
	// lessUrgentRatio is the part of maxDelay for requests that are not of the most urgent
	// priority, so that these find room.
	lessUrgentRatio = 0.7
	// smallBody is the size in bytes up to which bodies don't wait for the link, as they
	// hardly add to its queue. These requests may wait smallBodyRatio times as long for the
	// processor.
	smallBody      = 2 << 10
	smallBodyRatio = 2
	// usableRatio is the part of the bandwidth that bodies can use. The rest is for
	// headers, responses and the store.
	usableRatio = 0.85
	// minRetryAfter is the shortest time after which a caller should come back. It reaches
	// another gateway then.
	minRetryAfter = 50 * time.Millisecond
	// A link is saturated once it receives saturatedRatio of its bandwidth, until it
	// receives less than relievedRatio, both averaged over rateTimeConstant.
	saturatedRatio   = 0.7
	relievedRatio    = 0.35
	rateTimeConstant = 400 * time.Millisecond
)

// Queue estimates how long bodies wait for the network link. It is not safe for concurrent
// use.
type Queue struct {
	// accepted are the bodies that were accepted, received what arrived from callers.
	accepted backlog
	received rate
}

// New returns the queue of an idle link with this bandwidth. A bandwidth of 0 means that it
// is unknown, and that it refuses no body.
func New(bytesPerSecond float64) *Queue {
	return &Queue{
		accepted: backlog{bytesPerSecond: bytesPerSecond * usableRatio},
		received: rate{bytesPerSecond: bytesPerSecond, begin: saturatedRatio, end: relievedRatio},
	}
}

// Delay returns how long a byte waits now.
func (q *Queue) Delay(now time.Time) time.Duration { return q.accepted.delay(now) }

// RecordReceived records bytes that arrived from callers, whether accepted or not.
func (q *Queue) RecordReceived(now time.Time, size int64) { q.received.add(now, size) }

// Saturated reports whether callers send about as much as the link carries. What they send
// waits before it reaches the gateway then, so that refusals come too late: new connections
// should go to other gateways.
func (q *Queue) Saturated(now time.Time) bool { return q.received.isSaturated(now) }

// Accept reports whether a request with a body of this size is carried in time, and adds
// the body to the queue if so. Otherwise it returns the time after which the caller should
// come back. Priority 0 is the most urgent. processorDelay is how long requests wait for
// the processor now.
func (q *Queue) Accept(now time.Time, size int64, priority int, processorDelay time.Duration) (retryAfter time.Duration, accepted bool) {
	delay, limit := max(q.Delay(now), processorDelay), maxDelay
	switch {
	case size <= smallBody:
		delay, limit = processorDelay, smallBodyRatio*maxDelay
	case priority > 0:
		limit = time.Duration(float64(maxDelay) * lessUrgentRatio)
	}
	if delay > limit {
		return max(minRetryAfter, delay-limit), false
	}
	q.accepted.add(now, size)
	return 0, true
}

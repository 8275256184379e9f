package intake

import "time"

const (
	// paceWindow is the time within which paceBytes of a large body have to arrive. That is less than
	// half of what a link of 1 Mbit/s carries, and the window is longer than a lost packet delays the
	// next ones.
	paceWindow = 2 * time.Second
	paceBytes  = 100_000
)

// Pace decides how long a gateway waits for the next part of a request body. Large bodies hold memory
// that others need, and have to arrive at a minimum rate. The load that it answers are callers that stop
// just short of the end of a body and keep the connection open.
type Pace struct {
	end       time.Time
	windowEnd time.Time
	// received is the number of bytes that arrived in the window.
	received int
}

// NewPace returns the pace of a body that has to arrive within the timeout.
func NewPace(now time.Time, timeout time.Duration) *Pace { return &Pace{end: now.Add(timeout)} }

// Deadline returns until when the next part has to arrive.
func (p *Pace) Deadline() time.Time {
	if !p.windowEnd.IsZero() && p.windowEnd.Before(p.end) {
		return p.windowEnd
	}
	return p.end
}

// Record records that a part of the body arrived, and reports whether the deadline has changed. large is
// whether the body has to keep the minimum rate.
func (p *Pace) Record(now time.Time, size int, large bool) bool {
	p.received += size
	if !large || !p.windowEnd.IsZero() && p.received < paceBytes {
		return false
	}
	before := p.Deadline()
	p.windowEnd, p.received = now.Add(paceWindow), 0
	return !p.Deadline().Equal(before)
}

package uptime

import "time"

// Clock measures the time since it was created. Unlike the monotonic clock, it counts the time for which
// the machine was suspended.
type Clock struct {
	created   time.Time
	suspended func() time.Duration
	before    time.Duration
}

// NewClock returns a clock that starts now.
func NewClock() *Clock { return NewClockWith(Suspended) }

// NewClockWith returns a clock that starts now and takes the time for which the machine was suspended from
// the function.
func NewClockWith(suspended func() time.Duration) *Clock {
	return &Clock{created: time.Now(), suspended: suspended, before: suspended()}
}

// Elapsed returns the time since the clock was created.
func (c *Clock) Elapsed() time.Duration { return time.Since(c.created) + c.suspended() - c.before }

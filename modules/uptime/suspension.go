package uptime

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxDrift is the difference between the advance of the wall clock and that of the monotonic
	// clock beyond which the machine may have been suspended.
	maxDrift = 5 * time.Millisecond
	// maxReadTime is how far apart two clocks may be read to be compared.
	maxReadTime = time.Millisecond
	// readAttempts is how often the clocks are read if the process is interrupted between them.
	readAttempts = 5
)

// Suspension measures for how long the machine was suspended. The monotonic clock, and all
// timers, don't count that time.
type Suspension struct {
	// measure returns the time for which the machine was suspended since it was booted.
	measure func() (time.Duration, error)
	created time.Time

	mu sync.Mutex
	// drift is the advance of the wall clock beyond that of the monotonic clock at the last
	// measurement.
	drift time.Duration
	// before is the time suspended before the Suspension was created, and suspended that since.
	before, suspended time.Duration
	measured          bool
}

// NewSuspension returns a Suspension that measures from now on.
func NewSuspension() *Suspension {
	s := &Suspension{measure: sinceBootSuspended, created: time.Now()}
	s.Total()
	return s
}

// Total returns for how long the machine was suspended since the Suspension was created.
func (s *Suspension) Total() time.Duration {
	now := time.Now()
	return s.total(now.Round(0).Sub(s.created.Round(0)), now.Sub(s.created))
}

// total returns the time suspended after the clocks have advanced by these times. The clocks of the machine
// are compared only when the wall clock, which may be set or count that time, has moved.
func (s *Suspension) total(wall, monotonic time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	drift := wall - monotonic
	if s.measured && (drift-s.drift).Abs() <= maxDrift {
		return s.suspended
	}
	sinceBoot, err := s.measure()
	switch {
	case err != nil:
		// Without the clock of the boot, no suspension is known.
		return s.suspended
	case !s.measured:
		s.before, s.measured = sinceBoot, true
	default:
		s.suspended = max(s.suspended, sinceBoot-s.before)
	}
	s.drift = drift
	return s.suspended
}

// process measures for the lifetime of the process.
var process = NewSuspension()

// Suspended returns for how long the machine was suspended since the process started.
func Suspended() time.Duration { return process.Total() }

// sinceBootSuspended compares the clock that counts the time suspended with the one that doesn't.
func sinceBootSuspended() (time.Duration, error) {
	var suspended time.Duration
	for range readAttempts {
		before, err := clock(unix.CLOCK_MONOTONIC)
		if err != nil {
			return 0, err
		}
		boot, err := clock(unix.CLOCK_BOOTTIME)
		if err != nil {
			return 0, err
		}
		after, err := clock(unix.CLOCK_MONOTONIC)
		if err != nil {
			return 0, err
		}
		suspended = max(0, boot-after)
		if after-before <= maxReadTime {
			break
		}
	}
	return suspended, nil
}

func clock(id int32) (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(id, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}

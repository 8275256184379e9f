// Package uptime reads the clocks of the machine that outlive a process.
package uptime

import (
	"os"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the machine started, which counts while it is
// suspended.
func SinceBoot() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}

const bootFile = "/proc/sys/kernel/random/boot_id"

// BootID returns an identifier of the machine's start, or "" if it has none.
var BootID = sync.OnceValue(func() string {
	data, err := os.ReadFile(bootFile)
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(data))
})

// WallClock is a time of day that never gets ahead of the earliest that the process's
// clocks allow: when the time of day jumps ahead, it doesn't follow.
type WallClock struct {
	mu       sync.Mutex
	started  time.Time
	earliest int64
}

// NewWallClock returns a time of day that begins now.
func NewWallClock() *WallClock {
	now := time.Now()
	return &WallClock{started: now, earliest: now.UnixMilli()}
}

// Earliest returns the earliest time of day, in ms since 1970, that now can be.
func (w *WallClock) Earliest() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	elapsed := now.Sub(w.started).Milliseconds()
	w.earliest = min(w.earliest, now.UnixMilli()-elapsed)
	return w.earliest + elapsed
}

// Package uptime reads the boot-time clock of the machine and provides a lower bound
// of the wall-clock time.
package uptime

import (
	"os"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the machine was booted, including the time for which
// it was suspended.
func SinceBoot() (time.Duration, error) {
	return clock(unix.CLOCK_BOOTTIME)
}

const bootIDFile = "/proc/sys/kernel/random/boot_id"

// BootID returns the kernel's identifier of the current boot, or "" if it is not
// available.
var BootID = sync.OnceValue(func() string {
	data, err := os.ReadFile(bootIDFile)
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(data))
})

// WallClock provides a lower bound of the wall-clock time. The bound advances with the
// monotonic clock. It follows the wall clock when that is set back, but not when that
// is set forward.
type WallClock struct {
	mu      sync.Mutex
	started time.Time
	// earliest is the lower bound of the wall-clock time at started, in Unix
	// milliseconds.
	earliest int64
}

// NewWallClock returns a WallClock that starts at the current wall-clock time.
func NewWallClock() *WallClock {
	now := time.Now()
	return &WallClock{started: now, earliest: now.UnixMilli()}
}

// Earliest returns the lower bound of the current time in Unix milliseconds.
func (w *WallClock) Earliest() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	elapsed := now.Sub(w.started).Milliseconds()
	w.earliest = min(w.earliest, now.UnixMilli()-elapsed)
	return w.earliest + elapsed
}

package prepaid

import (
	"testing"
	"time"
)

// TestMaxTimeUntilExit checks the bound of the time that a process ran after its last report.
func TestMaxTimeUntilExit(t *testing.T) {
	sent := ClockReading{Wall: 1_000_000, Uptime: 50_000, BootID: 1}
	tests := []struct {
		name       string
		now        ClockReading
		latestWall int64
		want       time.Duration
	}{
		{"same boot", ClockReading{Wall: 1_002_000, Uptime: 52_100, BootID: 1}, 0, 2100 * time.Millisecond},
		{"same boot, wall clock jumped back", ClockReading{Wall: 999_000, Uptime: 52_000, BootID: 1}, 0, 2 * time.Second},
		{"another boot", ClockReading{Wall: 1_002_000, Uptime: 50_500, BootID: 2}, 0, 2*time.Second + maxClockError},
		{"uptime restarted", ClockReading{Wall: 1_002_000, Uptime: 900, BootID: 1}, 0, 2*time.Second + maxClockError},
		{"uptime of another boot", ClockReading{Wall: 1_002_000, Uptime: 90_000, BootID: 1}, 0, 2*time.Second + maxClockError},
		{"other gateways wrote later", ClockReading{Wall: 999_000, Uptime: 900, BootID: 2}, 1_003_000, 3*time.Second + maxClockError},
		{"all clocks are behind", ClockReading{Wall: 998_000, BootID: 2}, 0, maxClockError},
	}
	for _, tt := range tests {
		if got := maxTimeUntilExit(sent, tt.now, tt.now, tt.latestWall); got != tt.want {
			t.Errorf("%s: got %s, want %s", tt.name, got, tt.want)
		}
	}
}

// TestMaxTimeUntilExitReadLate checks that the bound doesn't grow with the time from the start
// of the successor until it reads the report.
func TestMaxTimeUntilExitReadLate(t *testing.T) {
	sent := ClockReading{Wall: 1_000_000, Uptime: 50_000, BootID: 1}
	started := ClockReading{Wall: 1_002_000, Uptime: 500, BootID: 2}
	now := ClockReading{Wall: 1_006_000, Uptime: 4_500, BootID: 2}
	if got, want := maxTimeUntilExit(sent, started, now, 0), 2*time.Second+maxClockError; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	// The wall clock was 1 s behind at the start and has been corrected since.
	started.Wall -= 1_000
	if got, want := maxTimeUntilExit(sent, started, now, 0), 2*time.Second+maxClockError; got != want {
		t.Errorf("after a correction of the clock: got %s, want %s", got, want)
	}
}

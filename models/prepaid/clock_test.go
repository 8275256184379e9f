package prepaid

import (
	"testing"
	"time"
)

// TestSince checks how long a writer may have lived after its last report.
func TestSince(t *testing.T) {
	sent := Clock{Wall: 1_000_000, Uptime: 50_000, Boot: 1}
	tests := []struct {
		name   string
		now    Clock
		newest int64
		want   time.Duration
	}{
		{"same boot", Clock{Wall: 1_002_000, Uptime: 52_100, Boot: 1}, 0, 2100 * time.Millisecond},
		{"same boot, time of day jumped back", Clock{Wall: 999_000, Uptime: 52_000, Boot: 1}, 0, 2 * time.Second},
		{"another boot", Clock{Wall: 1_002_000, Uptime: 50_500, Boot: 2}, 0, 2*time.Second + clockError},
		{"uptime began anew", Clock{Wall: 1_002_000, Uptime: 900, Boot: 1}, 0, 2*time.Second + clockError},
		{"uptime of another start", Clock{Wall: 1_002_000, Uptime: 90_000, Boot: 1}, 0, 2*time.Second + clockError},
		{"others wrote later", Clock{Wall: 999_000, Uptime: 900, Boot: 2}, 1_003_000, 3*time.Second + clockError},
		{"all clocks are behind", Clock{Wall: 998_000, Boot: 2}, 0, clockError},
	}
	for _, tt := range tests {
		if got := since(sent, tt.now, tt.now, tt.newest); got != tt.want {
			t.Errorf("%s: got %s, want %s", tt.name, got, tt.want)
		}
	}
}

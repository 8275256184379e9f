package exchange

import (
	"testing"
	"time"
)

// TestAcknowledgements checks what shows that the system of a server is gone, also if the process stands still
// between two looks.
func TestAcknowledgements(t *testing.T) {
	type look struct {
		after      time.Duration
		unanswered bool
		silence    time.Duration
	}
	const tick = acknowledgementInterval
	tests := []struct {
		name  string
		looks []look
		gone  int
	}{
		{"all is acknowledged", []look{{tick, false, tick}, {10 * time.Second, false, 10 * time.Second}}, -1},
		{"a probe is under way after a long interval", []look{{tick, true, 6 * time.Second}, {tick, false, tick / 2}, {6 * time.Second, true, 6 * time.Second}}, -1},
		{"nothing is answered", []look{{tick, true, tick}, {time.Second, true, 2 * time.Second}, {time.Second, true, 3 * time.Second}, {time.Second, true, 4 * time.Second}}, 3},
		{"answered while the process stood still", []look{{tick, true, tick}, {5 * time.Second, true, time.Second}, {2 * time.Second, true, 3 * time.Second}}, -1},
		{"unanswered while the process stood still", []look{{tick, true, tick}, {5 * time.Second, true, 6 * time.Second}}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now, gone := time.Unix(1_000_000, 0), -1
			var a acknowledgements
			for i, l := range tt.looks {
				now = now.Add(l.after)
				if a.observe(now, l.unanswered, l.silence) && gone < 0 {
					gone = i
				}
			}
			if gone != tt.gone {
				t.Errorf("gone at look %d, want %d", gone, tt.gone)
			}
		})
	}
}

package intake_test

import (
	"testing"
	"time"

	"github.com/crocusline/crocusline/models/intake"
)

// TestPace guards against large bodies that hold memory until the timeout after their callers have stopped
// sending, and against a minimum rate that a link of 1 Mbit/s doesn't reach.
func TestPace(t *testing.T) {
	const (
		timeout     = 5 * time.Second
		packet      = 1460
		slowLink    = packet * 8 * time.Microsecond
		fastLink    = slowLink / 100
		smallPacket = 1
	)
	for _, tt := range []struct {
		name  string
		large bool
		size  int
		every time.Duration
		// stopsAt is when the caller stops, and deadline until when the next part has to arrive then.
		stopsAt, deadline time.Duration
	}{
		{"small body that stops", false, packet, slowLink, time.Second, timeout},
		{"large body that stops", true, packet, fastLink, time.Second, 3 * time.Second},
		{"large body that stops late", true, packet, fastLink, 4 * time.Second, timeout},
		{"large body over a slow link", true, packet, slowLink, 4500 * time.Millisecond, timeout},
		{"large body byte by byte", true, smallPacket, time.Millisecond, time.Second, 2 * time.Second},
	} {
		start := time.Unix(1_700_000_000, 0)
		p := intake.NewPace(start, timeout)
		p.Record(start, 0, tt.large)
		now := start
		for ; now.Sub(start) < tt.stopsAt; now = now.Add(tt.every) {
			if now.After(p.Deadline()) {
				t.Errorf("%s: given up after %s", tt.name, now.Sub(start))
				break
			}
			p.Record(now, tt.size, tt.large)
		}
		if got := p.Deadline().Sub(start); got > tt.deadline || got < tt.deadline-100*time.Millisecond {
			t.Errorf("%s: has to arrive until %s, want %s", tt.name, got, tt.deadline)
		}
	}
}

package uptime

import (
	"testing"
	"time"
)

// TestSuspension checks that only the time that the machine was suspended counts, and that the clocks are
// compared only when the wall clock has moved.
func TestSuspension(t *testing.T) {
	var suspended time.Duration
	reads := 0
	s := &Suspension{measure: func() (time.Duration, error) {
		reads++
		return time.Hour + suspended, nil
	}}
	steps := []struct {
		name      string
		steady    time.Duration
		wallStep  time.Duration
		suspended time.Duration
		reads     int
	}{
		{"at the start", 0, 0, 0, 1},
		{"a minute later", time.Minute, 0, 0, 1},
		{"the wall clock was set forward", 2 * time.Minute, 9 * time.Second, 0, 2},
		{"unchanged", 3 * time.Minute, 9 * time.Second, 0, 2},
		{"suspended for 4 s", 3 * time.Minute, 13 * time.Second, 4 * time.Second, 3},
		{"running on", 4 * time.Minute, 13 * time.Second, 4 * time.Second, 3},
		{"the wall clock was set back", 5 * time.Minute, -2 * time.Second, 4 * time.Second, 4},
	}
	for _, st := range steps {
		suspended = st.suspended
		if got := s.total(st.steady+st.wallStep, st.steady); got != st.suspended || reads != st.reads {
			t.Errorf("%s: got %s after %d comparisons, want %s after %d", st.name, got, reads, st.suspended, st.reads)
		}
	}
}

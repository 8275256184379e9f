package transfer

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestResponseGivenUpAfterPause guards against responses that have arrived while the process didn't run and are given
// up when it runs on, as their time is over before they are read.
func TestResponseGivenUpAfterPause(t *testing.T) {
	const begin = time.Second
	for _, tt := range []struct {
		name   string
		pauses []time.Duration
		want   time.Duration
	}{
		{"no pause", nil, begin},
		{"a timer that is late as usual", []time.Duration{50 * time.Millisecond}, begin},
		{"stopped", []time.Duration{4 * time.Second}, begin + lateGrace},
		{"stopped again and again", []time.Duration{time.Second, time.Second, time.Second, time.Second}, begin + 3*lateGrace},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				ctx, g := Watch(t.Context(), Limits{Begin: begin})
				defer g.Stop()
				// In virtual time no timer is late, so that the time at which it was due is moved.
				for _, pause := range tt.pauses {
					g.mu.Lock()
					untilDue := time.Until(g.due)
					g.mu.Unlock()
					time.Sleep(untilDue - time.Millisecond)
					g.mu.Lock()
					g.due = g.due.Add(-pause)
					g.mu.Unlock()
					time.Sleep(2 * time.Millisecond)
					if ctx.Err() != nil {
						break
					}
				}
				<-ctx.Done()
				if took := time.Since(start).Round(10 * time.Millisecond); took != tt.want {
					t.Errorf("given up after %s, want %s", took, tt.want)
				}
			})
		})
	}
}

// TestReleased checks that a call whose limits are lifted goes on.
func TestReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, g := Watch(t.Context(), Limits{Begin: time.Second})
		defer g.Stop()
		g.Release()
		time.Sleep(time.Hour)
		if ctx.Err() != nil {
			t.Error("the call was given up")
		}
	})
}

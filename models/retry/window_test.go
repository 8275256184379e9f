package retry_test

import (
	"testing"
	"time"

	"github.com/crocusline/crocusline/models/retry"
)

// TestWindow replays servers that all fail: in any span of the window's length
// repeats keep to the share of its requests and the extra.
func TestWindow(t *testing.T) {
	const (
		share = 0.2
		extra = 3
	)
	w := retry.NewWindowBudget(10*time.Second, share, extra)
	start := time.Unix(1_700_000_000, 0)
	var repeats []time.Time
	for i := range 600 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		w.RecordRequest(now)
		if w.Allow(now) {
			repeats = append(repeats, now)
		}
	}
	if len(repeats) < 100 {
		t.Errorf("only %d repeats in a minute", len(repeats))
	}
	for i, first := range repeats {
		n := 0
		for _, later := range repeats[i:] {
			if later.Sub(first) < 10*time.Second {
				n++
			}
		}
		if n > 101*2/10+extra {
			t.Fatalf("%d repeats in 10 s after %s", n, first.Sub(start))
		}
	}
}

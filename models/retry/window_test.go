package retry_test

import (
	"testing"
	"time"

	"github.com/crocusline/crocusline/models/retry"
)

// TestWindow has every attempt fail. In any period of the window's length, the
// number of retries must not exceed the ratio of its requests plus the constant.
func TestWindow(t *testing.T) {
	const (
		ratio = 0.2
		extra = 3
	)
	w := retry.NewWindowBudget(10*time.Second, ratio, func() int { return extra })
	start := time.Unix(1_700_000_000, 0)
	var retries []time.Time
	for i := range 600 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		w.RecordRequest(now)
		if _, ok := w.Reserve(now); ok {
			retries = append(retries, now)
		}
	}
	if len(retries) < 100 {
		t.Errorf("only %d retries in a minute", len(retries))
	}
	for i, first := range retries {
		n := 0
		for _, later := range retries[i:] {
			if later.Sub(first) < 10*time.Second {
				n++
			}
		}
		if n > 101*2/10+extra {
			t.Fatalf("%d retries in 10 s after %s", n, first.Sub(start))
		}
	}
}

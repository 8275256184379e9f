package relay_test

import (
	"context"
	"testing"
	"time"

	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/standin/site"
)

// TestSentAfterStall guards against requests that are sent once their time is over or their caller has left, when the
// process stood still before the send, and against servers that are avoided for it.
func TestSentAfterStall(t *testing.T) {
	for _, path := range []string{"/once/a", "/lookup/a", "/plan/a", "/draft/a"} {
		for _, left := range []bool{false, true} {
			env := newTestEnv(t, nil, site.NewServer("s1", 3), site.NewServer("s2", 3))
			// Leaves a connection that is kept.
			if _, err := env.send(t.Context(), path); err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithCancel(t.Context())
			env.catalog.stall = func() {
				if left {
					cancel()
				}
				time.Sleep(10 * time.Millisecond)
			}
			_, err := env.send(ctx, path, "Request-Id", "r2", "Deadline-Ms", "15")
			cancel()
			env.catalog.stall = nil
			if e, ok := refusal.As(err); !ok || e.Reason != refusal.DeadlineExpired || e.Outcome != refusal.NotRun {
				t.Errorf("%s, caller left %t: got %v, want a refusal", path, left, err)
			}
			if got := env.arrived(); got != 1 {
				t.Errorf("%s, caller left %t: %d requests arrived, want 1", path, left, got)
			}
			if resp, err := env.send(t.Context(), path, "Request-Id", "r3"); err != nil || resp.Header().Get("Response-Seal") != "seal-of-s1" {
				t.Errorf("%s, caller left %t: got %v from %q, want the answer of s1", path, left, err, resp.Header().Get("Response-Seal"))
			}
		}
	}
}

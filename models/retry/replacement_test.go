package retry_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/crocusline/crocusline/models/retry"
)

func TestReplacement(t *testing.T) {
	sound := retry.Replacement{Available: true, AttemptsLeft: 1, Latency: 40 * time.Millisecond, Waited: 300 * time.Millisecond, TimeLeft: 4 * time.Second}
	tests := []struct {
		name    string
		change  func(*retry.Replacement)
		retries int
		want    bool
	}{
		{"possible", func(*retry.Replacement) {}, 1, true},
		{"no server", func(r *retry.Replacement) { r.Available = false }, 1, false},
		{"suspected server", func(r *retry.Replacement) { r.Suspected = true }, 1, false},
		{"no attempt left", func(r *retry.Replacement) { r.AttemptsLeft = 0 }, 1, false},
		{"no time to answer", func(r *retry.Replacement) { r.TimeLeft, r.Latency = time.Second, 1001*time.Millisecond }, 1, false},
		{"just enough time", func(r *retry.Replacement) { r.TimeLeft, r.Latency = time.Second, time.Second }, 1, true},
		{"less time than waited", func(r *retry.Replacement) { r.TimeLeft, r.Waited = time.Second, 1001*time.Millisecond }, 1, false},
		{"deadline passed", func(r *retry.Replacement) { r.TimeLeft, r.Latency, r.Waited = -time.Second, 0, 0 }, 1, false},
		{"no retry in the budget", func(*retry.Replacement) {}, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := retry.NewWindowBudget(10*time.Second, 0, func() int { return tt.retries })
			now := time.Unix(1_700_000_000, 0)
			r := sound
			tt.change(&r)
			if _, ok := w.Replace(now, r); ok != tt.want {
				t.Errorf("%+v: given up %t, want %t", r, ok, tt.want)
			}
			// The retry is reserved only if the send is given up.
			if _, ok := w.Reserve(now); ok != (!tt.want && tt.retries > 0) {
				t.Errorf("%+v: another retry allowed: %t", r, ok)
			}
		})
	}
}

// TestReservations reserves, returns and spends retries at random. Those made must keep to the budget in
// each window, and what was returned must be free again.
func TestReservations(t *testing.T) {
	const (
		window = 10 * time.Second
		extra  = 4
	)
	rapid.Check(t, func(rt *rapid.T) {
		w := retry.NewWindowBudget(window, 0, func() int { return extra })
		now := time.Unix(1_700_000_000, 0)
		type reservation struct {
			retry.Reservation
			at time.Time
		}
		var reserved []reservation
		var made []time.Time
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(rt, "ms")) * time.Millisecond)
			if len(reserved) > 0 && (now.Sub(reserved[0].at) > 2*time.Second || rapid.Bool().Draw(rt, "end")) {
				r := reserved[0]
				reserved = reserved[1:]
				if rapid.Bool().Draw(rt, "made") {
					w.Spend(now, r.Reservation)
					made = append(made, now)
				} else {
					w.Return(r.Reservation)
				}
				continue
			}
			if r, ok := w.Reserve(now); ok {
				reserved = append(reserved, reservation{r, now})
			}
		}
		for i, first := range made {
			n := 0
			for _, later := range made[i:] {
				if later.Sub(first) < window {
					n++
				}
			}
			if n > extra {
				rt.Fatalf("%d retries within %s, the budget is %d", n, window, extra)
			}
		}
		for _, r := range reserved {
			w.Return(r.Reservation)
		}
		free := extra
		for _, at := range made {
			if now.Sub(at) <= window {
				free--
			}
		}
		for i := range extra + 1 {
			if _, ok := w.Reserve(now); ok != (i < free) {
				rt.Fatalf("retry %d allowed: %t, %d are free", i+1, ok, free)
			}
		}
	})
}

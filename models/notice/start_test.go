package notice_test

import (
	"testing"
	"time"

	"github.com/crocusline/crocusline/models/notice"
	"github.com/crocusline/crocusline/models/roster"
	"github.com/crocusline/crocusline/models/route"
)

// TestStart guards against slow starts of servers that have not started while the gateway runs, and against none
// of those that have, or have just become warm.
func TestStart(t *testing.T) {
	b := notice.NewBoard(nil, notice.WithSlowStart())
	b.SetPools(map[string]route.Pool{"p": {ColdLimit: 5.2}})
	now := time.Unix(1_700_000_000, 0)
	a, again, other := roster.Server{ID: "a", Started: 1}, roster.Server{ID: "a", Started: 2}, roster.Server{ID: "b", Started: 1}
	cold := roster.Server{ID: "c", Pool: "p", Started: 3, Sequence: 1, WarmUp: 20 * time.Second}
	for _, step := range []struct {
		name   string
		after  time.Duration
		listed []roster.Server
		want   int
	}{
		{"nothing was read", 0, nil, 0},
		{"first list", 0, []roster.Server{a}, 0},
		{"the store is away", time.Minute, nil, 0},
		{"listed again", time.Minute, []roster.Server{a}, 0},
		{"new server", time.Second, []roster.Server{a, other}, 1},
		{"started again", time.Second, []roster.Server{again, other}, 1},
		{"over", 2 * time.Second, []roster.Server{again, other}, 0},
		{"older record", 0, []roster.Server{a, other}, 0},
		{"cold", 0, []roster.Server{again, other, cold}, 1},
		{"cold for long", 19 * time.Second, []roster.Server{again, other, cold}, 1},
		{"warm", 2 * time.Second, []roster.Server{again, other, cold}, 1},
		{"warm for long", 2 * time.Second, []roster.Server{again, other, cold}, 0},
	} {
		now = now.Add(step.after)
		b.SetListed(now, step.listed)
		if got := b.Starting(now); got != step.want {
			t.Errorf("%s: %d servers start slowly, want %d", step.name, got, step.want)
		}
	}
}

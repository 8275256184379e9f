package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/crocusline/crocusline/models/balance"
	"github.com/crocusline/crocusline/models/call"
	"github.com/crocusline/crocusline/models/roster"
)

// sendTo sends a request to the pool's only server, or to the first of its servers, and has its first
// event follow after a time.
func sendTo(t *testing.T, b *balance.Balancer, now time.Time, r balance.Request, took time.Duration, exclude ...string) balance.Choice {
	t.Helper()
	r.Exclude = exclude
	c := choose(t, b, now, r)
	b.RecordSent(now, c.Server.ID, r, c)
	b.RecordFirstEvent(now.Add(took), c.Server.ID, r, c.CachedTokens)
	b.RecordEnd(c.Server.ID, r)
	return c
}

// own returns a request whose prompt shares nothing with others.
func own(n int) balance.Request {
	return balance.Request{
		ID: fmt.Sprint(n), Segments: []call.PrefixSegment{{ID: fmt.Sprint("own", n), Tokens: 3790}}, PromptTokens: 3790,
		Goal: time.Second, Idempotent: true,
	}
}

// TestPredictionsLearned checks that predictions follow observations from constants, for engines and for
// plain services.
func TestPredictionsLearned(t *testing.T) {
	for _, tt := range []struct {
		cacheTokens int64
		prior, took time.Duration
	}{{cacheTokens, 124 * time.Millisecond, 70 * time.Millisecond}, {cacheTokens, 124 * time.Millisecond, 200 * time.Millisecond}, {0, 40 * time.Millisecond, 15 * time.Millisecond}, {0, 40 * time.Millisecond, 60 * time.Millisecond}} {
		b := newBalancer(1, tt.cacheTokens)
		if got := choose(t, b, start, own(0)).PredictedLatency; (got - tt.prior).Abs() > time.Microsecond {
			t.Errorf("predicted %s without observations, want %s", got, tt.prior)
		}
		now := start
		for n := range 20 {
			now = now.Add(time.Second)
			sendTo(t, b, now, own(n), tt.took)
		}
		got := choose(t, b, now.Add(5*time.Second), own(20)).PredictedLatency
		if ratio := got.Seconds() / tt.took.Seconds(); ratio < 0.9 || ratio > 1.1 {
			t.Errorf("predicted %s after 20 observations of %s", got, tt.took)
		}
	}
}

// TestObservationsThatShowNoSpeed guards against speeds learned from requests that ended without a first
// event, from prompts whose shared segments another gateway may have had cached, and from prompts behind
// others that may have been read in part.
func TestObservationsThatShowNoSpeed(t *testing.T) {
	const fast = time.Millisecond
	tests := map[string]func(b *balance.Balancer, now time.Time, n int){
		"no first event": func(b *balance.Balancer, now time.Time, n int) {
			r := own(n)
			c := choose(t, b, now, r)
			b.RecordSent(now, c.Server.ID, r, c)
			b.RecordUnread(c.Server.ID, r, c.CachedTokens)
			b.RecordEnd(c.Server.ID, r)
		},
		"shared segments cached by others": func(b *balance.Balancer, now time.Time, n int) {
			r := prompt(fmt.Sprint("shared", n))
			r.ID = fmt.Sprint(n)
			preferred := choose(t, b, now, r).Server.ID
			sendTo(t, b, now, r, fast, preferred)
		},
		"behind other prompts": func(b *balance.Balancer, now time.Time, n int) {
			before, r := own(2*n), own(2*n+1)
			c := choose(t, b, now, before)
			b.RecordSent(now, c.Server.ID, before, c)
			var others []string
			for i := range 2 {
				if id := fmt.Sprintf("s%d", i); id != c.Server.ID {
					others = append(others, id)
				}
			}
			sendTo(t, b, now, r, fast, others...)
			b.RecordUnread(c.Server.ID, before, c.CachedTokens)
			b.RecordEnd(c.Server.ID, before)
		},
	}
	for name, observe := range tests {
		b := newBalancer(2, cacheTokens)
		now := start
		for n := range 20 {
			now = now.Add(time.Second)
			observe(b, now, n)
		}
		got := choose(t, b, now.Add(time.Minute), own(100)).PredictedLatency
		if want := 124 * time.Millisecond; (got - want).Abs() > time.Microsecond {
			t.Errorf("%s: predicted %s, want %s", name, got, want)
		}
	}
}

// TestRestartedServerStartsFromPool checks that a server that restarted is not predicted by the speed of
// the start before, and that it is predicted like its pool.
func TestRestartedServerStartsFromPool(t *testing.T) {
	b := newBalancer(2, cacheTokens)
	now := start
	for n := range 30 {
		now = now.Add(time.Second)
		sendTo(t, b, now, own(2*n), 250*time.Millisecond, "s1")
		sendTo(t, b, now, own(2*n+1), 80*time.Millisecond, "s0")
	}
	now = now.Add(time.Minute)
	predicted := func() time.Duration {
		r := own(100)
		r.Exclude = []string{"s1"}
		return choose(t, b, now, r).PredictedLatency
	}
	if got := predicted(); got < 200*time.Millisecond {
		t.Errorf("predicted %s at a server that takes 250 ms", got)
	}
	b.SetServers([]roster.Server{{ID: "s0", Slots: 64, FailureDomain: "a", Started: 1}, {ID: "s1", Slots: 64, FailureDomain: "a"}}, cacheTokens)
	if got := predicted(); got > 120*time.Millisecond {
		t.Errorf("predicted %s at a server that has just started in a pool of fast ones", got)
	}
}

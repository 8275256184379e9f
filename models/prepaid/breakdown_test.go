package prepaid_test

import (
	"testing"
	"time"

	"github.com/crocusline/crocusline/models/prepaid"
)

// TestBreakdownAddsUp checks that the places of a workspace's tokens add up to the prepaid total,
// and that none is negative, whatever faults came before.
func TestBreakdownAddsUp(t *testing.T) {
	for seed := range uint64(40) {
		f := newFleet(seed, 600_000, constantDemand(20_000), constantDemand(8_000), constantDemand(2_000))
		f.storeFaultRate = 0.3
		for f.now < 40*second {
			f.run(f.now + time.Duration(50+f.rand.IntN(1000))*time.Millisecond)
			injectFault(f)
			for _, g := range f.gateways {
				b := g.account.Breakdown(f.prepaid, g.holderState())
				var sum int64
				for p, tokens := range b.Tokens {
					sum += tokens
					if tokens < 0 {
						t.Fatalf("seed %d at %s: %s has %d tokens", seed, f.now, prepaid.Place(p), tokens)
					}
				}
				if sum != f.prepaid {
					t.Fatalf("seed %d at %s: the places have %d tokens of %d: %v", seed, f.now, sum, f.prepaid, b.Tokens)
				}
			}
		}
	}
}

// TestBreakdownAfterKill checks where a killed process's tokens are before and after its successor
// has closed its grant.
func TestBreakdownAfterKill(t *testing.T) {
	const (
		total  = 100_000
		killed = 4 * time.Second
	)
	report := prepaid.Report{
		Incarnation: 1, Spent: 10_000, SentAt: prepaid.ClockReading{Wall: 1_000, Uptime: 1_000},
		SpendLimit: prepaid.SpendLimit{Committed: 14_000, Burst: 5_000},
	}
	a := prepaid.Account{}.WithGrant("a", prepaid.Grant{Incarnation: 1, Total: 60_000}).WithReport("a", report)
	now := prepaid.ClockReading{Wall: 1_000 + killed.Milliseconds(), Uptime: 1_000 + killed.Milliseconds()}
	h := prepaid.HolderState{Instance: "b", Incarnation: 7, StartedAt: now, Now: now}
	b := a.Breakdown(total, h)
	expectTokens(t, b, map[prepaid.Place]int64{prepaid.Spent: 10_000, prepaid.SilentGrant: 50_000, prepaid.Ungranted: 40_000})
	if b.SilentAge != killed {
		t.Errorf("the oldest report of a silent gateway is %s old, want %s", b.SilentAge, killed)
	}
	h.Instance, h.Incarnation = "a", 2
	closed, changed := prepaid.NewPlanner().Grant(a, total, h)
	if !changed {
		t.Fatal("the predecessor's grant was not closed")
	}
	h.Now.Wall += 500
	b = a.WithGrant("a", closed).Breakdown(total, h)
	expectTokens(t, b, map[prepaid.Place]int64{
		prepaid.Spent: 10_000, prepaid.EndedReserved: 4_000, prepaid.EndedPermitted: 5_000, prepaid.OwnGrant: closed.Total, prepaid.Ungranted: 81_000 - closed.Total,
	})
	if want := 500 * time.Millisecond; b.ClosedAge != want {
		t.Errorf("the grant was closed %s ago, want %s", b.ClosedAge, want)
	}
	// What was written in an earlier era is unknown.
	h.Era = 1
	closed, _ = prepaid.NewPlanner().Grant(a, total, h)
	if closed.PriorUnreported != 50_000 || closed.PriorSpent != 60_000 {
		t.Errorf("got %+v, want 50000 unreported of 60000", closed)
	}
}

func expectTokens(t *testing.T, b prepaid.Breakdown, want map[prepaid.Place]int64) {
	t.Helper()
	for _, p := range prepaid.Places() {
		if b.Tokens[p] != want[p] {
			t.Errorf("%s: %d tokens, want %d", p, b.Tokens[p], want[p])
		}
	}
}

// TestCause checks which place a refused request lacks tokens of.
func TestCause(t *testing.T) {
	const tokens = 1_000
	for _, tt := range []struct {
		name string
		at   map[prepaid.Place]int64
		want prepaid.Place
	}{
		{"all spent", map[prepaid.Place]int64{prepaid.Spent: 50_000, prepaid.EndedPermitted: 500, prepaid.OwnGrant: 400}, prepaid.Spent},
		{"spending limits of ended processes", map[prepaid.Place]int64{prepaid.EndedReserved: 600, prepaid.EndedPermitted: 900, prepaid.PeerGrant: 400}, prepaid.EndedPermitted},
		{"requests of ended processes", map[prepaid.Place]int64{prepaid.EndedReserved: 900, prepaid.EndedPermitted: 600}, prepaid.EndedReserved},
		{"a silent gateway", map[prepaid.Place]int64{prepaid.EndedPermitted: 9_000, prepaid.SilentGrant: 2_000, prepaid.PeerGrant: 400}, prepaid.SilentGrant},
		{"another gateway", map[prepaid.Place]int64{prepaid.Spent: 50_000, prepaid.SilentGrant: 200, prepaid.PeerGrant: 1_400}, prepaid.PeerGrant},
	} {
		var b prepaid.Breakdown
		for p, amount := range tt.at {
			b.Tokens[p] = amount
		}
		if got := b.Cause(tokens); got != tt.want {
			t.Errorf("%s: got %s, want %s", tt.name, got, tt.want)
		}
	}
}

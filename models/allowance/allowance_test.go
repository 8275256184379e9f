package allowance_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/crocusline/crocusline/models/allowance"
	_ "github.com/crocusline/crocusline/tests/fixedseed"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func Example() {
	a := allowance.New(allowance.DefaultPolicy)
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	a.RecordUse(now, 100)
	fmt.Println("ask for", a.DrawSize(now, 100, 10_000), "when the budget is full")
	fmt.Println("ask for", a.DrawSize(now, 100, 160), "when it is nearly spent")
	a.Reconcile(allowance.AccountTotals{Granted: 150, Sequence: a.NextSequence()})
	fmt.Println(a.TryHold(100), a.Free())
	fmt.Println("give back", a.Surplus(now.Add(time.Minute), false), "when idle")
	// Output:
	// ask for 150 when the budget is full
	// ask for 110 when it is nearly spent
	// true 50
	// give back 50 when idle
}

func TestPendingReturnIsNotFree(t *testing.T) {
	a := allowance.New(allowance.DefaultPolicy)
	a.Reconcile(allowance.AccountTotals{Granted: 100, Sequence: a.NextSequence()})
	a.NextSequence()
	a.RecordReturn(60)
	a.Reconcile(allowance.AccountTotals{Granted: 100, Sequence: 1})
	if a.Free() != 40 {
		t.Fatalf("%d tokens free while the return is pending, want 40", a.Free())
	}
	a.Reconcile(allowance.AccountTotals{Granted: 100, Sequence: 2})
	if a.Free() != 100 {
		t.Fatalf("%d tokens free after the return was rejected, want 100", a.Free())
	}
}

func TestZeroPolicyDrawsExactNeed(t *testing.T) {
	a := allowance.New(allowance.Policy{})
	for i := range 10 {
		now := start.Add(time.Duration(i) * time.Second)
		a.RecordUse(now, 100)
		if got := a.DrawSize(now, 100, 1_000_000); got != 100 {
			t.Fatalf("draw size %d, want 100", got)
		}
		if got := a.RefillSize(now, 1_000_000); got != 0 {
			t.Fatalf("refill size %d, want 0", got)
		}
	}
}

func TestDrawSizeCoversNeedWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := allowance.New(allowance.DefaultPolicy)
		a.Reconcile(allowance.AccountTotals{Granted: rapid.Int64Range(0, 50).Draw(t, "granted")})
		now := start
		for range rapid.IntRange(0, 20).Draw(t, "uses") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			a.RecordUse(now, rapid.Int64Range(1, 1000).Draw(t, "tokens"))
		}
		need := a.Free() + rapid.Int64Range(1, 1000).Draw(t, "need")
		free := rapid.Int64Range(0, 10_000).Draw(t, "free")
		want := a.DrawSize(now, need, free)
		if a.Free()+want < need {
			t.Fatalf("draw size %d, need %d, free %d", want, need, a.Free())
		}
		if want > need-a.Free() && want > free {
			t.Fatalf("draw size %d exceeds both the shortfall and the %d free tokens of the budget", want, free)
		}
		if refill := a.RefillSize(now, free); refill < 0 || refill > free {
			t.Fatalf("refill size %d with %d free tokens in the budget", refill, free)
		}
		if surplus := a.Surplus(now, rapid.Bool().Draw(t, "short")); surplus < 0 || surplus > a.Free() {
			t.Fatalf("surplus %d with %d free tokens in the allowance", surplus, a.Free())
		}
	})
}

func TestDrawSizeShrinksWithFreeBudget(t *testing.T) {
	a := allowance.New(allowance.DefaultPolicy)
	for i := range 100 {
		a.RecordUse(start.Add(time.Duration(i)*100*time.Millisecond), 100)
	}
	now := start.Add(10 * time.Second)
	last := int64(math.MaxInt64)
	for _, free := range []int64{1_000_000, 10_000, 1000, 100} {
		want := a.DrawSize(now, 100, free)
		if want > last {
			t.Fatalf("draw size %d with %d free tokens, but %d with more free tokens", want, free, last)
		}
		last = want
	}
	if last != 100 {
		t.Fatalf("draw size %d with 100 free tokens, want only the need of 100", last)
	}
}

func TestReserveIsShareOfFailureDomain(t *testing.T) {
	policy := allowance.Policy{ReserveDuration: time.Hour, ReserveRateWindow: time.Minute, ReserveShare: 0.5}
	var d allowance.Demand
	d.Add(start, policy, 300, true)
	d.Add(start, policy, 100, false)
	if got := d.Reserve(start, policy, 1000, 1); got != 375 {
		t.Errorf("reserve %d, want 375 of 1000", got)
	}
	if got := d.Reserve(start, policy, 1000, 3); got != 125 {
		t.Errorf("reserve %d at each of 3 instances, want 125", got)
	}
	if got := d.Reserve(start, policy, 1_000_000, 1); got != 300*60 {
		t.Errorf("reserve %d, want an hour at 300 tokens a minute", got)
	}
	if later := start.Add(10 * time.Minute); !d.Idle(later, policy) || d.Reserve(later, policy, 1000, 1) != 0 {
		t.Error("standing reserve for an idle budget")
	}
}

func TestReserveIsFilledAndRetained(t *testing.T) {
	a := allowance.New(allowance.DefaultPolicy)
	a.SetReserve(400)
	if got := a.RefillSize(start, 10_000); got != 400 {
		t.Fatalf("refill size %d, want 400", got)
	}
	a.Reconcile(allowance.AccountTotals{Granted: 400, Sequence: a.NextSequence()})
	if got := a.Surplus(start.Add(time.Hour), false); got != 0 {
		t.Errorf("surplus %d within the reserve, want 0", got)
	}
	if got := a.Surplus(start, true); got != 400 {
		t.Errorf("surplus %d during a shortage, want 400", got)
	}
	a.SetReserve(100)
	if got := a.Surplus(start.Add(time.Hour), false); got != 300 {
		t.Errorf("surplus %d, want 300", got)
	}
}

package escrow_test

import (
	"fmt"
	"testing"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/crocusline/crocusline/coordination/escrow"
	_ "github.com/crocusline/crocusline/tests/fixedseed"
)

func Example() {
	b := escrow.New()
	fmt.Println(b.TopUp("invoice-1", 100), b.TopUp("invoice-1", 100))
	fmt.Println(b.Grant("north", 1, 70))
	fmt.Println(b.Grant("south", 1, 40))
	fmt.Println(b.Settle("north", 50, 30))
	fmt.Println(b.Free(), b.Settled, b.Outstanding)
	// Output:
	// <nil> already applied
	// <nil>
	// grant of 40 tokens not covered, 30 free
	// <nil>
	// 50 30 20
}

func TestBudgetIsNeverOverspent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := escrow.New()
		var toppedUp, settledSum int64
		appliedTopUps := map[string]bool{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			holder := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "holder")
			tokens := rapid.Int64Range(-5, 60).Draw(t, "tokens")
			sequence := rapid.Uint64Range(0, 12).Draw(t, "sequence")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				id := fmt.Sprint(sequence)
				if err := b.TopUp(id, tokens); err == nil {
					if appliedTopUps[id] {
						t.Fatalf("top-up %s applied twice", id)
					}
					appliedTopUps[id] = true
					toppedUp += tokens
				}
			case 1:
				_ = b.Grant(holder, sequence, tokens)
			case 2:
				_ = b.Return(holder, sequence, tokens)
			case 3:
				before := b.Settled
				if err := b.Settle(holder, tokens, rapid.Int64Range(-5, 70).Draw(t, "spent")); err == nil {
					if settled := b.Settled - before; settled < 0 || settled > tokens {
						t.Fatalf("%d tokens settled for a hold of %d", settled, tokens)
					}
					settledSum += b.Settled - before
				}
			case 4:
				b.Close(holder)
			}
			if err := b.Check(); err != nil {
				t.Fatal(err)
			}
			if b.ToppedUp != toppedUp || b.Settled != settledSum || settledSum > toppedUp {
				t.Fatalf("topped up %d, want %d; settled %d, want %d", b.ToppedUp, toppedUp, b.Settled, settledSum)
			}
		}
	})
}

func TestErrors(t *testing.T) {
	b := escrow.New()
	if err := b.TopUp("1", 10); err != nil {
		t.Fatal(err)
	}
	var (
		uncovered *escrow.UncoveredError
		duplicate *escrow.DuplicateError
		notHeld   *escrow.NotHeldError
		invalid   *escrow.InvalidError
	)
	if err := b.Grant("a", 1, 11); !errors.As(err, &uncovered) || uncovered.Free != 10 {
		t.Errorf("error %v", err)
	}
	if err := b.Grant("a", 1, 5); !errors.As(err, &duplicate) {
		t.Errorf("error %v", err)
	}
	if err := b.Settle("a", 1, 1); !errors.As(err, &notHeld) || notHeld.Held != 0 {
		t.Errorf("error %v", err)
	}
	if err := b.TopUp("2", escrow.MaxTokens); !errors.As(err, &invalid) {
		t.Errorf("error %v", err)
	}
}

func TestRangesMatchSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ranges escrow.Ranges
		set := map[uint64]bool{}
		for _, n := range rapid.SliceOf(rapid.Uint64Range(1, 40)).Draw(t, "numbers") {
			if added := ranges.Add(n); added == set[n] {
				t.Fatalf("Add(%d) = %v", n, added)
			}
			set[n] = true
			for m := range uint64(42) {
				if ranges.Contains(m) != set[m] {
					t.Fatalf("Contains(%d) = %v in %v", m, ranges.Contains(m), ranges)
				}
			}
			for i := 1; i < len(ranges); i++ {
				if ranges[i-1].Last+1 >= ranges[i].First {
					t.Fatalf("ranges %v not merged", ranges)
				}
			}
		}
	})
}

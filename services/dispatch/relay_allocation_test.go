package dispatch

import "testing"

// discard is a sink that keeps nothing.
type discard struct{}

func (discard) Accepted(string, string, int64) error { return nil }
func (discard) Tokens(int64, []string) error         { return nil }

func TestRelayAllocatesOnlyToGrowTheAnswer(t *testing.T) {
	const (
		tokens = 1000
		// An answer of 1000 tokens grows some 10 times.
		bound = 0.02
	)
	chunk := []string{"token"}
	perRun := testing.AllocsPerRun(10, func() {
		r := &relay{sink: discard{}}
		for i := range int64(tokens) {
			if err := r.add(i, chunk); err != nil {
				t.Fatal(err)
			}
		}
	})
	if got := perRun / tokens; got > bound {
		t.Errorf("%g allocations a token, want at most %g", got, bound)
	}
}

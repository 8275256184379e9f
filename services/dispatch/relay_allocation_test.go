package dispatch

import "testing"

// discardingSink is a sink that discards the response.
type discardingSink struct{}

func (discardingSink) Accepted(string, string, int64) error { return nil }
func (discardingSink) Tokens(int64, []string) error         { return nil }

func TestRelayAllocatesOnlyToGrowResponse(t *testing.T) {
	const (
		tokens = 1000
		// The slice grows about 10 times for a response of 1000 tokens.
		bound = 0.02
	)
	chunk := []string{"token"}
	perRun := testing.AllocsPerRun(10, func() {
		r := &relay{sink: discardingSink{}}
		for i := range int64(tokens) {
			if err := r.add(i, chunk); err != nil {
				t.Fatal(err)
			}
		}
	})
	if got := perRun / tokens; got > bound {
		t.Errorf("%g allocations per token, want at most %g", got, bound)
	}
}

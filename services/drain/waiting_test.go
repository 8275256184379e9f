package drain

import (
	"context"
	"testing"

	"github.com/crocusline/crocusline/services/runner"
)

// fixedWork always has the same remaining work.
type fixedWork struct{ remaining runner.Waiting }

func (f fixedWork) Drain(context.Context, bool) error { return nil }
func (f fixedWork) WaitsFor() runner.Waiting          { return f.remaining }

func TestWaitsForEachKindOfWork(t *testing.T) {
	for _, remaining := range []runner.Waiting{{}, {Requests: 1}, {Subscriptions: 1}, {Bills: 1}} {
		d := start(t, fixedWork{remaining: remaining})
		if err := d.SetPlannedStop(context.Background(), true); err != nil {
			t.Fatal(err)
		}
		if safe := remaining == (runner.Waiting{}); d.SafeToStop() != safe {
			t.Errorf("safe = %t with %+v remaining", d.SafeToStop(), remaining)
		}
	}
}

package drain

import (
	"context"
	"testing"

	"github.com/crocusline/crocusline/services/runner"
)

// leftWork always has the same work left.
type leftWork struct{ left runner.Waiting }

func (l leftWork) Drain(context.Context, bool) error { return nil }
func (l leftWork) WaitsFor() runner.Waiting          { return l.left }

func TestEachSortOfWorkIsWaitedFor(t *testing.T) {
	for _, left := range []runner.Waiting{{}, {Requests: 1}, {Subscriptions: 1}, {Bills: 1}} {
		d := start(t, leftWork{left: left})
		if err := d.SetPlannedStop(context.Background(), true); err != nil {
			t.Fatal(err)
		}
		if safe := left == (runner.Waiting{}); d.SafeToStop() != safe {
			t.Errorf("safe = %t with %+v left", d.SafeToStop(), left)
		}
	}
}

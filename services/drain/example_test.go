package drain_test

import (
	"context"
	"fmt"

	"github.com/hashicorp/go-hclog"

	"github.com/crocusline/crocusline/kernel"
	"github.com/crocusline/crocusline/services/drain"
	"github.com/crocusline/crocusline/services/runner"
)

// work is a Drainable that replaces the runner.
type work struct{ remaining runner.Waiting }

func (w *work) Drain(_ context.Context, draining bool) error {
	fmt.Println("refuse new work:", draining)
	return nil
}

func (w *work) WaitsFor() runner.Waiting { return w.remaining }

func ExampleDrainer_SetPlannedStop() {
	ctx := context.Background()
	w := &work{remaining: runner.Waiting{Bills: 1}}
	d := drain.New(drain.WithWork(w))
	if err := d.Start(ctx, kernel.New(hclog.NewNullLogger())); err != nil {
		fmt.Println(err)
		return
	}
	if err := d.SetPlannedStop(ctx, true); err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println("safe:", d.SafeToStop(), "bills owed:", d.WaitsFor().Bills)
	w.remaining.Bills = 0
	fmt.Println("safe:", d.SafeToStop())
	// Output:
	// refuse new work: true
	// safe: false bills owed: 1
	// safe: true
}

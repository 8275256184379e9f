package fleet_test

import (
	"fmt"
	"time"

	"github.com/crocusline/crocusline/models/fleet"
	"github.com/crocusline/crocusline/models/table"
)

// Two operators publish on the same base. The first in the stream takes effect.
func Example() {
	at := time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)
	state := fleet.New()
	for offset, event := range []fleet.Publish{
		{ID: "p1", By: "ana", Delta: table.Delta{Base: 0}},
		{ID: "p2", By: "ben", Delta: table.Delta{Base: 0}},
	} {
		var result fleet.Result
		state, result = state.Apply(int64(offset), at, event)
		switch r := result.(type) {
		case fleet.Applied:
			fmt.Printf("%s: version %d\n", event.By, r.Version)
		case fleet.Ignored:
			fmt.Printf("%s: %s; %s won\n", event.By, r.Detail, r.Winner.By)
		}
	}
	// Output:
	// ana: version 1
	// ben: based on version 0, but version 1 is published; ana won
}

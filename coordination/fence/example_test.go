package fence_test

import (
	"fmt"
	"time"

	"github.com/crocusline/crocusline/coordination/fence"
)

func Example() {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	records := []fence.Record{
		{Writer: "a", Sequence: 1, Kind: fence.Claim, Epoch: 1, Seen: now},
		{Writer: "a", Sequence: 2, Epoch: 1, Seen: now, Bodies: [][]byte{[]byte("first")}},
		{Writer: "b", Sequence: 1, Kind: fence.Claim, Epoch: 2, Seen: now},
		// a was suspended and has not read b's claim.
		{Writer: "a", Sequence: 3, Epoch: 1, Seen: now, Bodies: [][]byte{[]byte("late")}},
		{Writer: "b", Sequence: 2, Epoch: 2, Seen: now, Bodies: [][]byte{[]byte("second")}},
		// b received no response to its append and retried it.
		{Writer: "b", Sequence: 2, Epoch: 2, Seen: now, Bodies: [][]byte{[]byte("second")}},
	}
	reader := fence.New()
	for i, r := range records {
		data, err := r.Encode()
		if err != nil {
			panic(err)
		}
		result, err := reader.Apply(int64(i), now, data)
		if err != nil {
			panic(err)
		}
		fmt.Printf("%s %s: %s %q\n", r.Writer, r.Kind, result.Decision, r.Bodies)
	}
	fmt.Println("owner", reader.Owner(), "in epoch", reader.Epoch())
	// Output:
	// a claim: accepted []
	// a entries: accepted ["first"]
	// b claim: accepted []
	// a entries: fenced ["late"]
	// b entries: accepted ["second"]
	// b entries: duplicate ["second"]
	// owner b in epoch 2
}

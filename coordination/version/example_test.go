package version_test

import (
	"errors"
	"fmt"

	"github.com/crocusline/crocusline/coordination/version"
)

// Two operators replace a table from the same base, and one retries.
func Example() {
	var t version.Table
	for _, c := range []version.Change{
		{ID: "c1", By: "ana", Base: 0},
		{ID: "c2", By: "ben", Base: 0},
		{ID: "c1", By: "ana", Base: 0},
	} {
		next, err := t.Replace(c)
		var baseErr *version.BaseError
		switch {
		case errors.As(err, &baseErr):
			fmt.Printf("%s: %v; %s won\n", c.By, err, baseErr.Winner.By)
		case err != nil:
			fmt.Printf("%s: %v\n", c.By, err)
		default:
			fmt.Printf("%s: version %d\n", c.By, next.Version)
		}
		t = next
	}
	// An amendment does not change the published version.
	t, _ = t.Amend(version.Change{ID: "c3", By: "cho", Subject: "m1"})
	t, err := t.Replace(version.Change{ID: "c4", By: "ben", Base: 1})
	fmt.Println(t.Version, t.Published, err)
	// Output:
	// ana: version 1
	// ben: based on version 0, but version 1 is published; ana won
	// ana: change c1 took effect as version 1
	// 3 3 <nil>
}

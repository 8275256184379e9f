// Package fixedseed sets a fixed seed for the property tests of each package that
// imports it, so that their results are reproducible. The flag -rapid.seed of go test
// overrides it.
package fixedseed

import (
	"flag"

	// Defines the flag rapid.seed.
	_ "pgregory.net/rapid"
)

// seed must not be 0, which selects a random seed.
const seed = "1"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}

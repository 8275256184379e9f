// Package cost compares what a request and a token cost through an entry and a
// sidecar with what they cost when the engine is called directly.
package cost

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/standin/cluster"
)

const (
	startTimeout = 20 * time.Second
	// budgetTokens is more than a run uses.
	budgetTokens = 1_000_000_000
	// The measured processes.
	entryName   = "entry-1"
	sidecarName = "model-1-sidecar"
	engineName  = "model-1"
)

// workload is a load: requests sent at the same time, with answers of half of to
// all of the tokens.
type workload struct {
	requests int
	tokens   int
}

// The loads of a run. The first opens the connections and isn't reported.
var (
	warmUp = workload{requests: 20, tokens: 20}
	long   = workload{requests: 50, tokens: 400}
	short  = workload{requests: 400, tokens: 4}
)

// Run measures with the binaries in bin and files under dir, and writes a
// report.
func Run(ctx context.Context, bin, dir string, out io.Writer) error {
	fleet, err := cluster.NewFleet(bin, dir, cluster.Spec{
		Entries:     1,
		Models:      1,
		EngineFlags: []string{"--slots", "1000", "--token-interval", "20ms", "--cache-tokens", "0"},
		Slots:       1000,
		LogLevel:    "warn",
	})
	if err != nil {
		return err
	}
	starting, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	err = fleet.StartAll(starting, budgetTokens)
	if err == nil {
		err = compare(ctx, fleet, out)
	}
	if closeErr := fleet.Close(); err == nil {
		err = closeErr
	}
	return err
}

// compare measures both ways under the same loads.
func compare(ctx context.Context, fleet *cluster.Fleet, out io.Writer) error {
	direct := target{fleet: fleet, client: newEngineClient(fleet.URL(engineName))}
	path := target{fleet: fleet, client: newEntryClient(fleet.URL(entryName))}
	for _, w := range []target{direct, path} {
		if _, err := w.measure(ctx, warmUp); err != nil {
			return err
		}
	}
	var samples [2][2]measurement
	for i, s := range []workload{long, short} {
		for j, w := range []target{direct, path} {
			var err error
			if samples[i][j], err = w.measure(ctx, s); err != nil {
				return err
			}
		}
		if d, p := samples[i][0].tokens, samples[i][1].tokens; d != p {
			return errors.Errorf("the loads differ: %d tokens direct, %d through the path", d, p)
		}
	}
	return write(out, samples[0], samples[1])
}

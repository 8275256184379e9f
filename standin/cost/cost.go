// Package cost measures the processor time, allocations and latency per request and
// token of requests through an entry and a sidecar, and compares them with requests
// sent directly to the engine.
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
	// budgetTokens is the workspace's budget. It exceeds what a run uses.
	budgetTokens = 1_000_000_000
	// Names of the measured processes.
	entryName   = "entry-1"
	sidecarName = "model-1-sidecar"
	engineName  = "model-1"
)

// workload is a number of concurrent requests. The length of their responses is from
// half of tokens to tokens.
type workload struct {
	requests int
	tokens   int
}

// The workloads of a run. warmUp opens the connections and isn't reported.
var (
	warmUp = workload{requests: 20, tokens: 20}
	long   = workload{requests: 50, tokens: 400}
	short  = workload{requests: 400, tokens: 4}
)

// Run runs the measurement with the binaries in bin and writes a report to out.
// Settings, certificates and logs are written to dir.
func Run(ctx context.Context, bin, dir string, out io.Writer) error {
	fleet, err := cluster.NewFleet(bin, dir, cluster.Spec{
		Entries:     1,
		Models:      1,
		EngineFlags: []string{"--slots", "1000", "--token-interval", "20ms", "--cache-tokens", "0"},
		Slots:       1000,
		LogLevel:    "warn",
		// The default admits some 400 streams.
		EntryMemoryBytes: 1 << 30,
	})
	if err != nil {
		return err
	}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	err = fleet.StartAll(startCtx, budgetTokens)
	if err == nil {
		err = compare(ctx, fleet, out)
	}
	if closeErr := fleet.Close(); err == nil {
		err = closeErr
	}
	return err
}

// compare measures both targets with the same workloads.
func compare(ctx context.Context, fleet *cluster.Fleet, out io.Writer) error {
	direct := target{fleet: fleet, client: newEngineClient(fleet.URL(engineName))}
	path := target{fleet: fleet, client: newEntryClient(fleet.URL(entryName))}
	for _, t := range []target{direct, path} {
		if _, err := t.measure(ctx, warmUp); err != nil {
			return err
		}
	}
	var results [2][2]measurement
	for i, w := range []workload{long, short} {
		for j, t := range []target{direct, path} {
			var err error
			if results[i][j], err = t.measure(ctx, w); err != nil {
				return err
			}
		}
		if d, p := results[i][0].tokens, results[i][1].tokens; d != p {
			return errors.Errorf("token counts differ: %d sent by the engine directly, %d through entry and sidecar", d, p)
		}
	}
	return write(out, results[0], results[1])
}

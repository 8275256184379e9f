package capacity

import (
	"bufio"
	"bytes"
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/standin/cluster"
)

const (
	startTimeout = 20 * time.Second
	// budgetTokens is more than all measures use.
	budgetTokens = 1_000_000_000
	// The measured processes.
	entryName   = "entry-1"
	sidecarName = "model-1-sidecar"
)

// processes is an entry and a sidecar before one engine.
type processes struct {
	*cluster.Fleet
	// resident is resident memory by open streams and process.
	resident map[int]map[string]float64
}

// startProcesses starts them.
func startProcesses(ctx context.Context, bin, dir string) (*processes, error) {
	fleet, err := cluster.NewFleet(bin, dir, cluster.Spec{
		Entries:     1,
		Models:      1,
		EngineFlags: []string{"--slots", "1000", "--token-interval", "20ms", "--cache-tokens", "1000000"},
		Slots:       1000,
		LogLevel:    "warn",
	})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := fleet.StartAll(ctx, budgetTokens); err != nil {
		_ = fleet.Close()
		return nil, errors.WithMessage(err, "start the measured processes")
	}
	return &processes{Fleet: fleet, resident: map[int]map[string]float64{}}, nil
}

// usage is what a process reports of itself.
type usage struct {
	// cpu is processor time in seconds.
	cpu float64
	// resident is resident memory in bytes.
	resident float64
	// traffic is what it read and wrote over TCP and files, in bytes.
	traffic float64
}

// usageOf reads a process's metrics.
func (p *processes) usageOf(ctx context.Context, name string) (usage, error) {
	_, body, err := p.Get(ctx, p.OperatorURL(name)+"/metrics")
	if err != nil {
		return usage{}, err
	}
	values := map[string]float64{}
	lines := bufio.NewScanner(bytes.NewReader(body))
	for lines.Scan() {
		name, value, ok := strings.Cut(lines.Text(), " ")
		if number, err := strconv.ParseFloat(value, 64); ok && err == nil {
			values[name] = number
		}
	}
	return usage{
		cpu:      values["process_cpu_seconds_total"],
		resident: values["process_resident_memory_bytes"],
		traffic:  values["process_io_read_bytes_total"] + values["process_io_written_bytes_total"],
	}, nil
}

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
	// budgetTokens is a budget that exceeds the use of all measures.
	budgetTokens = 1_000_000_000
	// measuredEntry and measuredSidecar are the names of the measured processes.
	measuredEntry   = "entry-1"
	measuredSidecar = "model-1-sidecar"
)

// processes is an entry, and a sidecar in front of one engine.
type processes struct {
	*cluster.Fleet
	// residentMemory is the resident memory in bytes, by the number of open streams
	// and by process.
	residentMemory map[int]map[string]float64
}

// startProcesses starts the fleet of measured processes.
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
	return &processes{Fleet: fleet, residentMemory: map[int]map[string]float64{}}, nil
}

// usage is the resource usage that a process reports in its metrics.
type usage struct {
	// cpu is processor time in seconds.
	cpu float64
	// resident is resident memory in bytes.
	resident float64
	// traffic is the number of bytes read from and written to TCP connections and
	// files.
	traffic float64
}

// readUsage reads a process's usage from its metrics.
func (p *processes) readUsage(ctx context.Context, name string) (usage, error) {
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

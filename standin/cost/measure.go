package cost

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/standin/cluster"
)

// Range of the histograms, in microseconds, and their significant digits.
const (
	shortestTime = 1
	longestTime  = 60_000_000
	timeDigits   = 3
)

// usage is the resource usage of a process.
type usage struct {
	// cpu is processor time, with a resolution of 10 ms.
	cpu time.Duration
	// allocations is the number of objects allocated.
	allocations float64
}

// measurement is the result of one workload on one target.
type measurement struct {
	requests int
	tokens   int
	// usage is the resource usage during the workload by process.
	usage map[string]usage
	// firstToken and betweenMessages are histograms of the time to the first token
	// and between two messages, in microseconds.
	firstToken, betweenMessages *hdrhistogram.Histogram
}

// target is a way to call the engine: directly, or through an entry and a sidecar.
type target struct {
	fleet  *cluster.Fleet
	client client
}

// client sends requests to a target. stream calls onTokens with the number of
// tokens of each message as it is received.
type client interface {
	stream(ctx context.Context, prompt string, tokens int, onTokens func(tokens int)) error
}

// measure runs a workload and returns its latencies and resource usage.
func (t target) measure(ctx context.Context, w workload) (measurement, error) {
	before, err := t.readUsage(ctx)
	if err != nil {
		return measurement{}, err
	}
	result, err := t.submit(ctx, w)
	if err != nil {
		return measurement{}, err
	}
	after, err := t.readUsage(ctx)
	for name, u := range after {
		result.usage[name] = usage{cpu: u.cpu - before[name].cpu, allocations: u.allocations - before[name].allocations}
	}
	return result, err
}

// submit sends the requests concurrently and reads their responses.
func (t target) submit(ctx context.Context, w workload) (measurement, error) {
	result := measurement{
		requests:        w.requests,
		usage:           map[string]usage{},
		firstToken:      hdrhistogram.New(shortestTime, longestTime, timeDigits),
		betweenMessages: hdrhistogram.New(shortestTime, longestTime, timeDigits),
	}
	timings := make([]timing, w.requests)
	errs := make([]error, w.requests)
	var wg sync.WaitGroup
	for i := range w.requests {
		wg.Go(func() {
			timings[i].last = time.Now()
			errs[i] = t.client.stream(ctx, fmt.Sprintf("request %04d", i), w.tokens, timings[i].record)
		})
	}
	wg.Wait()
	for i := range timings {
		if errs[i] != nil {
			return measurement{}, errs[i]
		}
		if err := result.add(timings[i]); err != nil {
			return measurement{}, err
		}
	}
	return result, nil
}

// timing records the intervals between the messages of a response. The first one
// is the time from the request to the first message.
type timing struct {
	last      time.Time
	intervals []time.Duration
	tokens    int
}

func (t *timing) record(tokens int) {
	now := time.Now()
	t.intervals = append(t.intervals, now.Sub(t.last))
	t.last = now
	t.tokens += tokens
}

func (m *measurement) add(t timing) error {
	m.tokens += t.tokens
	for i, d := range t.intervals {
		h := m.betweenMessages
		if i == 0 {
			h = m.firstToken
		}
		if err := h.RecordValue(max(d.Microseconds(), shortestTime)); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}

// readUsage reads the resource usage of all measured processes.
func (t target) readUsage(ctx context.Context) (map[string]usage, error) {
	urls := map[string]string{
		entryName:   t.fleet.OperatorURL(entryName),
		sidecarName: t.fleet.OperatorURL(sidecarName),
		engineName:  t.fleet.URL(engineName),
	}
	all := map[string]usage{}
	for name, url := range urls {
		status, body, err := t.fleet.Get(ctx, url+"/metrics")
		if err != nil {
			return nil, err
		}
		u, ok := parseUsage(body)
		if !ok {
			return nil, errors.Errorf("metrics of %s: status %d without processor time or allocations", name, status)
		}
		all[name] = u
	}
	return all, nil
}

// parseUsage extracts the resource usage from the metrics of a process.
func parseUsage(metrics []byte) (usage, bool) {
	values := map[string]float64{}
	lines := bufio.NewScanner(bytes.NewReader(metrics))
	for lines.Scan() {
		name, value, ok := strings.Cut(lines.Text(), " ")
		if number, err := strconv.ParseFloat(value, 64); ok && err == nil {
			values[name] = number
		}
	}
	cpu, hasCPU := values["process_cpu_seconds_total"]
	allocations, hasAllocations := values["go_memstats_mallocs_total"]
	return usage{cpu: time.Duration(cpu * float64(time.Second)), allocations: allocations}, hasCPU && hasAllocations
}

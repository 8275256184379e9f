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

// Bounds of the histograms, in microseconds, and their significant digits.
const (
	shortestTime = 1
	longestTime  = 60_000_000
	timeDigits   = 3
)

// usage is what a process used since its start.
type usage struct {
	// cpu is processor time, in steps of 10 ms.
	cpu time.Duration
	// allocations is the number of objects allocated.
	allocations float64
}

// measurement is one load on one way.
type measurement struct {
	requests int
	tokens   int
	// usage is what each process usage meanwhile.
	usage map[string]usage
	// firstToken and betweenMessages are the times to the firstToken token and betweenMessages two
	// messages, in microseconds.
	firstToken, betweenMessages *hdrhistogram.Histogram
}

// target is one target to the engine.
type target struct {
	fleet  *cluster.Fleet
	client client
}

// client calls the engine one way. It tells seen the number of tokens of each
// message as it comes.
type client interface {
	stream(ctx context.Context, prompt string, tokens int, seen func(tokens int)) error
}

// measure puts a load on the way and returns what it cost.
func (w target) measure(ctx context.Context, s workload) (measurement, error) {
	before, err := w.readUsage(ctx)
	if err != nil {
		return measurement{}, err
	}
	result, err := w.submit(ctx, s)
	if err != nil {
		return measurement{}, err
	}
	after, err := w.readUsage(ctx)
	for name, u := range after {
		result.usage[name] = usage{cpu: u.cpu - before[name].cpu, allocations: u.allocations - before[name].allocations}
	}
	return result, err
}

// submit sends the requests and reads their answers.
func (w target) submit(ctx context.Context, s workload) (measurement, error) {
	result := measurement{
		requests:        s.requests,
		usage:           map[string]usage{},
		firstToken:      hdrhistogram.New(shortestTime, longestTime, timeDigits),
		betweenMessages: hdrhistogram.New(shortestTime, longestTime, timeDigits),
	}
	timings := make([]timing, s.requests)
	failures := make([]error, s.requests)
	var wg sync.WaitGroup
	for i := range s.requests {
		wg.Go(func() {
			timings[i].last = time.Now()
			failures[i] = w.client.stream(ctx, fmt.Sprintf("request %04d", i), s.tokens, timings[i].record)
		})
	}
	wg.Wait()
	for i := range timings {
		if failures[i] != nil {
			return measurement{}, failures[i]
		}
		if err := result.add(timings[i]); err != nil {
			return measurement{}, err
		}
	}
	return result, nil
}

// timing is the times between the messages of one answer. The first is the time
// from the request to the first message.
type timing struct {
	last   time.Time
	times  []time.Duration
	tokens int
}

func (t *timing) record(tokens int) {
	now := time.Now()
	t.times = append(t.times, now.Sub(t.last))
	t.last = now
	t.tokens += tokens
}

func (s *measurement) add(t timing) error {
	s.tokens += t.tokens
	for i, d := range t.times {
		h := s.betweenMessages
		if i == 0 {
			h = s.firstToken
		}
		if err := h.RecordValue(max(d.Microseconds(), shortestTime)); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}

// readUsage reads the metrics of all measured processes.
func (w target) readUsage(ctx context.Context) (map[string]usage, error) {
	urls := map[string]string{
		entryName:   w.fleet.OperatorURL(entryName),
		sidecarName: w.fleet.OperatorURL(sidecarName),
		engineName:  w.fleet.URL(engineName),
	}
	all := map[string]usage{}
	for name, url := range urls {
		status, body, err := w.fleet.Get(ctx, url+"/metrics")
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

// parseUsage finds a process's usage in its metrics.
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

package capacity

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	callerv1 "github.com/crocusline/crocusline/modules/wire/caller/v1"
	"github.com/crocusline/crocusline/modules/wire/caller/v1/callerv1connect"
	"github.com/crocusline/crocusline/standin/cluster"
)

// Names of the measures of running processes.
const (
	entryToken     = "entryToken"
	sidecarToken   = "sidecarToken"
	entryRequest   = "entryRequest"
	sidecarRequest = "sidecarRequest"
	entryStream    = "entryStream"
	sidecarStream  = "sidecarStream"
	entryChange    = "entryChange"
	entryTraffic   = "entryTraffic"
)

const (
	// tokenStreams is the number of streams while the cost of a token is taken.
	tokenStreams = 50
	// shortAnswer is the length of the answers, in tokens, while the cost of a
	// request is taken.
	shortAnswer = 4
	// openTime is how long streams are open before memory is read.
	openTime = 2 * time.Second
	// changeTimeSpan is how long changes are published for.
	changeTimeSpan = 5 * time.Second
)

// controlMeasures cost changes of configuration and open streams. The streams
// are cancelled, which keeps the processes busy for a while afterwards.
func (p *processes) controlMeasures() []Measure {
	streams := []int{0, 100, 200, 400, 800}
	changes := []int{5, 10, 20, 40}
	return []Measure{
		{entryChange, "processor time of an entry in 5 s", "us", "change of configuration", changes, p.cpuOf(entryName, p.change)},
		{entryTraffic, "traffic of an entry with the platform in 5 s", "B", "change of configuration", changes, p.trafficOf(entryName, p.change)},
		{entryStream, "resident memory of an entry", "B", "open stream", streams, p.memoryOf(entryName)},
		{sidecarStream, "resident memory of a sidecar", "B", "open stream", streams, p.memoryOf(sidecarName)},
	}
}

// requestMeasures cost requests and their tokens.
func (p *processes) requestMeasures() []Measure {
	tokens := []int{2500, 5000, 10000, 20000}
	requests := []int{100, 200, 400, 800}
	return []Measure{
		{entryToken, "processor time of an entry", "us", "token relayed", tokens, p.cpuOf(entryName, p.relay)},
		{sidecarToken, "processor time of a sidecar", "us", "token relayed", tokens, p.cpuOf(sidecarName, p.relay)},
		{entryRequest, "processor time of an entry", "us", "request of 4 tokens", requests, p.cpuOf(entryName, p.burst)},
		{sidecarRequest, "processor time of a sidecar", "us", "request of 4 tokens", requests, p.cpuOf(sidecarName, p.burst)},
	}
}

// load puts a load of about the size on the processes and returns the size that
// it came to.
type load func(ctx context.Context, size int) (float64, error)

// cpuOf returns a sample of the processor time, in microseconds, that a load
// costs a process.
func (p *processes) cpuOf(name string, l load) func(context.Context, int) (float64, error) {
	return func(ctx context.Context, size int) (float64, error) {
		before, after, scale, err := p.around(ctx, name, size, l)
		return (after.cpu - before.cpu) * scale * float64(time.Second/time.Microsecond), err
	}
}

// trafficOf returns a sample of the bytes that a load makes a process exchange.
func (p *processes) trafficOf(name string, l load) func(context.Context, int) (float64, error) {
	return func(ctx context.Context, size int) (float64, error) {
		before, after, scale, err := p.around(ctx, name, size, l)
		return (after.traffic - before.traffic) * scale, err
	}
}

// around reads a process's usage before and after a load. The scale brings the
// difference to the size asked for.
func (p *processes) around(ctx context.Context, name string, size int, l load) (before, after usage, scale float64, err error) {
	if before, err = p.usageOf(ctx, name); err != nil {
		return before, after, 0, err
	}
	done, err := l(ctx, size)
	if err != nil {
		return before, after, 0, err
	}
	after, err = p.usageOf(ctx, name)
	return before, after, float64(size) / done, err
}

// memoryOf returns a sample of a process's memory while streams are open. Both
// processes are read under the same load, the smallest first, because resident
// memory shrinks only slowly afterwards.
func (p *processes) memoryOf(name string) func(context.Context, int) (float64, error) {
	return func(ctx context.Context, size int) (float64, error) {
		if _, known := p.resident[size]; !known {
			if err := p.openStreams(ctx, size); err != nil {
				return 0, err
			}
		}
		return p.resident[size][name], nil
	}
}

// openStreams opens streams and reads the memory of both processes.
func (p *processes) openStreams(ctx context.Context, size int) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var streams sync.WaitGroup
	if size > 0 {
		// The streams end in an error, because they are cancelled.
		streams.Go(func() { _, _ = p.submit(ctx, size, 1000) })
		time.Sleep(openTime)
	}
	p.resident[size] = map[string]float64{}
	for _, name := range []string{entryName, sidecarName} {
		u, err := p.usageOf(ctx, name)
		if err != nil {
			return err
		}
		p.resident[size][name] = u.resident
	}
	cancel()
	streams.Wait()
	return nil
}

// relay streams about that many tokens.
func (p *processes) relay(ctx context.Context, size int) (float64, error) {
	return p.submit(ctx, tokenStreams, size/tokenStreams)
}

// burst sends that many short requests.
func (p *processes) burst(ctx context.Context, size int) (float64, error) {
	_, err := p.submit(ctx, size, shortAnswer)
	return float64(size), err
}

// submit sends requests at the same time and returns the tokens of their
// answers: between half of and all of those asked for.
func (p *processes) submit(ctx context.Context, requests, tokens int) (float64, error) {
	client := callerv1connect.NewRouterServiceClient(&http.Client{Transport: &http.Transport{}}, p.URL(entryName))
	counts := make([]int64, requests)
	failures := make([]error, requests)
	var wg sync.WaitGroup
	for i := range requests {
		wg.Go(func() { counts[i], failures[i] = stream(ctx, client, i, tokens) })
	}
	wg.Wait()
	var total int64
	for i, err := range failures {
		if err != nil {
			return 0, err
		}
		total += counts[i]
	}
	return float64(total), nil
}

// stream reads one answer and returns its tokens.
func stream(ctx context.Context, client callerv1connect.RouterServiceClient, i, tokens int) (int64, error) {
	req := connect.NewRequest(&callerv1.SubmitRequest{
		Workspace: cluster.Workspace,
		Kind:      "draft",
		Prompt:    fmt.Sprintf("request %d of %s", i, time.Now()),
		MaxTokens: int32(tokens),
	})
	req.Header().Set("Authorization", "Bearer "+cluster.Token)
	answer, err := client.Submit(ctx, req)
	if err != nil {
		return 0, errors.WithStack(err)
	}
	defer answer.Close()
	var done *callerv1.Done
	for answer.Receive() {
		done = answer.Msg().GetDone()
	}
	return done.GetTokens(), errors.WithStack(answer.Err())
}

// change publishes that many changes of the tables within the time span.
func (p *processes) change(ctx context.Context, size int) (float64, error) {
	ticker := time.NewTicker(changeTimeSpan / time.Duration(size))
	defer ticker.Stop()
	for i := range size {
		<-ticker.C
		// Each differs from the one before.
		if err := p.WriteTables(1 + (i+1)%2); err != nil {
			return 0, err
		}
		if _, err := p.RunCommand(ctx, "publish", "--platform", p.URL("platform"), "--wait", "0", p.Tables()); err != nil {
			return 0, err
		}
	}
	return float64(size), nil
}

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
	// concurrentStreams is the number of streams while the cost of a token is
	// measured.
	concurrentStreams = 50
	// shortResponseTokens is the response length while the cost of a request is
	// measured.
	shortResponseTokens = 4
	// streamOpenTime is the time for which streams are open before memory is read.
	streamOpenTime = 2 * time.Second
	// publishDuration is the time over which changes are published.
	publishDuration = 5 * time.Second
)

// controlMeasures returns the measures of configuration changes and open streams.
// The streams are cancelled, which keeps the processes busy for a while afterwards.
func (p *processes) controlMeasures() []Measure {
	streams := []int{0, 100, 200, 400, 800}
	changes := []int{5, 10, 20, 40}
	return []Measure{
		{entryChange, "processor time of an entry in 5 s", "us", "change of configuration", changes, p.sampleCPU(measuredEntry, p.publishChanges)},
		{entryTraffic, "traffic of an entry with the platform in 5 s", "B", "change of configuration", changes, p.sampleTraffic(measuredEntry, p.publishChanges)},
		{entryStream, "resident memory of an entry", "B", "open stream", streams, p.sampleMemory(measuredEntry)},
		{sidecarStream, "resident memory of a sidecar", "B", "open stream", streams, p.sampleMemory(measuredSidecar)},
	}
}

// requestMeasures returns the measures of requests and their tokens.
func (p *processes) requestMeasures() []Measure {
	tokens := []int{2500, 5000, 10000, 20000}
	requests := []int{100, 200, 400, 800}
	return []Measure{
		{entryToken, "processor time of an entry", "us", "token relayed", tokens, p.sampleCPU(measuredEntry, p.relayTokens)},
		{sidecarToken, "processor time of a sidecar", "us", "token relayed", tokens, p.sampleCPU(measuredSidecar, p.relayTokens)},
		{entryRequest, "processor time of an entry", "us", "request of 4 tokens", requests, p.sampleCPU(measuredEntry, p.sendShortRequests)},
		{sidecarRequest, "processor time of a sidecar", "us", "request of 4 tokens", requests, p.sampleCPU(measuredSidecar, p.sendShortRequests)},
	}
}

// loadFunc generates a load of about the given size and returns its actual size.
type loadFunc func(ctx context.Context, size int) (float64, error)

// sampleCPU returns a function that samples the processor time, in microseconds,
// that a process spends on a load.
func (p *processes) sampleCPU(name string, load loadFunc) func(context.Context, int) (float64, error) {
	return func(ctx context.Context, size int) (float64, error) {
		before, after, scale, err := p.usageAroundLoad(ctx, name, size, load)
		return (after.cpu - before.cpu) * scale * float64(time.Second/time.Microsecond), err
	}
}

// sampleTraffic returns a function that samples the bytes that a process reads and
// writes under a load.
func (p *processes) sampleTraffic(name string, load loadFunc) func(context.Context, int) (float64, error) {
	return func(ctx context.Context, size int) (float64, error) {
		before, after, scale, err := p.usageAroundLoad(ctx, name, size, load)
		return (after.traffic - before.traffic) * scale, err
	}
}

// usageAroundLoad reads a process's usage before and after a load. The difference
// times scale is the usage for the requested size.
func (p *processes) usageAroundLoad(ctx context.Context, name string, size int, load loadFunc) (before, after usage, scale float64, err error) {
	if before, err = p.readUsage(ctx, name); err != nil {
		return before, after, 0, err
	}
	actualSize, err := load(ctx, size)
	if err != nil {
		return before, after, 0, err
	}
	after, err = p.readUsage(ctx, name)
	return before, after, float64(size) / actualSize, err
}

// sampleMemory returns a function that samples a process's memory while streams are
// open. Both processes are read under the same load. The smallest load is the first,
// because resident memory shrinks only slowly after a load.
func (p *processes) sampleMemory(name string) func(context.Context, int) (float64, error) {
	return func(ctx context.Context, size int) (float64, error) {
		if _, known := p.residentMemory[size]; !known {
			if err := p.sampleOpenStreams(ctx, size); err != nil {
				return 0, err
			}
		}
		return p.residentMemory[size][name], nil
	}
}

// sampleOpenStreams opens streams and reads the memory of both processes.
func (p *processes) sampleOpenStreams(ctx context.Context, size int) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var streams sync.WaitGroup
	if size > 0 {
		// The streams end in an error, because they are cancelled.
		streams.Go(func() { _, _ = p.submitRequests(ctx, size, 1000) })
		time.Sleep(streamOpenTime)
	}
	p.residentMemory[size] = map[string]float64{}
	for _, name := range []string{measuredEntry, measuredSidecar} {
		u, err := p.readUsage(ctx, name)
		if err != nil {
			return err
		}
		p.residentMemory[size][name] = u.resident
	}
	cancel()
	streams.Wait()
	return nil
}

// relayTokens streams about the given number of tokens.
func (p *processes) relayTokens(ctx context.Context, size int) (float64, error) {
	return p.submitRequests(ctx, concurrentStreams, size/concurrentStreams)
}

// sendShortRequests sends the given number of concurrent short requests.
func (p *processes) sendShortRequests(ctx context.Context, size int) (float64, error) {
	_, err := p.submitRequests(ctx, size, shortResponseTokens)
	return float64(size), err
}

// submitRequests sends concurrent requests and returns the number of tokens of their
// responses, which is between half of the requested tokens and all of them.
func (p *processes) submitRequests(ctx context.Context, requests, tokens int) (float64, error) {
	client := callerv1connect.NewRouterServiceClient(&http.Client{Transport: &http.Transport{}}, p.URL(measuredEntry))
	counts := make([]int64, requests)
	failures := make([]error, requests)
	var wg sync.WaitGroup
	for i := range requests {
		wg.Go(func() { counts[i], failures[i] = receiveStream(ctx, client, i, tokens) })
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

// receiveStream submits one request, reads its response and returns the number of
// its tokens.
func receiveStream(ctx context.Context, client callerv1connect.RouterServiceClient, i, tokens int) (int64, error) {
	req := connect.NewRequest(&callerv1.SubmitRequest{
		Workspace: cluster.Workspace,
		Kind:      "draft",
		Prompt:    fmt.Sprintf("request %d of %s", i, time.Now()),
		MaxTokens: int32(tokens),
	})
	req.Header().Set("Authorization", "Bearer "+cluster.Token)
	response, err := client.Submit(ctx, req)
	if err != nil {
		return 0, errors.WithStack(err)
	}
	defer response.Close()
	var done *callerv1.Done
	for response.Receive() {
		done = response.Msg().GetDone()
	}
	return done.GetTokens(), errors.WithStack(response.Err())
}

// publishChanges publishes the given number of table changes over publishDuration.
func (p *processes) publishChanges(ctx context.Context, size int) (float64, error) {
	ticker := time.NewTicker(publishDuration / time.Duration(size))
	defer ticker.Stop()
	for i := range size {
		<-ticker.C
		// Alternates between two versions, so that each publication is a change.
		if err := p.WriteTables(1 + (i+1)%2); err != nil {
			return 0, err
		}
		if _, err := p.RunCommand(ctx, "publish", "--platform", p.URL("platform"), "--wait", "0", p.Tables()); err != nil {
			return 0, err
		}
	}
	return float64(size), nil
}

package faults_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/crocusline/crocusline/modules/exchange"
	"github.com/crocusline/crocusline/standin/site"
	"github.com/crocusline/crocusline/tests/knownred"
)

const (
	// crashingServersPerGateway is the number of servers of the pool for each gateway.
	crashingServersPerGateway = 4
	crashDowntime             = 1500 * time.Millisecond
	crashSegment              = "c0ffee"
	crashBody                 = "crash"
	// promptInterval is the time between two requests at all gateways together.
	promptInterval = 33 * time.Millisecond
	// knownCrashes is the number of crashes after which the segment must be known, and
	// crashBound the time until no gateway sends prompts with it, but for a few.
	knownCrashes    = 5
	crashBound      = 3 * time.Second
	maxCrashPrompts = 3
	crashTestLength = 9 * time.Second
	// minSoundShare is the share of the other requests that must be answered at the first
	// attempt after the bound.
	minSoundShare = 0.8
	// minSound is the number of these requests without which the test shows nothing.
	minSound = 20
)

// sentPrompt is a request with a prompt and its status.
type sentPrompt struct {
	at     time.Time
	crash  bool
	status int
}

// sendPrompts sends requests with prompts at the interval, each third of them with the
// segment that crashes servers. No two are alike.
func sendPrompts(ctx context.Context, g *gateway, interval time.Duration) []sentPrompt {
	var mu sync.Mutex
	var sent []sentPrompt
	var senders sync.WaitGroup
	client := exchange.New()
	defer func() { _ = client.Close() }()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			senders.Wait()
			return sent
		}
		p := sentPrompt{at: time.Now(), crash: n%3 == 2}
		segment := fmt.Sprintf("b%d", n%7)
		if p.crash {
			segment = crashSegment
		}
		senders.Go(func() {
			p.status = sendPrompt(client, g, fmt.Sprintf("%s-%d", g.name, n), fmt.Sprintf("aa:60,%s:30,%x:10", segment, n))
			mu.Lock()
			defer mu.Unlock()
			sent = append(sent, p)
		})
	}
}

func sendPrompt(client *exchange.Client, g *gateway, id, prefix string) int {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	header := http.Header{
		"Request-Id": {id}, "Authorization": {"Token " + apiKey}, "Deadline-Ms": {"2000"}, "Model": {"m"},
		"Token-Usage": {fmt.Sprintf("%d,%d", promptTokens, outputTokens)}, "Prompt-Prefix": {prefix},
	}
	resp, err := client.Do(ctx, &exchange.Request{
		Address: g.callerAddress, Method: http.MethodPost, Target: "/draft/x", Host: host, Header: header, Body: []byte("body"),
	})
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// newCrashingServers starts servers that crash under crashSegment and crashBody.
func newCrashingServers(t *testing.T, f *fleet, n int) []*site.CrashingServer {
	t.Helper()
	var servers []*site.CrashingServer
	for i := range n {
		s, err := site.NewCrashingServer(fmt.Sprintf("m%d", i), eventsPerStream, crashSegment, crashDowntime)
		if err != nil {
			t.Fatal(err)
		}
		s.CrashUnder(crashBody)
		s.Start(func(id, before string) {
			f.putServer(id, s.Address(), "ready")
			if before != "" {
				f.putServer(before, s.Address(), "")
			}
		})
		t.Cleanup(func() { _ = s.Close() })
		servers = append(servers, s)
	}
	return servers
}

// TestPromptCrashesServersOneAfterTheOther guards against prompts that crash each server that
// begins to answer them, and that gateways send to one server after the other. Requests
// that share other segments and the API key must be served.
func TestPromptCrashesServersOneAfterTheOther(t *testing.T) {
	f := newFleet(t, buildBinary(t), *gatewayCount, 0)
	f.prepaidTokens = 1_000_000
	f.publish()
	servers := newCrashingServers(t, f, crashingServersPerGateway*len(f.gateways))
	requireService(t, f, "before the crashes")
	ctx, cancel := context.WithTimeout(t.Context(), crashTestLength)
	defer cancel()
	var sent []sentPrompt
	var mu sync.Mutex
	var clients sync.WaitGroup
	for _, g := range f.gateways {
		clients.Go(func() {
			own := sendPrompts(ctx, g, promptInterval*time.Duration(len(f.gateways)))
			mu.Lock()
			defer mu.Unlock()
			sent = append(sent, own...)
		})
	}
	clients.Wait()
	if problem := crashProblem(servers, sent, knownCrashes); problem != "" {
		t.Error(problem)
	}
}

// crashProblem compares what reached the servers with the bounds, which hold after a number of
// crashes. It returns "" if all hold.
func crashProblem(servers []*site.CrashingServer, sent []sentPrompt, known int) string {
	var crashes, received []time.Time
	for _, s := range servers {
		e, r := s.Crashes()
		crashes, received = append(crashes, e...), append(received, r...)
	}
	if len(crashes) < known {
		return fmt.Sprintf("%d servers crashed, the test needs %d", len(crashes), known)
	}
	slices.SortFunc(crashes, time.Time.Compare)
	bound := crashes[known-1].Add(crashBound)
	late := 0
	for _, at := range received {
		if at.After(bound) {
			late++
		}
	}
	sound, answered := 0, 0
	for _, p := range sent {
		if p.at.After(bound) && !p.crash {
			sound++
			if p.status == http.StatusOK {
				answered++
			}
		}
	}
	if sound < minSound {
		return fmt.Sprintf("%d other requests were sent later than %s after crash %d, the test needs %d", sound, crashBound, known, minSound)
	}
	if late > maxCrashPrompts || float64(answered) < minSoundShare*float64(sound) {
		return fmt.Sprintf("%s after %d servers had crashed, %d requests that crash servers were sent, %d crashed in all; %d of %d others were answered",
			crashBound, known, late, len(crashes), answered, sound)
	}
	return ""
}

const (
	// crashRequestInterval is the time between two requests that crash servers, at all gateways
	// together, and popularInterval that between two others. Each second one of these is popular.
	crashRequestInterval = 150 * time.Millisecond
	popularInterval      = 10 * time.Millisecond
	// requestCrashes is the number of crashes after which a request must be known.
	requestCrashes = 3
)

// TestPlainRequestCrashesServersOneAfterTheOther guards against a request that crashes each server
// that runs it, and that gateways send to one server after the other whenever its caller sends it
// again. Other requests of the same path and caller must be served, also one that is sent often.
func TestPlainRequestCrashesServersOneAfterTheOther(t *testing.T) {
	f := newFleet(t, buildBinary(t), *gatewayCount, 0)
	servers := newCrashingServers(t, f, serverCount)
	requireService(t, f, "before the crashes")
	ctx, cancel := context.WithTimeout(t.Context(), crashTestLength)
	defer cancel()
	var mu sync.Mutex
	var sent []sentPrompt
	var clients sync.WaitGroup
	clients.Go(func() {
		sendEach(ctx, crashRequestInterval, func(client *exchange.Client, n int) {
			sendBody(client, f.gateways[n%len(f.gateways)], fmt.Sprintf("crash-%d", n), "lookup", crashBody)
		})
	})
	clients.Go(func() {
		sendEach(ctx, popularInterval, func(client *exchange.Client, n int) {
			body := "popular"
			if n%2 == 0 {
				body = fmt.Sprint(n)
			}
			at := time.Now()
			o := sendBody(client, f.gateways[n%len(f.gateways)], fmt.Sprintf("sound-%d", n), "lookup", body)
			mu.Lock()
			defer mu.Unlock()
			sent = append(sent, sentPrompt{at: at, status: o.status})
		})
	})
	clients.Wait()
	knownred.Report(t, crashProblem(servers, sent, requestCrashes))
}

// sendEach calls f at the interval until the context ends, and waits for the calls.
func sendEach(ctx context.Context, interval time.Duration, f func(client *exchange.Client, n int)) {
	client := exchange.New()
	defer func() { _ = client.Close() }()
	var senders sync.WaitGroup
	defer senders.Wait()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ticker.C:
			senders.Go(func() { f(client, n) })
		case <-ctx.Done():
			return
		}
	}
}

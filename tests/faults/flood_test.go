package faults_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/crocusline/crocusline/modules/exchange"
	"github.com/crocusline/crocusline/standin/site"
	"github.com/crocusline/crocusline/tests/knownred"
)

const (
	// floodServers is the number of servers that send the same response without end, floodRequests
	// the number of requests to them at once, and floodDeadline the time that each has.
	floodServers  = 8
	floodRequests = 400
	floodDeadline = 400 * time.Millisecond
	// floodPatience is how long a caller waits for the end of a response.
	floodPatience = floodDeadline + 150*time.Millisecond
	// floodRetryInterval is the time between a refusal and the next attempt.
	floodRetryInterval = 20 * time.Millisecond
	// floodBudget is enough for the tokens of all requests.
	floodBudget = 100_000_000
)

// TestEndlessResponsesAtOnce checks that many responses without end at once neither end the
// gateway nor take it beyond the memory of its settings, and that other callers are served
// meanwhile.
func TestEndlessResponsesAtOnce(t *testing.T) {
	f := newFleet(t, buildBinary(t), 1, 2)
	f.prepaidTokens = floodBudget
	responses := append(site.EndlessResponses(), site.EndlessAnswers()...)
	floods := make([]*flood, len(responses))
	for i, r := range responses {
		floods[i] = newFlood(f, fmt.Sprintf("faulty-%d", i), r)
	}
	f.publish()
	time.Sleep(settleTime)
	for i, r := range responses {
		t.Run(r.Name, func(t *testing.T) { knownred.Report(t, floods[i].run(t)) })
	}
}

// endlessStoreTime is how long the store's responses have no end. Calls are repeated meanwhile.
const endlessStoreTime = 3 * time.Second

// TestEndlessStoreResponses checks that responses of the store without end neither end a gateway nor
// take it beyond the memory of its settings, and that callers are served meanwhile.
func TestEndlessStoreResponses(t *testing.T) {
	f := newFleet(t, buildBinary(t), 1, 2)
	g := f.gateways[0]
	requireService(t, f, "before the endless responses")
	g.resetPeak(t)
	var ended atomic.Bool
	var caller soundCaller
	var calling sync.WaitGroup
	calling.Go(func() { caller.run(g, "store", &ended) })
	f.store.SetFault(site.Endless)
	time.Sleep(endlessStoreTime)
	f.store.SetFault(site.NoFault)
	ended.Store(true)
	calling.Wait()
	if g.waitExit(0) {
		t.Fatalf("the gateway ended with exit code %d", g.exitCode())
	}
	peak := g.memory(t)
	t.Logf("%d MB resident at most, %d requests served, %d refused", peak>>20, caller.served, caller.refused)
	problems := caller.problems
	if peak > gatewayMemory {
		problems = append(problems, fmt.Sprintf("the gateway took %d MB of memory, its settings allow %d MB", peak>>20, gatewayMemory>>20))
	}
	knownred.Report(t, strings.Join(problems, "; "))
}

// flood is a number of requests to servers whose responses have no end.
type flood struct {
	*fleet
	pool    string
	servers []*site.EndlessServer
}

func newFlood(f *fleet, pool string, r site.EndlessResponse) *flood {
	f.faultyPools = append(f.faultyPools, pool)
	c := &flood{fleet: f, pool: pool}
	for i := range floodServers {
		s, err := site.NewEndlessServer(r)
		if err != nil {
			f.Fatal(err)
		}
		c.servers = append(c.servers, s)
		f.putServerStart(pool, fmt.Sprintf("%s-%d", pool, i), s.Address(), "ready", defaultVersion, 0)
	}
	return c
}

// close removes the servers and returns the number of bytes that they sent.
func (c *flood) close(t *testing.T) int64 {
	sent := int64(0)
	for i, s := range c.servers {
		c.putServerStart(c.pool, fmt.Sprintf("%s-%d", c.pool, i), netip.AddrPort{}, "", defaultVersion, 0)
		if err := s.Close(); err != nil {
			t.Error(err)
		}
		sent += s.Sent()
	}
	return sent
}

// run sends floodRequests at once to the faulty servers while another caller calls the sound ones.
// It returns what is wrong, or "".
func (c *flood) run(t *testing.T) string {
	g := c.gateways[0]
	requireService(t, c.fleet, "before the responses of "+c.pool)
	g.resetPeak(t)
	var flooding, other sync.WaitGroup
	client := exchange.New(exchange.WithDialTimeout(requestTimeout))
	defer func() { _ = client.Close() }()
	for i := range floodRequests {
		flooding.Go(func() { c.send(client, i) })
	}
	var ended atomic.Bool
	var sound soundCaller
	other.Go(func() { sound.run(g, c.pool, &ended) })
	flooding.Wait()
	ended.Store(true)
	other.Wait()
	sent := c.close(t)
	if g.waitExit(0) {
		t.Fatalf("the gateway ended with exit code %d", g.exitCode())
	}
	peak := g.memory(t)
	t.Logf("%d MB resident at most, %d MB sent, %d requests of the other caller served, %d refused", peak>>20, sent>>20, sound.served, sound.refused)
	problems := sound.problems
	if sent == 0 {
		problems = append(problems, "no faulty server was called")
	}
	if peak > gatewayMemory {
		problems = append(problems, fmt.Sprintf("the gateway took %d MB of memory, its settings allow %d MB", peak>>20, gatewayMemory>>20))
	}
	return strings.Join(problems, "; ")
}

// soundCaller calls the sound servers, one request after the other.
type soundCaller struct {
	served, refused int
	problems        []string
}

// run sends requests until the flood has ended and the last one is served. A request may be refused
// with a status that guarantees that it has not run, as by a gateway that lacks the processor, and is
// sent again. It must not fail in another way.
func (c *soundCaller) run(g *gateway, pool string, ended *atomic.Bool) {
	// The flood's connections come before this one.
	client := exchange.New(exchange.WithDialTimeout(requestTimeout))
	defer func() { _ = client.Close() }()
	var end time.Time
	for i := 0; ; i++ {
		// These kinds are not sent to another server when one is slow.
		kind := []string{"once", "plan"}[i%2]
		o := send(client, g, fmt.Sprintf("%s-sound-%d", pool, i), kind)
		switch {
		case o.status == http.StatusOK && o.complete:
			c.served++
			if ended.Load() {
				return
			}
		case o.guaranteesNotRun():
			c.refused++
		default:
			c.problems = append(c.problems, fmt.Sprintf("%s of another caller got status %d after %s, error %v", o.id, o.status, o.took, o.err))
		}
		switch {
		case !ended.Load():
		case end.IsZero():
			end = time.Now().Add(recoveryTimeout)
		case time.Now().After(end):
			c.problems = append(c.problems, "no request of another caller was served after the flood")
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// send sends a request to the faulty servers, and again while it is refused. Every other caller
// doesn't read the response's body.
func (c *flood) send(client *exchange.Client, i int) {
	ctx, cancel := context.WithTimeout(context.Background(), floodPatience)
	defer cancel()
	kind := []string{"once", "lookup", "draft"}[i%3]
	header := http.Header{"Authorization": {"Token " + apiKey}, "Deadline-Ms": {fmt.Sprint(floodDeadline.Milliseconds())}}
	if kind == "draft" {
		header.Set("Model", "m")
		header.Set("Token-Usage", fmt.Sprintf("%d,%d", promptTokens, outputTokens))
	}
	for attempt := 0; ; attempt++ {
		header.Set("Request-Id", fmt.Sprintf("%s-%d-%d", c.pool, i, attempt))
		resp, err := client.Do(ctx, &exchange.Request{
			Address: c.gateways[0].callerAddress, Method: http.MethodPost, Target: "/" + c.pool + "/" + kind + "/x", Host: host,
			Header: header, Body: []byte("body"), MaxConns: floodRequests,
		})
		if err != nil {
			return
		}
		refused := resp.StatusCode == http.StatusServiceUnavailable
		if refused || i%2 == 0 {
			_, _ = io.Copy(io.Discard, resp.Body)
		} else {
			<-ctx.Done()
		}
		_ = resp.Body.Close()
		if !refused {
			return
		}
		time.Sleep(floodRetryInterval)
	}
}

// resetPeak makes memory return the largest resident size from now on.
func (g *gateway) resetPeak(t *testing.T) {
	t.Helper()
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := os.WriteFile(fmt.Sprintf("/proc/%d/clear_refs", g.cmd.Process.Pid), []byte("5"), 0o200); err != nil {
		t.Fatal(err)
	}
}

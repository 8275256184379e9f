package faults_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/crocusline/crocusline/modules/exchange"
	"github.com/crocusline/crocusline/standin/site"
)

const (
	host   = "a.example"
	apiKey = "secret"
	// unlimitedKey is the key of a tenant without a prepaid budget.
	unlimitedKey = "unlimited"
	// eventsPerStream and tokensPerEvent give the size of each stream.
	eventsPerStream = 10
	tokensPerEvent  = 4
	promptTokens    = 100
	outputTokens    = eventsPerStream * tokensPerEvent
	requestTimeout  = 3 * time.Second
)

// requestKinds lists the kinds of requests that clients send. Each has a route of
// its own.
var requestKinds = []string{"once", "lookup", "draft", "plan"}

// outcome is the result of one request as its client saw it.
type outcome struct {
	id   string
	kind string
	// status is 0 if no response header was received.
	status int
	seal   string
	body   string
	// complete reports whether the body was read to its end without an error.
	complete bool
	// took is the time until the header of the response, and retryAfter its Retry-After.
	took       time.Duration
	retryAfter string
	// after is the number of events that the client had before.
	after int
	// err is why no response header was received.
	err error
}

// eventCount returns the number of events that the client received.
func (o outcome) eventCount() int64 { return int64(strings.Count(o.body, "\n\n")) }

// guaranteesNotRun reports whether the response guarantees that the request was not
// executed. Callers read that in some statuses whoever has signed the response.
func (o outcome) guaranteesNotRun() bool {
	switch o.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	case http.StatusPaymentRequired, http.StatusUnauthorized, http.StatusNotFound:
		return o.seal == ""
	}
	return false
}

// loadGenerator runs concurrent clients, each with persistent connections of its own.
type loadGenerator struct {
	fleet    *fleet
	mu       sync.Mutex
	outcomes []outcome
	workers  sync.WaitGroup
}

func (c *loadGenerator) start(ctx context.Context, n int, seed uint64) {
	for i := range n {
		c.workers.Go(func() {
			r := rand.New(rand.NewPCG(seed, uint64(i)))
			client := exchange.New()
			defer func() { _ = client.Close() }()
			for k := 0; ctx.Err() == nil; k++ {
				g := c.fleet.gateways[r.IntN(len(c.fleet.gateways))]
				o := send(client, g, fmt.Sprintf("c%d-%d", i, k), requestKinds[r.IntN(len(requestKinds))])
				c.mu.Lock()
				c.outcomes = append(c.outcomes, o)
				c.mu.Unlock()
				time.Sleep(time.Duration(r.IntN(20)) * time.Millisecond)
			}
		})
	}
}

// send sends one request without retries.
func send(client *exchange.Client, g *gateway, id, kind string) outcome {
	return sendBody(client, g, id, kind, "body")
}

// sendBody sends one request with the body without retries.
func sendBody(client *exchange.Client, g *gateway, id, kind, body string) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	header := requestHeader(id, kind)
	o := outcome{id: id, kind: kind}
	start := time.Now()
	resp, err := client.Do(ctx, &exchange.Request{
		Address: g.callerAddress, Method: http.MethodPost, Target: "/" + kind + "/x", Host: host, Header: header, Body: []byte(body),
	})
	if err != nil {
		o.err = err
		return o
	}
	defer func() { _ = resp.Body.Close() }()
	o.took, o.retryAfter = time.Since(start), resp.Header.Get("Retry-After")
	data, err := io.ReadAll(resp.Body)
	o.status, o.seal, o.body, o.complete = resp.StatusCode, resp.Header.Get("Response-Seal"), string(data), err == nil
	return o
}

// requestHeader returns the header of a request.
func requestHeader(id, kind string) http.Header {
	header := http.Header{"Request-Id": {id}, "Authorization": {"Token " + apiKey}, "Deadline-Ms": {"2000"}}
	if kind == "draft" || kind == "plan" {
		header.Set("Model", "m")
		header.Set("Token-Usage", fmt.Sprintf("%d,%d", promptTokens, outputTokens))
	}
	return header
}

// violations compares the clients' outcomes with the executions at the servers. It
// returns a description of each broken guarantee.
func (c *loadGenerator) violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var problems []string
	var used int64
	for _, o := range c.outcomes {
		ran := 0
		for _, s := range c.fleet.servers {
			ran += s.ExecutionCount(o.id)
		}
		if ran > 1 && (o.kind == "once" || o.kind == "plan") {
			problems = append(problems, fmt.Sprintf("%s %s was executed %d times", o.kind, o.id, ran))
		}
		if ran > 0 && o.guaranteesNotRun() {
			problems = append(problems, fmt.Sprintf("%s %s got status %d, but was executed %d times", o.kind, o.id, o.status, ran))
		}
		if problem := o.violation(c.fleet.versions); problem != "" {
			problems = append(problems, problem)
		}
		if ran > 0 && (o.kind == "draft" || o.kind == "plan") {
			used += promptTokens + o.eventCount()*tokensPerEvent
		}
	}
	if used > c.fleet.prepaidTokens {
		problems = append(problems, fmt.Sprintf("%d tokens used, but only %d prepaid", used, c.fleet.prepaidTokens))
	}
	return problems
}

// violation describes what is wrong with a single response of servers of the versions, or returns "".
func (o outcome) violation(versions []string) string {
	if o.status != http.StatusOK {
		return ""
	}
	stream := o.kind == "draft" || o.kind == "plan"
	fits, whole := compareEvents(o.body, o.after, versions)
	switch {
	case o.seal == "":
		return fmt.Sprintf("%s %s succeeded without a seal", o.kind, o.id)
	case stream && o.complete && !whole:
		return fmt.Sprintf("%s %s ended without an error after %d events: %q", o.kind, o.id, o.eventCount(), o.body)
	case stream && !fits:
		return fmt.Sprintf("%s %s has a missing, repeated or wrong event: %q", o.kind, o.id, o.body)
	case !stream && o.complete && o.body != "answer of "+strings.TrimPrefix(o.seal, "seal-of-"):
		return fmt.Sprintf("%s %s got body %q with seal %s", o.kind, o.id, o.body, o.seal)
	}
	return ""
}

// compareEvents reports whether the body begins as the stream of one of the versions goes on after the
// number of events, and whether it has all events of it.
func compareEvents(body string, after int, versions []string) (fits, whole bool) {
	for _, version := range versions {
		var want strings.Builder
		for id := after + 1; id <= eventsPerStream; id++ {
			want.WriteString(site.VersionedEvent(id, version))
		}
		fits = fits || strings.HasPrefix(want.String(), body)
		whole = whole || body == want.String()
	}
	return fits, whole
}

package faults_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/crocusline/crocusline/modules/exchange"
)

const (
	// longBody is a body that doesn't fit into the buffers of a connection, which one of
	// longBodyEvery requests has.
	longBody      = 1 << 20
	longBodyEvery = 3
	// dropEvery is the number of streams of which the client drops one connection.
	dropEvery = 3
	// minGap and maxGap bound the gap after which clients give a stream up, in ms.
	minGap, maxGap = 500, 2000
	// scarceTries is the number of attempts that a client makes.
	scarceTries = 5
)

// attempt is an attempt of a client with its times.
type attempt struct {
	outcome
	gateway  *gateway
	from, to time.Time
	// end is why the client read no further.
	end string
}

func (a *attempt) describe(start time.Time) string {
	return fmt.Sprintf("%s %s sent to %s after event %d at %.3f, status %d sealed %q with %d events, %s at %.3f", a.kind, a.id, a.gateway.name, a.after,
		a.from.Sub(start).Seconds(), a.status, a.seal, a.eventCount(), a.end, a.to.Sub(start).Seconds())
}

// scarceClients runs concurrent clients that keep connections, drop some, and repeat what failed.
type scarceClients struct {
	fleet   *scarceFleet
	workers sync.WaitGroup

	mu       sync.Mutex
	attempts map[string]*attempt
	streams  []*clientStream
}

func (c *scarceClients) start(ctx context.Context, n int, seed uint64) {
	for i := range n {
		c.workers.Go(func() {
			r := rand.New(rand.NewPCG(seed, uint64(i)))
			client := exchange.New()
			defer func() { _ = client.Close() }()
			for k := 0; ctx.Err() == nil; k++ {
				if i%2 == 0 {
					c.request(client, r, fmt.Sprintf("c%d-%d", i, k))
				} else {
					c.stream(client, r, fmt.Sprintf("r%d-%d", i, k))
				}
				time.Sleep(between(r, 1, 40))
			}
		})
	}
}

// request sends a request until it has an answer that isn't to be repeated.
func (c *scarceClients) request(client *exchange.Client, r *rand.Rand, name string) {
	kind := []string{"once", "once", "lookup", "plan", plainPool + "/once", plainPool + "/lookup"}[r.IntN(6)]
	body := scarceBody(r)
	for n := range scarceTries {
		id := fmt.Sprintf("%s-try%d", name, n+1)
		a := &attempt{outcome: outcome{id: id, kind: kind}, gateway: c.fleet.anyGateway(r)}
		c.send(client, a, requestHeader(id, kind), body, reading{gap: scarceTimeout})
		if a.status != http.StatusServiceUnavailable && a.status != http.StatusTooManyRequests {
			return
		}
		time.Sleep(between(r, 1, 300))
	}
}

// stream begins a stream and takes it up at other gateways until it is complete.
func (c *scarceClients) stream(client *exchange.Client, r *rand.Rand, name string) {
	s := &clientStream{name: name, body: scarceBody(r)}
	at := r.IntN(len(c.fleet.gateways))
	for n := 0; n < scarceTries && !s.complete(); n++ {
		header, o := s.next()
		a := &attempt{outcome: o, gateway: c.fleet.gateways[(at+n)%len(c.fleet.gateways)]}
		how := reading{gap: between(r, minGap, maxGap), each: func(text string) { s.read(o.id, text) }}
		if r.IntN(dropEvery) == 0 {
			how.dropAfter = 1 + r.IntN(eventsPerStream-1)
		}
		c.send(client, a, header, s.body, how)
		s.mu.Lock()
		s.compare()
		s.mu.Unlock()
		if a.status >= http.StatusBadRequest && a.status < http.StatusInternalServerError && !a.guaranteesNotRun() {
			break
		}
		if n > 0 {
			time.Sleep(between(r, 1, 300))
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streams = append(c.streams, s)
}

func scarceBody(r *rand.Rand) string {
	if r.IntN(longBodyEvery) == 0 {
		return strings.Repeat("b", longBody)
	}
	return "body"
}

// reading is how a client reads a response: the longest gap, the number of events after which it
// drops the connection, or 0, and what it does with each part of a successful response.
type reading struct {
	gap       time.Duration
	dropAfter int
	each      func(text string)
}

// send sends the attempt and reads the response.
func (c *scarceClients) send(client *exchange.Client, a *attempt, header http.Header, body string, how reading) {
	ctx, cancel := context.WithTimeout(context.Background(), scarceTimeout)
	defer cancel()
	gap := time.AfterFunc(how.gap, cancel)
	header.Set("Deadline-Ms", fmt.Sprint(scarceTimeout.Milliseconds()))
	a.from = time.Now()
	c.mu.Lock()
	c.attempts[a.id] = a
	c.mu.Unlock()
	a.exchange(ctx, client, header, body, how, gap)
	c.mu.Lock()
	defer c.mu.Unlock()
	a.to = time.Now()
}

func (a *attempt) exchange(ctx context.Context, client *exchange.Client, header http.Header, body string, how reading, gap *time.Timer) {
	resp, err := client.Do(ctx, &exchange.Request{
		Address: a.gateway.callerAddress, Method: http.MethodPost, Target: "/" + a.kind + "/x", Host: host, Header: header, Body: []byte(body),
	})
	if err != nil {
		a.end = err.Error()
		return
	}
	defer func() { _ = resp.Body.Close() }()
	a.status, a.seal = resp.StatusCode, resp.Header.Get("Response-Seal")
	buffer := make([]byte, 4<<10)
	for {
		n, err := resp.Body.Read(buffer)
		text := string(buffer[:n])
		a.body += text
		if a.status == http.StatusOK && how.each != nil {
			how.each(text)
		}
		if n > 0 {
			gap.Reset(how.gap)
		}
		if err != nil {
			a.complete = errors.Is(err, io.EOF)
			a.end = err.Error()
			return
		}
		if how.dropAfter > 0 && int(a.eventCount()) >= how.dropAfter {
			a.end = "dropped"
			return
		}
	}
}

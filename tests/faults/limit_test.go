package faults_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/crocusline/crocusline/modules/exchange"
	"github.com/crocusline/crocusline/standin/site"
)

const (
	// limitWindow is the span in which requests to a limited server are counted, limitFactor and
	// limitExtra what may reach it then beyond the limit.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitExtra  = 5
	// limitToldAfter is the time from a gateway's first response with the limit until its
	// requests count, limitBound that from the first one of all gateways until the limit must hold.
	limitToldAfter = 500 * time.Millisecond
	limitBound     = 3 * time.Second
	limitPhase     = 6 * time.Second
)

// limitProblem compares the requests that reached a server, which named a limit from the start to
// the end, with what may reach it. It returns "" if the limit was kept.
func limitProblem(s *site.Server, gateways []*gateway, limit float64, start, end time.Time) string {
	allowed := int(limitFactor*limit*limitWindow.Seconds()) + limitExtra
	told := map[string]time.Time{}
	var first time.Time
	var counted []time.Time
	for _, r := range s.Requests() {
		if r.At.Before(start) || r.At.After(end) {
			continue
		}
		if first.IsZero() {
			first = r.At
		}
		i := slices.IndexFunc(gateways, func(g *gateway) bool { return strings.HasPrefix(r.ID, g.name+"-") })
		if i < 0 {
			continue
		}
		name := gateways[i].name
		if at, known := told[name]; !known {
			told[name] = r.At
		} else if r.At.Sub(at) > limitToldAfter {
			counted = append(counted, r.At)
		}
		for len(counted) > 0 && r.At.Sub(counted[0]) > limitWindow {
			counted = counted[1:]
		}
		if r.At.Sub(first) > limitBound && len(counted) > allowed {
			return fmt.Sprintf("%s, limited to %g a second, got %d requests in %s from gateways that it had told, %d are allowed",
				s.ID, limit, len(counted), limitWindow, allowed)
		}
	}
	return ""
}

// requestsBetween returns how many requests reached the server in the time.
func requestsBetween(s *site.Server, start, end time.Time) int {
	n := 0
	for _, r := range s.Requests() {
		if r.At.After(start) && r.At.Before(end) {
			n++
		}
	}
	return n
}

// TestServerLimitOfAllGateways guards against gateways that each use the whole limit that a server
// names for all of them, or none of it. Other servers, and servers whose limit is invalid or no
// longer named, must get requests as before.
func TestServerLimitOfAllGateways(t *testing.T) {
	const limit = 1.0
	f, stop := newLoadedFleet(t, *gatewayCount)
	defer stop()
	start := time.Now()
	f.servers[0].SetLimit(fmt.Sprint(limit))
	for _, odd := range []string{"NaN", "-1", ",", "a few", "1e999"} {
		f.servers[1].SetLimit(odd)
		time.Sleep(limitPhase / 5)
	}
	end := time.Now()
	if problem := limitProblem(f.servers[0], f.gateways, limit, start, end); problem != "" {
		t.Error(problem)
	}
	if n := requestsBetween(f.servers[0], end.Add(-limitPhase/2), end); n == 0 {
		t.Error("the limited server got no requests")
	}
	f.servers[0].SetLimit("")
	time.Sleep(limitPhase)
	now := time.Now()
	for i, s := range f.servers {
		inLimit := requestsBetween(s, end.Add(-limitPhase/2), end)
		after := requestsBetween(s, now.Add(-limitPhase/2), now)
		t.Logf("server %d got %d requests while the first was limited, %d after that", i, inLimit, after)
		if want := requestsBetween(s, start.Add(-limitPhase/4), start); after < want || (i > 0 && inLimit < want) {
			t.Errorf("server %d got %d and %d requests in %s, want %d at least", i, inLimit, after, limitPhase/2, want)
		}
	}
}

// TestAllServersLimited guards against requests that wait for servers all of which get as many as
// they take: callers must be told at once when to come back.
func TestAllServersLimited(t *testing.T) {
	const (
		limit = 3.0
		// refusedWithin bounds the time until a refusal, minServed the share of what the servers
		// take that must be used.
		refusedWithin = 300 * time.Millisecond
		minServed     = 0.5
		probes        = 20
	)
	f, stop := newLoadedFleet(t, *gatewayCount)
	defer stop()
	start := time.Now()
	for _, s := range f.servers {
		s.SetLimit(fmt.Sprint(limit))
	}
	time.Sleep(limitPhase)
	end := time.Now()
	var problems []string
	for _, s := range f.servers {
		if problem := limitProblem(s, f.gateways, limit, start, end); problem != "" {
			problems = append(problems, problem)
		}
		if n := requestsBetween(s, start.Add(limitBound), end); float64(n) < minServed*limit*(limitPhase-limitBound).Seconds() {
			t.Errorf("%s, limited to %g a second, got %d requests in %s", s.ID, limit, n, limitPhase-limitBound)
		}
	}
	client := exchange.New()
	defer func() { _ = client.Close() }()
	refused := 0
	for i := range probes {
		o := send(client, f.gateways[i%len(f.gateways)], fmt.Sprintf("probe-%d", i), requestKinds[i%len(requestKinds)])
		if o.status == http.StatusOK {
			continue
		}
		refused++
		if o.status != http.StatusServiceUnavailable || o.took > refusedWithin || o.retryAfter == "" {
			t.Errorf("%s %s got status %d after %s, Retry-After %q", o.kind, o.id, o.status, o.took, o.retryAfter)
		}
	}
	if refused == 0 {
		problems = append(problems, fmt.Sprintf("none of %d requests was refused", probes))
	}
	if len(problems) > 0 {
		t.Error(strings.Join(problems, "; "))
	}
}

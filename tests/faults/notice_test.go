package faults_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/crocusline/crocusline/modules/exchange"
	"github.com/crocusline/crocusline/standin/site"
)

const (
	// noticeInterval is the time between two requests to all gateways together.
	noticeInterval = 5 * time.Millisecond
	// drainBound is the operators' bound on how long a server that leaves may get new requests,
	// and pauseBound that after a server has asked for a pause.
	drainBound = 2 * time.Second
	pauseBound = 500 * time.Millisecond
	// pauseLength is how long a server wants no requests, and maxInPause the number of requests
	// that a gateway may send it meanwhile.
	pauseLength = 3 * time.Second
	maxInPause  = 2
)

// sendAtInterval sends requests to each gateway until the context ends, over connections that stay
// open.
func sendAtInterval(ctx context.Context, f *fleet) {
	var senders sync.WaitGroup
	for _, g := range f.gateways {
		senders.Go(func() {
			client := exchange.New()
			defer func() { _ = client.Close() }()
			for n := 0; ctx.Err() == nil; n++ {
				kind := requestKinds[n%len(requestKinds)]
				senders.Go(func() { send(client, g, fmt.Sprintf("%s-%d", g.name, n), kind) })
				time.Sleep(noticeInterval * time.Duration(len(f.gateways)))
			}
		})
	}
	senders.Wait()
}

// newLoadedFleet starts gateways with many prepaid tokens, and load that ends with the function
// that it returns.
func newLoadedFleet(t *testing.T, gateways int) (f *fleet, stop func()) {
	t.Helper()
	f = newFleet(t, buildBinary(t), gateways, serverCount)
	f.prepaidTokens = 1_000_000
	f.publish()
	requireService(t, f, "before the load")
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	var load sync.WaitGroup
	load.Go(func() { sendAtInterval(ctx, f) })
	return f, func() {
		cancel()
		load.Wait()
	}
}

// receivedLate returns, by gateway, how many requests reached the server later than the bound after
// its first to the gateway from the start on, and until the end.
func receivedLate(s *site.Server, gateways []*gateway, start, end time.Time, bound time.Duration) map[string]int {
	late := map[string]int{}
	first := map[string]time.Time{}
	for _, r := range s.Requests() {
		if r.At.Before(start) {
			continue
		}
		for _, g := range gateways {
			if !strings.HasPrefix(r.ID, g.name+"-") {
				continue
			}
			if told, known := first[g.name]; !known {
				first[g.name] = r.At
			} else if r.At.Sub(told) > bound && r.At.Before(end) {
				late[g.name]++
			}
		}
	}
	return late
}

// TestDrainNoticeWithReadyEntry guards against requests to servers that say in their responses
// that they leave, while their entries stay ready and the store can't be read.
func TestDrainNoticeWithReadyEntry(t *testing.T) {
	f, stop := newLoadedFleet(t, 2)
	start := time.Now()
	f.servers[0].SetDraining("1")
	time.Sleep(drainBound)
	// Later reports of the server say that it is ready.
	f.setServerState(0, "ready")
	f.gateways[1].storeProxy.setMode(stall)
	time.Sleep(drainBound)
	stop()
	for name, n := range receivedLate(f.servers[0], f.gateways, start, time.Now(), drainBound) {
		t.Errorf("%d requests reached the server from %s more than %s after it said that it leaves", n, name, drainBound)
	}
	if len(f.servers[1].Requests()) == 0 || len(f.servers[2].Requests()) == 0 {
		t.Error("the other servers got no requests")
	}
}

// TestServerAsksForBackoff guards against requests to servers that have turned one away and said for
// how long they want none, with values that can be read and with others.
func TestServerAsksForBackoff(t *testing.T) {
	f, stop := newLoadedFleet(t, 2)
	start := time.Now()
	f.servers[0].RejectAll(true, fmt.Sprintf("%.1f", pauseLength.Seconds()))
	for _, odd := range []string{"1e300", "-1", "soon", "NaN", ""} {
		f.servers[1].RejectAll(true, odd)
		time.Sleep(pauseLength / 5)
	}
	end := time.Now()
	f.servers[0].RejectAll(false, "")
	f.servers[1].RejectAll(false, "")
	time.Sleep(pauseLength)
	stop()
	for name, n := range receivedLate(f.servers[0], f.gateways, start, end, pauseBound) {
		if n > maxInPause {
			t.Errorf("%d requests reached the server from %s in its pause, at most %d may", n, name, maxInPause)
		}
	}
	for i, s := range f.servers {
		served := 0
		for _, r := range s.Requests() {
			if r.At.After(end.Add(pauseBound)) {
				served++
			}
		}
		if served == 0 {
			t.Errorf("server %d got no requests after its pause", i)
		}
	}
	requireService(t, f, "after the pauses")
}

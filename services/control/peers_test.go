package control_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusline/crocusline/models/fleet"
	"github.com/crocusline/crocusline/services/control"
	"github.com/crocusline/crocusline/standin/platform"
)

// localPeers is a PeerClient of services in the test's process.
type localPeers struct {
	mu       sync.Mutex
	services map[netip.AddrPort]*recordedService
	// stale is whether states are returned that the caller has already passed.
	stale bool
}

func newLocalPeers(services ...*recordedService) *localPeers {
	p := &localPeers{services: map[netip.AddrPort]*recordedService{}}
	for _, s := range services {
		p.add(s)
	}
	return p
}

func (p *localPeers) add(s *recordedService) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.services[s.Member().Address] = s
}

func (p *localPeers) remove(s *recordedService) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.services, s.Member().Address)
}

func (p *localPeers) find(address netip.AddrPort) *recordedService {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.services[address]
}

// Current implements control.PeerClient.
func (p *localPeers) Current(_ context.Context, address netip.AddrPort, next int64) (*fleet.State, error) {
	s := p.find(address)
	if s == nil {
		return nil, errors.New("no response")
	}
	if s.State().Next <= next && !p.stale {
		return nil, nil
	}
	data, err := s.State().Snapshot()
	if err != nil {
		return nil, err
	}
	return fleet.Restore(data)
}

func TestStartDuringLogOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platform.New()
		a := start(t, store, "a")
		publish(t, a, publication("p0", "a", 0, "clinics"))
		store.SetFaults(platform.Faults{Outage: true})
		dead := netip.MustParseAddrPort("127.0.0.1:9")
		peers := newLocalPeers(a)

		isolated := start(t, store, "isolated", control.WithPeers(peers, dead))
		b := start(t, store, "b", control.WithPeers(peers, dead, member("a").Address))
		if b.Ready() {
			t.Fatal("ready before it has tables")
		}
		time.Sleep(propagationBound)
		if !b.Ready() || b.Version() != 1 {
			t.Fatalf("b has version %d", b.Version())
		}
		if isolated.Ready() {
			t.Fatal("ready without tables")
		}

		store.SetFaults(platform.Faults{})
		publish(t, a, publication("p1", "a", 1, "clinics"))
		time.Sleep(propagationBound)
		if b.Version() != 2 || isolated.Version() != 2 {
			t.Fatalf("versions %d and %d after the outage, want 2", b.Version(), isolated.Version())
		}
		if _, known := a.State().Members["b/1"]; !known {
			t.Fatal("b is not registered after the outage")
		}
	})
}

func TestDisconnectedFromLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platform.New()
		a := start(t, store, "a")
		b := start(t, store, "b", control.WithPeers(newLocalPeers(a)))
		publish(t, a, publication("p0", "a", 0, "clinics"))
		time.Sleep(time.Second)
		store.SetFaults(platform.Faults{Cut: []string{"b"}})
		publish(t, a, publication("p1", "a", 1, "clinics"))
		time.Sleep(propagationBound)
		if b.LogReachable() {
			t.Fatal("the log is reachable")
		}
		if b.Version() != 2 {
			t.Fatalf("b has version %d, want 2 from its peer", b.Version())
		}
	})
}

// countingClient counts the polls of each peer.
type countingClient struct {
	mu     sync.Mutex
	counts map[netip.AddrPort]int
}

// Current implements control.PeerClient.
func (c *countingClient) Current(_ context.Context, address netip.AddrPort, _ int64) (*fleet.State, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[address]++
	return nil, nil
}

func TestPollsStartAtDifferentPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platform.New(platform.WithFaults(platform.Faults{Outage: true}))
		var seeds []netip.AddrPort
		for port := range uint16(10) {
			seeds = append(seeds, netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port+1))
		}
		client := &countingClient{counts: map[netip.AddrPort]int{}}
		const clients = 40
		for i := range clients {
			start(t, store, fmt.Sprint("client-", i), control.WithPeers(client, seeds...))
		}
		time.Sleep(1500 * time.Millisecond)
		client.mu.Lock()
		defer client.mu.Unlock()
		total := 0
		for peer, count := range client.counts {
			total += count
			if count > clients/3 {
				t.Errorf("%s was polled %d times at once", peer, count)
			}
		}
		if total != clients {
			t.Errorf("%d polls, want %d", total, clients)
		}
	})
}

// A process that polls a peer with an older state, such as one that was
// disconnected from the log, must keep its own state.
func TestStalePeerIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platform.New()
		old := start(t, store, "old")
		publish(t, old, publication("p0", "a", 0, "clinics"))
		time.Sleep(time.Second)
		store.SetFaults(platform.Faults{Cut: []string{"old"}})
		a := start(t, store, "a")
		peers := newLocalPeers(old)
		peers.stale = true
		b := start(t, store, "b", control.WithPeers(peers, member("old").Address))
		publish(t, a, publication("p1", "a", 1, "clinics"))
		time.Sleep(time.Second)
		store.SetFaults(platform.Faults{Outage: true})
		time.Sleep(propagationBound)
		if b.Version() != 2 {
			t.Fatalf("b has version %d, want 2", b.Version())
		}
	})
}

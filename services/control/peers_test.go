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

// neighbours asks services in this process for their state.
type neighbours struct {
	mu       sync.Mutex
	services map[netip.AddrPort]*watched
}

func newNeighbours(services ...*watched) *neighbours {
	n := &neighbours{services: map[netip.AddrPort]*watched{}}
	for _, s := range services {
		n.add(s)
	}
	return n
}

func (n *neighbours) add(s *watched) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.services[s.Member().Address] = s
}

func (n *neighbours) remove(s *watched) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.services, s.Member().Address)
}

func (n *neighbours) find(address netip.AddrPort) *watched {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.services[address]
}

// Current implements control.Source.
func (n *neighbours) Current(_ context.Context, address netip.AddrPort, next int64) (*fleet.State, error) {
	s := n.find(address)
	if s == nil {
		return nil, errors.New("no answer")
	}
	if s.State().Next <= next {
		return nil, nil
	}
	data, err := s.State().Snapshot()
	if err != nil {
		return nil, err
	}
	return fleet.Restore(data)
}

func TestStartWithThePlatformAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platform.New()
		a := start(t, store, "a")
		publish(t, a, publication("p0", "a", 0, "clinics"))
		store.SetFaults(platform.Faults{Outage: true})
		dead := netip.MustParseAddrPort("127.0.0.1:9")
		peers := newNeighbours(a)

		lonely := start(t, store, "lonely", control.WithPeers(peers, dead))
		b := start(t, store, "b", control.WithPeers(peers, dead, member("a").Address))
		if b.Ready() {
			t.Fatal("ready before it has tables")
		}
		time.Sleep(inForceBound)
		if !b.Ready() || b.Version() != 1 {
			t.Fatalf("b has version %d", b.Version())
		}
		if lonely.Ready() {
			t.Fatal("ready without tables")
		}

		store.SetFaults(platform.Faults{})
		publish(t, a, publication("p1", "a", 1, "clinics"))
		time.Sleep(inForceBound)
		if b.Version() != 2 || lonely.Version() != 2 {
			t.Fatalf("versions %d and %d after the outage, want 2", b.Version(), lonely.Version())
		}
		if _, known := a.State().Members["b/1"]; !known {
			t.Fatal("b is not registered after the outage")
		}
	})
}

func TestCutOffFromTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platform.New()
		a := start(t, store, "a")
		b := start(t, store, "b", control.WithPeers(newNeighbours(a)))
		publish(t, a, publication("p0", "a", 0, "clinics"))
		time.Sleep(time.Second)
		store.SetFaults(platform.Faults{Cut: []string{"b"}})
		publish(t, a, publication("p1", "a", 1, "clinics"))
		time.Sleep(inForceBound)
		if b.LogReachable() {
			t.Fatal("b reads the log")
		}
		if b.Version() != 2 {
			t.Fatalf("b has version %d, want 2 from its peer", b.Version())
		}
	})
}

// asked counts the peers that were asked.
type asked struct {
	mu     sync.Mutex
	counts map[netip.AddrPort]int
}

// Current implements control.Source.
func (a *asked) Current(_ context.Context, address netip.AddrPort, _ int64) (*fleet.State, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counts[address]++
	return nil, nil
}

func TestPeersAreAskedInDifferentOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platform.New(platform.WithFaults(platform.Faults{Outage: true}))
		var seeds []netip.AddrPort
		for port := range uint16(10) {
			seeds = append(seeds, netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port+1))
		}
		source := &asked{counts: map[netip.AddrPort]int{}}
		const askers = 40
		for i := range askers {
			start(t, store, fmt.Sprint("asker-", i), control.WithPeers(source, seeds...))
		}
		time.Sleep(1500 * time.Millisecond)
		source.mu.Lock()
		defer source.mu.Unlock()
		total := 0
		for peer, count := range source.counts {
			total += count
			if count > askers/3 {
				t.Errorf("%s was asked %d times at once", peer, count)
			}
		}
		if total != askers {
			t.Errorf("%d questions, want %d", total, askers)
		}
	})
}

// A state from a peer must not take a process back when the log it then reads
// lags behind the peer's.
func TestStalePeerIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platform.New()
		old := start(t, store, "old")
		publish(t, old, publication("p0", "a", 0, "clinics"))
		time.Sleep(time.Second)
		store.SetFaults(platform.Faults{Cut: []string{"old"}})
		a := start(t, store, "a")
		b := start(t, store, "b", control.WithPeers(newNeighbours(old), member("old").Address))
		publish(t, a, publication("p1", "a", 1, "clinics"))
		time.Sleep(time.Second)
		store.SetFaults(platform.Faults{Outage: true})
		time.Sleep(inForceBound)
		if b.Version() != 2 {
			t.Fatalf("b has version %d, want 2", b.Version())
		}
	})
}

package control_test

import (
	"context"
	"errors"
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
type neighbours map[netip.AddrPort]*watched

// Current implements control.Source.
func (n neighbours) Current(_ context.Context, address netip.AddrPort, next int64) (*fleet.State, error) {
	s, known := n[address]
	if !known {
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

// directory is neighbours that come and go while others ask.
type directory struct {
	mu    sync.Mutex
	known neighbours
}

func (d *directory) put(address netip.AddrPort, s *watched) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.known[address] = s
}

func (d *directory) remove(address netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.known, address)
}

// Current implements control.Source.
func (d *directory) Current(ctx context.Context, address netip.AddrPort, next int64) (*fleet.State, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.known.Current(ctx, address, next)
}

func TestStartWithThePlatformAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platform.New()
		a := start(t, store, "a")
		publish(t, a, publication("p0", "a", 0, "clinics"))
		store.SetFaults(platform.Faults{Outage: true})
		dead := netip.MustParseAddrPort("127.0.0.1:9")
		peers := neighbours{member("a").Address: a}

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
		b := start(t, store, "b", control.WithPeers(neighbours{member("a").Address: a}))
		publish(t, a, publication("p0", "a", 0, "clinics"))
		time.Sleep(time.Second)
		store.SetFaults(platform.Faults{Cut: []string{"b"}})
		publish(t, a, publication("p1", "a", 1, "clinics"))
		time.Sleep(inForceBound)
		if b.Reachable() {
			t.Fatal("b reads the log")
		}
		if b.Version() != 2 {
			t.Fatalf("b has version %d, want 2 from its peer", b.Version())
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
		b := start(t, store, "b", control.WithPeers(neighbours{member("old").Address: old}, member("old").Address))
		publish(t, a, publication("p1", "a", 1, "clinics"))
		time.Sleep(time.Second)
		store.SetFaults(platform.Faults{Outage: true})
		time.Sleep(inForceBound)
		if b.Version() != 2 {
			t.Fatalf("b has version %d, want 2", b.Version())
		}
	})
}

package prepaid_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	model "github.com/crocusline/crocusline/models/prepaid"
	"github.com/crocusline/crocusline/services/prepaid"
	"github.com/crocusline/crocusline/standin/site"
)

// silentPeers are peers that no longer respond once silent is closed.
type silentPeers struct {
	peers
	silent chan struct{}
}

// Borrow implements prepaid.Peers.
func (p silentPeers) Borrow(ctx context.Context, peer netip.AddrPort, l model.Loan) (model.Lent, error) {
	if p.isSilent() {
		<-ctx.Done()
		return model.Lent{}, ctx.Err()
	}
	return p.peers.Borrow(ctx, peer, l)
}

// Return implements prepaid.Peers.
func (p silentPeers) Return(ctx context.Context, peer netip.AddrPort, workspace string, tokens int64) error {
	if p.isSilent() {
		<-ctx.Done()
		return ctx.Err()
	}
	return p.peers.Return(ctx, peer, workspace, tokens)
}

func (p silentPeers) isSilent() bool {
	select {
	case <-p.silent:
		return true
	default:
		return false
	}
}

// TestSilentPeerDelaysClose guards against processes that outlast their grace period because a peer
// doesn't respond to a loan or to a return of borrowed tokens.
func TestSilentPeerDelaysClose(t *testing.T) {
	const returnTimeout = 400 * time.Millisecond
	run(t, 2_000_000, func(f *fleet) {
		all := silentPeers{peers{}, make(chan struct{})}
		var gateways [2]*prepaid.Service
		for i := range gateways {
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(9000+i))
			gateways[i] = f.start(fmt.Sprintf("entry-%d", i), prepaid.WithPeers(all, address), prepaid.WithReturnTimeout(returnTimeout))
			all.peers[address] = gateways[i]
		}
		for _, g := range gateways {
			f.reserve(g, 1_000).Settle(1_000)
		}
		time.Sleep(time.Second)
		f.store.SetFault(site.Unresponsive)
		time.Sleep(3500 * time.Millisecond)
		g := gateways[0]
		hold, err := g.Reserve(f.Context(), f.workspace, "request", g.Balance(f.workspace).Free+50_000)
		if err != nil {
			f.Fatal(err)
		}
		close(all.silent)
		// The borrowed tokens stay here: the next request waits for a loan in vain.
		if _, err := g.Reserve(f.Context(), f.workspace, "request", 1_000_000); err == nil {
			f.Fatal("served without a grant or a loan")
		}
		hold.Settle(1_000)
		start := time.Now()
		f.close(g)
		if took := time.Since(start); took > returnTimeout {
			f.Errorf("closed after %s, want at most %s", took, returnTimeout)
		}
		f.store.SetFault(site.NoFault)
	})
}

// countingPeers are peers that count calls.
type countingPeers struct {
	peers
	calls *atomic.Int64
}

// Borrow implements prepaid.Peers.
func (p countingPeers) Borrow(ctx context.Context, peer netip.AddrPort, l model.Loan) (model.Lent, error) {
	p.calls.Add(1)
	return p.peers.Borrow(ctx, peer, l)
}

// Return implements prepaid.Peers.
func (p countingPeers) Return(ctx context.Context, peer netip.AddrPort, workspace string, tokens int64) error {
	p.calls.Add(1)
	return p.peers.Return(ctx, peer, workspace, tokens)
}

// TestPeersCalledAfterClose guards against requests that outlast Close and start loans or returns, which
// panics if Close awaits others at that moment ("WaitGroup is reused").
func TestPeersCalledAfterClose(t *testing.T) {
	run(t, 2_000_000, func(f *fleet) {
		all := countingPeers{peers{}, new(atomic.Int64)}
		var gateways [2]*prepaid.Service
		for i := range gateways {
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(9000+i))
			gateways[i] = f.start(fmt.Sprintf("entry-%d", i), prepaid.WithPeers(all, address))
			all.peers[address] = gateways[i]
		}
		for _, g := range gateways {
			f.reserve(g, 1_000).Settle(1_000)
		}
		time.Sleep(time.Second)
		f.store.SetFault(site.Unresponsive)
		time.Sleep(3500 * time.Millisecond)
		g := gateways[0]
		hold, err := g.Reserve(f.Context(), f.workspace, "request", g.Balance(f.workspace).Free+50_000)
		if err != nil {
			f.Fatal(err)
		}
		f.close(g)
		before := all.calls.Load()
		hold.Settle(1_000)
		if _, err := g.Reserve(f.Context(), f.workspace, "request", 1_000_000); err == nil {
			f.Error("served without a grant or a loan")
		}
		if calls := all.calls.Load() - before; before == 0 || calls > 0 {
			f.Errorf("%d calls of peers before the end of Close, %d after it", before, calls)
		}
		f.store.SetFault(site.NoFault)
	})
}

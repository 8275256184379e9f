package shard

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"

	"github.com/crocusline/crocusline/models/fleet"
	"github.com/crocusline/crocusline/models/ledger"
	peerv1 "github.com/crocusline/crocusline/modules/wire/peer/v1"
	"github.com/crocusline/crocusline/modules/wire/peer/v1/peerv1connect"
	"github.com/crocusline/crocusline/services/stream"
)

const (
	// holderPoll is how often the owner looks whether the fleet has changed or a
	// proof is missing.
	holderPoll = time.Second
	// holderCheck is how often it looks for holders that are gone in any case: an
	// entry that is gone may not know it yet and draw.
	holderCheck = 30 * time.Second
	// fenceCalls bounds the sidecars that are asked at the same time.
	fenceCalls = 16
)

// closeHolders returns the tokens of entry incarnations that are gone, once it
// is proven that none of them will be charged any more.
func (h *Host) closeHolders(ctx context.Context) {
	ticker := time.NewTicker(holderPoll)
	defer ticker.Stop()
	var (
		last    *fleet.State
		checked time.Time
		pending bool
	)
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		state := h.fleet.State()
		if state == last && !pending && time.Since(checked) < holderCheck {
			continue
		}
		last, checked = state, time.Now()
		pending = h.closeGone(ctx)
	}
}

// closeGone closes the holders that are gone in all owned shards. It says whether
// some of them still held tokens.
func (h *Host) closeGone(ctx context.Context) bool {
	gone := map[string]bool{}
	for _, p := range h.parts {
		if o, ok := p.owned(); ok {
			p.closeGone(ctx, o, gone)
		}
	}
	h.proofs.keep(gone)
	return len(gone) > 0
}

// closeGone closes the shard's holders that are gone, as far as that is proven,
// and adds all that are gone to the set.
func (p *part) closeGone(ctx context.Context, o *opening, gone map[string]bool) {
	var held map[string]int64
	o.stream.View(func(stream.Status) { held = o.state.OpenHolders() })
	for holder, tokens := range held {
		if !p.host.fleet.State().HasEnded(holder) {
			continue
		}
		gone[holder] = true
		if missing := p.host.proofs.collect(ctx, holder, p.host.fleet.State); missing > 0 {
			holdersWait.Inc()
			p.host.logger.Debug("holder not closed yet", "holder", holder, "shard", p.number, "sidecars", missing)
			continue
		}
		if err := p.appendEntry(ctx, o, ledger.CloseHolder{Holder: holder}); err != nil {
			p.host.logger.Warn("holder not closed", "holder", holder, "shard", p.number, "error", err)
			continue
		}
		holdersClosed.Inc()
		p.host.logger.Info("holder closed", "holder", holder, "shard", p.number, "tokens", tokens)
	}
}

// proofs remembers which sidecars have fenced and settled which holders.
type proofs struct {
	http *http.Client

	mu      sync.Mutex
	clients map[netip.AddrPort]peerv1connect.SidecarServiceClient
	// settled holds sidecar incarnations by holder.
	settled map[string]map[string]bool
}

func newProofs(client *http.Client) *proofs {
	return &proofs{
		http:    client,
		clients: map[netip.AddrPort]peerv1connect.SidecarServiceClient{},
		settled: map[string]map[string]bool{},
	}
}

// collect asks the sidecars that have not proven yet that no hold of the holder
// can be charged there any more. It returns how many members have not. A sidecar
// that has answered so refuses the holder from then on.
func (p *proofs) collect(ctx context.Context, holder string, state func() *fleet.State) int {
	var group errgroup.Group
	group.SetLimit(fenceCalls)
	for _, m := range p.missing(holder, state()) {
		group.Go(func() error {
			if p.ask(ctx, holder, m) {
				p.note(holder, m.Incarnation)
			}
			return nil
		})
	}
	// The functions return no errors.
	_ = group.Wait()
	// Members that came in the meantime count too.
	return len(p.missing(holder, state()))
}

func (p *proofs) missing(holder string, state *fleet.State) []fleet.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	var members []fleet.Member
	for _, m := range state.Members {
		if m.Role == fleet.Sidecar && !p.settled[holder][m.Incarnation] {
			members = append(members, m)
		}
	}
	return members
}

// ask fences the holder at a sidecar, and says whether that very incarnation has
// settled all of the holder's holds.
func (p *proofs) ask(ctx context.Context, holder string, m fleet.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := p.client(m.Address).Fence(ctx, connect.NewRequest(&peerv1.FenceRequest{Entry: holder}))
	return err == nil && resp.Msg.GetSettled() && resp.Msg.GetIncarnation() == m.Incarnation
}

func (p *proofs) note(holder, sidecar string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.settled[holder] == nil {
		p.settled[holder] = map[string]bool{}
	}
	p.settled[holder][sidecar] = true
}

// keep forgets the proofs of all holders but those in the set.
func (p *proofs) keep(holders map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for holder := range p.settled {
		if !holders[holder] {
			delete(p.settled, holder)
		}
	}
}

func (p *proofs) client(address netip.AddrPort) peerv1connect.SidecarServiceClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.clients[address] == nil {
		p.clients[address] = peerv1connect.NewSidecarServiceClient(p.http, baseURL(address))
	}
	return p.clients[address]
}

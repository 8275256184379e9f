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
	// holderPollInterval is the time between two checks whether the fleet has
	// changed or a holder is still to be closed.
	holderPollInterval = time.Second
	// maxHolderCheckInterval is the maximum time between two checks for ended
	// holders, also if the fleet has not changed: an entry that was fenced may
	// still draw until it reads that it was fenced.
	maxHolderCheckInterval = 30 * time.Second
	// maxFenceCalls is the maximum number of concurrent calls that fence one
	// holder.
	maxFenceCalls = 16
)

// runHolderCleanup closes the holders of entry incarnations that have ended, until
// the context ends. A closed holder's tokens are returned to the budgets. A holder
// is closed only once all sidecars have confirmed that they will charge none of
// its holds any more.
func (h *Host) runHolderCleanup(ctx context.Context) {
	ticker := time.NewTicker(holderPollInterval)
	defer ticker.Stop()
	var (
		last      *fleet.State
		checkedAt time.Time
		pending   bool
	)
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		state := h.fleet.State()
		if state == last && !pending && time.Since(checkedAt) < maxHolderCheckInterval {
			continue
		}
		last, checkedAt = state, time.Now()
		pending = h.closeEndedHolders(ctx)
	}
}

// closeEndedHolders closes the ended holders in all owned shards. It reports
// whether there were any.
func (h *Host) closeEndedHolders(ctx context.Context) bool {
	ended := map[string]bool{}
	for _, s := range h.shards {
		if r, ok := s.ownedReplica(); ok {
			s.closeEndedHolders(ctx, r, ended)
		}
	}
	h.fences.retain(ended)
	return len(ended) > 0
}

// closeEndedHolders closes the shard's ended holders that all sidecars have fenced
// and settled. It adds all ended holders to ended, also those not closed yet.
func (s *hostedShard) closeEndedHolders(ctx context.Context, r *replica, ended map[string]bool) {
	var held map[string]int64
	r.stream.View(func(stream.Status) { held = r.state.OpenHolders() })
	for holder, tokens := range held {
		if !s.host.fleet.State().HasEnded(holder) {
			continue
		}
		ended[holder] = true
		if unsettled := s.host.fences.fenceHolder(ctx, holder, s.host.fleet.State); unsettled > 0 {
			unsettledHolders.Inc()
			s.host.logger.Debug("holder not closed yet", "holder", holder, "shard", s.number, "sidecars", unsettled)
			continue
		}
		if err := s.appendEntry(ctx, r, ledger.CloseHolder{Holder: holder}); err != nil {
			s.host.logger.Warn("holder not closed", "holder", holder, "shard", s.number, "error", err)
			continue
		}
		closedHolders.Inc()
		s.host.logger.Info("holder closed", "holder", holder, "shard", s.number, "tokens", tokens)
	}
}

// fenceTracker fences holders at the sidecars and records which sidecars have
// fenced and settled each holder.
type fenceTracker struct {
	http *http.Client

	mu      sync.Mutex
	clients map[netip.AddrPort]peerv1connect.SidecarServiceClient
	// settled is the set of sidecar incarnations that have fenced and settled a
	// holder, by holder.
	settled map[string]map[string]bool
}

func newFenceTracker(client *http.Client) *fenceTracker {
	return &fenceTracker{
		http:    client,
		clients: map[netip.AddrPort]peerv1connect.SidecarServiceClient{},
		settled: map[string]map[string]bool{},
	}
}

// fenceHolder fences the holder at all sidecars that have not confirmed yet that
// they will charge none of its holds any more. It returns the number of sidecars
// that still have not. A sidecar that has fenced the holder refuses its later
// requests.
func (t *fenceTracker) fenceHolder(ctx context.Context, holder string, state func() *fleet.State) int {
	var group errgroup.Group
	group.SetLimit(maxFenceCalls)
	for _, m := range t.unsettled(holder, state()) {
		group.Go(func() error {
			if t.fence(ctx, holder, m) {
				t.recordSettled(holder, m.Incarnation)
			}
			return nil
		})
	}
	// The functions return no errors.
	_ = group.Wait()
	// This includes sidecars that have joined since the first call.
	return len(t.unsettled(holder, state()))
}

// unsettled returns the sidecars that have not fenced and settled the holder.
func (t *fenceTracker) unsettled(holder string, state *fleet.State) []fleet.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var members []fleet.Member
	for _, m := range state.Members {
		if m.Role == fleet.Sidecar && !t.settled[holder][m.Incarnation] {
			members = append(members, m)
		}
	}
	return members
}

// fence fences the holder at a sidecar. It reports whether the sidecar has settled
// all of the holder's holds and still has the incarnation of the member.
func (t *fenceTracker) fence(ctx context.Context, holder string, m fleet.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := t.client(m.Address).Fence(ctx, connect.NewRequest(&peerv1.FenceRequest{Entry: holder}))
	return err == nil && resp.Msg.GetSettled() && resp.Msg.GetIncarnation() == m.Incarnation
}

func (t *fenceTracker) recordSettled(holder, sidecar string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.settled[holder] == nil {
		t.settled[holder] = map[string]bool{}
	}
	t.settled[holder][sidecar] = true
}

// retain removes all holders except those in the set.
func (t *fenceTracker) retain(holders map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for holder := range t.settled {
		if !holders[holder] {
			delete(t.settled, holder)
		}
	}
}

func (t *fenceTracker) client(address netip.AddrPort) peerv1connect.SidecarServiceClient {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.clients[address] == nil {
		t.clients[address] = peerv1connect.NewSidecarServiceClient(t.http, baseURL(address))
	}
	return t.clients[address]
}

package shard

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/crocusline/crocusline/models/ledger"
	peerv1 "github.com/crocusline/crocusline/modules/wire/peer/v1"
	"github.com/crocusline/crocusline/services/stream"
)

const (
	// minRecallInterval is the minimum time between two recalls of one budget.
	minRecallInterval = 500 * time.Millisecond
	// maxRecallHolders is the maximum number of holders to which one recall is
	// sent, those with the most tokens first.
	maxRecallHolders = 32
	// retryAfterReturns is the time until other holders may have returned tokens.
	retryAfterReturns = time.Second
	// maxDrawWait is the maximum time that a draw waits for returns of other
	// holders.
	maxDrawWait = 500 * time.Millisecond
)

// Draw implements peerv1connect.LedgerServiceHandler.
func (h *Host) Draw(ctx context.Context, req *connect.Request[peerv1.DrawRequest]) (*connect.Response[peerv1.DrawResponse], error) {
	m := req.Msg
	if m.GetNeed() < 0 || m.GetGive() < 0 || m.GetHolder() == "" || m.GetNeed() > 0 && m.GetGive() > 0 {
		return nil, invalid("name a holder, and tokens to need or to give")
	}
	s, r, err := h.beginCall(m.GetShard())
	if err != nil {
		return nil, err
	}
	defer s.endCall()
	switch {
	case m.GetGive() > 0:
		err = s.appendEntry(ctx, r, ledger.Return{
			Workspace: m.GetWorkspace(),
			Holder:    m.GetHolder(),
			Sequence:  m.GetSequence(),
			Tokens:    m.GetGive(),
		})
	case m.GetNeed() > 0:
		err = s.grant(ctx, r, m)
	}
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(r.drawResponse(m)), nil
}

// grant grants tokens to the holder. If the budget does not cover the need, it
// grants nothing, but recalls tokens and waits until the returns of other holders
// cover the need.
func (s *hostedShard) grant(ctx context.Context, r *replica, m *peerv1.DrawRequest) error {
	tokens := s.grantSize(r, m)
	if tokens > 0 {
		return s.appendEntry(ctx, r, ledger.Grant{
			Workspace: m.GetWorkspace(),
			Holder:    m.GetHolder(),
			Sequence:  m.GetSequence(),
			Tokens:    tokens,
		})
	}
	if wait := min(m.GetWait().AsDuration(), maxDrawWait); wait > 0 && s.recall(r, m) {
		ctx, cancel := context.WithTimeout(ctx, wait)
		defer cancel()
		// On a timeout the response still has the number of free tokens.
		_ = r.stream.Wait(ctx, func(stream.Status) bool {
			return r.state.Budget(m.GetWorkspace()).Free() >= m.GetNeed()
		})
	}
	return nil
}

// grantSize returns the number of tokens to grant: the need, and of the tokens
// wanted beyond the need at most the remaining free tokens divided by
// DrawDivisor. It returns 0 if the budget does not cover the need.
func (s *hostedShard) grantSize(r *replica, m *peerv1.DrawRequest) (tokens int64) {
	r.stream.View(func(stream.Status) {
		remaining := r.state.Budget(m.GetWorkspace()).Free() - m.GetNeed()
		if remaining < 0 {
			return
		}
		if s.host.policy.DrawDivisor > 0 {
			remaining /= s.host.policy.DrawDivisor
		}
		tokens = m.GetNeed() + max(0, min(m.GetWant()-m.GetNeed(), remaining))
	})
	return tokens
}

// recall recalls unused tokens of a budget from the other holders. It reports
// whether their returns can cover the need.
func (s *hostedShard) recall(r *replica, m *peerv1.DrawRequest) bool {
	workspace := m.GetWorkspace()
	var held map[string]int64
	available := int64(0)
	r.stream.View(func(stream.Status) {
		held = r.state.OutstandingByHolder(workspace)
		available = r.state.Budget(workspace).Free()
	})
	delete(held, m.GetHolder())
	for _, tokens := range held {
		available += tokens
	}
	if available < m.GetNeed() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.lastRecall[workspace]) < minRecallInterval {
		// The returns of the last recall may still arrive.
		return true
	}
	s.lastRecall[workspace] = time.Now()
	s.host.recallFrom(largestHolders(held), workspace)
	return true
}

// largestHolders returns up to maxRecallHolders holders with the most tokens, in
// descending order of their tokens.
func largestHolders(held map[string]int64) []string {
	holders := slices.SortedFunc(maps.Keys(held), func(a, b string) int {
		return cmp.Or(cmp.Compare(held[b], held[a]), cmp.Compare(a, b))
	})
	return holders[:min(len(holders), maxRecallHolders)]
}

// recallFrom recalls a workspace's unused tokens in the background from those of
// the holders that are members.
func (h *Host) recallFrom(holders []string, workspace string) {
	state := h.fleet.State()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return
	}
	for _, holder := range holders {
		member, ok := state.Members[holder]
		if !ok {
			continue
		}
		recalls.Inc()
		h.recalls.Go(func() {
			if holder == h.member.Incarnation {
				if h.recaller != nil {
					h.recaller.Recall(workspace)
				}
				return
			}
			ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
			defer cancel()
			_, err := h.peer(member.Address).Recall(ctx, connect.NewRequest(&peerv1.RecallRequest{Workspace: workspace}))
			if err != nil {
				failedRecalls.Inc()
			}
		})
	}
}

// drawResponse returns the response to a draw according to the current state.
func (r *replica) drawResponse(m *peerv1.DrawRequest) (resp *peerv1.DrawResponse) {
	r.stream.View(func(st stream.Status) {
		a := r.state.Account(m.GetWorkspace(), m.GetHolder())
		b := r.state.Budget(m.GetWorkspace())
		resp = &peerv1.DrawResponse{
			Granted:  a.Granted,
			Returned: a.Returned,
			Sequence: a.Sequence,
			Free:     b.Free(),
			Budget:   encodeBudget(b),
			Now:      encodeTime(st.LogTime),
			Closed:   r.state.Closed(m.GetHolder()),
		}
		if b.Free() < m.GetNeed() {
			resp.RetryAfter = durationpb.New(retryAfterReturns)
		}
		settled := r.state.SettledSequences(m.GetHolder())
		for _, seqs := range settled[:min(len(settled), maxRanges)] {
			resp.Settled = append(resp.Settled, &peerv1.SequenceRange{First: seqs.First, Last: seqs.Last})
		}
	})
	return resp
}

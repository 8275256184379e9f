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
	// recallQuiet is the least time between two recalls of one budget.
	recallQuiet = 500 * time.Millisecond
	// maxRecalled bounds the holders that one recall asks, those with the most
	// tokens first.
	maxRecalled = 32
	// retryDraw is when tokens that others hold may have come back.
	retryDraw = time.Second
	// maxWait bounds how long a draw waits for others.
	maxWait = 500 * time.Millisecond
)

// Draw implements peerv1connect.LedgerServiceHandler.
func (h *Host) Draw(ctx context.Context, req *connect.Request[peerv1.DrawRequest]) (*connect.Response[peerv1.DrawResponse], error) {
	m := req.Msg
	if m.GetNeed() < 0 || m.GetGive() < 0 || m.GetHolder() == "" || m.GetNeed() > 0 && m.GetGive() > 0 {
		return nil, invalid("name a holder, and tokens to need or to give")
	}
	p, o, err := h.begin(m.GetShard())
	if err != nil {
		return nil, err
	}
	defer p.end()
	switch {
	case m.GetGive() > 0:
		err = p.appendEntry(ctx, o, ledger.Return{
			Workspace: m.GetWorkspace(),
			Holder:    m.GetHolder(),
			Sequence:  m.GetSequence(),
			Tokens:    m.GetGive(),
		})
	case m.GetNeed() > 0:
		err = p.grant(ctx, o, m)
	}
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(o.account(m)), nil
}

// grant moves tokens to the holder, or waits until returns of others cover
// the need.
func (p *part) grant(ctx context.Context, o *opening, m *peerv1.DrawRequest) error {
	tokens := p.grantSize(o, m)
	if tokens > 0 {
		return p.appendEntry(ctx, o, ledger.Grant{
			Workspace: m.GetWorkspace(),
			Holder:    m.GetHolder(),
			Sequence:  m.GetSequence(),
			Tokens:    tokens,
		})
	}
	if wait := min(m.GetWait().AsDuration(), maxWait); wait > 0 && p.recall(o, m) {
		ctx, cancel := context.WithTimeout(ctx, wait)
		defer cancel()
		// The answer says what is free then.
		_ = o.stream.Wait(ctx, func(stream.Status) bool {
			return o.state.Budget(m.GetWorkspace()).Free() >= m.GetNeed()
		})
	}
	return nil
}

// grantSize returns the tokens to grant: the need, and of what is wanted beyond
// it no more than a share of what is free then. 0 means that the budget does not
// cover the need.
func (p *part) grantSize(o *opening, m *peerv1.DrawRequest) (tokens int64) {
	o.stream.View(func(stream.Status) {
		rest := o.state.Budget(m.GetWorkspace()).Free() - m.GetNeed()
		if rest < 0 {
			return
		}
		if p.host.policy.DrawDivisor > 0 {
			rest /= p.host.policy.DrawDivisor
		}
		tokens = m.GetNeed() + max(0, min(m.GetWant()-m.GetNeed(), rest))
	})
	return tokens
}

// recall asks the other holders of a budget for what they do not use. It says
// whether tokens may come back.
func (p *part) recall(o *opening, m *peerv1.DrawRequest) bool {
	workspace := m.GetWorkspace()
	var held map[string]int64
	free := int64(0)
	o.stream.View(func(stream.Status) {
		held = o.state.OutstandingByHolder(workspace)
		free = o.state.Budget(workspace).Free()
	})
	delete(held, m.GetHolder())
	for _, tokens := range held {
		free += tokens
	}
	if free < m.GetNeed() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(p.recalled[workspace]) < recallQuiet {
		// Those who were asked just now are answering.
		return true
	}
	p.recalled[workspace] = time.Now()
	p.host.recallFrom(largest(held), workspace)
	return true
}

// largest returns the holders with the most tokens.
func largest(held map[string]int64) []string {
	holders := slices.SortedFunc(maps.Keys(held), func(a, b string) int {
		return cmp.Or(cmp.Compare(held[b], held[a]), cmp.Compare(a, b))
	})
	return holders[:min(len(holders), maxRecalled)]
}

// recallFrom asks holders, as far as they are members, in the background.
func (h *Host) recallFrom(holders []string, workspace string) {
	state := h.fleet.State()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return
	}
	for _, holder := range holders {
		member, alive := state.Members[holder]
		if !alive {
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
				recallsFailed.Inc()
			}
		})
	}
}

// account returns a holder's account as the stream holds it now.
func (o *opening) account(m *peerv1.DrawRequest) (resp *peerv1.DrawResponse) {
	o.stream.View(func(st stream.Status) {
		a := o.state.Account(m.GetWorkspace(), m.GetHolder())
		b := o.state.Budget(m.GetWorkspace())
		resp = &peerv1.DrawResponse{
			Granted:  a.Granted,
			Returned: a.Returned,
			Sequence: a.Sequence,
			Free:     b.Free(),
			Budget:   encodeBudget(b),
			Now:      encodeTime(st.LogTime),
			Closed:   o.state.Closed(m.GetHolder()),
		}
		if b.Free() < m.GetNeed() {
			resp.RetryAfter = durationpb.New(retryDraw)
		}
		settled := o.state.SettledSequences(m.GetHolder())
		for _, r := range settled[:min(len(settled), maxRanges)] {
			resp.Settled = append(resp.Settled, &peerv1.SequenceRange{First: r.First, Last: r.Last})
		}
	})
	return resp
}

package shard

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/crocusline/crocusline/coordination/once"
	"github.com/crocusline/crocusline/models/ledger"
	peerv1 "github.com/crocusline/crocusline/modules/wire/peer/v1"
	"github.com/crocusline/crocusline/modules/wire/peer/v1/peerv1connect"
	"github.com/crocusline/crocusline/services/stream"
)

// maxRanges bounds the ranges of settled holds that an answer carries.
const maxRanges = 64

var _ peerv1connect.LedgerServiceHandler = (*Host)(nil)

// begin returns the shard's part and opening for a call, which the caller ends.
func (h *Host) begin(shard int32) (*part, *opening, error) {
	if shard < 0 || int(shard) >= len(h.parts) {
		return nil, nil, invalid("no such shard")
	}
	p := h.parts[shard]
	o, ok := p.begin()
	if !ok {
		return nil, nil, p.notOwner()
	}
	if !o.stream.Status().Reachable {
		p.end()
		return nil, nil, unavailable(errors.New("the owner does not reach the log"))
	}
	return p, o, nil
}

// Post implements peerv1connect.LedgerServiceHandler.
func (h *Host) Post(ctx context.Context, req *connect.Request[peerv1.PostRequest]) (*connect.Response[peerv1.PostResponse], error) {
	for _, body := range req.Msg.GetEntries() {
		if err := checkPosted(body); err != nil {
			return nil, err
		}
	}
	p, o, err := h.begin(req.Msg.GetShard())
	if err != nil {
		return nil, err
	}
	defer p.end()
	if err := p.append(ctx, o, req.Msg.GetEntries()...); err != nil {
		return nil, err
	}
	return connect.NewResponse(&peerv1.PostResponse{}), nil
}

// checkPosted refuses bodies that no process may hand over.
func checkPosted(body []byte) error {
	entries, err := ledger.Decode(body)
	if err != nil {
		return invalid(err.Error())
	}
	for _, e := range entries {
		if _, closes := e.(ledger.CloseHolder); closes {
			return invalid("only the owner closes holders")
		}
	}
	return nil
}

// Register implements peerv1connect.LedgerServiceHandler.
func (h *Host) Register(ctx context.Context, req *connect.Request[peerv1.RegisterRequest]) (*connect.Response[peerv1.RegisterResponse], error) {
	m := req.Msg
	p, o, err := h.begin(m.GetShard())
	if err != nil {
		return nil, err
	}
	defer p.end()
	resp, open := o.registered(m)
	if m.GetId() == "" || !open {
		return connect.NewResponse(resp), nil
	}
	err = p.appendEntry(ctx, o, ledger.Register{
		ID:        m.GetId(),
		Workspace: m.GetWorkspace(),
		Key:       m.GetIdempotencyKey(),
		Digest:    m.GetDigest(),
		Attempt:   resp.GetAttempt() + 1,
		Entry:     m.GetEntry(),
		Sidecar:   m.GetSidecar(),
		Server:    m.GetServer(),
	})
	if err != nil {
		return nil, err
	}
	resp, _ = o.registered(m)
	return connect.NewResponse(resp), nil
}

// Budgets implements peerv1connect.LedgerServiceHandler.
func (h *Host) Budgets(_ context.Context, req *connect.Request[peerv1.BudgetsRequest]) (*connect.Response[peerv1.BudgetsResponse], error) {
	p, o, err := h.begin(req.Msg.GetShard())
	if err != nil {
		return nil, err
	}
	defer p.end()
	resp := &peerv1.BudgetsResponse{Owner: h.member.Incarnation}
	o.stream.View(func(st stream.Status) {
		resp.Epoch = int64(st.Epoch)
		names := []string{req.Msg.GetWorkspace()}
		if names[0] == "" {
			names = o.state.Workspaces()
		}
		for _, name := range names {
			resp.Budgets = append(resp.Budgets, encodeBudget(o.state.Budget(name)))
		}
	})
	return connect.NewResponse(resp), nil
}

// Claim implements peerv1connect.LedgerServiceHandler.
func (h *Host) Claim(_ context.Context, req *connect.Request[peerv1.ClaimRequest]) (*connect.Response[peerv1.ClaimResponse], error) {
	p, o, err := h.begin(req.Msg.GetShard())
	if err != nil {
		return nil, err
	}
	defer p.end()
	if p.isFirst(req.Msg.GetClaimant()) {
		p.resign()
		h.logger.Info("shard handed over", "shard", p.number, "to", req.Msg.GetClaimant())
		return nil, p.notOwner()
	}
	return connect.NewResponse(&peerv1.ClaimResponse{Epoch: o.stream.Status().Epoch}), nil
}

// isFirst says whether the claimant, and not this process, is first in the
// shard's order.
func (p *part) isFirst(claimant string) bool {
	rank, alive := p.rank(p.host.fleet.State(), claimant, "")
	return alive && rank == 0 && claimant != p.host.member.Incarnation
}

// Recall implements peerv1connect.LedgerServiceHandler.
func (h *Host) Recall(_ context.Context, req *connect.Request[peerv1.RecallRequest]) (*connect.Response[peerv1.RecallResponse], error) {
	if h.recaller != nil {
		h.recaller.Recall(req.Msg.GetWorkspace())
	}
	return connect.NewResponse(&peerv1.RecallResponse{}), nil
}

func (p *part) appendEntry(ctx context.Context, o *opening, entry ledger.Entry) error {
	body, err := ledger.Encode(entry)
	if err != nil {
		return connect.NewError(connect.CodeInternal, err)
	}
	return p.append(ctx, o, body)
}

// append appends bodies within the owned epoch.
func (p *part) append(ctx context.Context, o *opening, bodies ...[]byte) error {
	st := o.stream.Status()
	if st.Owner != o.writer {
		return p.notOwner()
	}
	_, err := o.stream.AppendInEpoch(ctx, st.Epoch, bodies...)
	var fenced *stream.FencedError
	if errors.As(err, &fenced) {
		fencedAppends.Inc()
		return p.notOwner()
	}
	if err != nil {
		return unavailable(err)
	}
	return nil
}

func unavailable(err error) error { return connect.NewError(connect.CodeUnavailable, err) }

// notOwner returns the error of a process that does not own the shard, with the
// owner if that is known.
func (p *part) notOwner() error {
	notOwned.Inc()
	failed := connect.NewError(connect.CodeFailedPrecondition, errors.New("this process does not own the shard"))
	owner, known := p.host.fleet.State().Owners[p.number]
	if !known || owner.Incarnation == p.host.member.Incarnation {
		return failed
	}
	detail, err := connect.NewErrorDetail(&peerv1.OwnerDetail{
		Shard:       int32(p.number),
		Incarnation: owner.Incarnation,
		Address:     owner.Address.String(),
		Epoch:       uint64(owner.Epoch),
	})
	if err == nil {
		failed.AddDetail(detail)
	}
	return failed
}

// registered returns the attempt of a key that stands, and whether a next one
// may be registered.
func (o *opening) registered(m *peerv1.RegisterRequest) (resp *peerv1.RegisterResponse, open bool) {
	o.stream.View(func(stream.Status) {
		a, found := o.state.Attempt(m.GetWorkspace(), m.GetIdempotencyKey())
		open = !found || a.Status == once.Voided
		resp = &peerv1.RegisterResponse{
			Granted:  found && a.ID == m.GetId() && m.GetId() != "",
			Attempt:  a.Number,
			Sidecar:  a.Runner,
			Server:   a.Place,
			State:    a.Status.String(),
			Body:     a.Result,
			BodyKept: a.ResultStored,
			Digest:   a.Digest,
			Entry:    a.Requester,
			Id:       a.ID,
			Found:    found,
		}
	})
	return resp, open
}

func encodeBudget(b ledger.Budget) *peerv1.Budget {
	m := &peerv1.Budget{
		Workspace:        b.Workspace,
		ToppedUp:         b.ToppedUp,
		Settled:          b.Settled,
		Outstanding:      b.Outstanding,
		Bills:            b.Bills,
		Duplicates:       b.Duplicates,
		WrittenOffBills:  b.WriteOff.Bills,
		WrittenOffTokens: b.WriteOff.Tokens,
	}
	m.Short = encodeTime(b.Short)
	return m
}

func encodeTime(t time.Time) *timestamppb.Timestamp {
	if t.IsZero() {
		return nil
	}
	return timestamppb.New(t)
}

func invalid(text string) error {
	return connect.NewError(connect.CodeInvalidArgument, errors.New(text))
}

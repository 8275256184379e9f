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

// maxRanges is the maximum number of ranges of settled holds in a response.
const maxRanges = 64

var _ peerv1connect.LedgerServiceHandler = (*Host)(nil)

// beginCall returns the shard and its replica for a call. The caller must call
// endCall unless it returns an error.
func (h *Host) beginCall(shard int32) (*hostedShard, *replica, error) {
	if shard < 0 || int(shard) >= len(h.shards) {
		return nil, nil, invalid("no such shard")
	}
	s := h.shards[shard]
	r, ok := s.beginCall()
	if !ok {
		return nil, nil, s.notOwnerError()
	}
	if !r.stream.Status().Reachable {
		s.endCall()
		return nil, nil, unavailable(errors.New("the owner does not reach the log"))
	}
	return s, r, nil
}

// Post implements peerv1connect.LedgerServiceHandler.
func (h *Host) Post(ctx context.Context, req *connect.Request[peerv1.PostRequest]) (*connect.Response[peerv1.PostResponse], error) {
	for _, body := range req.Msg.GetEntries() {
		if err := validatePosted(body); err != nil {
			return nil, err
		}
	}
	s, r, err := h.beginCall(req.Msg.GetShard())
	if err != nil {
		return nil, err
	}
	defer s.endCall()
	if err := s.append(ctx, r, req.Msg.GetEntries()...); err != nil {
		return nil, err
	}
	return connect.NewResponse(&peerv1.PostResponse{}), nil
}

// validatePosted rejects a malformed body and entries that only the owner itself
// may write.
func validatePosted(body []byte) error {
	entries, err := ledger.Decode(body)
	if err != nil {
		return invalid(err.Error())
	}
	for _, e := range entries {
		if _, ok := e.(ledger.CloseHolder); ok {
			return invalid("only the owner closes holders")
		}
	}
	return nil
}

// Register implements peerv1connect.LedgerServiceHandler.
func (h *Host) Register(ctx context.Context, req *connect.Request[peerv1.RegisterRequest]) (*connect.Response[peerv1.RegisterResponse], error) {
	m := req.Msg
	s, r, err := h.beginCall(m.GetShard())
	if err != nil {
		return nil, err
	}
	defer s.endCall()
	resp, canRegister := r.currentAttempt(m)
	if m.GetId() == "" || !canRegister {
		return connect.NewResponse(resp), nil
	}
	err = s.appendEntry(ctx, r, ledger.Register{
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
	resp, _ = r.currentAttempt(m)
	return connect.NewResponse(resp), nil
}

// Budgets implements peerv1connect.LedgerServiceHandler.
func (h *Host) Budgets(_ context.Context, req *connect.Request[peerv1.BudgetsRequest]) (*connect.Response[peerv1.BudgetsResponse], error) {
	s, r, err := h.beginCall(req.Msg.GetShard())
	if err != nil {
		return nil, err
	}
	defer s.endCall()
	resp := &peerv1.BudgetsResponse{Owner: h.member.Incarnation}
	r.stream.View(func(st stream.Status) {
		resp.Epoch = int64(st.Epoch)
		names := []string{req.Msg.GetWorkspace()}
		if names[0] == "" {
			names = r.state.Workspaces()
		}
		for _, name := range names {
			resp.Budgets = append(resp.Budgets, encodeBudget(r.state.Budget(name)))
		}
	})
	return connect.NewResponse(resp), nil
}

// Claim implements peerv1connect.LedgerServiceHandler.
func (h *Host) Claim(_ context.Context, req *connect.Request[peerv1.ClaimRequest]) (*connect.Response[peerv1.ClaimResponse], error) {
	s, r, err := h.beginCall(req.Msg.GetShard())
	if err != nil {
		return nil, err
	}
	defer s.endCall()
	if s.isPreferredOwner(req.Msg.GetClaimant()) {
		s.resign()
		h.logger.Info("shard handed over", "shard", s.number, "to", req.Msg.GetClaimant())
		return nil, s.notOwnerError()
	}
	return connect.NewResponse(&peerv1.ClaimResponse{Epoch: r.stream.Status().Epoch}), nil
}

// isPreferredOwner reports whether the claimant, and not this process, has the
// first rank in the shard's preference order.
func (s *hostedShard) isPreferredOwner(claimant string) bool {
	rank, member := s.rank(s.host.fleet.State(), claimant, "")
	return member && rank == 0 && claimant != s.host.member.Incarnation
}

// Recall implements peerv1connect.LedgerServiceHandler.
func (h *Host) Recall(_ context.Context, req *connect.Request[peerv1.RecallRequest]) (*connect.Response[peerv1.RecallResponse], error) {
	if h.recaller != nil {
		h.recaller.Recall(req.Msg.GetWorkspace())
	}
	return connect.NewResponse(&peerv1.RecallResponse{}), nil
}

func (s *hostedShard) appendEntry(ctx context.Context, r *replica, entry ledger.Entry) error {
	body, err := ledger.Encode(entry)
	if err != nil {
		return connect.NewError(connect.CodeInternal, err)
	}
	return s.append(ctx, r, body)
}

// append appends bodies to the shard's stream within the owned epoch.
func (s *hostedShard) append(ctx context.Context, r *replica, bodies ...[]byte) error {
	st := r.stream.Status()
	if st.Owner != r.writer {
		return s.notOwnerError()
	}
	_, err := r.stream.AppendInEpoch(ctx, st.Epoch, bodies...)
	var fenced *stream.FencedError
	if errors.As(err, &fenced) {
		fencedAppends.Inc()
		return s.notOwnerError()
	}
	if err != nil {
		return unavailable(err)
	}
	return nil
}

func unavailable(err error) error { return connect.NewError(connect.CodeUnavailable, err) }

// notOwnerError returns the error for calls to a process that does not own the
// shard. It has the owner as a detail if the owner is known.
func (s *hostedShard) notOwnerError() error {
	notOwnedCalls.Inc()
	connectErr := connect.NewError(connect.CodeFailedPrecondition, errors.New("this process does not own the shard"))
	owner, known := s.host.fleet.State().Owners[s.number]
	if !known || owner.Incarnation == s.host.member.Incarnation {
		return connectErr
	}
	detail, err := connect.NewErrorDetail(&peerv1.OwnerDetail{
		Shard:       int32(s.number),
		Incarnation: owner.Incarnation,
		Address:     owner.Address.String(),
		Epoch:       uint64(owner.Epoch),
	})
	if err == nil {
		connectErr.AddDetail(detail)
	}
	return connectErr
}

// currentAttempt returns the current attempt of an idempotency key, and whether
// the next one may be registered.
func (r *replica) currentAttempt(m *peerv1.RegisterRequest) (resp *peerv1.RegisterResponse, canRegister bool) {
	r.stream.View(func(stream.Status) {
		a, found := r.state.Attempt(m.GetWorkspace(), m.GetIdempotencyKey())
		canRegister = !found || a.Status == once.Voided
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
	return resp, canRegister
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

func invalid(message string) error {
	return connect.NewError(connect.CodeInvalidArgument, errors.New(message))
}

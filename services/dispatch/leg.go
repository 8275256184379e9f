package dispatch

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/crocusline/crocusline/models/ledger"
	"github.com/crocusline/crocusline/models/refusal"
	peerv1 "github.com/crocusline/crocusline/modules/wire/peer/v1"
	"github.com/crocusline/crocusline/services/refusalwire"
)

// leg is one Run call at one sidecar.
type leg struct {
	sidecar  Sidecar
	hold     ledger.Hold
	attempt  int64
	joinOnly bool
}

// legError ends a leg without a whole answer.
type legError struct {
	// refused says what is known of the request at that sidecar.
	refused *refusal.Error
	// lost says that the sidecar did not answer and is left alone for a time.
	lost  bool
	cause error
}

func (e *legError) Error() string {
	return "leg failed: " + e.cause.Error()
}

func (e *legError) Unwrap() error {
	return e.cause
}

// notRun says that the request did not and will not run by this leg.
func (e *legError) notRun() bool {
	return e.refused.Outcome == refusal.NotRun
}

// runLeg calls one sidecar and relays what it streams. Its error is a
// *SinkError or a *legError.
func (j *job) runLeg(ctx context.Context, l leg) (*peerv1.Finished, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := l.sidecar.Client.Run(ctx, connect.NewRequest(j.runRequest(ctx, l)))
	if err != nil {
		return nil, j.legFailed(ctx, l, err)
	}
	defer stream.Close()
	for stream.Receive() {
		finished, err := j.receive(l, stream.Msg())
		var sinkErr *SinkError
		if errors.As(err, &sinkErr) {
			return nil, sinkErr
		}
		if err != nil {
			return nil, j.legFailed(ctx, l, err)
		}
		if finished != nil {
			j.chooser.RecordSuccess(j.plan.Route.Pool, l.sidecar.Server)
			return finished, nil
		}
	}
	err = stream.Err()
	if err == nil {
		err = errors.New("stream ended before the answer did")
	}
	return nil, j.legFailed(ctx, l, err)
}

// receive takes one message of a leg. It returns the message that ends the
// answer once that has come.
func (j *job) receive(l leg, msg *peerv1.RunResponse) (*peerv1.Finished, error) {
	switch event := msg.GetEvent().(type) {
	case *peerv1.RunResponse_Started:
		j.chooser.ObserveLoad(j.plan.Route.Pool, l.sidecar.Server, event.Started.GetLoad())
		return nil, j.relay.start(j.requestID, l.sidecar.Server)
	case *peerv1.RunResponse_Chunk:
		return nil, j.relay.add(event.Chunk.GetFirst(), event.Chunk.GetTokens())
	case *peerv1.RunResponse_Finished:
		j.chooser.ObserveLoad(j.plan.Route.Pool, l.sidecar.Server, event.Finished.GetLoad())
		if err := j.relay.finish(event.Finished.GetTokens()); err != nil {
			return nil, err
		}
		return event.Finished, nil
	default:
		return nil, nil
	}
}

// legFailed sorts out whether the sidecar refused or was lost, or the caller is
// gone. An end that comes from this side says nothing against the server.
func (j *job) legFailed(ctx context.Context, l leg, err error) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return &SinkError{Cause: ctx.Err()}
	}
	refused, ok := refusalwire.Decode(err)
	if !ok && ctx.Err() == nil {
		j.chooser.RecordFailure(j.plan.Route.Pool, l.sidecar.Server)
	}
	if !ok {
		refused = &refusal.Error{
			Reason:     refusal.ServerFailed,
			Outcome:    refusal.Unknown,
			RetryAfter: time.Second,
			Advice:     "the backend server failed; retry with the same key",
		}
	}
	j.log.Info("leg failed", "requestId", j.requestID, "server", l.sidecar.Server,
		"reason", refused.Reason, "outcome", refused.Outcome, "error", err)
	return &legError{refused: refused, lost: !ok, cause: err}
}

func (j *job) runRequest(ctx context.Context, l leg) *peerv1.RunRequest {
	return &peerv1.RunRequest{
		RequestId:      j.requestID,
		Workspace:      j.req.Workspace,
		Kind:           j.req.Kind,
		IdempotencyKey: j.req.IdempotencyKey,
		Idempotent:     j.plan.Route.Idempotent,
		Rank:           int32(j.plan.Route.Rank),
		Hold:           holdMessage(l.hold),
		Prompt:         j.req.Prompt,
		Body:           j.req.Body,
		MaxTokens:      int32(j.plan.MaxTokens),
		Price:          j.plan.Route.Price,
		Timeout:        durationpb.New(timeLeft(ctx)),
		Generated:      j.relay.tokens,
		Incarnation:    l.sidecar.Incarnation,
		Attempt:        l.attempt,
		Digest:         j.req.digest(),
		TableVersion:   j.plan.TableVersion,
		JoinOnly:       l.joinOnly,
		Weight:         int32(j.plan.Weight),
	}
}

// answer turns the last message of a leg into the caller's answer.
func (j *job) answer(l leg, f *peerv1.Finished) Response {
	usage := f.GetUsage()
	return Response{
		RequestID: f.GetRequestId(),
		Server:    l.sidecar.Server,
		Body:      f.GetBody(),
		Tokens:    f.GetTokens(),
		Usage: Usage{
			PromptTokens: usage.GetPromptTokens(),
			OutputTokens: usage.GetOutputTokens(),
			BilledTokens: usage.GetBilledTokens(),
		},
		Replayed: f.GetReplayed(),
		Receipt:  j.receipt(l, f.GetRequestId(), holdFrom(f.GetHold()), usage.GetBilledTokens()),
	}
}

func (j *job) receipt(l leg, requestID string, hold ledger.Hold, tokens int64) *Receipt {
	return &Receipt{
		Sidecar: l.sidecar.Incarnation,
		Server:  l.sidecar.Server,
		Bill: ledger.Bill{
			RequestID: requestID,
			Workspace: j.req.Workspace,
			Kind:      j.req.Kind,
			Key:       j.req.IdempotencyKey,
			Hold:      hold,
			Tokens:    tokens,
			Witness:   l.sidecar.Incarnation,
			Server:    l.sidecar.Server,
		},
	}
}

// settleHold frees the entry's own hold when a joined request pays with the
// hold of the entry that dispatched it first.
func (j *job) settleHold(own ledger.Hold, f *peerv1.Finished) {
	if holdFrom(f.GetHold()) != own {
		j.ledger.Release(j.req.Workspace, own)
	}
}

func holdMessage(h ledger.Hold) *peerv1.Hold {
	return &peerv1.Hold{Holder: h.Holder, Sequence: h.Sequence, Tokens: h.Tokens, Shard: int32(h.Shard)}
}

func holdFrom(h *peerv1.Hold) ledger.Hold {
	return ledger.Hold{
		Holder:   h.GetHolder(),
		Sequence: h.GetSequence(),
		Tokens:   h.GetTokens(),
		Shard:    int(h.GetShard()),
	}
}

func timeLeft(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return time.Until(deadline)
}

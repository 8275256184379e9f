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
	"github.com/crocusline/crocusline/services/memory"
	"github.com/crocusline/crocusline/services/refusalwire"
)

// sidecarCall is one Run call at one sidecar.
type sidecarCall struct {
	sidecar Sidecar
	hold    ledger.Hold
	attempt int64
	// joinOnly joins a request that the sidecar already has, and never starts it.
	joinOnly bool
}

// callError is returned by a sidecar call that ended without a complete response.
type callError struct {
	// refusal is the reason of the failure and the request's outcome at the sidecar.
	refusal *refusal.Error
	// serverLost is set if the call failed without a refusal.Error from the sidecar.
	// The server is then not selected for some time, unless the call failed because
	// its context ended.
	serverLost bool
	cause      error
}

func (e *callError) Error() string {
	return "sidecar call failed: " + e.cause.Error()
}

func (e *callError) Unwrap() error {
	return e.cause
}

// notRun reports whether the request did not and will not run through this call.
func (e *callError) notRun() bool {
	return e.refusal.Outcome == refusal.NotRun
}

// callSidecar calls one sidecar and relays its stream to the caller. Its error is
// a *SinkError, a *memory.ResponseError or a *callError.
func (j *job) callSidecar(ctx context.Context, call sidecarCall) (*peerv1.Finished, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := call.sidecar.Client.Run(ctx, connect.NewRequest(j.newRunRequest(ctx, call)))
	if err != nil {
		return nil, j.classifyFailure(ctx, call, err)
	}
	defer stream.Close()
	for stream.Receive() {
		finished, err := j.handleMessage(call, stream.Msg())
		var sinkErr *SinkError
		if errors.As(err, &sinkErr) {
			return nil, sinkErr
		}
		if err != nil {
			return nil, j.classifyFailure(ctx, call, err)
		}
		if finished != nil {
			j.selector.RecordSuccess(j.plan.Route.Pool, call.sidecar.Server)
			return finished, nil
		}
	}
	err = stream.Err()
	if err == nil {
		err = errors.New("stream ended before the response was complete")
	}
	return nil, j.classifyFailure(ctx, call, err)
}

// handleMessage handles one message of the sidecar's stream. It returns the
// Finished message, or nil for any other.
func (j *job) handleMessage(call sidecarCall, msg *peerv1.RunResponse) (*peerv1.Finished, error) {
	switch event := msg.GetEvent().(type) {
	case *peerv1.RunResponse_Started:
		j.selector.ObserveLoad(j.plan.Route.Pool, call.sidecar.Server, event.Started.GetLoad())
		return nil, j.relay.announce(j.requestID, call.sidecar.Server)
	case *peerv1.RunResponse_Chunk:
		return nil, j.relay.add(event.Chunk.GetFirst(), event.Chunk.GetTokens())
	case *peerv1.RunResponse_Finished:
		j.selector.ObserveLoad(j.plan.Route.Pool, call.sidecar.Server, event.Finished.GetLoad())
		if err := j.relay.checkComplete(event.Finished.GetTokens()); err != nil {
			return nil, err
		}
		return event.Finished, nil
	default:
		return nil, nil
	}
}

// classifyFailure returns a *callError, a *SinkError if the caller
// disconnected, or a *memory.ResponseError. A call that ended because its context is done is not recorded as a
// failure of the server.
func (j *job) classifyFailure(ctx context.Context, call sidecarCall, err error) error {
	var noMemory *memory.ResponseError
	if errors.As(err, &noMemory) {
		return noMemory
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return &SinkError{Cause: ctx.Err()}
	}
	e, refused := refusalwire.Decode(err)
	if !refused && ctx.Err() == nil {
		j.selector.RecordFailure(j.plan.Route.Pool, call.sidecar.Server)
	}
	if !refused {
		e = &refusal.Error{
			Reason:     refusal.ServerFailed,
			Outcome:    refusal.Unknown,
			RetryAfter: time.Second,
			Advice:     "the backend server failed; retry with the same key",
		}
	}
	j.log.Info("sidecar call failed", "requestId", j.requestID, "server", call.sidecar.Server,
		"reason", e.Reason, "outcome", e.Outcome, "error", err)
	return &callError{refusal: e, serverLost: !refused, cause: err}
}

func (j *job) newRunRequest(ctx context.Context, call sidecarCall) *peerv1.RunRequest {
	return &peerv1.RunRequest{
		RequestId:      j.requestID,
		Workspace:      j.req.Workspace,
		Kind:           j.req.Kind,
		IdempotencyKey: j.req.IdempotencyKey,
		Idempotent:     j.plan.Route.Idempotent,
		Rank:           int32(j.plan.Route.Rank),
		Hold:           holdToWire(call.hold),
		Prompt:         j.req.Prompt,
		Body:           j.req.Body,
		MaxTokens:      int32(j.plan.MaxTokens),
		Price:          j.plan.Route.Price,
		Timeout:        durationpb.New(timeLeft(ctx)),
		Generated:      j.relay.tokens,
		Incarnation:    call.sidecar.Incarnation,
		Attempt:        call.attempt,
		Digest:         j.req.digest(),
		TableVersion:   j.plan.TableVersion,
		JoinOnly:       call.joinOnly,
		Weight:         int32(j.plan.Weight),
	}
}

// response returns the caller's response from the last message of a call.
func (j *job) response(call sidecarCall, f *peerv1.Finished) Response {
	usage := f.GetUsage()
	return Response{
		RequestID: f.GetRequestId(),
		Server:    call.sidecar.Server,
		Body:      f.GetBody(),
		Tokens:    f.GetTokens(),
		Usage: Usage{
			PromptTokens: usage.GetPromptTokens(),
			OutputTokens: usage.GetOutputTokens(),
			BilledTokens: usage.GetBilledTokens(),
		},
		Replayed: f.GetReplayed(),
		Receipt:  j.newReceipt(call, f.GetRequestId(), holdFromWire(f.GetHold()), usage.GetBilledTokens()),
	}
}

func (j *job) newReceipt(call sidecarCall, requestID string, hold ledger.Hold, tokens int64) *Receipt {
	return &Receipt{
		Sidecar: call.sidecar.Incarnation,
		Server:  call.sidecar.Server,
		Bill: ledger.Bill{
			RequestID: requestID,
			Workspace: j.req.Workspace,
			Kind:      j.req.Kind,
			Key:       j.req.IdempotencyKey,
			Hold:      hold,
			Tokens:    tokens,
			Witness:   call.sidecar.Incarnation,
			Server:    call.sidecar.Server,
		},
	}
}

// releaseUnusedHold releases the entry's own hold if the request is paid with the
// hold of the entry that dispatched it first.
func (j *job) releaseUnusedHold(own ledger.Hold, f *peerv1.Finished) {
	if holdFromWire(f.GetHold()) != own {
		j.ledger.Release(j.req.Workspace, own)
	}
}

func holdToWire(h ledger.Hold) *peerv1.Hold {
	return &peerv1.Hold{Holder: h.Holder, Sequence: h.Sequence, Tokens: h.Tokens, Shard: int32(h.Shard)}
}

func holdFromWire(h *peerv1.Hold) ledger.Hold {
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

// Package refusalwire transmits refusals over Connect, as errors with a
// common.v1.Refusal detail. It is used by servers and clients.
package refusalwire

import (
	"context"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/crocusline/crocusline/models/refusal"
	commonv1 "github.com/crocusline/crocusline/modules/wire/common/v1"
)

// Encode converts err to a Connect error. An error that contains no refusal is
// encoded as one with an unknown outcome; a Connect error is returned unchanged.
func Encode(err error) error {
	if err == nil {
		return nil
	}
	e, ok := refusal.As(err)
	if !ok {
		var ce *connect.Error
		if errors.As(err, &ce) {
			return err
		}
		e = fromPlainError(err)
	}
	ce := connect.NewError(Code(e), errors.New(e.Advice))
	detail := &commonv1.Refusal{Reason: e.Reason.String(), Outcome: e.Outcome.String(), Advice: e.Advice}
	if e.RetryAfter > 0 {
		detail.RetryAfter = durationpb.New(e.RetryAfter)
	}
	if d, err := connect.NewErrorDetail(detail); err == nil {
		ce.AddDetail(d)
	}
	return ce
}

// fromPlainError returns the refusal for an error that does not state the outcome.
func fromPlainError(err error) *refusal.Error {
	e := &refusal.Error{Reason: refusal.ServerFailed, Outcome: refusal.Unknown, Advice: err.Error()}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		e.Reason = refusal.DeadlineExpired
	}
	return e
}

// Decode returns the refusal in a Connect error. ok is false if there is none: the
// connection failed, and the outcome of the request is unknown.
func Decode(err error) (e *refusal.Error, ok bool) {
	var ce *connect.Error
	if !errors.As(err, &ce) {
		return nil, false
	}
	for _, d := range ce.Details() {
		msg, err := d.Value()
		if err != nil {
			continue
		}
		if detail, ok := msg.(*commonv1.Refusal); ok {
			return fromDetail(detail), true
		}
	}
	return nil, false
}

func fromDetail(d *commonv1.Refusal) *refusal.Error {
	// A reason that a newer version has added is decoded as unspecified.
	reason, err := refusal.ParseReason(d.GetReason())
	if err != nil {
		reason = refusal.Unspecified
	}
	e := &refusal.Error{Reason: reason, Outcome: refusal.ParseOutcome(d.GetOutcome()), Advice: d.GetAdvice()}
	if d.GetRetryAfter() != nil {
		e.RetryAfter = max(0, d.GetRetryAfter().AsDuration())
	}
	return e
}

// Code returns the Connect code of a refusal.
func Code(e *refusal.Error) connect.Code {
	switch e.Reason {
	case refusal.InvalidRequest, refusal.UnknownWorkspace, refusal.UnknownKind,
		refusal.MissingIdempotencyKey, refusal.ServerRejected:
		return connect.CodeInvalidArgument
	case refusal.Unauthenticated:
		return connect.CodeUnauthenticated
	case refusal.DeadlineExpired, refusal.DeadlineUnreachable:
		return connect.CodeDeadlineExceeded
	case refusal.KeyReused:
		return connect.CodeAlreadyExists
	case refusal.BodyTooLarge, refusal.BudgetExhausted, refusal.QueueFull, refusal.ShareExceeded, refusal.TooManyStreams, refusal.RetryBudget:
		return connect.CodeResourceExhausted
	case refusal.Fenced, refusal.WrongIncarnation:
		return connect.CodeFailedPrecondition
	case refusal.NotFound:
		return connect.CodeNotFound
	case refusal.OutcomeUnknown:
		return connect.CodeAborted
	default:
		return connect.CodeUnavailable
	}
}

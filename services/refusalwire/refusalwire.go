// Package refusalwire carries refusals over Connect, as errors with a
// common.v1.Refusal detail. Servers and clients both use it.
package refusalwire

import (
	"context"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/crocusline/crocusline/models/refusal"
	commonv1 "github.com/crocusline/crocusline/modules/wire/common/v1"
)

// Encode returns the Connect error of err. An error that holds no refusal
// becomes one whose outcome is unknown, and an error that already is a Connect
// error stays as it is.
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
		e = unknown(err)
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

// unknown returns the refusal of an error that says nothing of the outcome.
func unknown(err error) *refusal.Error {
	e := &refusal.Error{Reason: refusal.ServerFailed, Outcome: refusal.Unknown, Advice: err.Error()}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		e.Reason = refusal.DeadlineExpired
	}
	return e
}

// Decode returns the refusal in a Connect error. ok is false when there is
// none: the connection failed, and nothing is known of the request.
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
	// A reason of a newer version reads as unspecified.
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
	case refusal.InvalidRequest, refusal.BodyTooLarge, refusal.UnknownWorkspace, refusal.UnknownKind,
		refusal.MissingIdempotencyKey, refusal.ServerRejected:
		return connect.CodeInvalidArgument
	case refusal.Unauthenticated:
		return connect.CodeUnauthenticated
	case refusal.DeadlineExpired, refusal.DeadlineUnreachable:
		return connect.CodeDeadlineExceeded
	case refusal.KeyReused:
		return connect.CodeAlreadyExists
	case refusal.BudgetExhausted, refusal.QueueFull, refusal.ShareExceeded, refusal.TooManyStreams, refusal.RetryBudget:
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

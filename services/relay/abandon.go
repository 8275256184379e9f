package relay

import (
	"context"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/refusal"
)

// sendsAbandoned counts the sends whose connection was closed before the server had responded completely, by
// the cause.
const sendsAbandoned = "crocusline_sends_abandoned_total"

// abandonCause returns why a send was given up, or "" if it wasn't: the server has responded, or the request did
// not reach it.
func abandonCause(ctx context.Context, result sendResult) string {
	switch result.(type) {
	case responseRelayed, notRun, serverError:
		return ""
	}
	cause := context.Cause(ctx)
	if e, refused := refusal.As(cause); refused {
		return e.Reason.String()
	}
	switch {
	case errors.Is(cause, errSilenceTimeout):
		return "silence"
	case errors.Is(cause, context.DeadlineExceeded):
		return refusal.DeadlineExpired.String()
	case cause != nil:
		return "caller"
	}
	if _, ok := result.(callerDisconnected); ok {
		return "caller"
	}
	return "connection"
}

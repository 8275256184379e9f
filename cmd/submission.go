package cmd

import (
	"context"
	"fmt"
	"net"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/crocusline/crocusline/models/refusal"
	callerv1 "github.com/crocusline/crocusline/modules/wire/caller/v1"
	"github.com/crocusline/crocusline/modules/wire/caller/v1/callerv1connect"
	"github.com/crocusline/crocusline/services/refusalwire"
)

const (
	// baseBackoff is the delay after an attempt that failed without a refusal. It doubles
	// with each attempt, up to maxBackoff.
	baseBackoff = 100 * time.Millisecond
	maxBackoff  = 2 * time.Second
)

// errIncomplete is the error of a stream that ended before the response was complete.
var errIncomplete = errors.New("the stream ended before the response was complete")

// errSilenceTimeout is the error of a stream on which no message arrived within the
// silence timeout.
var errSilenceTimeout = errors.New("the entry sent no message within the silence timeout")

// outputError is returned if the response cannot be written to standard output. The request
// is not retried then.
type outputError struct {
	cause error
}

func (e *outputError) Error() string { return "write the response: " + e.cause.Error() }
func (e *outputError) Unwrap() error { return e.cause }

// submission sends one request and retries it with the same idempotency key, until the
// response is complete or an error cannot be retried.
type submission struct {
	clients  []callerv1connect.RouterServiceClient
	request  *callerv1.SubmitRequest
	token    string
	response *responseWriter
	logf     func(format string, args ...any)
	// deadline is the caller's deadline for the whole response. If it is zero, the
	// route's timeout applies.
	deadline time.Time
	// retryUntil is the time after which no further attempt is started.
	retryUntil time.Time
	// silence is the longest time between two messages of an entry.
	silence time.Duration

	requestID string
	// mayHaveRun is set once an attempt failed with an unknown outcome.
	mayHaveRun bool
}

// run makes attempts until one completes the response, and returns its last event.
func (s *submission) run(ctx context.Context) (*callerv1.Done, error) {
	for n := 0; ; n++ {
		done, err := s.attempt(ctx, n)
		if err == nil {
			return done, nil
		}
		backoff, retry := s.decideRetry(n, err)
		if !retry || ctx.Err() != nil || time.Now().Add(backoff).After(s.retryUntil) {
			return nil, s.finalError(err)
		}
		s.logf("retrying in %s: %s", backoff.Round(time.Millisecond), describe(err))
		select {
		case <-time.After(backoff):
		case <-ctx.Done():
			return nil, s.finalError(err)
		}
	}
}

func (s *submission) attempt(ctx context.Context, n int) (*callerv1.Done, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(s.silence, func() { cancel(errSilenceTimeout) })
	defer watchdog.Stop()
	req := connect.NewRequest(s.message(n))
	if s.token != "" {
		req.Header().Set("Authorization", "Bearer "+s.token)
	}
	stream, err := s.clients[n%len(s.clients)].Submit(ctx, req)
	if err != nil {
		return nil, streamError(ctx, err)
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		watchdog.Reset(s.silence)
		done, err := s.handleEvent(stream.Msg())
		if done != nil || err != nil {
			return done, err
		}
	}
	return nil, streamError(ctx, stream.Err())
}

// streamError returns the error of a stream that ended before the response was complete.
func streamError(ctx context.Context, err error) error {
	switch {
	case errors.Is(context.Cause(ctx), errSilenceTimeout):
		return errSilenceTimeout
	case err == nil:
		return errIncomplete
	default:
		return err
	}
}

func (s *submission) message(n int) *callerv1.SubmitRequest {
	msg := proto.CloneOf(s.request)
	msg.FromToken = int64(len(s.response.tokens))
	msg.Retry = msg.Retry || n > 0
	if !s.deadline.IsZero() {
		msg.Timeout = durationpb.New(time.Until(s.deadline))
	}
	return msg
}

func (s *submission) handleEvent(msg *callerv1.SubmitResponse) (*callerv1.Done, error) {
	switch e := msg.GetEvent().(type) {
	case *callerv1.SubmitResponse_Accepted:
		s.requestID = e.Accepted.GetRequestId()
		return nil, s.response.startAt(e.Accepted.GetFirstToken())
	case *callerv1.SubmitResponse_Tokens:
		return nil, s.response.addTokens(e.Tokens.GetFirst(), e.Tokens.GetText())
	case *callerv1.SubmitResponse_Done:
		if len(e.Done.GetBody()) > 0 {
			return e.Done, s.response.writeBody(e.Done.GetBody())
		}
		return e.Done, s.response.finish(e.Done.GetTokens())
	default:
		return nil, nil
	}
}

// decideRetry reports whether to retry after an error, and after which backoff. It also
// records whether the request may have run.
func (s *submission) decideRetry(n int, err error) (time.Duration, bool) {
	var output *outputError
	if errors.As(err, &output) {
		return 0, false
	}
	e, refused := refusalwire.Decode(err)
	if !refused {
		if !isDialError(err) {
			s.mayHaveRun = true
		}
		return min(baseBackoff<<min(n, 8), maxBackoff), true
	}
	if e.Outcome == refusal.Unknown {
		s.mayHaveRun = true
	}
	if isEntrySpecific(e.Reason) && n+1 < len(s.clients) {
		return 0, true
	}
	return e.RetryAfter, e.RetryAfter > 0
}

// isEntrySpecific reports whether the refusal depends on the entry, so that another entry
// may accept the request.
func isEntrySpecific(r refusal.Reason) bool {
	switch r {
	case refusal.NotReady, refusal.ShuttingDown, refusal.Overloaded, refusal.BudgetUnreachable, refusal.RegistryUnreachable:
		return true
	default:
		return false
	}
}

// isDialError reports whether no connection was established, so that nothing was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// finalError returns the command's error, whose exit code shows whether the request ran.
func (s *submission) finalError(err error) error {
	var output *outputError
	e, refused := refusalwire.Decode(err)
	hint := fmt.Sprintf("the same request with --key %s is safe to send again", s.request.GetIdempotencyKey())
	switch {
	case errors.As(err, &output):
		return &ExitError{Code: Failed, Cause: err}
	case refused && e.Outcome == refusal.Unknown:
		return &ExitError{Code: Unknown, Cause: errors.Errorf("unknown whether the request ran: %s; %s", describe(err), hint)}
	case s.mayHaveRun:
		return &ExitError{Code: Unknown, Cause: errors.Errorf("unknown whether the request ran; the last attempt: %s; %s", describe(err), hint)}
	case refused && e.RetryAfter > 0:
		return &ExitError{Code: RetryLater, Cause: errors.Errorf("refused: %s; come back in %s", describe(err), formatRetryAfter(e.RetryAfter))}
	default:
		return &ExitError{Code: NotRun, Cause: errors.Errorf("not run: %s", describe(err))}
	}
}

// formatRetryAfter rounds up to seconds, so that no retry is sent too early.
func formatRetryAfter(d time.Duration) string {
	seconds := (d + time.Second - 1) / time.Second
	return fmt.Sprintf("%d s", seconds)
}

// describe returns the error of an attempt in one line.
func describe(err error) string {
	if e, refused := refusalwire.Decode(err); refused {
		return fmt.Sprintf("%s (%s)", e.Advice, e.Reason)
	}
	var ce *connect.Error
	if errors.As(err, &ce) {
		return ce.Message()
	}
	return err.Error()
}

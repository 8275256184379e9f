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
	// brokenPause grows with each try that ended without an answer.
	brokenPause = 100 * time.Millisecond
	maxPause    = 2 * time.Second
)

// errNoEnd is the error of a stream that ended without a whole answer.
var errNoEnd = errors.New("the stream ended before the answer was whole")

// errSilent is the error of a stream on which nothing arrives any more.
var errSilent = errors.New("the entry went silent")

// outputError says that the answer could not be written. Trying again does not
// help.
type outputError struct {
	cause error
}

func (e *outputError) Error() string { return "write the answer: " + e.cause.Error() }
func (e *outputError) Unwrap() error { return e.cause }

// submission sends one request, again and again under the same key, until its
// answer is whole or another try can't help.
type submission struct {
	clients []callerv1connect.RouterServiceClient
	request *callerv1.SubmitRequest
	token   string
	answer  *transcript
	note    func(format string, args ...any)
	// deadline is the end of the time that the caller gives the request. Zero
	// leaves it to the route.
	deadline time.Time
	// giveUp is when no further try begins.
	giveUp time.Time
	// silence is how long an entry may send nothing.
	silence time.Duration

	requestID string
	// mayHaveRun says that a try ended without word of its outcome.
	mayHaveRun bool
}

// run returns the end of the whole answer.
func (s *submission) run(ctx context.Context) (*callerv1.Done, error) {
	for try := 0; ; try++ {
		done, err := s.try(ctx, try)
		if err == nil {
			return done, nil
		}
		pause, again := s.decideRetry(try, err)
		if !again || ctx.Err() != nil || time.Now().Add(pause).After(s.giveUp) {
			return nil, s.final(err)
		}
		s.note("retrying in %s: %s", pause.Round(time.Millisecond), reason(err))
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return nil, s.final(err)
		}
	}
}

func (s *submission) try(ctx context.Context, try int) (*callerv1.Done, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(s.silence, func() { cancel(errSilent) })
	defer watchdog.Stop()
	req := connect.NewRequest(s.message(try))
	if s.token != "" {
		req.Header().Set("Authorization", "Bearer "+s.token)
	}
	stream, err := s.clients[try%len(s.clients)].Submit(ctx, req)
	if err != nil {
		return nil, endOf(ctx, err)
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		watchdog.Reset(s.silence)
		done, err := s.take(stream.Msg())
		if done != nil || err != nil {
			return done, err
		}
	}
	return nil, endOf(ctx, stream.Err())
}

// endOf returns why a stream ended without a whole answer.
func endOf(ctx context.Context, err error) error {
	switch {
	case errors.Is(context.Cause(ctx), errSilent):
		return errSilent
	case err == nil:
		return errNoEnd
	default:
		return err
	}
}

func (s *submission) message(try int) *callerv1.SubmitRequest {
	msg := proto.CloneOf(s.request)
	msg.FromToken = int64(len(s.answer.tokens))
	msg.Retry = msg.Retry || try > 0
	if !s.deadline.IsZero() {
		msg.Timeout = durationpb.New(time.Until(s.deadline))
	}
	return msg
}

func (s *submission) take(msg *callerv1.SubmitResponse) (*callerv1.Done, error) {
	switch e := msg.GetEvent().(type) {
	case *callerv1.SubmitResponse_Accepted:
		s.requestID = e.Accepted.GetRequestId()
		return nil, s.answer.accept(e.Accepted.GetFirstToken())
	case *callerv1.SubmitResponse_Tokens:
		return nil, s.answer.add(e.Tokens.GetFirst(), e.Tokens.GetText())
	case *callerv1.SubmitResponse_Done:
		if len(e.Done.GetBody()) > 0 {
			return e.Done, s.answer.whole(e.Done.GetBody())
		}
		return e.Done, s.answer.finish(e.Done.GetTokens())
	default:
		return nil, nil
	}
}

// decideRetry says whether another try is worth making, and after which pause.
func (s *submission) decideRetry(try int, err error) (time.Duration, bool) {
	var output *outputError
	if errors.As(err, &output) {
		return 0, false
	}
	e, refused := refusalwire.Decode(err)
	if !refused {
		if !isUnsent(err) {
			s.mayHaveRun = true
		}
		return min(brokenPause<<min(try, 8), maxPause), true
	}
	if e.Outcome == refusal.Unknown {
		s.mayHaveRun = true
	}
	if isOfEntry(e.Reason) && try+1 < len(s.clients) {
		return 0, true
	}
	return e.RetryAfter, e.RetryAfter > 0
}

// isOfEntry says whether another entry may serve a request that one refused.
func isOfEntry(r refusal.Reason) bool {
	switch r {
	case refusal.NotReady, refusal.ShuttingDown, refusal.BudgetUnreachable, refusal.RegistryUnreachable:
		return true
	default:
		return false
	}
}

// isUnsent says whether no connection came about, so that nothing was sent.
func isUnsent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// final returns the error that says what is known of the request.
func (s *submission) final(err error) error {
	var output *outputError
	e, refused := refusalwire.Decode(err)
	again := fmt.Sprintf("the same request with --key %s is safe to send again", s.request.GetIdempotencyKey())
	switch {
	case errors.As(err, &output):
		return &ExitError{Code: Failed, Cause: err}
	case refused && e.Outcome == refusal.Unknown:
		return &ExitError{Code: Unknown, Cause: errors.Errorf("unknown whether the request ran: %s; %s", reason(err), again)}
	case s.mayHaveRun:
		return &ExitError{Code: Unknown, Cause: errors.Errorf("unknown whether the request ran; the last try: %s; %s", reason(err), again)}
	case refused && e.RetryAfter > 0:
		return &ExitError{Code: RetryLater, Cause: errors.Errorf("refused: %s; come back in %s", reason(err), formatRetryAfter(e.RetryAfter))}
	default:
		return &ExitError{Code: NotRun, Cause: errors.Errorf("not run: %s", reason(err))}
	}
}

// formatRetryAfter rounds up, so that no retry is sent too early.
func formatRetryAfter(d time.Duration) string {
	seconds := (d + time.Second - 1) / time.Second
	return fmt.Sprintf("%d s", seconds)
}

// reason describes the end of a try in one line.
func reason(err error) string {
	if e, refused := refusalwire.Decode(err); refused {
		return fmt.Sprintf("%s (%s)", e.Advice, e.Reason)
	}
	var ce *connect.Error
	if errors.As(err, &ce) {
		return ce.Message()
	}
	return err.Error()
}

package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/balance"
	"github.com/crocusline/crocusline/models/call"
	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/models/retry"
	"github.com/crocusline/crocusline/models/route"
	"github.com/crocusline/crocusline/services/prepaid"
)

// Times after which callers may come back.
const (
	// notReadyRetryAfter is about the time that a new entry needs for its tables.
	notReadyRetryAfter = 500 * time.Millisecond
	// overloadRetryAfter is about the time in which a plain service works off its queue.
	overloadRetryAfter = 500 * time.Millisecond
	// noServerRetryAfter is about the time in which a failed server is noticed.
	noServerRetryAfter = 300 * time.Millisecond
)

// maxSends bounds how often one request is sent, counting servers that proved
// not to have run it.
const maxSends = 4

// job is one request on its way.
type job struct {
	service      *Service
	log          hclog.Logger
	request      *call.Request
	route        route.Route
	pool         route.Pool
	workspace    route.Workspace
	tableVersion int64
	deadline     time.Time
	retryBudget  *retry.WindowBudget
	hold         *prepaid.Hold

	// tried are the servers that the request was sent to; ran counts those that
	// may have run it.
	tried        []string
	possibleRuns int
	streamProgress
	// lastRefusal is the failure that the caller gets if no further server answers.
	lastRefusal *refusal.Error
	// status is the status passed on; 0 if there was none.
	status           int
	timeToFirstEvent time.Duration
	server           string
}

// sendResult is what became of one send.
type sendResult interface{ isSendResult() }

// responseRelayed says that the caller has the answer.
type responseRelayed struct{}

// notRun says that the server has not run the request and never will.
type notRun struct{ reason refusal.Reason }

// unknownOutcome says that the request may have run and the answer, or the rest of it, is
// not to be had from this server.
type unknownOutcome struct {
	reason refusal.Reason
	err    error
}

// serverError says that the server answered with a failure that was not passed on.
type serverError struct{ resp *bufferedResponse }

// callerDisconnected says that the caller takes no more of the answer.
type callerDisconnected struct{ err error }

func (responseRelayed) isSendResult()    {}
func (notRun) isSendResult()             {}
func (unknownOutcome) isSendResult()     {}
func (serverError) isSendResult()        {}
func (callerDisconnected) isSendResult() {}

// run sends the request until it is answered or can't be sent again.
func (j *job) run(ctx context.Context, w http.ResponseWriter) error {
	var fallback *bufferedResponse
	for sends := 1; ; sends++ {
		choice, ok := j.chooseServer()
		if !ok {
			if j.lastRefusal == nil {
				j.lastRefusal = refusal.New(refusal.NoServer, noServerRetryAfter, "no backend server takes work now")
			}
			return j.fail(w, fallback, j.lastRefusal)
		}
		switch o := j.send(ctx, w, choice, sends).(type) {
		case responseRelayed:
			return nil
		case callerDisconnected:
			j.possibleRuns++
			return errors.WithStack(&AbortedError{Reason: abortReason(ctx)})
		case serverError:
			j.possibleRuns++
			fallback = o.resp
			j.lastRefusal = unknownRefusal(refusal.ServerFailed)
		case unknownOutcome:
			j.possibleRuns++
			j.lastRefusal = unknownRefusal(o.reason)
		case notRun:
			if j.possibleRuns == 0 {
				j.lastRefusal = refusal.New(o.reason, overloadRetryAfter, "the backend servers turned the request away")
			}
		}
		if ctx.Err() != nil {
			return j.fail(w, fallback, j.expiredRefusal(ctx))
		}
		if !j.mayRetry(sends) {
			return j.fail(w, fallback, j.lastRefusal)
		}
		j.service.metrics.Retried(j.lastRefusal.Reason.String())
	}
}

func unknownRefusal(reason refusal.Reason) *refusal.Error {
	return &refusal.Error{Reason: reason, Outcome: refusal.Unknown, Advice: "the request may have run"}
}

// expiredRefusal is the refusal of a request whose time is over or whose caller left.
func (j *job) expiredRefusal(ctx context.Context) *refusal.Error {
	e := &refusal.Error{Reason: refusal.DeadlineExpired, Advice: "the time for the request is over: " + context.Cause(ctx).Error()}
	if j.possibleRuns > 0 {
		e.Outcome = refusal.Unknown
	}
	return e
}

// abortReason is why the caller takes no more of an answer: its time is over, or nobody
// knows.
func abortReason(ctx context.Context) refusal.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refusal.DeadlineExpired
	}
	return refusal.OutcomeUnknown
}

// mayRetry says whether the request may be sent once more.
func (j *job) mayRetry(sends int) bool {
	switch {
	case j.possibleRuns > 0 && !j.route.Kind.Repeatable():
		return false
	case j.possibleRuns >= j.route.Attempts, sends >= maxSends:
		return false
	case !j.retryBudget.Allow(time.Now()):
		j.log.Info("retry budget spent", "sends", sends, "reason", j.lastRefusal.Reason)
		return false
	}
	return true
}

// fail ends a request that no server answered.
func (j *job) fail(w http.ResponseWriter, fallback *bufferedResponse, e *refusal.Error) error {
	switch {
	case j.headerWritten:
		return errors.WithStack(&AbortedError{Reason: e.Reason})
	case fallback != nil:
		j.writeResponse(w, fallback)
		return nil
	case j.possibleRuns > 0 && e.Outcome == refusal.NotRun:
		return unknownRefusal(e.Reason)
	}
	return e
}

// chooseServer picks the server for the next send and notes that it is used.
func (j *job) chooseServer() (balance.Choice, bool) {
	var choice balance.Choice
	var ok bool
	work := j.balanceRequest()
	j.service.catalog.WithBalancer(j.pool.Name, func(b *balance.Balancer) {
		now := time.Now()
		if choice, ok = b.Choose(now, work); ok {
			b.RecordSent(now, choice.Server.ID, work, choice)
		}
	})
	return choice, ok
}

func (j *job) balanceRequest() balance.Request {
	return balance.Request{
		ID: j.request.ID, Parts: j.request.Prefix, PromptTokens: j.request.PromptTokens, Exclude: j.tried,
		Goal: j.route.Goal, Idempotent: j.route.Kind.Repeatable(),
	}
}

// routePriorities is the number of ranks that routes have.
const routePriorities = 3

// priority is the request's rank at the server: by workspace first, and by route
// among equal workspaces.
func (j *job) priority() int {
	return max(0, j.workspace.Priority)*routePriorities + min(j.route.Priority, routePriorities-1)
}

// uncountedEvents is the number of events that a server may have sent and the
// caller may have got beyond those counted, when an answer breaks off.
const uncountedEvents = 8

// usedTokens is what the request cost: nothing if no server ran it, else the prompt and
// what was delivered.
func (j *job) usedTokens() int64 {
	if j.possibleRuns == 0 {
		return 0
	}
	events := j.eventsSent
	if !j.complete {
		events += uncountedEvents
	}
	perEvent := int64(1)
	if j.pool.Engine != nil {
		perEvent = j.pool.Engine.TokensPerEvent
	}
	return j.request.PromptTokens + min(j.request.OutputTokens, events*perEvent)
}

// recordResult logs and counts the end of the request.
func (j *job) recordResult(err error) {
	took := time.Since(j.request.ArrivedAt)
	pairs := []any{
		"route", j.route.Name, "workspace", j.workspace.Name, "tablesVersion", j.tableVersion, "server", j.server,
		"sends", len(j.tried), "ran", j.possibleRuns, "events", j.eventsSent, "tokens", j.usedTokens(), "first", j.timeToFirstEvent.Round(time.Millisecond),
		"took", took.Round(time.Millisecond), "left", time.Until(j.deadline).Round(time.Millisecond),
	}
	var aborted *AbortedError
	e, refused := refusal.As(err)
	switch {
	case err == nil:
		j.service.histogram("crocusline_request_seconds", j.route.Kind).Update(took.Seconds())
		j.service.metrics.Counter("crocusline_answers_total").Inc()
		j.log.Info("request relayed", append(pairs, "status", j.status)...)
	case errors.As(err, &aborted):
		j.service.metrics.Refused(aborted.Reason.String())
		j.log.Warn("answer broken off", append(pairs, "reason", aborted.Reason)...)
	case refused:
		j.service.metrics.Refused(e.Reason.String())
		j.log.Info("request given up", append(pairs, "reason", e.Reason, "outcome", e.Outcome)...)
	}
}

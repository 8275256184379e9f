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
	// notReadyPause is about the time that a new entry needs for its tables.
	notReadyPause = 500 * time.Millisecond
	// fullPause is about the time in which a plain service works off its queue.
	fullPause = 500 * time.Millisecond
	// failedPause is about the time in which a failed server is noticed.
	failedPause = 300 * time.Millisecond
)

// mostSends bounds how often one request is sent, counting servers that proved
// not to have run it.
const mostSends = 4

// job is one request on its way.
type job struct {
	service   *Service
	log       hclog.Logger
	request   *call.Request
	route     route.Route
	pool      route.Pool
	workspace route.Workspace
	version   int64
	expires   time.Time
	window    *retry.WindowBudget
	hold      *prepaid.Hold

	// tried are the servers that the request was sent to; ran counts those that
	// may have run it.
	tried []string
	ran   int
	stream
	// last is the failure that the caller gets if no further server answers.
	last *refusal.Error
	// answered is the status passed on; 0 if there was none.
	answered int
	first    time.Duration
	server   string
}

// outcome is what became of one send.
type outcome interface{ isOutcome() }

// relayed says that the caller has the answer.
type relayed struct{}

// notRun says that the server has not run the request and never will.
type notRun struct{ reason refusal.Reason }

// lost says that the request may have run and the answer, or the rest of it, is
// not to be had from this server.
type lost struct {
	reason refusal.Reason
	err    error
}

// failed says that the server answered with a failure that was not passed on.
type failed struct{ resp *bufferedAnswer }

// callerGone says that the caller takes no more of the answer.
type callerGone struct{ err error }

func (relayed) isOutcome()    {}
func (notRun) isOutcome()     {}
func (lost) isOutcome()       {}
func (failed) isOutcome()     {}
func (callerGone) isOutcome() {}

// run sends the request until it is answered or can't be sent again.
func (j *job) run(ctx context.Context, w http.ResponseWriter) error {
	var fallback *bufferedAnswer
	for sends := 1; ; sends++ {
		choice, ok := j.choose()
		if !ok {
			if j.last == nil {
				j.last = refusal.New(refusal.NoServer, failedPause, "no backend server takes work now")
			}
			return j.giveUp(w, fallback, j.last)
		}
		switch o := j.send(ctx, w, choice, sends).(type) {
		case relayed:
			return nil
		case callerGone:
			j.ran++
			return errors.WithStack(&AbortedError{Reason: left(ctx)})
		case failed:
			j.ran++
			fallback = o.resp
			j.last = unknown(refusal.ServerFailed)
		case lost:
			j.ran++
			j.last = unknown(o.reason)
		case notRun:
			if j.ran == 0 {
				j.last = refusal.New(o.reason, fullPause, "the backend servers turned the request away")
			}
		}
		if ctx.Err() != nil {
			return j.giveUp(w, fallback, j.expired(ctx))
		}
		if !j.mayRepeat(sends) {
			return j.giveUp(w, fallback, j.last)
		}
		j.service.metrics.Retried(j.last.Reason.String())
	}
}

func unknown(reason refusal.Reason) *refusal.Error {
	return &refusal.Error{Reason: reason, Outcome: refusal.Unknown, Advice: "the request may have run"}
}

// expired is the refusal of a request whose time is over or whose caller left.
func (j *job) expired(ctx context.Context) *refusal.Error {
	e := &refusal.Error{Reason: refusal.DeadlineExpired, Advice: "the time for the request is over: " + context.Cause(ctx).Error()}
	if j.ran > 0 {
		e.Outcome = refusal.Unknown
	}
	return e
}

// left is why the caller takes no more of an answer: its time is over, or nobody
// knows.
func left(ctx context.Context) refusal.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refusal.DeadlineExpired
	}
	return refusal.OutcomeUnknown
}

// mayRepeat says whether the request may be sent once more.
func (j *job) mayRepeat(sends int) bool {
	switch {
	case j.ran > 0 && !j.route.Kind.Repeatable():
		return false
	case j.ran >= j.route.MaxAttempts, sends >= mostSends:
		return false
	case !j.window.Allow(time.Now()):
		j.log.Info("retry budget spent", "sends", sends, "reason", j.last.Reason)
		return false
	}
	return true
}

// giveUp ends a request that no server answered.
func (j *job) giveUp(w http.ResponseWriter, fallback *bufferedAnswer, e *refusal.Error) error {
	switch {
	case j.committed:
		return errors.WithStack(&AbortedError{Reason: e.Reason})
	case fallback != nil:
		j.pass(w, fallback)
		return nil
	case j.ran > 0 && e.Outcome == refusal.NotRun:
		return unknown(e.Reason)
	}
	return e
}

// choose picks the server for the next send and notes that it is used.
func (j *job) choose() (balance.Choice, bool) {
	var choice balance.Choice
	var ok bool
	work := j.work()
	j.service.catalog.WithBalancer(j.pool.Name, func(b *balance.Balancer) {
		now := time.Now()
		if choice, ok = b.Choose(now, work); ok {
			b.RecordSent(now, choice.Server.ID, work, choice)
		}
	})
	return choice, ok
}

func (j *job) work() balance.Request {
	return balance.Request{
		ID: j.request.ID, Segments: j.request.Prefix, PromptTokens: j.request.PromptTokens, Exclude: j.tried,
		Goal: j.route.Goal, Idempotent: j.route.Kind.Repeatable(),
	}
}

// routeRanks is the number of ranks that routes have.
const routeRanks = 3

// priority is the request's rank at the server: by workspace first, and by route
// among equal workspaces.
func (j *job) priority() int {
	return max(0, j.workspace.Priority)*routeRanks + min(j.route.Priority, routeRanks-1)
}

// unseenEvents is the number of events that a server may have sent and the
// caller may have got beyond those counted, when an answer breaks off.
const unseenEvents = 8

// used is what the request cost: nothing if no server ran it, else the prompt and
// what was delivered.
func (j *job) used() int64 {
	if j.ran == 0 {
		return 0
	}
	events := j.events
	if !j.whole {
		events += unseenEvents
	}
	perEvent := int64(1)
	if j.pool.Engine != nil {
		perEvent = j.pool.Engine.TokensPerEvent
	}
	return j.request.PromptTokens + min(j.request.OutputTokens, events*perEvent)
}

// report logs and counts the end of the request.
func (j *job) report(err error) {
	took := time.Since(j.request.ArrivedAt)
	pairs := []any{
		"route", j.route.Name, "workspace", j.workspace.Name, "tablesVersion", j.version, "server", j.server,
		"sends", len(j.tried), "ran", j.ran, "events", j.events, "tokens", j.used(), "first", j.first.Round(time.Millisecond),
		"took", took.Round(time.Millisecond), "left", time.Until(j.expires).Round(time.Millisecond),
	}
	var aborted *AbortedError
	e, refused := refusal.As(err)
	switch {
	case err == nil:
		j.service.histogram("crocusline_request_seconds", j.route.Kind).Update(took.Seconds())
		j.service.metrics.Counter("crocusline_answers_total").Inc()
		j.log.Info("request relayed", append(pairs, "status", j.answered)...)
	case errors.As(err, &aborted):
		j.service.metrics.Refused(aborted.Reason.String())
		j.log.Warn("answer broken off", append(pairs, "reason", aborted.Reason)...)
	case refused:
		j.service.metrics.Refused(e.Reason.String())
		j.log.Info("request given up", append(pairs, "reason", e.Reason, "outcome", e.Outcome)...)
	}
}

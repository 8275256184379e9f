package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/balance"
	"github.com/crocusline/crocusline/models/call"
	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/modules/exchange"
)

const (
	// mostBuffered is the largest answer that is held until it is whole; a larger
	// one is passed on as it arrives.
	mostBuffered = 512 << 10
	// connectionShare is the part of a server's connections that this entry may
	// use, while four entries or more share them.
	connectionShare = 5
)

// errSilent ends a send whose server did not answer in the expected time.
var errSilent = errors.New("the server is silent")

// bufferedAnswer is a whole answer that was not passed on yet.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// send sends the request to one server and passes the answer on.
func (j *job) send(ctx context.Context, w http.ResponseWriter, choice balance.Choice, sends int) outcome {
	began := time.Now()
	work := j.work()
	id := choice.Server.ID
	j.tried = append(j.tried, id)
	j.server = id
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	read := &reading{job: j, id: id, work: work, cached: choice.CachedTokens}
	if d, limited := j.patience(choice, sends); limited {
		read.patience = time.AfterFunc(d, func() { cancel(errSilent) })
		defer read.patience.Stop()
	}
	resp, err := j.service.client.Do(ctx, j.outgoing(choice))
	var o outcome
	if err != nil {
		o = j.unanswered(err)
	} else {
		o = j.answer(w, resp, read)
		_ = resp.Body.Close()
	}
	j.learn(ctx, id, read, o)
	j.logSend(choice, sends, time.Since(began), o)
	return o
}

// outgoing is the request as it goes to the server.
func (j *job) outgoing(choice balance.Choice) *exchange.Request {
	r := j.request
	lastEvent := r.LastEventID
	if j.events > 0 {
		lastEvent = j.lastID
	}
	return &exchange.Request{
		Address: choice.Server.Address, Method: r.Method, Target: r.Target, Host: r.Host, Body: r.Body,
		Header: j.service.messages.Encode(r, call.DispatchParams{
			Server: choice.Server.ID, TimeLeft: time.Until(j.expires), Workspace: j.workspace.Name,
			Priority: j.priority(), LastEventID: lastEvent,
		}),
		MaxConns:  max(1, j.pool.MaxConns/connectionShare),
		IsForeign: func(h http.Header) bool { return j.service.messages.IsForeign(r, h) },
	}
}

// patience is how long a server may be silent before the request goes to another
// one. It leaves time to reach the goal there; only what may run twice is moved.
func (j *job) patience(choice balance.Choice, sends int) (time.Duration, bool) {
	if !j.route.Kind.Repeatable() || j.ran+1 >= j.route.MaxAttempts || sends >= mostSends {
		return 0, false
	}
	if j.route.Kind.Streams() {
		return max(2*j.route.Goal, 2*choice.PredictedLatency+silenceMargin), true
	}
	return j.route.Goal / 2, true
}

// silenceMargin covers the steps of other requests that an engine finishes before
// it reads a prompt.
const silenceMargin = 200 * time.Millisecond

// unanswered sorts a send without an answer.
func (j *job) unanswered(err error) outcome {
	var dial *exchange.DialError
	if errors.As(err, &dial) {
		if dial.PoolExhausted {
			return notRun{reason: refusal.QueueFull}
		}
		return notRun{reason: refusal.ServerFailed}
	}
	var gone *exchange.NoResponseError
	if errors.As(err, &gone) && !gone.Written {
		return notRun{reason: refusal.ServerFailed}
	}
	return lost{reason: refusal.ServerFailed, err: err}
}

// answer sorts an answer by its head and passes on what is the caller's.
func (j *job) answer(w http.ResponseWriter, resp *http.Response, read *reading) outcome {
	switch j.service.messages.ClassifyResponse(j.request, resp) {
	case call.NotRun:
		drain(resp)
		return notRun{reason: refusal.QueueFull}
	case call.Misdirected:
		drain(resp)
		return notRun{reason: refusal.WrongIncarnation}
	case call.Succeeded:
		if isEventStream(resp) {
			return j.relayEvents(w, resp, read)
		}
		return j.relayWhole(w, resp, read)
	case call.Failed:
		return j.relayFailure(w, resp)
	default:
		return lost{reason: refusal.ServerFailed, err: errors.Errorf("status %d without the server's signature", resp.StatusCode)}
	}
}

// drain reads a short body to its end, so that the connection can be kept.
func drain(resp *http.Response) {
	// An error only means that the connection is closed instead.
	_, _ = io.CopyN(io.Discard, resp.Body, mostBuffered)
}

func isEventStream(resp *http.Response) bool {
	return strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

// relayWhole passes on an answer once all of it has arrived.
func (j *job) relayWhole(w http.ResponseWriter, resp *http.Response, read *reading) outcome {
	body, err := io.ReadAll(io.LimitReader(resp.Body, mostBuffered))
	if err != nil {
		return lost{reason: refusal.ServerFailed, err: err}
	}
	read.first()
	if len(body) == mostBuffered {
		return j.relayLarge(w, resp, body)
	}
	j.pass(w, &bufferedAnswer{status: resp.StatusCode, header: resp.Header, body: body})
	j.ran++
	return relayed{}
}

// relayLarge passes on an answer that is too large to be held.
func (j *job) relayLarge(w http.ResponseWriter, resp *http.Response, begin []byte) outcome {
	j.service.messages.CopyResponseHeader(w.Header(), resp.Header)
	if resp.ContentLength >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	j.committed = true
	w.WriteHeader(resp.StatusCode)
	j.answered = resp.StatusCode
	if _, err := io.Copy(w, io.MultiReader(bytes.NewReader(begin), resp.Body)); err != nil {
		// Of two connections either may have failed; the answer can't go on.
		return callerGone{err: err}
	}
	j.ran++
	j.whole = true
	return relayed{}
}

// relayFailure passes on a failure that the server itself reports, unless another
// server may do better.
func (j *job) relayFailure(w http.ResponseWriter, resp *http.Response) outcome {
	body, err := io.ReadAll(io.LimitReader(resp.Body, mostBuffered))
	if err != nil {
		return lost{reason: refusal.ServerFailed, err: err}
	}
	answer := &bufferedAnswer{status: resp.StatusCode, header: resp.Header, body: body}
	if resp.StatusCode < http.StatusInternalServerError || !j.route.Kind.Repeatable() {
		j.pass(w, answer)
		j.ran++
		return relayed{}
	}
	return failed{resp: answer}
}

// pass writes a whole answer.
func (j *job) pass(w http.ResponseWriter, a *bufferedAnswer) {
	j.service.messages.CopyResponseHeader(w.Header(), a.header)
	w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	if _, err := w.Write(a.body); err != nil {
		j.log.Info("caller gone", "error", err)
	}
	j.answered, j.whole = a.status, true
}

// learn tells the balancer how the send went.
func (j *job) learn(ctx context.Context, id string, read *reading, o outcome) {
	left := ctx.Err() != nil && !errors.Is(context.Cause(ctx), errSilent)
	now := time.Now()
	j.service.catalog.WithBalancer(j.pool.Name, func(b *balance.Balancer) {
		if !read.done {
			// The prompt was not read, as far as is known; it waits no more.
			b.RecordFirstEvent(now, id, balance.Request{PromptTokens: read.work.PromptTokens}, read.cached)
		}
		b.RecordEnd(id, read.work)
		switch o := o.(type) {
		case relayed:
			if j.answered >= http.StatusInternalServerError {
				b.RecordFailure(id)
				return
			}
			b.RecordSuccess(id)
		case failed:
			b.RecordFailure(id)
		case notRun:
			if o.reason != refusal.QueueFull {
				b.RecordUnreachable(now, id)
			}
		case lost:
			if !left {
				b.RecordUnreachable(now, id)
			}
		}
	})
}

// logSend logs a send that did not end in an answer for the caller.
func (j *job) logSend(choice balance.Choice, sends int, took time.Duration, o outcome) {
	pairs := []any{
		"server", choice.Server.ID, "send", sends, "took", took.Round(time.Millisecond),
		"predicted", choice.PredictedLatency.Round(time.Millisecond), "trial", choice.Trial, "events", j.events,
	}
	switch o := o.(type) {
	case notRun:
		j.log.Info("send not run", append(pairs, "reason", o.reason)...)
	case lost:
		j.log.Info("send lost", append(pairs, "reason", o.reason, "error", o.err)...)
	case callerGone:
		j.log.Info("caller gone", append(pairs, "error", o.err)...)
	case failed:
		j.log.Info("send failed", append(pairs, "status", o.resp.status)...)
	}
}

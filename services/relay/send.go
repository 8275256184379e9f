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
	// maxBufferedBytes is the largest answer that is held until it is whole; a larger
	// one is passed on as it arrives.
	maxBufferedBytes = 512 << 10
	// connectionDivisor is the part of a server's connections that this entry may
	// use, while four entries or more share them.
	connectionDivisor = 5
)

// errSilenceTimeout ends a send whose server did not answer in the expected time.
var errSilenceTimeout = errors.New("the server is silent")

// bufferedResponse is a whole answer that was not passed on yet.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// send sends the request to one server and passes the answer on.
func (j *job) send(ctx context.Context, w http.ResponseWriter, choice balance.Choice, sends int) sendResult {
	began := time.Now()
	work := j.balanceRequest()
	id := choice.Server.ID
	j.tried = append(j.tried, id)
	j.server = id
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	read := &promptTracker{job: j, serverID: id, work: work, cachedTokens: choice.CachedTokens}
	if d, limited := j.silenceTimeout(choice, sends); limited {
		read.silenceTimer = time.AfterFunc(d, func() { cancel(errSilenceTimeout) })
		defer read.silenceTimer.Stop()
	}
	resp, err := j.service.client.Do(ctx, j.buildRequest(choice))
	var o sendResult
	if err != nil {
		o = j.classifyError(err)
	} else {
		o = j.handleResponse(w, resp, read)
		_ = resp.Body.Close()
	}
	j.reportToBalancer(ctx, id, read, o)
	j.logSend(choice, sends, time.Since(began), o)
	return o
}

// buildRequest is the request as it goes to the server.
func (j *job) buildRequest(choice balance.Choice) *exchange.Request {
	r := j.request
	lastEvent := r.LastEvent
	if j.eventsSent > 0 {
		lastEvent = j.lastEventID
	}
	return &exchange.Request{
		Address: choice.Server.Address, Method: r.Method, Target: r.Target, Host: r.Host, Body: r.Body,
		Header: j.service.messages.Encode(r, call.DispatchParams{
			Server: choice.Server.ID, TimeLeft: time.Until(j.deadline), Workspace: j.workspace.Name,
			Priority: j.priority(), LastEvent: lastEvent,
		}),
		MaxConns:  max(1, j.pool.MaxConns/connectionDivisor),
		IsForeign: func(h http.Header) bool { return j.service.messages.IsForeign(r, h) },
	}
}

// silenceTimeout is how long a server may be silent before the request goes to another
// one. It leaves time to reach the goal there; only what may run twice is moved.
func (j *job) silenceTimeout(choice balance.Choice, sends int) (time.Duration, bool) {
	if !j.route.Kind.Repeatable() || j.possibleRuns+1 >= j.route.Attempts || sends >= maxSends {
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

// classifyError sorts a send without an answer.
func (j *job) classifyError(err error) sendResult {
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
	return unknownOutcome{reason: refusal.ServerFailed, err: err}
}

// handleResponse sorts an handleResponse by its head and passes on what is the caller's.
func (j *job) handleResponse(w http.ResponseWriter, resp *http.Response, read *promptTracker) sendResult {
	switch j.service.messages.ClassifyResponse(j.request, resp) {
	case call.NotRun:
		drainBody(resp)
		return notRun{reason: refusal.QueueFull}
	case call.Misdirected:
		drainBody(resp)
		return notRun{reason: refusal.WrongIncarnation}
	case call.Succeeded:
		if isEventStream(resp) {
			return j.relayEvents(w, resp, read)
		}
		return j.relayBuffered(w, resp, read)
	case call.Failed:
		return j.relayServerError(w, resp)
	default:
		return unknownOutcome{reason: refusal.ServerFailed, err: errors.Errorf("status %d without the server's signature", resp.StatusCode)}
	}
}

// drainBody reads a short body to its end, so that the connection can be kept.
func drainBody(resp *http.Response) {
	// An error only means that the connection is closed instead.
	_, _ = io.CopyN(io.Discard, resp.Body, maxBufferedBytes)
}

func isEventStream(resp *http.Response) bool {
	return strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

// relayBuffered passes on an answer once all of it has arrived.
func (j *job) relayBuffered(w http.ResponseWriter, resp *http.Response, read *promptTracker) sendResult {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedBytes))
	if err != nil {
		return unknownOutcome{reason: refusal.ServerFailed, err: err}
	}
	read.markPromptRead()
	if len(body) == maxBufferedBytes {
		return j.relayLarge(w, resp, body)
	}
	j.writeResponse(w, &bufferedResponse{status: resp.StatusCode, header: resp.Header, body: body})
	j.possibleRuns++
	return responseRelayed{}
}

// relayLarge passes on an answer that is too large to be held.
func (j *job) relayLarge(w http.ResponseWriter, resp *http.Response, begin []byte) sendResult {
	j.service.messages.CopyResponseHeader(w.Header(), resp.Header)
	if resp.ContentLength >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	j.headerWritten = true
	w.WriteHeader(resp.StatusCode)
	j.status = resp.StatusCode
	if _, err := io.Copy(w, io.MultiReader(bytes.NewReader(begin), resp.Body)); err != nil {
		// Of two connections either may have failed; the answer can't go on.
		return callerDisconnected{err: err}
	}
	j.possibleRuns++
	j.complete = true
	return responseRelayed{}
}

// relayServerError passes on a failure that the server itself reports, unless another
// server may do better.
func (j *job) relayServerError(w http.ResponseWriter, resp *http.Response) sendResult {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedBytes))
	if err != nil {
		return unknownOutcome{reason: refusal.ServerFailed, err: err}
	}
	answer := &bufferedResponse{status: resp.StatusCode, header: resp.Header, body: body}
	if resp.StatusCode < http.StatusInternalServerError || !j.route.Kind.Repeatable() {
		j.writeResponse(w, answer)
		j.possibleRuns++
		return responseRelayed{}
	}
	return serverError{resp: answer}
}

// writeResponse writes a whole answer.
func (j *job) writeResponse(w http.ResponseWriter, a *bufferedResponse) {
	j.service.messages.CopyResponseHeader(w.Header(), a.header)
	w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	if _, err := w.Write(a.body); err != nil {
		j.log.Info("caller gone", "error", err)
	}
	j.status, j.complete = a.status, true
}

// reportToBalancer tells the balancer how the send went.
func (j *job) reportToBalancer(ctx context.Context, id string, read *promptTracker, o sendResult) {
	left := ctx.Err() != nil && !errors.Is(context.Cause(ctx), errSilenceTimeout)
	now := time.Now()
	j.service.catalog.WithBalancer(j.pool.Name, func(b *balance.Balancer) {
		if !read.promptRead {
			// The prompt was not read, as far as is known; it waits no more.
			b.RecordFirstEvent(now, id, balance.Request{PromptTokens: read.work.PromptTokens}, read.cachedTokens)
		}
		b.RecordEnd(id, read.work)
		switch o := o.(type) {
		case responseRelayed:
			if j.status >= http.StatusInternalServerError {
				b.RecordFailure(id)
				return
			}
			b.RecordSuccess(id)
		case serverError:
			b.RecordFailure(id)
		case notRun:
			if o.reason != refusal.QueueFull {
				b.RecordUnreachable(now, id)
			}
		case unknownOutcome:
			if !left {
				b.RecordUnreachable(now, id)
			}
		}
	})
}

// logSend logs a send that did not end in an answer for the caller.
func (j *job) logSend(choice balance.Choice, sends int, took time.Duration, o sendResult) {
	pairs := []any{
		"server", choice.Server.ID, "send", sends, "took", took.Round(time.Millisecond),
		"predicted", choice.PredictedLatency.Round(time.Millisecond), "trial", choice.Trial, "events", j.eventsSent,
	}
	switch o := o.(type) {
	case notRun:
		j.log.Info("send not run", append(pairs, "reason", o.reason)...)
	case unknownOutcome:
		j.log.Info("send lost", append(pairs, "reason", o.reason, "error", o.err)...)
	case callerDisconnected:
		j.log.Info("caller gone", append(pairs, "error", o.err)...)
	case serverError:
		j.log.Info("send failed", append(pairs, "status", o.resp.status)...)
	}
}

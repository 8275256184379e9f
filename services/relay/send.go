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
	"github.com/crocusline/crocusline/models/notice"
	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/models/roster"
	"github.com/crocusline/crocusline/modules/exchange"
	"github.com/crocusline/crocusline/services/quarantine"
)

const (
	// maxBufferedBytes limits the size of responses that are buffered until they are
	// complete. Larger responses, and those beyond the budget of all buffers, are passed on as
	// they arrive.
	maxBufferedBytes = 512 << 10
)

// bufferedResponse is a complete response that was not passed on yet.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// send sends the request to one server and passes on the response.
func (j *job) send(ctx context.Context, w http.ResponseWriter, choice balance.Choice, sends int) sendResult {
	start := time.Now()
	req := j.balanceRequest()
	id := choice.Server.ID
	j.tried = append(j.tried, id)
	j.server, j.version = id, choice.Server.Version
	j.arrivals++
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	prompt := &promptTracker{
		job: j, server: choice.Server, request: req, cachedTokens: choice.CachedTokens,
		sentAt: start, predicted: choice.PredictedLatency,
	}
	j.spendReservation()
	prompt.silence = j.watchSilence(choice, sends, cancel)
	defer prompt.silence.stop()
	resp, err := j.exchange(ctx, choice)
	var result sendResult
	if err != nil {
		result = j.classifyError(ctx, err, choice.Server, start)
	} else {
		j.service.strain.RecordResponse(time.Since(start))
		j.recordNotice(choice.Server, resp, start)
		prompt.openedAt, prompt.reused = exchange.OpenedAt(resp), exchange.Reused(resp)
		resp.Body = prompt.watch(resp.Body)
		result = j.handleResponse(ctx, w, resp, prompt)
		_ = resp.Body.Close()
	}
	j.reservation = prompt.silence.stop()
	j.reportToBalancer(ctx, id, prompt, result)
	j.reportToQuarantine(ctx, choice.Server, prompt, result)
	j.logSend(choice, sends, time.Since(start), result, abandonCause(ctx, result))
	return result
}

// exchange sends the request, unless its caller has resumed the stream with another one.
func (j *job) exchange(ctx context.Context, choice balance.Choice) (*http.Response, error) {
	req := j.buildRequest(choice)
	released, err := j.attempt.Send()
	if err != nil {
		return nil, &exchange.NotSentError{Address: req.Address, Err: err}
	}
	req.Released, req.DialTimeout = released, j.service.strain.DialTimeout()
	return j.service.client.Do(ctx, req)
}

// buildRequest returns the request to send to the server.
func (j *job) buildRequest(choice balance.Choice) *exchange.Request {
	r, codec, deadline := j.request, j.service.codec, j.deadline
	params := call.DispatchParams{
		Server: choice.Server.ID, Workspace: j.workspace.Name, Priority: j.priority(), LastEventID: j.lastEvent(),
	}
	return &exchange.Request{
		Address: choice.Server.Address, Method: r.Method, Target: r.Target, Host: r.Host, Body: r.Body,
		CurrentHeader: func() http.Header {
			params.TimeLeft = time.Until(deadline)
			return codec.Encode(r, params)
		},
		// On a connection that has carried others, a copy of an earlier response could be taken for the
		// response to a request without an id.
		ID: r.ID, NewConnection: r.ID == "",
		MaxConns:  j.maxConns(),
		IsForeign: func(h http.Header, reused bool) bool { return j.service.codec.OriginOf(r, h).Skippable(reused) },
	}
}

// lastEvent returns the id of the last event that the caller has received, or "" if there is none.
func (j *job) lastEvent() string {
	if j.route.Kind.Streams() {
		return j.LastEventID
	}
	return j.request.LastEventID
}

// classifyError returns the result of a send without a response, which began at start.
func (j *job) classifyError(ctx context.Context, err error, server roster.Server, start time.Time) sendResult {
	var notSent *exchange.NotSentError
	if errors.As(err, &notSent) {
		return notRun{reason: refusal.DeadlineExpired, evidence: call.NotBegun, err: err}
	}
	var dial *exchange.DialError
	if errors.As(err, &dial) {
		if dial.PoolExhausted {
			return notRun{reason: refusal.QueueFull, evidence: call.NotConnected, err: err}
		}
		if !j.failedByServer(ctx, dial.Err, server, start) {
			return notRun{reason: refusal.Overloaded, evidence: call.NotConnected, err: err, ownShortage: true}
		}
		return notRun{reason: refusal.ServerFailed, evidence: call.NotConnected, err: err}
	}
	var noResponse *exchange.NoResponseError
	if errors.As(err, &noResponse) && !noResponse.Written {
		return notRun{reason: refusal.ServerFailed, evidence: call.NothingWritten, err: err}
	}
	return unknownOutcome{reason: refusal.ServerFailed, err: err, ownShortage: !j.failedByServer(ctx, err, server, start)}
}

// handleResponse classifies a response by its status line and header, and passes it
// on if it is meant for the caller.
func (j *job) handleResponse(ctx context.Context, w http.ResponseWriter, resp *http.Response, prompt *promptTracker) sendResult {
	switch class := j.service.codec.ClassifyResponse(j.request, resp); class {
	case call.NotRun:
		drainBody(resp)
		return notRun{reason: refusal.QueueFull, evidence: call.ServerStatement, status: resp.StatusCode, reused: prompt.reused}
	case call.Misdirected:
		drainBody(resp)
		return notRun{reason: refusal.WrongIncarnation, evidence: call.ServerMisdirected, status: resp.StatusCode, reused: prompt.reused}
	case call.Succeeded, call.Failed, call.FailedAsRefused:
		return j.relayResponse(ctx, w, resp, class, prompt)
	default:
		return unknownOutcome{reason: refusal.ServerFailed, err: errors.Errorf("status %d proves nothing: the response is %s, without a signature or without the request's id", resp.StatusCode, class)}
	}
}

const (
	// serversDraining counts the servers that announced that they drain, serverBackoffs the backoffs
	// that servers asked for, and serverLimits the limits that they named.
	serversDraining = "crocusline_servers_draining_total"
	serverBackoffs  = "crocusline_server_backoffs_total"
	serverLimits    = "crocusline_server_limits_total"
)

// recordNotice records what the server announces about itself. Another request's response, or that
// of another server at the address, proves nothing about it.
func (j *job) recordNotice(server roster.Server, resp *http.Response, sentAt time.Time) {
	codec := j.service.codec
	if codec.OriginOf(j.request, resp.Header) != call.Own || resp.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	announced, err := codec.Notice(resp)
	if err != nil {
		j.log.Warn("cannot decode server notice", "server", server.ID, "status", resp.StatusCode, "error", err)
	}
	proven := codec.ClassifyResponse(j.request, resp) != call.Unknown
	if !j.service.catalog.RecordNotice(server, notice.Response{Notice: announced, SentAt: sentAt, Proven: proven}) {
		return
	}
	if announced.Draining {
		j.service.metrics.Counter(serversDraining).Inc()
	}
	if announced.Backoff > 0 {
		j.service.metrics.Counter(serverBackoffs).Inc()
	}
	if announced.Limit > 0 {
		j.service.metrics.Counter(serverLimits).Inc()
	}
	j.log.Info("server notice received", "server", server.ID, "pool", server.Pool, "status", resp.StatusCode,
		"draining", announced.Draining, "backoff", announced.Backoff, "limit", announced.Limit)
}

// relayResponse passes on a signed response, unless it can't follow what the caller has
// received, or says more than the server has stated.
func (j *job) relayResponse(ctx context.Context, w http.ResponseWriter, resp *http.Response, class call.ResponseClass, prompt *promptTracker) sendResult {
	events := isEventStream(resp)
	switch {
	case !j.Accepts(class, events):
		// Its body isn't awaited, so that another server can continue at once.
		if j.Begun {
			j.log.Info("response does not continue the stream", "server", j.server, "status", resp.StatusCode, "class", class,
				"contentType", resp.Header.Get("Content-Type"), "lastEvent", j.LastEventID)
		}
		return serverError{status: resp.StatusCode}
	case class == call.Failed:
		return j.relayServerError(w, resp)
	case events:
		return j.relayEvents(ctx, w, resp, prompt)
	default:
		return j.relayBuffered(w, resp, prompt)
	}
}

// framed reports whether the response says where its body ends. A response to HEAD ends with its head.
func framed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Request.Method == http.MethodHead
}

// errUnframed is the error of a response of which only the head has arrived, and which may have had a body.
var errUnframed = errors.New("the response has neither framing nor a body")

// drainBody reads a short body to its end, so that the connection can be reused.
func drainBody(resp *http.Response) {
	// After an error the connection is closed, which needs no handling here.
	_, _ = io.CopyN(io.Discard, resp.Body, maxBufferedBytes)
}

func isEventStream(resp *http.Response) bool {
	return strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

// relayBuffered passes on a response once it has arrived completely.
func (j *job) relayBuffered(w http.ResponseWriter, resp *http.Response, prompt *promptTracker) sendResult {
	body, complete, err := j.readBody(resp.Body)
	if err != nil {
		return unknownOutcome{reason: refusal.ServerFailed, err: err}
	}
	if !call.Whole(framed(resp), len(body)) {
		return unknownOutcome{reason: refusal.ServerFailed, err: errors.WithStack(errUnframed)}
	}
	prompt.markPromptRead()
	if !complete {
		return j.relayLarge(w, resp, body)
	}
	j.writeResponse(w, &bufferedResponse{status: resp.StatusCode, header: resp.Header, body: body})
	j.possibleRuns++
	return responseRelayed{}
}

// relayLarge passes on a response that can't be buffered. prefix is the part already
// read.
func (j *job) relayLarge(w http.ResponseWriter, resp *http.Response, prefix []byte) sendResult {
	j.service.codec.CopyResponseHeader(w.Header(), resp.Header)
	if resp.ContentLength >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	j.Begun = true
	w.WriteHeader(resp.StatusCode)
	j.status = resp.StatusCode
	if _, err := io.Copy(w, io.MultiReader(bytes.NewReader(prefix), resp.Body)); err != nil {
		// Either connection may have failed. In both cases the response cannot be
		// continued.
		return callerDisconnected{err: err}
	}
	j.possibleRuns++
	j.complete = true
	return responseRelayed{}
}

// relayServerError passes on an error response of the server, unless it is a 5xx
// response to a repeatable request, to which another server may respond successfully.
func (j *job) relayServerError(w http.ResponseWriter, resp *http.Response) sendResult {
	body, complete, err := j.readBody(resp.Body)
	if err != nil {
		return unknownOutcome{reason: refusal.ServerFailed, err: err}
	}
	if !call.Whole(framed(resp), len(body)) {
		return unknownOutcome{reason: refusal.ServerFailed, err: errors.WithStack(errUnframed)}
	}
	buffered := &bufferedResponse{status: resp.StatusCode, header: resp.Header, body: body}
	final := resp.StatusCode < http.StatusInternalServerError || !j.route.Kind.Repeatable()
	switch {
	case !complete && final:
		return j.relayLarge(w, resp, body)
	case !complete:
		return unknownOutcome{reason: refusal.ServerFailed, err: errors.Errorf("response of status %d has %d bytes or more", resp.StatusCode, len(body))}
	case final:
		j.writeResponse(w, buffered)
		j.possibleRuns++
		return responseRelayed{}
	}
	return serverError{status: resp.StatusCode, resp: buffered}
}

// writeResponse writes a complete response to the caller.
func (j *job) writeResponse(w http.ResponseWriter, a *bufferedResponse) {
	j.service.codec.CopyResponseHeader(w.Header(), a.header)
	if length := j.contentLength(a); length != "" {
		w.Header().Set("Content-Length", length)
	}
	w.WriteHeader(a.status)
	if _, err := w.Write(a.body); err != nil {
		j.log.Info("caller disconnected", "error", err)
	}
	j.status, j.complete = a.status, true
}

// contentLength returns the length that a complete response states, or "" if it states none. Responses that have no body
// state that of the body which another request would get.
func (j *job) contentLength(a *bufferedResponse) string {
	switch {
	case a.status == http.StatusNoContent:
		return ""
	case a.status == http.StatusNotModified, j.request.Method == http.MethodHead:
		return a.header.Get("Content-Length")
	default:
		return strconv.Itoa(len(a.body))
	}
}

// reportToBalancer reports the result of a send to the balancer.
func (j *job) reportToBalancer(ctx context.Context, id string, prompt *promptTracker, result sendResult) {
	// The silence of a server was reported when it was noticed.
	cancelled := exchange.Ended(ctx) != nil
	now := time.Now()
	j.service.catalog.WithBalancer(j.pool.Name, func(b *balance.Balancer) {
		if !prompt.promptRead {
			// The prompt was not read as far as is known. Remove it from the prompts
			// that wait at the server.
			b.RecordUnread(id, prompt.request, prompt.cachedTokens)
		}
		b.RecordEnd(id, prompt.request)
		switch result := result.(type) {
		case responseRelayed:
			if j.status >= http.StatusInternalServerError {
				b.RecordFailure(id)
				b.RecordRejected(now, id)
				return
			}
			b.RecordSuccess(id)
		case endUnproven:
			b.RecordSuccess(id)
		case serverError:
			b.RecordFailure(id)
			b.RecordRejected(now, id)
		case notRun:
			if result.evidence == call.ServerStatement {
				b.RecordRejected(now, id)
			}
			if !result.ownShortage && result.reason != refusal.QueueFull && result.evidence != call.NotBegun && !cancelled {
				b.RecordUnreachable(now, id)
			}
		case unknownOutcome:
			if !cancelled && !result.ownShortage {
				b.RecordUnreachable(now, id)
			}
		}
	})
}

// reportToQuarantine reports the result of a send to the quarantine. A server that fails a request
// has not crashed under it. One that crashes soon after a send was given up may have done so under it,
// unless the caller left.
func (j *job) reportToQuarantine(ctx context.Context, server roster.Server, prompt *promptTracker, result sendResult) {
	q := j.service.quarantine
	switch result.(type) {
	case responseRelayed:
		if j.status < http.StatusMultipleChoices {
			prompt.reportAnswer()
			return
		}
		q.RecordAnswer(j.subjects[:1])
	case serverError:
		q.RecordAnswer(j.subjects[:1])
	case unknownOutcome:
		if !errors.Is(context.Cause(ctx), context.Canceled) && !prompt.answered(time.Now()) {
			q.RecordBroken(quarantine.Server{ID: server.ID, Address: server.Address, Started: server.Started}, j.subjects)
		}
	}
}

// logSend logs a send without a response for the caller, and counts those that were given up for the cause. Their
// connections are closed by now.
func (j *job) logSend(choice balance.Choice, sends int, elapsed time.Duration, result sendResult, abandoned string) {
	if abandoned != "" {
		j.service.metrics.Counter(sendsAbandoned + `{cause="` + abandoned + `"}`).Inc()
	}
	pairs := []any{
		"server", choice.Server.ID, "version", choice.Server.Version, "send", sends, "took", elapsed.Round(time.Millisecond),
		"predicted", choice.PredictedLatency.Round(time.Millisecond), "trial", choice.Trial, "events", j.Events, "strained", j.service.strain.Strained(),
	}
	switch result := result.(type) {
	case notRun:
		pairs = append(pairs, "reason", result.reason, "evidence", result.evidence)
		if result.evidence.Unsent() {
			pairs = append(pairs, "error", result.err)
		} else {
			pairs = append(pairs, "status", result.status, "reused", result.reused)
		}
		j.log.Info("send not run", pairs...)
	case unknownOutcome:
		j.log.Info("send outcome unknown", append(pairs, "workspace", j.workspace.Name, "segments", j.segments, "fingerprint", j.fingerprint,
			"first", j.timeToFirstEvent.Round(time.Millisecond), "reason", result.reason, "abandoned", abandoned, "error", result.err)...)
	case endUnproven:
		j.log.Info("end of stream not proven", append(pairs, "lastEvent", j.LastEventID, "tokens", j.tokensOf(j.Events), "outputTokens", j.request.OutputTokens)...)
	case callerDisconnected:
		j.log.Info("caller disconnected", append(pairs, "abandoned", abandoned, "error", result.err)...)
	case serverError:
		j.log.Info("send failed", append(pairs, "status", result.status)...)
	}
}

// sharedSegments returns the ids of the prompt's segments but the last, which is specific to
// the request.
func sharedSegments(prefix []call.PrefixSegment) []string {
	var ids []string
	for i := 0; i+1 < len(prefix); i++ {
		ids = append(ids, prefix[i].ID)
	}
	return ids
}

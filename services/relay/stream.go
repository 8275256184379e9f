package relay

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/balance"
	"github.com/crocusline/crocusline/models/call"
	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/models/roster"
)

const (
	// maxEventBytes is the maximum size of one event.
	maxEventBytes = 64 << 10
	// maxSkippedBytes limits the events of a response that the caller has received before. A server
	// that resumes a stream too early repeats each of them once.
	maxSkippedBytes = 512 << 10
)

// streamProgress is the part of the response that was sent to the caller.
type streamProgress struct {
	call.Progress
	// complete is set when the whole response was written.
	complete bool
}

// promptTracker reports to the balancer when a server has read the prompt of a
// request, which is assumed at its first event or response body.
type promptTracker struct {
	job *job
	// server is the one that the request was sent to, openedAt when the connection was established, and
	// reused whether it had carried other requests.
	server       roster.Server
	openedAt     time.Time
	reused       bool
	request      balance.Request
	cachedTokens int64
	// sentAt is when the request was sent, and predicted the expected time to its first event.
	sentAt    time.Time
	predicted time.Duration
	// silence is the monitor of the send until its first event, or nil. It restarts with each part of
	// the response.
	silence    *silenceMonitor
	promptRead bool
	// firstEventAt is when the server sent its first event or the response body.
	firstEventAt time.Time
	// originChecked is set once the version of the server was checked.
	originChecked bool
	// answerReported is set once the answer was reported to the quarantine.
	answerReported bool
}

// answerTime is how long a server must have sent events until it counts as having answered
// the prompt.
const answerTime = time.Second

// answered reports whether the server had begun to answer a while ago.
func (p *promptTracker) answered(now time.Time) bool {
	return p.promptRead && now.Sub(p.firstEventAt) >= answerTime
}

// markPromptRead is called for each event or response body and handles the first.
func (p *promptTracker) markPromptRead() {
	if p.promptRead {
		return
	}
	p.promptRead = true
	p.silence.stop()
	now := time.Now()
	p.firstEventAt = now
	j := p.job
	if j.timeToFirstEvent == 0 {
		j.timeToFirstEvent = now.Sub(j.request.ArrivedAt)
		j.service.histogram("crocusline_first_event_seconds", j.route.Kind).Update(j.timeToFirstEvent.Seconds())
	}
	if p.predicted > 0 {
		j.service.histogram("crocusline_first_event_prediction_ratio", j.route.Kind).Update(now.Sub(p.sentAt).Seconds() / p.predicted.Seconds())
	}
	j.service.catalog.WithBalancer(j.pool.Name, func(b *balance.Balancer) { b.RecordFirstEvent(now, p.server.ID, p.request, p.cachedTokens) })
}

// watch restarts the silence monitor now and whenever a part of the body arrives.
func (p *promptTracker) watch(body io.ReadCloser) io.ReadCloser {
	if p.silence == nil {
		return body
	}
	p.silence.restart()
	return &watchedBody{ReadCloser: body, silence: p.silence}
}

// watchedBody is the body of a response whose parts restart the silence monitor.
type watchedBody struct {
	io.ReadCloser
	silence *silenceMonitor
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.silence.restart()
	}
	return n, err
}

// reportAnswer reports to the quarantine that the server answers the prompt.
func (p *promptTracker) reportAnswer() {
	if !p.answerReported {
		p.answerReported = true
		p.job.service.quarantine.RecordAnswer(p.job.subjects)
	}
}

// relayEvents passes on events as they arrive, each only when it is complete.
func (j *job) relayEvents(ctx context.Context, w http.ResponseWriter, resp *http.Response, prompt *promptTracker) sendResult {
	reader := bufio.NewReader(resp.Body)
	buffer := j.newBuffer()
	defer buffer.release()
	passed, skippedBytes := 0, 0
	last := j.LastEventID
	for {
		event, err := readEvent(reader, buffer)
		if endedBetweenEvents(resp, event, err) {
			return j.endStream(ctx, w, resp, prompt, streamEnd{passed: passed, last: last, rest: event, err: err})
		}
		if err != nil {
			return unknownOutcome{reason: refusal.ServerFailed, err: err}
		}
		if !call.WellFormed(event, j.service.codec.AddedEventField) {
			return unknownOutcome{reason: refusal.ServerFailed, err: errors.Errorf("%d bytes after event %q are no event", len(event), last)}
		}
		prompt.markPromptRead()
		id := eventID(event)
		last = id
		if j.Includes(id) {
			if skippedBytes += len(event); skippedBytes > maxSkippedBytes {
				return unknownOutcome{reason: refusal.ServerFailed, err: errors.Errorf("server repeats event %s: more than %d bytes skipped", id, maxSkippedBytes)}
			}
			continue
		}
		if passed == 0 && ctx.Err() != nil {
			// Nothing can follow this event over a connection that was given up.
			return unknownOutcome{reason: refusal.ServerFailed, err: errors.WithStack(context.Cause(ctx))}
		}
		if passed == 0 && !j.Continues(id) {
			return unknownOutcome{reason: refusal.ServerFailed, err: errors.Errorf("event %q does not continue the stream after event %q", id, j.LastEventID)}
		}
		passed++
		if err := j.checkOrigin(ctx, prompt); err != nil {
			return unknownOutcome{reason: refusal.ServerFailed, err: err}
		}
		j.writeHeader(w, resp)
		if _, err := w.Write(event); err != nil {
			return callerDisconnected{err: errors.WithStack(err)}
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return callerDisconnected{err: errors.WithStack(err)}
		}
		j.RecordEvent(id)
		if prompt.answered(time.Now()) {
			prompt.reportAnswer()
		}
	}
}

// streamEnd is the end of a response in order, between two events.
type streamEnd struct {
	// passed is the number of events of the response that were passed on, and last the id of its last
	// event, or of the one after which it continued the stream.
	passed int
	last   string
	// rest are the empty lines and comments after the last event.
	rest []byte
	err  error
}

// endedBetweenEvents reports whether a stream ended in order with the rest of it and the error.
func endedBetweenEvents(resp *http.Response, rest []byte, err error) bool {
	return (errors.Is(err, io.EOF) || errors.Is(err, errEndInEvent)) && call.EndsBetweenEvents(framed(resp), rest)
}

// endStream ends the stream if its end is proven. What another version ended proves nothing about the
// stream.
func (j *job) endStream(ctx context.Context, w http.ResponseWriter, resp *http.Response, prompt *promptTracker, end streamEnd) sendResult {
	if j.origin.Known() {
		if err := j.checkOrigin(ctx, prompt); err != nil {
			return unknownOutcome{reason: refusal.ServerFailed, err: err}
		}
	}
	if j.EndsEarlier(end.last) {
		return unknownOutcome{reason: refusal.ServerFailed, err: errors.Errorf("response ends with event %q, and the caller has received event %q", end.last, j.LastEventID)}
	}
	confirmed := !framed(resp) && j.endConfirmed(ctx, prompt, end.last)
	switch {
	case !confirmed && !call.Whole(framed(resp), end.passed):
		return unknownOutcome{reason: refusal.ServerFailed, err: end.err}
	case !confirmed && j.endUnproven(resp):
		return endUnproven{}
	}
	j.writeHeader(w, resp)
	if _, err := w.Write(end.rest); err != nil {
		return callerDisconnected{err: errors.WithStack(err)}
	}
	j.complete = true
	j.possibleRuns++
	return responseRelayed{}
}

// writeHeader writes the status line and header, unless they were written before.
func (j *job) writeHeader(w http.ResponseWriter, resp *http.Response) {
	if j.Begun {
		return
	}
	j.Begun = true
	j.status = resp.StatusCode
	j.service.codec.CopyResponseHeader(w.Header(), resp.Header)
	w.WriteHeader(resp.StatusCode)
}

// errEndInEvent is returned if a stream ends in order after bytes that are no whole event.
var errEndInEvent = errors.WithMessage(io.ErrUnexpectedEOF, "the stream ends within an event")

// readEvent returns the next event, including the empty line that ends it. It is valid until the
// buffer is used again. If the stream ends within an event, it returns the bytes read and an error
// other than io.EOF.
func readEvent(reader *bufio.Reader, buffer *responseBuffer) ([]byte, error) {
	buffer.data = buffer.data[:0]
	// lineStart is where the current line begins. ReadSlice returns a long line in parts.
	lineStart := 0
	for {
		part, err := reader.ReadSlice('\n')
		if !buffer.grow(len(part), maxEventBytes) {
			return buffer.data, errors.Errorf("event exceeds %d bytes or what can be buffered", maxEventBytes)
		}
		buffer.data = append(buffer.data, part...)
		event := buffer.data
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(event) > 0:
			return event, errEndInEvent
		case err != nil:
			return event, err
		case len(bytes.TrimRight(event[lineStart:], "\r\n")) == 0 && call.HasField(event):
			return event, nil
		default:
			lineStart = len(event)
		}
	}
}

var idField = []byte("id:")

// eventID returns the id of an event, or "" if it has none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, found := bytes.CutPrefix(line, idField); found {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

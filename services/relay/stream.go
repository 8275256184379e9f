package relay

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/balance"
	"github.com/crocusline/crocusline/models/refusal"
)

// maxEventBytes bounds one event.
const maxEventBytes = 64 << 10

// streamProgress is how far an answer has got at the caller.
type streamProgress struct {
	// headerWritten says that the head of the answer was written.
	headerWritten bool
	// eventsSent counts the eventsSent passed on, and lastID is the id of the last.
	eventsSent  int64
	lastEventID string
	// complete says that the caller has all of the answer.
	complete bool
}

// promptTracker notes when a server has read a request's prompt.
type promptTracker struct {
	job          *job
	serverID     string
	work         balance.Request
	cachedTokens int64
	// silenceTimer ends a send to a silent server; nil if nothing does.
	silenceTimer *time.Timer
	promptRead   bool
}

// markPromptRead notes the markPromptRead event, or the answer.
func (r *promptTracker) markPromptRead() {
	if r.promptRead {
		return
	}
	r.promptRead = true
	if r.silenceTimer != nil {
		r.silenceTimer.Stop()
	}
	now := time.Now()
	j := r.job
	if j.timeToFirstEvent == 0 {
		j.timeToFirstEvent = now.Sub(j.request.ArrivedAt)
		j.service.histogram("crocusline_first_event_seconds", j.route.Kind).Update(j.timeToFirstEvent.Seconds())
	}
	j.service.catalog.WithBalancer(j.pool.Name, func(b *balance.Balancer) { b.RecordFirstEvent(now, r.serverID, r.work, r.cachedTokens) })
}

// relayEvents passes events on as they arrive, each one whole.
func (j *job) relayEvents(w http.ResponseWriter, resp *http.Response, read *promptTracker) sendResult {
	from := bufio.NewReader(resp.Body)
	for {
		event, err := readEvent(from)
		if errors.Is(err, io.EOF) && len(event) == 0 {
			j.writeHeader(w, resp)
			j.complete = true
			j.possibleRuns++
			return responseRelayed{}
		}
		if err != nil {
			return unknownOutcome{reason: refusal.ServerFailed, err: err}
		}
		read.markPromptRead()
		if j.alreadySent(event) {
			continue
		}
		j.writeHeader(w, resp)
		if _, err := w.Write(event); err != nil {
			return callerDisconnected{err: errors.WithStack(err)}
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return callerDisconnected{err: errors.WithStack(err)}
		}
		j.eventsSent++
		if id := eventID(event); id != "" {
			j.lastEventID = id
		}
	}
}

// writeHeader writes the head of the answer, once.
func (j *job) writeHeader(w http.ResponseWriter, resp *http.Response) {
	if j.headerWritten {
		return
	}
	j.headerWritten = true
	j.status = resp.StatusCode
	j.service.messages.CopyResponseHeader(w.Header(), resp.Header)
	w.WriteHeader(resp.StatusCode)
}

// alreadySent says whether the caller already has the event, as after a resumption that
// begins too early.
func (j *job) alreadySent(event []byte) bool {
	if j.eventsSent == 0 {
		return false
	}
	last, err1 := strconv.ParseInt(j.lastEventID, 10, 64)
	id, err2 := strconv.ParseInt(eventID(event), 10, 64)
	return err1 == nil && err2 == nil && id <= last
}

// readEvent returns the next event with the empty line that ends it. Bytes before
// an early end are returned with an error that is not io.EOF.
func readEvent(from *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := from.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(event) > 0:
			return event, errors.WithStack(io.ErrUnexpectedEOF)
		case err != nil:
			return event, err
		case len(bytes.TrimRight(line, "\r\n")) == 0 && len(event) > len(line):
			return event, nil
		}
		if len(event) > maxEventBytes {
			return event, errors.Errorf("an event is larger than %d bytes", maxEventBytes)
		}
	}
}

var idField = []byte("id:")

// eventID returns an event's id, or "".
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, found := bytes.CutPrefix(line, idField); found {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

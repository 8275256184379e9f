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

// mostEvent bounds one event.
const mostEvent = 64 << 10

// stream is how far an answer has got at the caller.
type stream struct {
	// committed says that the head of the answer was written.
	committed bool
	// events counts the events passed on, and lastID is the id of the last.
	events int64
	lastID string
	// whole says that the caller has all of the answer.
	whole bool
}

// reading notes when a server has read a request's prompt.
type reading struct {
	job    *job
	id     string
	work   balance.Request
	cached int64
	// patience ends a send to a silent server; nil if nothing does.
	patience *time.Timer
	done     bool
}

// first notes the first event, or the answer.
func (r *reading) first() {
	if r.done {
		return
	}
	r.done = true
	if r.patience != nil {
		r.patience.Stop()
	}
	now := time.Now()
	j := r.job
	if j.first == 0 {
		j.first = now.Sub(j.request.ArrivedAt)
		j.service.histogram("crocusline_first_event_seconds", j.route.Kind).Update(j.first.Seconds())
	}
	j.service.catalog.WithBalancer(j.pool.Name, func(b *balance.Balancer) { b.RecordFirstEvent(now, r.id, r.work, r.cached) })
}

// relayEvents passes events on as they arrive, each one whole.
func (j *job) relayEvents(w http.ResponseWriter, resp *http.Response, read *reading) outcome {
	from := bufio.NewReader(resp.Body)
	for {
		event, err := readEvent(from)
		if errors.Is(err, io.EOF) && len(event) == 0 {
			j.commit(w, resp)
			j.whole = true
			j.ran++
			return relayed{}
		}
		if err != nil {
			return lost{reason: refusal.ServerFailed, err: err}
		}
		read.first()
		if j.seen(event) {
			continue
		}
		j.commit(w, resp)
		if _, err := w.Write(event); err != nil {
			return callerGone{err: errors.WithStack(err)}
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return callerGone{err: errors.WithStack(err)}
		}
		j.events++
		if id := idOf(event); id != "" {
			j.lastID = id
		}
	}
}

// commit writes the head of the answer, once.
func (j *job) commit(w http.ResponseWriter, resp *http.Response) {
	if j.committed {
		return
	}
	j.committed = true
	j.answered = resp.StatusCode
	j.service.messages.CopyResponseHeader(w.Header(), resp.Header)
	w.WriteHeader(resp.StatusCode)
}

// seen says whether the caller already has the event, as after a resumption that
// begins too early.
func (j *job) seen(event []byte) bool {
	if j.events == 0 {
		return false
	}
	last, err1 := strconv.ParseInt(j.lastID, 10, 64)
	id, err2 := strconv.ParseInt(idOf(event), 10, 64)
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
		if len(event) > mostEvent {
			return event, errors.Errorf("an event is larger than %d bytes", mostEvent)
		}
	}
}

var idField = []byte("id:")

// idOf returns an event's id, or "".
func idOf(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, found := bytes.CutPrefix(line, idField); found {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

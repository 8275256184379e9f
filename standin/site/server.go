package site

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/crocusline/crocusline/modules/delay"
)

// SlowPause is the pause between two of the slowPieces pieces of a slow response, and between the
// events of a slow stream. PacedPause is that between the events of a paced stream, unless the server
// has another.
const (
	SlowPause  = 250 * time.Millisecond
	PacedPause = 100 * time.Millisecond
	slowPieces = 6
)

// PacedBody is the body of requests whose streams a Server paces when it serves normally.
const PacedBody = "paced"

// LargeBodySize is the size in bytes of a response that is too large to be buffered.
const LargeBodySize = 600 << 10

// Behaviour selects how a Server responds to a request.
type Behaviour int

// Behaviours of a Server.
const (
	// Serve executes the request and responds normally.
	Serve Behaviour = iota
	// Shed responds 503 with Not-Executed, without executing the request.
	Shed
	// Misdirect responds 421 with the Instance-Id of another server, as after
	// the address was reassigned.
	Misdirect
	// Fail executes the request and responds 500.
	Fail
	// FailLarge executes the request and responds 500 with a body of LargeBodySize.
	FailLarge
	// FailAsRefused executes the request and responds 503 without Not-Executed.
	FailAsRefused
	// Reject executes the request and responds 404 with a JSON body.
	Reject
	// RespondWhole executes the request and responds 200 with a body that is no stream.
	RespondWhole
	// RestartUnframed executes the request from its first event on and closes the connection
	// after it, in a response without length or chunks.
	RestartUnframed
	// StopUnframed executes the request, sends the first half of its events, and closes the
	// connection, in a response without length or chunks.
	StopUnframed
	// ServeUnframed sends all events in such a response.
	ServeUnframed
	// AbortUnnumbered sends events without ids and closes the connection in the middle of the
	// response body.
	AbortUnnumbered
	// Unsigned responds 200 without the Response-Seal header.
	Unsigned
	// Hang executes the request and sends no response until the client
	// disconnects.
	Hang
	// Reset executes the request and closes the connection without a response.
	Reset
	// AbortResponse closes the connection in the middle of the response body.
	AbortResponse
	// EndUnframed executes the request and sends the header of a response without length or
	// chunks, then closes the connection.
	EndUnframed
	// SlowResponse executes the request and sends the response in pieces, with a pause of
	// SlowPause before each.
	SlowResponse
	// SlowEvents executes the request and sends the events of its stream with a pause of SlowPause
	// before each.
	SlowEvents
	// PacedEvents executes the request and sends the events of its stream with a pause of PacedPause
	// before each, until the client disconnects.
	PacedEvents
	// PacedAbort does so and closes the connection in the middle of the response body.
	PacedAbort
	// RepeatEvents executes the request, sends the first half of its events, and repeats the last
	// of them until the client disconnects.
	RepeatEvents
	// ResumeFromFirst executes the request and sends the events from the first one on, whichever the
	// client has received.
	ResumeFromFirst
	// ResumeEarly sends the last events that the client has received once more, and ResumeLate leaves
	// out some of those that follow.
	ResumeEarly
	ResumeLate
	// WrongRequestID responds with the Request-Id of another request.
	WrongRequestID
)

// ReceivedRequest is a request as a Server received it.
type ReceivedRequest struct {
	ID     string
	Method string
	Target string
	Header http.Header
	Body   string
	// At is when the request was read.
	At time.Time
}

// Server simulates a backend server. It applies its behaviours to successive
// requests in order and repeats the last one.
type Server struct {
	ID     string
	events int
	http   *httptest.Server

	mu         sync.Mutex
	behaviours []Behaviour
	requests   []ReceivedRequest
	executions map[string]int
	// ends holds when the server ended its work on a request.
	ends      map[string]time.Time
	cancelled int
	// leaving is the value of Server-Leaving in all responses, and retryAfter that of Retry-After
	// in the rejections of a server that turns all requests away. Empty values aren't sent.
	leaving    string
	rejectsAll bool
	retryAfter string
	// limit is the value of Server-Limit in all responses.
	limit string
	// started is the start that the server reports, in ms since 1970, or 0.
	started int64
	// version is named by the events of streams, unless it is empty.
	version string
	// pacedPause is the pause between the events of a paced stream.
	pacedPause time.Duration
}

// NewServer starts a server whose streamed responses have the given number of
// events. Without behaviours it serves every request.
func NewServer(id string, events int, behaviour ...Behaviour) *Server {
	s := &Server{ID: id, events: events, behaviours: behaviour, executions: map[string]int{}, pacedPause: PacedPause}
	s.http = httptest.NewServer(s)
	return s
}

// Behave applies the behaviours to the next requests in order, and repeats the last one.
func (s *Server) Behave(behaviours ...Behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behaviours = behaviours
}

// Close shuts the server down.
func (s *Server) Close() { s.http.Close() }

// SetDraining makes all responses say that the server leaves, with this value.
func (s *Server) SetDraining(value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = value
}

// SetPacedPause sets the pause between the events of later paced streams.
func (s *Server) SetPacedPause(pause time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pacedPause = pause
}

// SetLimit makes all responses name this limit of requests per second.
func (s *Server) SetLimit(value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = value
}

// RejectAll makes the server reject all requests with 503 and this Retry-After, or accept them
// again.
func (s *Server) RejectAll(on bool, retryAfter string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejectsAll, s.retryAfter = on, retryAfter
}

// writeNotice writes the header fields in which the server notice received, and reports whether it
// turns the request away.
func (s *Server) writeNotice(h http.Header) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving != "" {
		h.Set("Server-Leaving", s.leaving)
	}
	if s.limit != "" {
		h.Set("Server-Limit", s.limit)
	}
	if s.rejectsAll && s.retryAfter != "" {
		h.Set("Retry-After", s.retryAfter)
	}
	return s.rejectsAll
}

// Address returns the server's listen address.
func (s *Server) Address() netip.AddrPort {
	return netip.MustParseAddrPort(strings.TrimPrefix(s.http.URL, "http://"))
}

// Requests returns all received requests in order of arrival.
func (s *Server) Requests() []ReceivedRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]ReceivedRequest(nil), s.requests...)
}

// ExecutionCount returns how often the server executed the request with the id.
func (s *Server) ExecutionCount(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executions[id]
}

// CancelledCount returns how many hanging requests the client has cancelled.
func (s *Server) CancelledCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cancelled
}

// nextBehaviour records a request and returns the behaviour to apply to it.
func (s *Server) nextBehaviour(r *http.Request, body string) Behaviour {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, ReceivedRequest{
		ID: r.Header.Get("Request-Id"), Method: r.Method, Target: r.RequestURI, Header: r.Header.Clone(), Body: body, At: time.Now(),
	})
	if len(s.behaviours) == 0 {
		return Serve
	}
	b := s.behaviours[0]
	if len(s.behaviours) > 1 {
		s.behaviours = s.behaviours[1:]
	}
	return b
}

func (s *Server) countExecution(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions[id]++
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == reportPath {
		s.respondReport(w)
		return
	}
	var body strings.Builder
	buffer := make([]byte, 32<<10)
	for {
		n, err := r.Body.Read(buffer)
		body.Write(buffer[:n])
		if err != nil {
			break
		}
	}
	id := r.Header.Get("Request-Id")
	b := s.nextBehaviour(r, body.String())
	w.Header().Set("Request-Id", id)
	if expected := r.Header.Get("Expect-Instance"); b == Misdirect || expected != s.ID {
		w.Header().Set("Instance-Id", "another")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if s.writeNotice(w.Header()) || b == Shed {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if b == Serve && body.String() == PacedBody {
		b = PacedEvents
	}
	s.countExecution(id)
	defer s.recordEnd(id)
	w.Header().Set("Response-Seal", "seal-of-"+s.ID)
	s.respond(w, r, b)
}

func (s *Server) respond(w http.ResponseWriter, r *http.Request, b Behaviour) {
	switch b {
	case Fail, FailAsRefused:
		w.WriteHeader(map[Behaviour]int{Fail: http.StatusInternalServerError, FailAsRefused: http.StatusServiceUnavailable}[b])
		_, _ = w.Write([]byte("failed"))
		return
	case FailLarge:
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = w.Write(make([]byte, LargeBodySize))
		return
	case Reject:
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusNotFound)
		_, _ = w.Write([]byte(rejectBody))
		return
	case RespondWhole:
		s.respondPlain(w, b)
		return
	case RestartUnframed:
		endUnframed(w, VersionedEvent(1, s.Version()))
		return
	case StopUnframed, ServeUnframed:
		s.respondUnframed(w, b)
		return
	case Hang:
		<-r.Context().Done()
		s.mu.Lock()
		s.cancelled++
		s.mu.Unlock()
		return
	case Reset:
		panic(http.ErrAbortHandler)
	case EndUnframed:
		endUnframed(w, "")
		return
	case Unsigned:
		w.Header().Del("Response-Seal")
	case WrongRequestID:
		w.Header().Set("Request-Id", "another")
	default:
	}
	if r.Header.Get("Model") == "" {
		s.respondPlain(w, b)
		return
	}
	s.respondEvents(w, r, b)
}

// rejectBody is the body of a response to a request that the server rejects.
const rejectBody = `{"error":"no such document"}`

// respondUnframed sends half of the events or all of them, and closes the connection.
func (s *Server) respondUnframed(w http.ResponseWriter, b Behaviour) {
	version := s.Version()
	last := s.events
	if b == StopUnframed {
		last /= 2
	}
	var events strings.Builder
	for id := range last {
		events.WriteString(VersionedEvent(id+1, version))
	}
	endUnframed(w, events.String())
}

// endUnframed sends the header of a stream that ends with its connection and the events, and
// closes the connection.
func endUnframed(w http.ResponseWriter, events string) {
	netConn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = netConn.Close() }()
	_, _ = netConn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n"))
	_ = w.Header().Write(netConn)
	_, _ = netConn.Write([]byte("\r\n" + events))
}

func (s *Server) respondPlain(w http.ResponseWriter, b Behaviour) {
	body := "answer of " + s.ID
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if b == SlowResponse {
		for i := range slowPieces {
			time.Sleep(SlowPause)
			_, _ = w.Write([]byte(body[i*len(body)/slowPieces : (i+1)*len(body)/slowPieces]))
			_ = http.NewResponseController(w).Flush()
		}
		return
	}
	if b == AbortResponse {
		_, _ = w.Write([]byte(body[:4]))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write([]byte(body))
}

// Event returns the server-sent event with the id, as a Server encodes it.
func Event(id int) string { return fmt.Sprintf("id: %d\ndata: token %d\n\n", id, id) }

func (s *Server) respondEvents(w http.ResponseWriter, r *http.Request, b Behaviour) {
	s.mu.Lock()
	version, pause := s.version, s.pacedPause
	s.mu.Unlock()
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = resumeAt(b, last)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for id := first; id <= s.events; id++ {
		event := VersionedEvent(id, version)
		if b == AbortUnnumbered {
			event = fmt.Sprintf("data: token %d\n\n", id)
		}
		if (b == AbortResponse || b == AbortUnnumbered || b == PacedAbort) && id == first+s.events/2 {
			_, _ = w.Write([]byte(event[:len(event)/2]))
			_ = http.NewResponseController(w).Flush()
			// Gives the partial event time to reach the client before the
			// connection closes.
			time.Sleep(time.Millisecond)
			panic(http.ErrAbortHandler)
		}
		switch {
		case b == SlowEvents:
			time.Sleep(SlowPause)
		case (b == PacedEvents || b == PacedAbort) && !delay.Wait(r.Context(), pause):
			return
		}
		_, _ = w.Write([]byte(event))
		_ = http.NewResponseController(w).Flush()
		if b == RepeatEvents && id >= s.events/2 {
			repeatUntilDone(r.Context(), w, event)
			return
		}
	}
}

// resumeAt returns the first event that is sent to a client whose last event is known.
func resumeAt(b Behaviour, last int) int {
	const shift = 2
	switch b {
	case ResumeFromFirst:
		return 1
	case ResumeEarly:
		return max(1, last+1-shift)
	case ResumeLate:
		return last + 1 + shift
	default:
		return last + 1
	}
}

// repeatUntilDone sends an event until the client disconnects.
func repeatUntilDone(ctx context.Context, w http.ResponseWriter, event string) {
	block := []byte(strings.Repeat(event, 1000))
	for ctx.Err() == nil {
		_, _ = w.Write(block)
	}
}

package site

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Behaviour is how a server treats a request.
type Behaviour int

// The behaviours.
const (
	// Serve answers.
	Serve Behaviour = iota
	// Shed refuses without running the request.
	Shed
	// Misdirect answers as another server at the same address.
	Misdirect
	// Fail runs the request and answers 500.
	Fail
	// Unsigned answers 200 without the signature.
	Unsigned
	// Hang accepts the request and answers nothing.
	Hang
	// Reset runs the request and breaks the connection.
	Reset
	// AbortResponse breaks the connection in the middle of the answer.
	AbortResponse
	// WrongRequestID answers with the id of another request.
	WrongRequestID
)

// ReceivedRequest is a request as a server got it.
type ReceivedRequest struct {
	ID     string
	Method string
	Target string
	Header http.Header
	Body   string
}

// Server is a backend server. Its behaviour for each request comes from a list;
// after its end the last one stays.
type Server struct {
	ID     string
	events int
	http   *httptest.Server

	mu         sync.Mutex
	behaviours []Behaviour
	requests   []ReceivedRequest
	executions map[string]int
	cancelled  int
}

// NewServer starts a server with that many events in each of its streams.
func NewServer(id string, events int, behaviour ...Behaviour) *Server {
	s := &Server{ID: id, events: events, behaviours: behaviour, executions: map[string]int{}}
	s.http = httptest.NewServer(s)
	return s
}

// Close ends the server.
func (s *Server) Close() { s.http.Close() }

// Address is where the server listens.
func (s *Server) Address() netip.AddrPort {
	return netip.MustParseAddrPort(strings.TrimPrefix(s.http.URL, "http://"))
}

// Requests returns the requests that arrived.
func (s *Server) Requests() []ReceivedRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]ReceivedRequest(nil), s.requests...)
}

// ExecutionCount returns how often a request ran here.
func (s *Server) ExecutionCount(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executions[id]
}

// CancelledCount returns how many hanging requests were broken off by their sender.
func (s *Server) CancelledCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cancelled
}

func (s *Server) nextBehaviour(r *http.Request, body string) Behaviour {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, ReceivedRequest{
		ID: r.Header.Get("Request-Id"), Method: r.Method, Target: r.RequestURI, Header: r.Header.Clone(), Body: body,
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
	if expected := r.Header.Get("Expect-Instance"); b == Misdirect || expected != s.ID {
		w.Header().Set("Instance-Id", "another")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if b == Shed {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.countExecution(id)
	w.Header().Set("Request-Id", id)
	w.Header().Set("Response-Seal", "seal-of-"+s.ID)
	s.respond(w, r, b)
}

func (s *Server) respond(w http.ResponseWriter, r *http.Request, b Behaviour) {
	switch b {
	case Fail:
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = w.Write([]byte("failed"))
		return
	case Hang:
		<-r.Context().Done()
		s.mu.Lock()
		s.cancelled++
		s.mu.Unlock()
		return
	case Reset:
		panic(http.ErrAbortHandler)
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

func (s *Server) respondPlain(w http.ResponseWriter, b Behaviour) {
	body := "answer of " + s.ID
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if b == AbortResponse {
		_, _ = w.Write([]byte(body[:4]))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write([]byte(body))
}

// Event returns an event of a stream.
func Event(id int) string { return fmt.Sprintf("id: %d\ndata: token %d\n\n", id, id) }

func (s *Server) respondEvents(w http.ResponseWriter, r *http.Request, b Behaviour) {
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for id := first; id <= s.events; id++ {
		event := Event(id)
		if b == AbortResponse && id == first+s.events/2 {
			_, _ = w.Write([]byte(event[:len(event)/2]))
			_ = http.NewResponseController(w).Flush()
			// The part of the event is on its way before the connection breaks.
			time.Sleep(time.Millisecond)
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write([]byte(event))
		_ = http.NewResponseController(w).Flush()
	}
}

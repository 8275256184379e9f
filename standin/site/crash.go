package site

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// CrashingServer is a server that crashes when it begins to write the response to a prompt with a
// certain segment, or to a request with a certain body. It starts again at the same address under
// another id.
type CrashingServer struct {
	name     string
	segment  string
	body     string
	downtime time.Duration
	address  netip.AddrPort
	listener net.Listener
	started  func(id, before string)

	mu       sync.Mutex
	server   *Server
	http     *http.Server
	crashes  []time.Time
	received []time.Time
	closed   bool
	running  sync.WaitGroup
}

// NewCrashingServer returns a server whose streamed responses have the number of events, and
// that crashes under prompts with the segment for the downtime. It listens, and serves after
// Start.
func NewCrashingServer(name string, events int, segment string, downtime time.Duration) (*CrashingServer, error) {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return &CrashingServer{
		name: name, segment: segment, downtime: downtime, listener: listener,
		address: listener.Addr().(*net.TCPAddr).AddrPort(),
		server:  &Server{events: events, executions: map[string]int{}},
	}, nil
}

// CrashUnder makes the server crash under requests with the body too.
func (s *CrashingServer) CrashUnder(body string) { s.body = body }

// Start starts the server. The function is called with the id of each start, and with that
// of the one before.
func (s *CrashingServer) Start(started func(id, before string)) {
	s.started = started
	s.serve(s.listener)
}

// serve starts the server under the next id.
func (s *CrashingServer) serve(listener net.Listener) {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		_ = listener.Close()
		return
	}
	before := s.server.ID
	s.server.ID = fmt.Sprintf("%s-%d", s.name, len(s.crashes))
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: time.Second}
	id, server := s.server.ID, s.http
	s.mu.Unlock()
	s.running.Go(func() { _ = server.Serve(listener) })
	s.started(id, before)
}

// Address returns the server's listen address.
func (s *CrashingServer) Address() netip.AddrPort { return s.address }

// Crashes returns when the server crashed, and Received when prompts with the segment arrived.
func (s *CrashingServer) Crashes() (crashes, received []time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append(crashes, s.crashes...), append(received, s.received...)
}

// Close stops the server for good.
func (s *CrashingServer) Close() error {
	s.mu.Lock()
	s.closed = true
	err := s.http.Close()
	s.mu.Unlock()
	s.running.Wait()
	return err
}

// ServeHTTP implements http.Handler.
func (s *CrashingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if !strings.Contains(r.Header.Get("Prompt-Prefix"), s.segment+":") && (s.body == "" || string(body) != s.body) {
		r.Body = io.NopCloser(bytes.NewReader(body))
		s.server.ServeHTTP(w, r)
		return
	}
	s.mu.Lock()
	s.received = append(s.received, time.Now())
	misdirected := r.Header.Get("Expect-Instance") != s.server.ID
	s.mu.Unlock()
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	if misdirected {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.Header.Get("Model") != "" {
		w.Header().Set("Response-Seal", "seal-of-"+s.name)
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
	}
	s.crash()
	panic(http.ErrAbortHandler)
}

// crash closes the listener and all connections, and starts the server again later.
func (s *CrashingServer) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.crashes = append(s.crashes, time.Now())
	crashed := s.http
	s.running.Go(func() {
		_ = crashed.Close()
		time.Sleep(s.downtime)
		if listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", s.address.String()); err == nil {
			s.serve(listener)
		}
	})
}

//go:build review

package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	heartbeat  = 1200 * time.Millisecond
	eventPause = 45 * time.Millisecond
)

// eventCount is the number of events of each stream.
const eventCount = 30

// event returns an event of a stream. All servers make the same.
func event(id int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id) }

// wholeStream is a stream from its first to its last event.
func wholeStream() string {
	var b strings.Builder
	for id := 1; id <= eventCount; id++ {
		b.WriteString(event(id))
	}
	return b.String()
}

// arrival is a request as a server received it.
type arrival struct {
	at     time.Time
	server string
	id     string
	ran    bool
	// line is the method and the target of the request.
	line string
}

// server plays a model server.
type server struct {
	id    string
	world *world

	mu       sync.Mutex
	address  string
	http     *http.Server
	sequence int
	// listed is whether the server writes its entry.
	listed atomic.Bool
	// failRatio is the part of the requests, in hundredths, that it fails.
	failRatio atomic.Int64
	counter   atomic.Int64
}

func newServer(w *world, id string) (*server, error) {
	s := &server{id: id, world: w}
	if err := s.start("127.0.0.1:0"); err != nil {
		return nil, err
	}
	s.listed.Store(true)
	return s, nil
}

// start listens at the address.
func (s *server) start(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address = l.Addr().String()
	s.http = &http.Server{Handler: s}
	server := s.http
	go func() { _ = server.Serve(l) }()
	return nil
}

// stop closes the listener and all connections, as the end of a process does.
func (s *server) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.http.Close()
}

// crash stops the server and starts it again at its address.
func (s *server) crash(downtime time.Duration) {
	s.stop()
	time.Sleep(downtime)
	for range 50 {
		if s.start(s.address) == nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// write writes the server's entry.
func (s *server) write() {
	s.mu.Lock()
	s.sequence++
	value := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"za-a","version":"v1","max_concurrency":64,"state":"ready","warmup_left_ms":0,"sequence":%d,"born":%d}`,
		pool, s.address, s.sequence, s.world.start.UnixMilli())
	s.mu.Unlock()
	s.world.store.put("keyed.servers", s.id, []byte(value))
}

// beat writes the entry each heartbeat until the context ends.
func (s *server) beat(ctx context.Context) {
	for ctx.Err() == nil {
		if s.listed.Load() {
			s.write()
		}
		select {
		case <-time.After(heartbeat):
		case <-ctx.Done():
		}
	}
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, line := r.Header.Get("Request-Id"), r.Method+" "+r.RequestURI
	if r.Header.Get("Expect-Instance") != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		s.world.arrived(arrival{time.Now(), s.id, id, false, line})
		return
	}
	s.world.arrived(arrival{time.Now(), s.id, id, true, line})
	w.Header().Set("Request-Id", id)
	w.Header().Set("Response-Seal", "seal-of-"+s.id)
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	if s.fails() {
		s.world.note("server %s fails request %s, from event %d: 404", s.id, id, first)
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusNotFound)
		_, _ = w.Write([]byte(`{"error":"the model is not loaded"}`))
		return
	}
	if r.Header.Get("Model") == "" {
		_, _ = w.Write([]byte("answer to " + id))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := first; i <= eventCount; i++ {
		select {
		case <-time.After(eventPause):
		case <-r.Context().Done():
			return
		}
		_, _ = w.Write([]byte(event(i)))
		_ = http.NewResponseController(w).Flush()
	}
}

// fails reports whether the server fails the next request.
func (s *server) fails() bool {
	ratio := s.failRatio.Load()
	return ratio > 0 && (s.counter.Add(1)*37)%100 < ratio
}

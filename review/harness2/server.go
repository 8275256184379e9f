//go:build review2

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// answerPlan is how a server answers a request. Clients put it into the body, as a prompt decides how long its answer gets.
type answerPlan struct {
	events int
	gap    time.Duration
}

func (p answerPlan) body() string { return fmt.Sprintf("%d %d", p.events, p.gap.Milliseconds()) }

func parsePlan(body []byte) answerPlan {
	var events, gap int
	_, _ = fmt.Sscanf(string(body), "%d %d", &events, &gap)
	return answerPlan{events: events, gap: time.Duration(gap) * time.Millisecond}
}

// run is a request that a server began to work on.
type run struct {
	Server, RequestID, Tenant string
	Prompt                    int64
	Events                    int
}

// server is a sound backend server.
type server struct {
	id, service, zone, addr string
	engine                  bool
	slots                   int
	born                    int64
	store                   *store
	listener                net.Listener
	http                    *http.Server
	stop                    chan struct{}
	// intercept, if set, may handle a request itself.
	intercept func(w http.ResponseWriter, r *http.Request, body []byte) bool

	mu       sync.Mutex
	runs     []*run
	endNow   chan struct{}
	sequence int64
}

func newServer(st *store, id, service, zone string, engine bool) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{
		id: id, service: service, zone: zone, addr: l.Addr().String(), engine: engine, slots: 64, born: time.Now().UnixMilli(),
		store: st, listener: l, stop: make(chan struct{}), endNow: make(chan struct{}),
	}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(l) }()
	go s.heartbeat()
	return s, nil
}

const heartbeat = 1200 * time.Millisecond

func (s *server) heartbeat() {
	for {
		s.sequence++
		s.store.put("keyed.servers", s.id, map[string]any{
			"service": s.service, "address": s.addr, "zone": s.zone, "version": "1", "max_concurrency": s.slots,
			"state": "ready", "warmup_left_ms": 0, "sequence": s.sequence, "born": s.born,
		})
		select {
		case <-time.After(heartbeat):
		case <-s.stop:
			return
		}
	}
}

// endRuns makes all present runs generate their last event now.
func (s *server) endRuns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.endNow)
	s.endNow = make(chan struct{})
}

func (s *server) ran() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []run
	for _, r := range s.runs {
		all = append(all, *r)
	}
	return all
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/health":
		w.Header().Set("Instance-Id", s.id)
		return
	case "/api/report":
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"stage":"hybrid","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"waiting":0,"running":0,"kv_used":0,"kv_capacity":400000,"handles":0,"born":%d}`, s.born)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	prompt, _, _ := strings.Cut(r.Header.Get("Token-Usage"), ",")
	tokens, _ := strconv.ParseInt(prompt, 10, 64)
	s.mu.Lock()
	current := &run{Server: s.id, RequestID: id, Tenant: r.Header.Get("Tenant"), Prompt: tokens}
	s.runs = append(s.runs, current)
	end := s.endNow
	s.mu.Unlock()
	if s.intercept != nil && s.intercept(w, r, body) {
		return
	}
	w.Header().Set("Response-Seal", "seal."+s.id+"."+id)
	if !s.engine {
		time.Sleep(15 * time.Millisecond)
		text := "done " + id
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = io.WriteString(w, text)
		return
	}
	s.stream(w, r, parsePlan(body), current, end)
}

func (s *server) stream(w http.ResponseWriter, r *http.Request, plan answerPlan, current *run, end chan struct{}) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := first + 1; i <= plan.events; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %d %s\n\n", i, i, strings.Repeat("x", 40)); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		s.mu.Lock()
		current.Events++
		s.mu.Unlock()
		if i == plan.events {
			return
		}
		select {
		case <-time.After(plan.gap):
		case <-end:
			plan.events = i + 1
		case <-r.Context().Done():
			return
		}
	}
}

func (s *server) close() {
	close(s.stop)
	_ = s.http.Close()
}

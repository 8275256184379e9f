//go:build review2

package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// verdict says what the store does with a call.
type verdict int

const (
	serve verdict = iota
	// loseAnswer executes the call. Its connection returns nothing further.
	loseAnswer
	// busy responds 503: nothing was done.
	busy
	// reset does nothing and resets the connection.
	reset
	// silent does nothing, and the connection returns nothing further.
	silent
)

// call describes a call to a filter.
type call struct {
	Name, Topic, Part, Producer string
}

type entry struct {
	key   string
	value []byte
	raw   []byte
}

type topicPart struct {
	records   []entry
	producers map[string]*producerState
}

type producerState struct {
	epoch, last int64
	answers     map[int64][2]int
}

// store is the platform's store in its form "log", as PROTOCOL has it.
type store struct {
	mu      sync.Mutex
	parts   map[string]*topicPart
	changed chan struct{}
	filter  func(call) verdict
	server  *http.Server
	addr    string
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{parts: map[string]*topicPart{}, changed: make(chan struct{}), addr: l.Addr().String()}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// setFilter sets what decides about calls; nil serves all.
func (s *store) setFilter(f func(call) verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.filter = f
}

func (s *store) part(topic, part string) *topicPart {
	name := topic + "/" + part
	p := s.parts[name]
	if p == nil {
		p = &topicPart{producers: map[string]*producerState{}}
		s.parts[name] = p
	}
	return p
}

func (s *store) append(p *topicPart, raw []byte) {
	e := entry{raw: raw}
	if len(raw) > 0 && len(raw) >= 1+int(raw[0]) {
		e.key = string(raw[1 : 1+int(raw[0])])
		if rest := raw[1+int(raw[0]):]; len(rest) > 0 {
			e.value = rest
		}
	}
	p.records = append(p.records, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a record of the operator or of a server. A nil value removes the key.
func (s *store) put(topic, key string, value any) {
	raw := append([]byte{byte(len(key))}, key...)
	if value != nil {
		data, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		raw = append(raw, data...)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(s.part(topic, "0"), raw)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	q := r.URL.Query()
	c := call{Name: r.URL.Path, Topic: q.Get("topic"), Part: q.Get("part"), Producer: q.Get("producer")}
	s.mu.Lock()
	filter := s.filter
	s.mu.Unlock()
	v := serve
	if filter != nil {
		v = filter(c)
	}
	switch v {
	case busy:
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	case reset:
		if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = conn.Close()
		}
		return
	case silent:
		<-r.Context().Done()
		return
	}
	time.Sleep(4 * time.Millisecond)
	status, answer := s.execute(r, c, body)
	if v == loseAnswer {
		<-r.Context().Done()
		return
	}
	if raw, ok := answer.([]byte); ok {
		w.WriteHeader(status)
		_, _ = w.Write(raw)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer)
}

func (s *store) execute(r *http.Request, c call, body []byte) (int, any) {
	q := r.URL.Query()
	switch c.Name {
	case "/api/log-append":
		return s.appendCall(c, q.Get("at"), number(q.Get("epoch")), number(q.Get("sequence")), body)
	case "/api/log-read":
		return s.readCall(r, c, int(number(q.Get("from"))), int(number(q.Get("max_kb"))), time.Duration(number(q.Get("wait_ms")))*time.Millisecond)
	case "/api/log-newest":
		return s.newestCall(c, q.Get("after"))
	}
	return http.StatusNotFound, map[string]any{}
}

func (s *store) appendCall(c call, at string, epoch, sequence int64, body []byte) (int, any) {
	if c.Topic == "keyed.op" || c.Topic == "keyed.servers" {
		return http.StatusForbidden, map[string]any{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(c.Topic, c.Part)
	if at != "" && at != strconv.Itoa(len(p.records)) {
		return http.StatusPreconditionFailed, map[string]any{"end": len(p.records)}
	}
	var state *producerState
	if c.Producer != "" {
		state = p.producers[c.Producer]
		switch {
		case state == nil || epoch > state.epoch:
			state = &producerState{epoch: epoch, last: sequence, answers: map[int64][2]int{}}
			p.producers[c.Producer] = state
		case epoch < state.epoch:
			return http.StatusConflict, map[string]any{"reason": "fenced"}
		default:
			if answer, repeat := state.answers[sequence]; repeat && sequence > state.last-5 {
				return http.StatusOK, map[string]any{"offset": answer[0], "end": answer[1]}
			}
			if sequence != state.last+1 {
				return http.StatusConflict, map[string]any{"reason": "seq", "sequence": state.last + 1}
			}
			state.last = sequence
		}
	}
	offset := len(p.records)
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		s.append(p, body[4:4+n])
		body = body[4+n:]
	}
	if state != nil {
		state.answers[sequence] = [2]int{offset, len(p.records)}
	}
	return http.StatusOK, map[string]any{"offset": offset, "end": len(p.records)}
}

func (s *store) readCall(r *http.Request, c call, from, maxKB int, wait time.Duration) (int, any) {
	if maxKB <= 0 {
		maxKB = 1024
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		records, changed := s.part(c.Topic, c.Part).records, s.changed
		s.mu.Unlock()
		expired := false
		if from >= len(records) {
			select {
			case <-changed:
				continue
			case <-timer.C:
				expired = true
			case <-r.Context().Done():
				expired = true
			}
		}
		_ = expired
		out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
		out = binary.BigEndian.AppendUint64(out, uint64(min(from, len(records))))
		for _, e := range records[min(from, len(records)):] {
			if len(out) > maxKB<<10 {
				break
			}
			out = binary.BigEndian.AppendUint32(out, uint32(len(e.raw)))
			out = append(out, e.raw...)
		}
		return http.StatusOK, out
	}
}

const pageItems = 500

func (s *store) newestCall(c call, after string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := s.part(c.Topic, c.Part).records
	newest := map[string]int{}
	for i, e := range records {
		newest[e.key] = i
	}
	var keys []string
	for key, i := range newest {
		if records[i].value != nil && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items := []map[string]any{}
	for _, key := range keys[:min(pageItems, len(keys))] {
		e := records[newest[key]]
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(e.value), "offset": newest[key]})
	}
	return http.StatusOK, map[string]any{"items": items, "has_more": len(keys) > pageItems, "end": len(records)}
}

func number(text string) int64 {
	n, _ := strconv.ParseInt(text, 10, 64)
	return n
}

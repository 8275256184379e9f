//go:build review

package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// record is one record of a partition, in its stored form and decoded.
type record struct {
	raw   []byte
	key   string
	value []byte
}

// producer is the state of an idempotent producer of one partition.
type producer struct {
	epoch, sequence int64
	responses       map[int64]map[string]int
}

// partition is one partition of a topic.
type partition struct {
	records   []record
	producers map[string]*producer
}

// store plays the platform's metadata store.
type store struct {
	mu         sync.Mutex
	partitions map[string]*partition
	changed    chan struct{}
	away       bool
	era        int
	copied     map[string]*partition
	// serversRead is called with the name of a gateway and the records of the servers' topic
	// that it has just been given, or all of them after a snapshot.
	serversRead func(gateway string, end int)
	listeners   []*http.Server
}

func newStore() *store {
	return &store{
		partitions: map[string]*partition{}, changed: make(chan struct{}), era: 1,
		serversRead: func(string, int) {},
	}
}

// listen returns an address at which the gateway with the name reaches the store.
func (s *store) listen(gateway string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, gateway) })}
	s.listeners = append(s.listeners, server)
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

func (s *store) close() {
	for _, l := range s.listeners {
		_ = l.Close()
	}
}

func (s *store) partition(name string) *partition {
	p, ok := s.partitions[name]
	if !ok {
		p = &partition{producers: map[string]*producer{}}
		s.partitions[name] = p
	}
	return p
}

// put writes a record as the operator or a server does, and returns the offset after it. A
// write waits while the store is away.
func (s *store) put(topic, key string, value []byte) int {
	for {
		s.mu.Lock()
		if !s.away {
			break
		}
		s.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
	}
	defer s.mu.Unlock()
	p := s.partition(topic + "/0")
	raw := append([]byte{byte(len(key))}, key...)
	p.add(append(raw, value...))
	s.notify()
	return len(p.records)
}

func (p *partition) add(raw []byte) {
	r := record{raw: raw}
	if len(raw) > 0 && len(raw) >= 1+int(raw[0]) {
		r.key = string(raw[1 : 1+int(raw[0])])
		if rest := raw[1+int(raw[0]):]; len(rest) > 0 {
			r.value = rest
		}
	}
	p.records = append(p.records, r)
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// copy copies the contents of the store.
func (s *store) copy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copied = map[string]*partition{}
	for name, p := range s.partitions {
		c := &partition{records: slices.Clone(p.records), producers: map[string]*producer{}}
		for id, state := range p.producers {
			c.producers[id] = &producer{epoch: state.epoch, sequence: state.sequence, responses: maps.Clone(state.responses)}
		}
		s.copied[name] = c
	}
}

// goAway makes the store reject calls until comeBack returns it from the last copy.
func (s *store) goAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.notify()
}

func (s *store) comeBack() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partitions = s.copied
	s.era++
	s.away = false
	s.notify()
}

func (s *store) setEra(w http.ResponseWriter) { w.Header().Set("Store-Era", strconv.Itoa(s.era)) }

func (s *store) serve(w http.ResponseWriter, r *http.Request, gateway string) {
	query := r.URL.Query()
	name := query.Get("topic") + "/" + query.Get("part")
	s.mu.Lock()
	away := s.away
	s.setEra(w)
	s.mu.Unlock()
	if away {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "POST /api/log-append":
		s.serveAppend(w, r, name)
	case "GET /api/log-read":
		s.serveRead(w, r, name, gateway)
	case "GET /api/log-newest":
		s.serveNewest(w, name, gateway)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request, name string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEra(w)
	if s.away {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	p := s.partition(name)
	if at := query.Get("at"); at != "" && at != strconv.Itoa(len(p.records)) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"end": len(p.records)})
		return
	}
	id, sequence := query.Get("producer"), number(query.Get("sequence"))
	if id != "" {
		epoch := number(query.Get("epoch"))
		state, ok := p.producers[id]
		switch {
		case !ok || epoch > state.epoch:
			state = &producer{epoch: epoch, sequence: sequence, responses: map[int64]map[string]int{}}
			p.producers[id] = state
		case epoch < state.epoch:
			writeJSON(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		case state.responses[sequence] != nil && sequence > state.sequence-5:
			writeJSON(w, http.StatusOK, state.responses[sequence])
			return
		case sequence != state.sequence+1:
			writeJSON(w, http.StatusConflict, map[string]any{"reason": "seq", "sequence": state.sequence + 1})
			return
		}
		state.sequence = sequence
	}
	result := map[string]int{"offset": len(p.records)}
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		p.add(slices.Clone(body[4 : 4+size]))
		body = body[4+size:]
	}
	result["end"] = len(p.records)
	if id != "" {
		p.producers[id].responses[sequence] = result
	}
	s.notify()
	writeJSON(w, http.StatusOK, result)
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, name, gateway string) {
	query := r.URL.Query()
	from := int(number(query.Get("from")))
	wait := time.NewTimer(time.Duration(number(query.Get("wait_ms"))) * time.Millisecond)
	defer wait.Stop()
	for expired := false; ; {
		s.mu.Lock()
		if s.away {
			s.mu.Unlock()
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		p, changed := s.partition(name), s.changed
		records := p.records
		s.setEra(w)
		s.mu.Unlock()
		if from > len(records) {
			writeJSON(w, http.StatusGone, map[string]any{"earliest": 0})
			return
		}
		if from < len(records) || expired {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, rec := range records[from:] {
				out = binary.BigEndian.AppendUint32(out, uint32(len(rec.raw)))
				out = append(out, rec.raw...)
			}
			if _, err := w.Write(out); err == nil && name == "keyed.servers/0" {
				s.serversRead(gateway, len(records))
			}
			return
		}
		select {
		case <-changed:
		case <-wait.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveNewest(w http.ResponseWriter, name, gateway string) {
	s.mu.Lock()
	s.setEra(w)
	records := s.partition(name).records
	s.mu.Unlock()
	newest := map[string]int{}
	for i, r := range records {
		newest[r.key] = i
	}
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	items := []item{}
	for i, r := range records {
		if newest[r.key] == i && r.value != nil {
			items = append(items, item{r.key, base64.StdEncoding.EncodeToString(r.value), i})
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "end": len(records)})
	if name == "keyed.servers/0" {
		s.serversRead(gateway, len(records))
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func number(text string) int64 {
	n, _ := strconv.ParseInt(text, 10, 64)
	return n
}

// Package site stands in for the users' platform as far as tests need it: its
// store, and backend servers, over the platform's published protocol.
package site

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Fault is what the store does to the calls of one caller, or of all.
type Fault int

// The faults.
const (
	// NoFault answers calls.
	NoFault Fault = iota
	// Unavailable refuses calls with 503.
	Unavailable
	// Unresponsive leaves calls without an answer and does nothing.
	Unresponsive
	// DropResponses does what calls ask and leaves them without an answer.
	DropResponses
)

// record is one record of a partition.
type record struct {
	key   string
	value []byte
	raw   []byte
}

// partition is one sequence of records.
type partition struct {
	records   []record
	earliest  int
	producers map[string]*producer
}

// producer is how far an ordered writer is.
type producer struct {
	epoch     int64
	sequence  int64
	responses map[int64]appendResult
}

type appendResult struct {
	Offset int `json:"offset"`
	End    int `json:"end"`
}

// Store is the platform's store. It is an http.Handler.
type Store struct {
	mu         sync.Mutex
	partitions map[string]*partition
	changed    chan struct{}
	fault      Fault
	calls      int
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{partitions: map[string]*partition{}, changed: make(chan struct{})}
}

// SetFault makes the store fail from now on.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes the record of a key as the operator or a server does. Without a
// value the key is dropped.
func (s *Store) Put(topic, key string, value []byte) { s.PutInPartition(topic, 0, key, value) }

// PutInPartition writes the record of a key to a partition.
func (s *Store) PutInPartition(topic string, number int, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	raw := append([]byte{byte(len(key))}, key...)
	s.appendRecord(s.partition(topic, strconv.Itoa(number)), append(raw, value...))
}

// Compact drops all records of a topic's partition 0 but the newest of each key.
func (s *Store) Compact(topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic, "0")
	p.earliest = len(p.records)
}

// LatestValue returns the value of a key of a topic's partition.
func (s *Store) LatestValue(topic string, number int, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range slices.Backward(s.partition(topic, strconv.Itoa(number)).records) {
		if r.key == key {
			return r.value
		}
	}
	return nil
}

func (s *Store) partition(topic, number string) *partition {
	name := topic + "/" + number
	p, known := s.partitions[name]
	if !known {
		p = &partition{producers: map[string]*producer{}}
		s.partitions[name] = p
	}
	return p
}

func (s *Store) appendRecord(p *partition, raw []byte) {
	r := record{raw: raw}
	if len(raw) > 0 && len(raw) > int(raw[0]) {
		r.key = string(raw[1 : 1+int(raw[0])])
		if rest := raw[1+int(raw[0]):]; len(rest) > 0 {
			r.value = rest
		}
	}
	p.records = append(p.records, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	fault := s.fault
	s.mu.Unlock()
	switch fault {
	case Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Unresponsive:
		// Only after its body is read does the request end with its connection.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return
	case DropResponses:
		s.serve(discardResponse{}, r)
		<-r.Context().Done()
		return
	case NoFault:
	}
	s.serve(w, r)
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/api/log-append":
		s.serveAppend(w, r)
	case "/api/log-read":
		s.serveRead(w, r)
	case "/api/log-newest":
		s.serveNewest(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// discardResponse is an answer that nobody gets.
type discardResponse struct{}

func (discardResponse) Header() http.Header         { return http.Header{} }
func (discardResponse) Write(p []byte) (int, error) { return len(p), nil }
func (discardResponse) WriteHeader(int)             {}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(query.Get("topic"), query.Get("part"))
	if at := query.Get("at"); at != "" && at != strconv.Itoa(len(p.records)) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"end": len(p.records)})
		return
	}
	name := query.Get("producer")
	sequence := parseNumber(query.Get("sequence"))
	if name != "" {
		if done, ok := p.checkSequence(w, name, parseNumber(query.Get("epoch")), sequence); !ok {
			if done != nil {
				writeJSON(w, http.StatusOK, done)
			}
			return
		}
	}
	result := appendResult{Offset: len(p.records)}
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		s.appendRecord(p, body[4:4+size])
		body = body[4+size:]
	}
	result.End = len(p.records)
	if name != "" {
		p.producers[name].responses[sequence] = result
	}
	writeJSON(w, http.StatusOK, result)
}

// checkSequence says whether an ordered write is the next one. If it was made before, its
// first answer is returned; otherwise the refusal is written.
func (p *partition) checkSequence(w http.ResponseWriter, name string, epoch, sequence int64) (*appendResult, bool) {
	known, ok := p.producers[name]
	if !ok || epoch > known.epoch {
		p.producers[name] = &producer{epoch: epoch, sequence: sequence, responses: map[int64]appendResult{}}
		return nil, true
	}
	if epoch < known.epoch {
		writeJSON(w, http.StatusConflict, map[string]any{"reason": "fenced"})
		return nil, false
	}
	if done, repeated := known.responses[sequence]; repeated {
		return &done, false
	}
	if sequence != known.sequence+1 {
		writeJSON(w, http.StatusConflict, map[string]any{"reason": "seq", "sequence": known.sequence + 1})
		return nil, false
	}
	known.sequence = sequence
	return nil, true
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from := int(parseNumber(query.Get("from")))
	deadline := time.NewTimer(time.Duration(parseNumber(query.Get("wait_ms"))) * time.Millisecond)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		p, changed := s.partition(query.Get("topic"), query.Get("part")), s.changed
		records, first := p.records, p.earliest
		s.mu.Unlock()
		if from < first {
			writeJSON(w, http.StatusGone, map[string]any{"earliest": first})
			return
		}
		if from < len(records) {
			writeBatch(w, records, first, from)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			writeBatch(w, records, first, from)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeBatch(w http.ResponseWriter, records []record, first, from int) {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	out = binary.BigEndian.AppendUint64(out, uint64(first))
	for _, r := range records[min(from, len(records)):] {
		out = binary.BigEndian.AppendUint32(out, uint32(len(r.raw)))
		out = append(out, r.raw...)
	}
	_, _ = w.Write(out)
}

func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	p := s.partition(query.Get("topic"), query.Get("part"))
	newest := map[string]int{}
	for i, rec := range p.records {
		newest[rec.key] = i
	}
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	items := []item{}
	for i, rec := range p.records {
		if newest[rec.key] == i && rec.value != nil {
			items = append(items, item{rec.key, base64.StdEncoding.EncodeToString(rec.value), i})
		}
	}
	end := len(p.records)
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "end": end})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// parseNumber parses a parseNumber of a query; tests send only proper ones.
func parseNumber(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

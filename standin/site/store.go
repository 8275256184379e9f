// Package site simulates the users' platform for tests. It implements the
// platform's log store and backend servers over their published HTTP protocol.
package site

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault selects how the store fails calls.
type Fault int

// Faults of a Store.
const (
	// NoFault serves calls normally.
	NoFault Fault = iota
	// Unavailable responds 503 to calls.
	Unavailable
	// Unresponsive neither executes calls nor responds to them.
	Unresponsive
	// DropResponses executes calls and sends no response.
	DropResponses
	// Endless responds with small records until the client closes the connection.
	Endless
)

// record is one record of a partition: its encoded form, and the key and value
// decoded from it.
type record struct {
	key   string
	value []byte
	raw   []byte
}

// partition is an append-only sequence of records. earliest is the lowest
// offset that can still be read.
type partition struct {
	records   []record
	earliest  int
	producers map[string]*producer
}

// producer holds the epoch and last sequence of an idempotent producer, with the
// responses to its appends by sequence.
type producer struct {
	epoch     int64
	sequence  int64
	responses map[int64]appendResult
}

// appendResult is the response to an append.
type appendResult struct {
	Offset int `json:"offset"`
	End    int `json:"end"`
}

// Store simulates the platform's log store. It is an http.Handler.
type Store struct {
	mu         sync.Mutex
	partitions map[string]*partition
	changed    chan struct{}
	fault      Fault
	calls      int
	// era rises with each Restore; copied is the state of the last Copy.
	era    int
	copied map[string]*partition
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{partitions: map[string]*partition{}, changed: make(chan struct{}), era: 1}
}

// Copy copies the store's contents.
func (s *Store) Copy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copied = copyPartitions(s.partitions)
}

// Restore returns the store to the contents of the last Copy, as an outage with a loss of
// the newest data does, and begins a new era.
func (s *Store) Restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partitions = copyPartitions(s.copied)
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

func copyPartitions(from map[string]*partition) map[string]*partition {
	to := map[string]*partition{}
	for name, p := range from {
		copied := &partition{records: slices.Clone(p.records), earliest: p.earliest, producers: map[string]*producer{}}
		for id, state := range p.producers {
			copied.producers[id] = &producer{epoch: state.epoch, sequence: state.sequence, responses: maps.Clone(state.responses)}
		}
		to[name] = copied
	}
	return to
}

// SetFault applies a fault to all further calls.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Calls returns the number of calls received.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes a record to partition 0 of a topic, as an operator or a server
// does. A nil value deletes the key.
func (s *Store) Put(topic, key string, value []byte) { s.PutInPartition(topic, 0, key, value) }

// PutInPartition writes a record to a partition of a topic.
func (s *Store) PutInPartition(topic string, number int, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	raw := append([]byte{byte(len(key))}, key...)
	s.appendRecord(s.partition(topic, strconv.Itoa(number)), append(raw, value...))
}

// Compact makes all present records of partition 0 of a topic unreadable by
// offset. The latest value of each key stays in the snapshot.
func (s *Store) Compact(topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic, "0")
	p.earliest = len(p.records)
}

// LatestValue returns the latest value of a key in a partition of a topic, or nil.
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
	p, ok := s.partitions[name]
	if !ok {
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
	s.setEra(w)
	s.mu.Unlock()
	switch fault {
	case Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Unresponsive:
		// net/http detects a closed connection, and cancels the request's
		// context, only after the body has been read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return
	case DropResponses:
		s.serve(discardResponse{}, r)
		<-r.Context().Done()
		return
	case Endless:
		serveEndless(w, r)
		return
	case NoFault:
	}
	s.serve(w, r)
}

// serveEndless responds with small records without end.
func serveEndless(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	start, pattern := "", " "
	switch r.URL.Path {
	case "/api/log-read":
		start, pattern = strings.Repeat("\x00", 16), "\x00\x00\x00\x03\x01kv"
	case "/api/log-newest":
		start, pattern = `{"items":[{}`, `,{"key":"k","value":"dg==","offset":1}`
	}
	data := []byte(start + strings.Repeat(pattern, 1000))
	for r.Context().Err() == nil {
		if _, err := w.Write(data); err != nil {
			return
		}
		data = data[len(start):]
		start = ""
	}
}

// setEra adds the store's era to a response, with the store locked.
func (s *Store) setEra(w http.ResponseWriter) { w.Header().Set("Store-Era", strconv.Itoa(s.era)) }

func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/api/log-append":
		s.serveAppend(w, r)
	case "/api/log-read":
		s.serveRead(w, r)
	case "/api/log-newest":
		s.serveSnapshot(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// discardResponse is a ResponseWriter that discards the response.
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
	s.setEra(w)
	p := s.partition(query.Get("topic"), query.Get("part"))
	if at := query.Get("at"); at != "" && at != strconv.Itoa(len(p.records)) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"end": len(p.records)})
		return
	}
	name := query.Get("producer")
	sequence := parseNumber(query.Get("sequence"))
	if name != "" {
		if previous, ok := p.checkSequence(w, name, parseNumber(query.Get("epoch")), sequence); !ok {
			if previous != nil {
				writeJSON(w, http.StatusOK, previous)
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

// checkSequence reports whether an append by a producer is next in sequence. For
// a repeated append it returns the first response; if the append is fenced or out
// of sequence it writes the error response.
func (p *partition) checkSequence(w http.ResponseWriter, name string, epoch, sequence int64) (*appendResult, bool) {
	state, ok := p.producers[name]
	if !ok || epoch > state.epoch {
		p.producers[name] = &producer{epoch: epoch, sequence: sequence, responses: map[int64]appendResult{}}
		return nil, true
	}
	if epoch < state.epoch {
		writeJSON(w, http.StatusConflict, map[string]any{"reason": "fenced"})
		return nil, false
	}
	if result, repeated := state.responses[sequence]; repeated {
		return &result, false
	}
	if sequence != state.sequence+1 {
		writeJSON(w, http.StatusConflict, map[string]any{"reason": "seq", "sequence": state.sequence + 1})
		return nil, false
	}
	state.sequence = sequence
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
		s.setEra(w)
		s.mu.Unlock()
		if from < first || from > len(records) {
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

func (s *Store) serveSnapshot(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	s.setEra(w)
	p := s.partition(query.Get("topic"), query.Get("part"))
	latest := map[string]int{}
	for i, rec := range p.records {
		latest[rec.key] = i
	}
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	items := []item{}
	for i, rec := range p.records {
		if latest[rec.key] == i && rec.value != nil {
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

// parseNumber parses a query parameter and returns 0 if it isn't a number.
func parseNumber(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

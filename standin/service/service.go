// Package service simulates a plain service for tests: an HTTP service whose calls
// must not be repeated. It executes every call that it receives, without
// deduplication, and records the executions by idempotency key so that tests can
// detect repeated ones.
package service

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/standin/control"
)

// Request headers.
const (
	IdempotencyKeyHeader = "Idempotency-Key"
	RequestIDHeader      = "Request-Id"
)

// Faults are the failures to simulate. The zero value simulates none.
type Faults struct {
	// Slowness is the duration of a call, half of it before the effect.
	Slowness control.Duration `json:"slowness"`
	// FailNext is how many of the next calls fail without an effect.
	FailNext int `json:"failNext"`
	// LoseNextAnswers is how many of the next calls take effect and have their
	// connection closed before the response.
	LoseNextAnswers int `json:"loseNextAnswers"`
	// Freeze blocks calls before their effect until it is cleared. A call that
	// its client cancels in the meantime has no effect.
	Freeze bool `json:"freeze"`
	// AnswerBytes is the size of the padding of each response.
	AnswerBytes int `json:"answerBytes"`
}

// CallRecord is the record of one idempotency key.
type CallRecord struct {
	// Count is how often a call with the key was executed.
	Count int `json:"count"`
	// BodyHash is the xxhash of the first call's body in hexadecimal.
	BodyHash string `json:"bodyHash"`
	// OtherBodies counts the executions whose body differs from the first one.
	OtherBodies int `json:"otherBodies"`
	// RequestIDs are the request ids of the executions, in order.
	RequestIDs []string `json:"requestIds"`
}

// Response is the response body of a successful call.
type Response struct {
	// Confirmation is a number that is unique to the execution.
	Confirmation string `json:"confirmation"`
	Key          string `json:"key"`
	RequestID    string `json:"requestId"`
	BodyHash     string `json:"bodyHash"`
	Padding      string `json:"padding,omitempty"`
}

// Service is a simulated plain service.
type Service struct {
	initialFaults Faults

	mu         sync.Mutex
	faults     Faults
	changed    chan struct{}
	calls      map[string]*CallRecord
	executions int
}

// Option configures a Service.
type Option func(*Service)

// WithFaults sets the initial faults.
func WithFaults(f Faults) Option {
	return func(s *Service) { s.initialFaults = f }
}

// New returns a service without recorded calls.
func New(options ...Option) *Service {
	s := &Service{changed: make(chan struct{}), calls: map[string]*CallRecord{}}
	for _, option := range options {
		option(s)
	}
	s.faults = s.initialFaults
	return s
}

// BodyHash returns the xxhash of a body in hexadecimal.
func BodyHash(body []byte) string {
	return strconv.FormatUint(xxhash.Sum64(body), 16)
}

// Calls returns the records by idempotency key.
func (s *Service) Calls() map[string]CallRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := map[string]CallRecord{}
	for key, record := range s.calls {
		copied := *record
		copied.RequestIDs = append([]string(nil), record.RequestIDs...)
		records[key] = copied
	}
	return records
}

// Handler returns the service's HTTP handler.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /call", s.serveCall)
	mux.HandleFunc("GET /ran", func(w http.ResponseWriter, _ *http.Request) {
		control.WriteJSON(w, http.StatusOK, s.Calls())
	})
	control.RegisterHandlers(mux, s)
	return mux
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, ok := control.ReadBody(w, r)
	if !ok {
		return
	}
	key, requestID := r.Header.Get(IdempotencyKeyHeader), r.Header.Get(RequestIDHeader)
	delay := time.Duration(s.Faults().Slowness) / 2
	if err := s.waitUntilActive(r.Context(), delay); err != nil {
		return
	}
	if s.consumeFailure() {
		control.WriteError(w, http.StatusServiceUnavailable, errors.New("failure on command"))
		return
	}
	response, lost := s.execute(key, requestID, body)
	if err := control.Sleep(r.Context(), delay); err != nil || lost {
		panic(http.ErrAbortHandler)
	}
	control.WriteJSON(w, http.StatusOK, response)
}

// execute records a call and reports whether its response is to be lost.
func (s *Service) execute(key, requestID string, body []byte) (response Response, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions++
	hash := BodyHash(body)
	record, ok := s.calls[key]
	if !ok {
		record = &CallRecord{BodyHash: hash}
		s.calls[key] = record
	}
	record.Count++
	record.RequestIDs = append(record.RequestIDs, requestID)
	if record.BodyHash != hash {
		record.OtherBodies++
	}
	response = Response{Confirmation: strconv.Itoa(s.executions), Key: key, RequestID: requestID, BodyHash: hash}
	response.Padding = strings.Repeat("x", s.faults.AnswerBytes)
	if s.faults.LoseNextAnswers == 0 {
		return response, false
	}
	s.faults.LoseNextAnswers--
	return response, true
}

func (s *Service) consumeFailure() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.FailNext == 0 {
		return false
	}
	s.faults.FailNext--
	return true
}

// waitUntilActive waits for the delay and then until Faults.Freeze is cleared.
func (s *Service) waitUntilActive(ctx context.Context, delay time.Duration) error {
	if err := control.Sleep(ctx, delay); err != nil {
		return err
	}
	for {
		s.mu.Lock()
		frozen, changed := s.faults.Freeze, s.changed
		s.mu.Unlock()
		if !frozen {
			return ctx.Err()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Faults returns the current faults.
func (s *Service) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the current faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setFaults(f)
}

func (s *Service) setFaults(f Faults) {
	s.faults = f
	close(s.changed)
	s.changed = make(chan struct{})
}

// FaultState implements control.Target.
func (s *Service) FaultState() any {
	return s.Faults()
}

// MergeFaults implements control.Target.
func (s *Service) MergeFaults(data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	if err := control.Decode(data, &f); err != nil {
		return err
	}
	s.setFaults(f)
	return nil
}

// ResetFaults implements control.Target.
func (s *Service) ResetFaults() {
	s.SetFaults(s.initialFaults)
}

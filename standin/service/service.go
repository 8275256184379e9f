// Package service stands in for a plain service in tests: one whose calls must
// not be repeated. It runs every call that it gets and counts them by
// idempotency key, so that a test can see what really ran.
package service

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/standin/control"
)

// Headers of a call.
const (
	IdempotencyKeyHeader = "Idempotency-Key"
	RequestIDHeader      = "Request-Id"
)

// Faults are the failures of a service. The zero value is a sound service.
type Faults struct {
	// Slowness is how long a call takes, half of it before the effect.
	Slowness control.Duration `json:"slowness"`
	// FailNext is how many of the next calls are answered with an error and
	// have no effect.
	FailNext int `json:"failNext"`
	// LoseNextAnswers is how many of the next calls take effect and lose their
	// connection before the answer.
	LoseNextAnswers int `json:"loseNextAnswers"`
	// Freeze holds calls before their effect until it is cleared. A call whose
	// client gave up meanwhile has no effect.
	Freeze bool `json:"freeze"`
}

// CallRecord is the record of one idempotency key.
type CallRecord struct {
	// Count is how often a call with the key ran.
	Count int `json:"count"`
	// BodyHash is the xxhash of the first call's body, in hexadecimal digits.
	BodyHash string `json:"bodyHash"`
	// OtherBodies counts the runs whose body was another than the first's.
	OtherBodies int `json:"otherBodies"`
	// RequestIDs are the request ids of the runs, in order.
	RequestIDs []string `json:"requestIds"`
}

// Response is the body of an answer.
type Response struct {
	// Confirmation is a number that no other run got.
	Confirmation string `json:"confirmation"`
	Key          string `json:"key"`
	RequestID    string `json:"requestId"`
	BodyHash     string `json:"bodyHash"`
}

// Service is the stand-in.
type Service struct {
	initialFaults Faults

	mu         sync.Mutex
	faults     Faults
	changed    chan struct{}
	calls      map[string]*CallRecord
	executions int
}

// Option changes how a Service is made.
type Option func(*Service)

// WithFaults makes the service start with faults in force.
func WithFaults(f Faults) Option {
	return func(s *Service) { s.initialFaults = f }
}

// New returns a service that ran nothing yet.
func New(options ...Option) *Service {
	s := &Service{changed: make(chan struct{}), calls: map[string]*CallRecord{}}
	for _, option := range options {
		option(s)
	}
	s.faults = s.initialFaults
	return s
}

// BodyHash returns a body's identity in the record.
func BodyHash(body []byte) string {
	return strconv.FormatUint(xxhash.Sum64(body), 16)
}

// Calls returns the record by idempotency key.
func (s *Service) Calls() map[string]CallRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := map[string]CallRecord{}
	for key, ran := range s.calls {
		copied := *ran
		copied.RequestIDs = append([]string(nil), ran.RequestIDs...)
		record[key] = copied
	}
	return record
}

// Handler serves the service over HTTP.
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
	answer, lost := s.execute(key, requestID, body)
	if err := control.Sleep(r.Context(), delay); err != nil || lost {
		panic(http.ErrAbortHandler)
	}
	control.WriteJSON(w, http.StatusOK, answer)
}

// execute runs a call and says whether its answer is to be lost.
func (s *Service) execute(key, requestID string, body []byte) (answer Response, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions++
	hash := BodyHash(body)
	ran, ok := s.calls[key]
	if !ok {
		ran = &CallRecord{BodyHash: hash}
		s.calls[key] = ran
	}
	ran.Count++
	ran.RequestIDs = append(ran.RequestIDs, requestID)
	if ran.BodyHash != hash {
		ran.OtherBodies++
	}
	answer = Response{Confirmation: strconv.Itoa(s.executions), Key: key, RequestID: requestID, BodyHash: hash}
	if s.faults.LoseNextAnswers == 0 {
		return answer, false
	}
	s.faults.LoseNextAnswers--
	return answer, true
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

// waitUntilActive waits for the delay and until the service is not frozen.
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

// Faults returns the faults in force.
func (s *Service) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the faults in force.
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

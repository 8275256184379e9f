// Package memory holds the budget of the memory for requests in progress.
package memory

import (
	"sync"

	"github.com/crocusline/crocusline/models/memory"
	"github.com/crocusline/crocusline/modules/metric"
)

// requestsRefused counts the requests for whose start or body there was no memory, and buffersRefused
// the responses that could not be buffered further.
const (
	requestsRefused = "crocusline_memory_refused_total"
	buffersRefused  = "crocusline_buffers_refused_total"
)

// DefaultLimit is the memory limit of a process in bytes, if its settings have none.
const DefaultLimit = memory.DefaultLimit

// Option configures a Service.
type Option func(*Service)

// WithMetrics sets the metrics of the process.
func WithMetrics(m *metric.Set) Option { return func(s *Service) { s.metrics = m } }

// Service limits the memory of all requests in progress of a process. It is safe for concurrent use.
type Service struct {
	metrics *metric.Set

	mu     sync.Mutex
	budget memory.Budget
}

// New returns a service for a process with the memory limit in bytes.
func New(limit int64, opts ...Option) *Service {
	s := &Service{metrics: metric.New()}
	for _, opt := range opts {
		opt(s)
	}
	s.SetLimit(limit)
	return s
}

// SetLimit changes the memory limit of the process.
func (s *Service) SetLimit(bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.SetLimit(bytes)
}

// Plan returns the division of the memory limit.
func (s *Service) Plan() memory.Plan {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Plan()
}

// Held returns the number of bytes that requests in progress have reserved.
func (s *Service) Held() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Held()
}

// ResizeResponse changes what one response holds, in bytes, and reports whether that is possible.
func (s *Service) ResizeResponse(from, to int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.budget.ResizeResponse(from, to) {
		s.metrics.Counter(buffersRefused).Inc()
		return false
	}
	return true
}

// NewReservation returns the reservation of a request, which holds nothing yet.
func (s *Service) NewReservation() *Reservation { return &Reservation{service: s} }

// Reservation is the memory that one request has reserved. It is used by one goroutine.
type Reservation struct {
	service *Service
	bytes   int64
}

// Begin reserves what each request needs without its body, and reports whether that is possible.
func (r *Reservation) Begin() bool { return r.Grow(memory.RequestBytes) }

// Grow reserves more bytes and reports whether that is possible.
func (r *Reservation) Grow(bytes int64) bool { return r.resize(r.bytes + bytes) }

// Release returns what is reserved. Further calls have no effect.
func (r *Reservation) Release() { r.resize(0) }

func (r *Reservation) resize(to int64) bool {
	r.service.mu.Lock()
	defer r.service.mu.Unlock()
	if !r.service.budget.ResizeRequest(r.bytes, to) {
		r.service.metrics.Counter(requestsRefused).Inc()
		return false
	}
	r.bytes = to
	return true
}

// Large reports whether the request counts as a large one.
func (r *Reservation) Large() bool { return r.bytes >= memory.LargeBytes }

// Package metric holds the process's counters and serves them in the
// Prometheus text format.
package metric

import (
	"fmt"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
)

// Counters with a label for the reason.
const (
	refusalsTotal = "crocusline_refusals_total"
	retriesTotal  = "crocusline_retries_total"
)

// Set is the metrics of one process.
type Set struct {
	set      *metrics.Set
	refusals map[string]*metrics.Counter
	retries  map[string]*metrics.Counter
}

// Option changes a new Set.
type Option func(*Set)

// WithRefusals creates the counter of each refusal reason, so that it reads 0
// before its first use.
func WithRefusals(reasons ...string) Option {
	return func(s *Set) {
		for _, reason := range reasons {
			s.refusals[reason] = s.set.GetOrCreateCounter(byReason(refusalsTotal, reason))
		}
	}
}

// WithRetries creates the counter of each retry reason.
func WithRetries(reasons ...string) Option {
	return func(s *Set) {
		for _, reason := range reasons {
			s.retries[reason] = s.set.GetOrCreateCounter(byReason(retriesTotal, reason))
		}
	}
}

// New returns a set with the counters that the options name.
func New(opts ...Option) *Set {
	s := &Set{
		set:      metrics.NewSet(),
		refusals: map[string]*metrics.Counter{},
		retries:  map[string]*metrics.Counter{},
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// CountRefusal counts one refusal.
func (s *Set) CountRefusal(reason string) {
	if c, ok := s.refusals[reason]; ok {
		c.Inc()
		return
	}
	s.Counter(byReason(refusalsTotal, reason)).Inc()
}

// CountRetry counts one retry.
func (s *Set) CountRetry(reason string) {
	if c, ok := s.retries[reason]; ok {
		c.Inc()
		return
	}
	s.Counter(byReason(retriesTotal, reason)).Inc()
}

// Counter returns the counter of that name, which may carry labels.
func (s *Set) Counter(name string) *metrics.Counter {
	return s.set.GetOrCreateCounter(name)
}

// Histogram returns the histogram of that name.
func (s *Set) Histogram(name string) *metrics.Histogram {
	return s.set.GetOrCreateHistogram(name)
}

// Gauge adds a gauge whose value f returns. The first f of a name stays.
func (s *Set) Gauge(name string, f func() float64) {
	s.set.GetOrCreateGauge(name, f)
}

// ServeHTTP implements http.Handler. It writes the set, the library's default
// set and the process's own metrics.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	s.set.WritePrometheus(w)
	metrics.WritePrometheus(w, true)
}

func byReason(name, reason string) string {
	return fmt.Sprintf("%s{reason=%q}", name, reason)
}

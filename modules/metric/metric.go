// Package metric provides the metrics of a process and serves them in the Prometheus
// text format.
package metric

import (
	"fmt"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
)

// Names of the counters with a reason label.
const (
	refusalsTotal = "crocusline_refusals_total"
	retriesTotal  = "crocusline_retries_total"
)

// Set is the set of metrics of one process.
type Set struct {
	set      *metrics.Set
	refusals map[string]*metrics.Counter
	retries  map[string]*metrics.Counter
}

// Option configures a Set.
type Option func(*Set)

// WithRefusals creates the counters of the refusal reasons, so that they are exported
// with the value 0 before the first refusal.
func WithRefusals(reasons ...string) Option {
	return func(s *Set) {
		for _, reason := range reasons {
			s.refusals[reason] = s.set.GetOrCreateCounter(withReason(refusalsTotal, reason))
		}
	}
}

// WithRetries creates the counters of the retry reasons, so that they are exported
// with the value 0 before the first retry.
func WithRetries(reasons ...string) Option {
	return func(s *Set) {
		for _, reason := range reasons {
			s.retries[reason] = s.set.GetOrCreateCounter(withReason(retriesTotal, reason))
		}
	}
}

// New returns a set with the counters of the options.
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

// CountRefusal increments the refusal counter of the reason.
func (s *Set) CountRefusal(reason string) {
	if c, ok := s.refusals[reason]; ok {
		c.Inc()
		return
	}
	s.Counter(withReason(refusalsTotal, reason)).Inc()
}

// CountRetry increments the retry counter of the reason.
func (s *Set) CountRetry(reason string) {
	if c, ok := s.retries[reason]; ok {
		c.Inc()
		return
	}
	s.Counter(withReason(retriesTotal, reason)).Inc()
}

// Counter returns the counter with the name, which may include labels. It creates the
// counter if needed.
func (s *Set) Counter(name string) *metrics.Counter {
	return s.set.GetOrCreateCounter(name)
}

// Histogram returns the histogram with the name, which may include labels. It creates
// the histogram if needed.
func (s *Set) Histogram(name string) *metrics.Histogram {
	return s.set.GetOrCreateHistogram(name)
}

// Gauge adds a gauge whose value is the result of f. If a gauge with the name exists,
// it is not changed.
func (s *Set) Gauge(name string, f func() float64) {
	s.set.GetOrCreateGauge(name, f)
}

// ServeHTTP implements http.Handler. It writes the metrics of the set, of the
// library's default set and of the Go process.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	s.set.WritePrometheus(w)
	metrics.WritePrometheus(w, true)
}

func withReason(name, reason string) string {
	return fmt.Sprintf("%s{reason=%q}", name, reason)
}

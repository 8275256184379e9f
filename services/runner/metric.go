package runner

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/crocusline/crocusline/models/refusal"
)

var (
	requestsFinished  = metrics.NewCounter("crocusline_sidecar_requests_finished_total")
	requestsAbandoned = metrics.NewCounter("crocusline_sidecar_requests_abandoned_total")
	requestsPreempted = metrics.NewCounter("crocusline_sidecar_requests_displaced_total")
	refusals          = newRefusalCounters()
)

func newRefusalCounters() map[refusal.Reason]*metrics.Counter {
	counters := map[refusal.Reason]*metrics.Counter{}
	for _, reason := range refusal.Reasons() {
		name := fmt.Sprintf("crocusline_sidecar_refusals_total{reason=%q}", reason)
		counters[reason] = metrics.NewCounter(name)
	}
	return counters
}

func countRefusal(reason refusal.Reason) {
	refusals[reason].Inc()
}

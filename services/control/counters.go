package control

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/crocusline/crocusline/models/fleet"
)

type counters struct {
	applied    *metrics.Counter
	ignored    [fleet.OldEpoch + 1]*metrics.Counter
	unresolved *metrics.Counter
	peerPolls  *metrics.Counter
	peerErrors *metrics.Counter
}

func newCounters() counters {
	c := counters{
		applied:    metrics.GetOrCreateCounter(`crocusline_control_published_total{result="applied"}`),
		unresolved: metrics.GetOrCreateCounter(`crocusline_control_published_total{result="unresolved"}`),
		peerPolls:  metrics.GetOrCreateCounter("crocusline_control_peers_asked_total"),
		peerErrors: metrics.GetOrCreateCounter("crocusline_control_peer_errors_total"),
	}
	for cause := fleet.Duplicate; cause <= fleet.OldEpoch; cause++ {
		name := fmt.Sprintf("crocusline_control_published_total{result=%q}", cause)
		c.ignored[cause] = metrics.GetOrCreateCounter(name)
	}
	return c
}

// countResult counts the result of an event that this process published.
func (c *counters) countResult(result fleet.Result) {
	switch r := result.(type) {
	case fleet.Applied:
		c.applied.Inc()
	case fleet.Ignored:
		c.ignored[r.Cause].Inc()
	}
}

package stream

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/crocusline/crocusline/coordination/fence"
)

type counters struct {
	appends      *metrics.Counter
	appendErrors *metrics.Counter
	limited      *metrics.Counter
	abandoned    *metrics.Counter
	queueFull    *metrics.Counter
	readErrors   *metrics.Counter
	gaps         *metrics.Counter
	checkpoints  *metrics.Counter
	// records counts the records read, by decision.
	records [fence.Malformed + 1]*metrics.Counter
}

func newCounters(stream string) counters {
	get := func(name string) *metrics.Counter {
		return metrics.GetOrCreateCounter(fmt.Sprintf("crocusline_stream_%s_total{stream=%q}", name, stream))
	}
	c := counters{
		appends:      get("appends"),
		appendErrors: get("append_errors"),
		limited:      get("append_limited"),
		abandoned:    get("append_abandoned"),
		queueFull:    get("append_queue_full"),
		readErrors:   get("read_errors"),
		gaps:         get("gaps"),
		checkpoints:  get("checkpoints"),
	}
	for d := fence.Accepted; d <= fence.Malformed; d++ {
		name := fmt.Sprintf("crocusline_stream_records_total{stream=%q,verdict=%q}", stream, d)
		c.records[d] = metrics.GetOrCreateCounter(name)
	}
	return c
}

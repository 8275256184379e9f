package cmd

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/modules/metric"
)

// entryCounters are the metrics of an entry.
type entryCounters struct {
	metrics  *metric.Set
	answered *metrics.Counter
	dropped  *metrics.Counter
	written  *metrics.Counter
	// connectionsLimited counts the connections of callers that were closed or refused.
	connectionsLimited *metrics.Counter
}

func newEntryCounters() *entryCounters {
	var names []string
	for _, reason := range refusal.Reasons() {
		names = append(names, reason.String())
	}
	set := metric.New(metric.WithRefusals(names...), metric.WithRetries(names...))
	return &entryCounters{
		metrics:  set,
		answered: set.Counter("crocusline_answers_total"),
		dropped:  set.Counter("crocusline_receipts_dropped_total"),
		written:  set.Counter("crocusline_receipts_written_total"),

		connectionsLimited: set.Counter(fmt.Sprintf(connectionsLimited, "callers")),
	}
}

// RecordRefusal counts a request that got no complete response.
func (c *entryCounters) RecordRefusal(reason refusal.Reason) { c.metrics.CountRefusal(reason.String()) }

// RecordRetry counts a retry at another backend server.
func (c *entryCounters) RecordRetry(reason refusal.Reason) { c.metrics.CountRetry(reason.String()) }

// RecordResponse counts a complete response.
func (c *entryCounters) RecordResponse() { c.answered.Inc() }

// ReceiptDropped counts a receipt that was dropped because the store was full.
func (c *entryCounters) ReceiptDropped() { c.dropped.Inc() }

// ReceiptsWritten counts bills that the entry wrote to the ledger because the sidecar
// had not.
func (c *entryCounters) ReceiptsWritten(n int) { c.written.Add(n) }

// operatorsLimited returns a function that counts the connections of operators that were closed or refused.
func operatorsLimited(m *metric.Set) func() {
	return m.Counter(fmt.Sprintf(connectionsLimited, "operators")).Inc
}

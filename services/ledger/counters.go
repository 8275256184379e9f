package ledger

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/crocusline/crocusline/models/ledger"
)

// countEffect counts the entries that this process folded, by effect.
func countEffect(entry ledger.Entry, effect ledger.Effect) {
	name := fmt.Sprintf("crocusline_ledger_entries_total{type=%q,effect=%q}", ledger.TypeName(entry), effect)
	metrics.GetOrCreateCounter(name).Inc()
}

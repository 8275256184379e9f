package ledger

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/crocusline/crocusline/models/ledger"
)

// ownerCalls counts the calls of shard owners by what became of them. All but
// those answered make the client use the shard's stream itself.
var ownerCalls = struct {
	answered, moved, failed, unknown *metrics.Counter
}{
	answered: metrics.NewCounter(`crocusline_ledger_owner_calls_total{result="answered"}`),
	moved:    metrics.NewCounter(`crocusline_ledger_owner_calls_total{result="moved"}`),
	failed:   metrics.NewCounter(`crocusline_ledger_owner_calls_total{result="failed"}`),
	unknown:  metrics.NewCounter(`crocusline_ledger_owner_calls_total{result="unknown"}`),
}

// countEffect counts the entries that this process folded, by effect.
func countEffect(entry ledger.Entry, effect ledger.Effect) {
	name := fmt.Sprintf("crocusline_ledger_entries_total{type=%q,effect=%q}", ledger.TypeName(entry), effect)
	metrics.GetOrCreateCounter(name).Inc()
}

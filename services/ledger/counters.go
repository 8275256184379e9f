package ledger

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/crocusline/crocusline/models/ledger"
)

// ownerCalls counts the calls to shard owners by result. After any result but
// answered, the client uses the shard's stream itself.
var ownerCalls = struct {
	answered, moved, failed, unknown *metrics.Counter
}{
	answered: metrics.NewCounter(`crocusline_ledger_owner_calls_total{result="answered"}`),
	moved:    metrics.NewCounter(`crocusline_ledger_owner_calls_total{result="moved"}`),
	failed:   metrics.NewCounter(`crocusline_ledger_owner_calls_total{result="failed"}`),
	unknown:  metrics.NewCounter(`crocusline_ledger_owner_calls_total{result="unknown"}`),
}

// countEffect counts an entry that this process applied, by type and effect.
func countEffect(entry ledger.Entry, effect ledger.Effect) {
	name := fmt.Sprintf("crocusline_ledger_entries_total{type=%q,effect=%q}", ledger.TypeName(entry), effect)
	metrics.GetOrCreateCounter(name).Inc()
}

package shard

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/crocusline/crocusline/models/ledger"
)

var (
	claims        = metrics.NewCounter("crocusline_shard_claims_total")
	claimsLost    = metrics.NewCounter("crocusline_shard_claims_lost_total")
	lost          = metrics.NewCounter("crocusline_shard_left_total")
	unanswered    = metrics.NewCounter("crocusline_shard_probes_unanswered_total")
	notOwned      = metrics.NewCounter("crocusline_shard_calls_not_owned_total")
	fencedAppends = metrics.NewCounter("crocusline_shard_appends_fenced_total")
	recalls       = metrics.NewCounter("crocusline_shard_recalls_total")
	recallsFailed = metrics.NewCounter("crocusline_shard_recalls_failed_total")
	holdersClosed = metrics.NewCounter("crocusline_shard_holders_closed_total")
	holdersWait   = metrics.NewCounter("crocusline_shard_holder_proofs_missing_total")
)

// countEffect counts the entries that the owner folded, by effect.
func countEffect(entry ledger.Entry, effect ledger.Effect) {
	name := fmt.Sprintf("crocusline_ledger_entries_total{type=%q,effect=%q}", ledger.TypeName(entry), effect)
	metrics.GetOrCreateCounter(name).Inc()
}

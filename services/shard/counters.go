package shard

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/crocusline/crocusline/models/ledger"
)

var (
	claims           = metrics.NewCounter("crocusline_shard_claims_total")
	claimsLost       = metrics.NewCounter("crocusline_shard_claims_lost_total")
	releases         = metrics.NewCounter("crocusline_shard_left_total")
	unansweredProbes = metrics.NewCounter("crocusline_shard_probes_unanswered_total")
	notOwnedCalls    = metrics.NewCounter("crocusline_shard_calls_not_owned_total")
	fencedAppends    = metrics.NewCounter("crocusline_shard_appends_fenced_total")
	recalls          = metrics.NewCounter("crocusline_shard_recalls_total")
	failedRecalls    = metrics.NewCounter("crocusline_shard_recalls_failed_total")
	closedHolders    = metrics.NewCounter("crocusline_shard_holders_closed_total")
	unsettledHolders = metrics.NewCounter("crocusline_shard_holder_proofs_missing_total")
)

// countEffect counts a ledger entry that was applied, by type and effect.
func countEffect(entry ledger.Entry, effect ledger.Effect) {
	name := fmt.Sprintf("crocusline_ledger_entries_total{type=%q,effect=%q}", ledger.TypeName(entry), effect)
	metrics.GetOrCreateCounter(name).Inc()
}

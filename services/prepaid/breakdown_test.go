package prepaid_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	model "github.com/crocusline/crocusline/models/prepaid"
	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/modules/metric"
	"github.com/crocusline/crocusline/services/prepaid"
)

// TestRefusalNamesPlaces checks that log line and counters of a request that is refused after a kill
// tell that the tokens are withheld for what the killed process may have spent.
func TestRefusalNamesPlaces(t *testing.T) {
	const total, request = 100_000, 5_000
	run(t, total, func(f *fleet) {
		first := f.start("entry-1")
		f.reserve(first, 30_000).Settle(30_000)
		f.reserve(first, 2_000)
		time.Sleep(time.Second)
		// The first process is not closed, as if it was killed.
		set := metric.New()
		second := f.start("entry-1", prepaid.WithMetrics(set))
		var refused error
		f.eventually("a request is refused for good", func() bool {
			hold, err := second.Reserve(f.Context(), f.workspace, "request", request)
			if err == nil {
				hold.Settle(request)
			}
			r, _ := refusal.As(err)
			refused = err
			return r != nil && r.Reason == refusal.BudgetExhausted
		})
		b := second.Balance(f.workspace).Breakdown
		if withheld := b.Tokens[model.EndedReserved]; withheld != 2_000 {
			f.Errorf("%d tokens reserved by the killed process, want 2000: %v", withheld, refused)
		}
		if b.Tokens[model.EndedPermitted] == 0 {
			f.Error("no tokens withheld for the spending limit of the killed process")
		}
		pairs := fmt.Sprint(second.Balance(f.workspace).Pairs(request)...)
		for _, key := range []string{"lacks", "endedReserved", "endedPermitted", "closedAge", "spent"} {
			if !strings.Contains(pairs, key) {
				f.Errorf("no %s in the log line %q", key, pairs)
			}
		}
		if refused := set.Counter(`crocusline_tokens_refused_total{place="endedPermitted"}`).Get(); refused != request {
			f.Errorf("%d refused tokens counted, want %d", refused, request)
		}
		if closed := set.Counter(`crocusline_tokens_closed_total{place="endedReserved"}`).Get(); closed != 2_000 {
			f.Errorf("%d closed tokens counted as reserved, want 2000", closed)
		}
	})
}

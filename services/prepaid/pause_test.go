package prepaid_test

import (
	"sync/atomic"
	"testing"
	"time"

	model "github.com/crocusline/crocusline/models/prepaid"
	"github.com/crocusline/crocusline/models/route"
	"github.com/crocusline/crocusline/services/prepaid"
	"github.com/crocusline/crocusline/standin/site"
)

// TestSpendLimitGrowsOverPause guards against a process that is stopped while it plans a report, and then spends more than
// a successor counts: it took the limit to have been sent before the pause, and its successor after it. It runs in real
// time, as the clock is read with the service locked.
func TestSpendLimitGrowsOverPause(t *testing.T) {
	t.Parallel()
	const stop = 4 * time.Second
	f := &fleet{
		T: t, store: site.NewStore(), startedAt: time.Now(),
		workspace: route.Workspace{Name: "clinics", Limited: true, Prepaid: 1_000_000},
	}
	var pauses atomic.Int64
	bootClock := func() (time.Duration, error) {
		if pauses.Add(-1) == 0 {
			time.Sleep(stop)
		}
		return time.Since(f.startedAt), nil
	}
	s := f.start("entry-1", prepaid.WithBootClock(bootClock))
	for range 20 {
		f.reserve(s, 500).Settle(500)
		time.Sleep(20 * time.Millisecond)
	}
	// The clock is read for each report and by nothing else while no tokens are lacking.
	for range 2 {
		pauses.Store(1)
		f.eventually("the process was stopped", func() bool { return pauses.Load() < 1 })
		sent := f.store.LatestValue(topics.Reports, 0, "clinics\x1fentry-1")
		var report model.Report
		f.eventually("the report was written", func() bool {
			data := f.store.LatestValue(topics.Reports, 0, "clinics\x1fentry-1")
			var err error
			if report, err = model.ParseReport(data); err != nil {
				t.Fatal(err)
			}
			return string(data) != string(sent)
		})
		free := s.Balance(f.workspace).Free
		counted := time.Since(f.startedAt) - time.Duration(report.SentAt.Uptime)*time.Millisecond
		t.Logf("free %d, the report of %s ago permits %d at first and %d more without the store", free, counted, report.Burst, report.DisconnectedBurst)
		if report.DisconnectedBurst == 0 || report.Committed+report.Burst+report.DisconnectedBurst > f.workspace.Prepaid {
			t.Error("the limit doesn't tell both cases apart")
		}
		if permitted := report.Committed + report.Burst - report.Spent; counted < 700*time.Millisecond && free > permitted {
			t.Errorf("%d tokens may be spent, a successor counts %d", free, permitted)
		}
	}
}

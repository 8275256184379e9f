// Package policy_test measures the decisions under load and faults against
// their targets, in virtual time.
package policy_test

import (
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"github.com/crocusline/crocusline/models/rank"
	"github.com/crocusline/crocusline/standin/load"
	"github.com/crocusline/crocusline/tests/knownred"
)

// deployment is one of the two fleets.
type deployment struct {
	name, file, pool, domain string
}

var deployments = []deployment{
	{name: "tropicFrost", file: "tropic_frost", pool: "drafting", domain: "cairns"},
	{name: "kolplat", file: "kolplat", pool: "models", domain: "zilina"},
}

// each runs a measure for both fleets.
func each(t *testing.T, measure func(t *testing.T, d deployment)) {
	for _, d := range deployments {
		t.Run(d.name, func(t *testing.T) { measure(t, d) })
	}
}

func (d deployment) read(t *testing.T, variant string) *load.Workload {
	t.Helper()
	w, err := load.ReadFile(filepath.Join("..", "..", "workloads", d.file+variant+".yaml"))
	if err != nil {
		t.Fatal(err)
	}
	return w
}

func (d deployment) group(r *load.Result, of rank.Rank) *load.Group {
	return r.Group(load.GroupKey{Pool: d.pool, Rank: of})
}

// atMost and atLeast check a figure against its target. Each is a test of its
// own, so that it can be known red by itself.
func atMost(t *testing.T, measure string, got, target float64) {
	check(t, measure, got, target, "at most", got <= target)
}

func atLeast(t *testing.T, measure string, got, target float64) {
	check(t, measure, got, target, "at least", got >= target)
}

func check(t *testing.T, measure string, got, target float64, how string, ok bool) {
	t.Run(measure, func(t *testing.T) {
		t.Logf("%-40s %10.4f, %s %.4f", measure, got, how, target)
		problem := ""
		if !ok {
			problem = fmt.Sprintf("%s is %.4f, want %s %.4f", measure, got, how, target)
		}
		knownred.Report(t, problem)
	})
}

// figure prints a figure that has no target.
func figure(t *testing.T, measure string, got float64) {
	t.Logf("%-40s %10.4f", measure, got)
}

// Targets.
const (
	firstToken = 1.0
	tokenGap   = 0.049
	floorKept  = 0.9
	// refusedAfter is the most from the decision to refuse to the final answer.
	refusedAfter = 0.01
	// firstReturn is the least share of those who come back at the time they were
	// told and then get their answer.
	firstReturn = 0.5
)

func TestFloods(t *testing.T) {
	each(t, func(t *testing.T, d deployment) {
		w := d.read(t, "_floods")
		r := load.Run(w)
		urgent := d.group(r, rank.Urgent)
		atMost(t, "urgentFirstTokenP95", load.Quantile(urgent.FirstToken, 95).Seconds(), firstToken)
		atMost(t, "urgentTokenGapP95", load.Quantile(urgent.TokenGap, 95).Seconds(), tokenGap)
		atLeast(t, "urgentInTime", float64(urgent.InTime)/float64(urgent.Completed), 1)
		// The urgent flood goes on from 110 s to 150 s.
		from, until := 115*time.Second, 150*time.Second
		floors := w.Policy
		atLeast(t, "normalFloor", r.SlotShare(d.pool, rank.Normal, from, until), floorKept*floors.NormalFloor)
		atLeast(t, "bulkFloor", r.SlotShare(d.pool, rank.Bulk, from, until), floorKept*floors.BulkFloor)
		atLeast(t, "urgentShare", r.SlotShare(d.pool, rank.Urgent, from, until),
			floorKept*(1-floors.NormalFloor-floors.BulkFloor))
		atMost(t, "wasted", r.WastedShare(), 0.01)
		for of := rank.Urgent; of <= rank.Bulk; of++ {
			g := d.group(r, of)
			figure(t, of.String()+" arrived", float64(g.Arrived))
			figure(t, of.String()+" whole", float64(g.Completed))
			figure(t, of.String()+" told to come back", float64(g.RetryAdvised))
			atLeast(t, of.String()+"WholeOnFirstReturn", float64(g.CompletedOnResubmit)/float64(max(g.Resubmitted, 1)), firstReturn)
			atMost(t, of.String()+"RefusedAfter", load.Quantile(g.RefusalLatency, 100).Seconds(), refusedAfter)
		}
	})
}

func TestGoodputUnderOverload(t *testing.T) {
	each(t, func(t *testing.T, d deployment) {
		// The ordinary workload takes 0.7 of the servers.
		once, tenfold := d.read(t, ""), d.read(t, "")
		once.ScaleArrivals(1 / 0.7)
		tenfold.ScaleArrivals(10 / 0.7)
		once.Duration, tenfold.Duration = time.Minute, time.Minute
		r1, r10 := load.Run(once), load.Run(tenfold)
		figure(t, "goodput at 1x, tokens/s", r1.Goodput())
		atLeast(t, "goodputAt10x", r10.Goodput()/r1.Goodput(), 0.95)
		atMost(t, "wastedAt10x", r10.WastedShare(), 0.01)
	})
}

func TestFairness(t *testing.T) {
	each(t, func(t *testing.T, d deployment) {
		backlog := load.Run(d.read(t, "_backlog"))
		atLeast(t, "jain", backlog.JainIndex(d.pool, rank.Normal), 0.99)
		alone, beside := load.Run(d.read(t, "_small_callers")), load.Run(d.read(t, "_large_callers"))
		worst, worstFirst, whole := 0.0, 0.0, 1.0
		for workspace := range d.read(t, "_small_callers").Streams[0].Workspaces {
			k := load.GroupKey{Pool: d.pool, Rank: rank.Normal, Workspace: workspace}
			p95 := func(r *load.Result) float64 { return load.Quantile(r.Group(k).Completion, 95).Seconds() }
			first := func(r *load.Result) float64 { return load.Quantile(r.Group(k).FirstToken, 95).Seconds() }
			worst = max(worst, p95(beside)/p95(alone))
			worstFirst = max(worstFirst, first(beside)-first(alone))
			served := beside.Group(k)
			whole = min(whole, float64(served.Completed)/float64(served.Arrived))
		}
		atMost(t, "smallCallersP95", worst, 1.2)
		atLeast(t, "smallCallersWhole", whole, 0.99)
		figure(t, "small callers' first token p95 later by, s", worstFirst)
	})
}

// Package policy_test runs simulated workloads with overload and faults in virtual
// time and compares the measured quality of the scheduling policies with its targets.
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

// deployment is one of the two simulated fleets. file is the prefix of its workload
// files, pool its pool of model servers, and domain a failure domain.
type deployment struct {
	name, file, pool, domain string
}

var deployments = []deployment{
	{name: "tropicFrost", file: "tropic_frost", pool: "drafting", domain: "cairns"},
	{name: "kolplat", file: "kolplat", pool: "models", domain: "zilina"},
}

// forEachDeployment runs a test for both deployments.
func forEachDeployment(t *testing.T, test func(t *testing.T, d deployment)) {
	for _, d := range deployments {
		t.Run(d.name, func(t *testing.T) { test(t, d) })
	}
}

// readWorkload reads the deployment's workload. The variant is a suffix of the file
// name.
func (d deployment) readWorkload(t *testing.T, variant string) *load.Workload {
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

// atMost and atLeast check a measured value against its target. Each check is a
// subtest, so that it can be listed in KNOWN-RED.txt by itself.
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

// logValue logs a measured value that has no target.
func logValue(t *testing.T, measure string, got float64) {
	t.Logf("%-40s %10.4f", measure, got)
}

// Targets of the measured values.
const (
	maxFirstTokenSeconds = 1.0
	maxTokenGapSeconds   = 0.049
	// minFloorRatio is the smallest ratio of a rank's share of the slots to the share
	// that the policy guarantees it.
	minFloorRatio = 0.9
	// maxRefusalSeconds bounds the time from the decision to refuse a request until
	// its caller has the final response.
	maxRefusalSeconds = 0.01
	// minResubmitSuccess is the smallest share of requests completed at their first
	// resubmission, among those resubmitted after the advised delay.
	minResubmitSuccess = 0.5
)

// TestFloods checks latency, guaranteed shares and refusals of each rank during an
// overload of bulk requests and a later overload of urgent requests.
func TestFloods(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, d deployment) {
		w := d.readWorkload(t, "_floods")
		r := load.Run(w)
		urgent := d.group(r, rank.Urgent)
		atMost(t, "urgentFirstTokenP95", load.Quantile(urgent.FirstToken, 95).Seconds(), maxFirstTokenSeconds)
		atMost(t, "urgentTokenGapP95", load.Quantile(urgent.TokenGap, 95).Seconds(), maxTokenGapSeconds)
		atLeast(t, "urgentInTime", float64(urgent.InTime)/float64(urgent.Completed), 1)
		// The urgent overload lasts from 110 s to 150 s. The first 5 s are left out.
		from, until := 115*time.Second, 150*time.Second
		policy := w.Policy
		atLeast(t, "normalFloor", r.SlotShare(d.pool, rank.Normal, from, until), minFloorRatio*policy.NormalFloor)
		atLeast(t, "bulkFloor", r.SlotShare(d.pool, rank.Bulk, from, until), minFloorRatio*policy.BulkFloor)
		atLeast(t, "urgentShare", r.SlotShare(d.pool, rank.Urgent, from, until),
			minFloorRatio*(1-policy.NormalFloor-policy.BulkFloor))
		atMost(t, "wasted", r.WastedShare(), 0.01)
		for of := rank.Urgent; of <= rank.Bulk; of++ {
			g := d.group(r, of)
			logValue(t, of.String()+" arrived", float64(g.Arrived))
			logValue(t, of.String()+" completed", float64(g.Completed))
			logValue(t, of.String()+" advised to retry later", float64(g.RetryAdvised))
			atLeast(t, of.String()+"CompletedOnResubmit", float64(g.CompletedOnResubmit)/float64(max(g.Resubmitted, 1)), minResubmitSuccess)
			atMost(t, of.String()+"RefusalLatency", load.Quantile(g.RefusalLatency, 100).Seconds(), maxRefusalSeconds)
		}
	})
}

// TestGoodputUnderOverload checks that ten times the load that the servers can serve
// gives nearly the goodput of the load that they can just serve.
func TestGoodputUnderOverload(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, d deployment) {
		// The base workload uses 0.7 of the servers' capacity.
		once, tenfold := d.readWorkload(t, ""), d.readWorkload(t, "")
		once.ScaleArrivals(1 / 0.7)
		tenfold.ScaleArrivals(10 / 0.7)
		once.Duration, tenfold.Duration = time.Minute, time.Minute
		r1, r10 := load.Run(once), load.Run(tenfold)
		logValue(t, "goodput at 1x, tokens/s", r1.Goodput())
		atLeast(t, "goodputAt10x", r10.Goodput()/r1.Goodput(), 0.95)
		atMost(t, "wastedAt10x", r10.WastedShare(), 0.01)
	})
}

// TestFairness checks that workspaces with backlogs get equal shares, and that
// large callers increase the completion times of small callers only slightly.
func TestFairness(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, d deployment) {
		backlog := load.Run(d.readWorkload(t, "_backlog"))
		atLeast(t, "jain", backlog.JainIndex(d.pool, rank.Normal), 0.99)
		alone, contended := load.Run(d.readWorkload(t, "_small_callers")), load.Run(d.readWorkload(t, "_large_callers"))
		maxCompletionRatio, maxFirstTokenDelay, minCompleted := 0.0, 0.0, 1.0
		for workspace := range d.readWorkload(t, "_small_callers").Streams[0].Workspaces {
			k := load.GroupKey{Pool: d.pool, Rank: rank.Normal, Workspace: workspace}
			p95 := func(r *load.Result) float64 { return load.Quantile(r.Group(k).Completion, 95).Seconds() }
			first := func(r *load.Result) float64 { return load.Quantile(r.Group(k).FirstToken, 95).Seconds() }
			maxCompletionRatio = max(maxCompletionRatio, p95(contended)/p95(alone))
			maxFirstTokenDelay = max(maxFirstTokenDelay, first(contended)-first(alone))
			served := contended.Group(k)
			minCompleted = min(minCompleted, float64(served.Completed)/float64(served.Arrived))
		}
		atMost(t, "smallCallersP95", maxCompletionRatio, 1.2)
		atLeast(t, "smallCallersCompleted", minCompleted, 0.99)
		logValue(t, "small callers' first token p95 increase, s", maxFirstTokenDelay)
	})
}

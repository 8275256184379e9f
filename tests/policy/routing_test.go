package policy_test

import (
	"testing"
	"time"

	"github.com/crocusline/crocusline/models/placement"
	"github.com/crocusline/crocusline/models/rank"
	"github.com/crocusline/crocusline/standin/load"
)

// TestRouting checks that the affinity policy is Pareto-optimal in hit rate and
// imbalance: no other policy is at least as good in both.
func TestRouting(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, d deployment) {
		variants, err := d.readWorkload(t, "").Variants("placement")
		if err != nil {
			t.Fatal(err)
		}
		var hits, imbalance [placement.Random + 1]float64
		for p, w := range variants {
			r := load.Run(w)
			hits[p], imbalance[p] = r.HitRate(d.pool), r.Imbalance(d.pool)
			name := placement.Policy(p).String()
			logValue(t, name+" hit rate", hits[p])
			logValue(t, name+" busiest/mean", imbalance[p])
			logValue(t, name+" normal first token p95, s", load.Quantile(d.group(r, rank.Normal).FirstToken, 95).Seconds())
		}
		dominating := 0
		for p := placement.PureAffinity; p <= placement.Random; p++ {
			if hits[p] >= hits[placement.Affinity] && imbalance[p] <= imbalance[placement.Affinity] {
				dominating++
			}
		}
		atMost(t, "dominating", float64(dominating), 0)
	})
}

// workloadWithFaults returns the base workload, which outlasts the faults, with the
// given faults.
func (d deployment) workloadWithFaults(t *testing.T, faults ...load.Fault) *load.Workload {
	w := d.readWorkload(t, "")
	w.Faults = faults
	return w
}

// TestRetries checks that retries add few attempts while a failure domain is
// unavailable or every fifth call fails.
func TestRetries(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, d deployment) {
		for name, fault := range map[string]load.Fault{
			"domainLost":       {Domain: d.domain, From: 30 * time.Second, Until: 90 * time.Second},
			"eachFifthFailing": {EachNth: 5, From: time.Second, Until: 120 * time.Second},
		} {
			w := d.workloadWithFaults(t, fault)
			atMost(t, name, load.Run(w).Amplification(), 1.1)
			w.Policy.RetryBudget = false
			logValue(t, name+" without budget", load.Run(w).Amplification())
		}
	})
}

// TestRecovery checks that the loss of a server or of a failure domain fails no request
// and leaves urgent requests within their targets.
func TestRecovery(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, d deployment) {
		without := load.Run(d.workloadWithFaults(t))
		server := load.Fault{Server: d.pool + "-04", From: faultFrom, Until: faultUntil}
		domain := load.Fault{Domain: d.domain, From: faultFrom, Until: faultUntil}
		d.checkRecovery(t, "server", without, d.workloadWithFaults(t, server))
		d.checkRecovery(t, "domain", without, d.workloadWithFaults(t, domain))
		// Two of three failure domains can't serve the base workload, which uses 0.7 of
		// the servers' capacity, but can serve 0.5.
		half, halfLost := d.workloadWithFaults(t), d.workloadWithFaults(t, domain)
		half.ScaleArrivals(0.5 / 0.7)
		halfLost.ScaleArrivals(0.5 / 0.7)
		d.checkRecovery(t, "domainAtHalfLoad", load.Run(half), halfLost)
	})
}

// faultFrom and faultUntil bound the time for which servers are unavailable.
const (
	faultFrom  = 40 * time.Second
	faultUntil = 80 * time.Second
)

// checkRecovery runs the workload and checks that no request failed and that urgent
// requests met their targets. without is the result of the same load without faults.
func (d deployment) checkRecovery(t *testing.T, name string, without *load.Result, w *load.Workload) {
	r := load.Run(w)
	took, _ := r.RecoveryTime(without, d.pool, faultFrom, 0.95)
	logValue(t, name+": goodput recovered after, s", took.Seconds())
	failed := 0
	for of := rank.Urgent; of <= rank.Bulk; of++ {
		failed += d.group(r, of).Failed
	}
	atMost(t, name+"Failed", float64(failed), 0)
	urgent := d.group(r, rank.Urgent)
	atLeast(t, name+"UrgentInTime", float64(urgent.InTime)/float64(urgent.Arrived), 0.99)
	atMost(t, name+"UrgentFirstTokenP95", load.Quantile(urgent.FirstToken, 95).Seconds(), maxFirstTokenSeconds)
}

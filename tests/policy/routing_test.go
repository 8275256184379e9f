package policy_test

import (
	"testing"
	"time"

	"github.com/crocusline/crocusline/models/placement"
	"github.com/crocusline/crocusline/models/rank"
	"github.com/crocusline/crocusline/standin/load"
)

// The chosen policy is on the front of hit rate and imbalance: no other has a
// better hit rate without a worse imbalance.
func TestRouting(t *testing.T) {
	each(t, func(t *testing.T, d deployment) {
		variants, err := d.read(t, "").Variants("placement")
		if err != nil {
			t.Fatal(err)
		}
		var hits, imbalance [placement.Random + 1]float64
		for p, w := range variants {
			r := load.Run(w)
			hits[p], imbalance[p] = r.HitRate(d.pool), r.Imbalance(d.pool)
			name := placement.Policy(p).String()
			figure(t, name+" hit rate", hits[p])
			figure(t, name+" busiest/mean", imbalance[p])
			figure(t, name+" normal first token p95, s", load.Quantile(d.group(r, rank.Normal).FirstToken, 95).Seconds())
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

// steady is the ordinary workload with faults, long enough to see them end.
func (d deployment) steady(t *testing.T, faults ...load.Fault) *load.Workload {
	w := d.read(t, "")
	w.Faults = faults
	return w
}

func TestRetries(t *testing.T) {
	each(t, func(t *testing.T, d deployment) {
		for name, fault := range map[string]load.Fault{
			"domainLost":       {Domain: d.domain, From: 30 * time.Second, Until: 90 * time.Second},
			"eachFifthFailing": {EachNth: 5, From: time.Second, Until: 120 * time.Second},
		} {
			w := d.steady(t, fault)
			atMost(t, name, load.Run(w).Amplification(), 1.1)
			w.Policy.RetryBudget = false
			figure(t, name+" without budget", load.Run(w).Amplification())
		}
	})
}

func TestRecovery(t *testing.T) {
	each(t, func(t *testing.T, d deployment) {
		without := load.Run(d.steady(t))
		server := load.Fault{Server: d.pool + "-04", From: faultFrom, Until: faultUntil}
		domain := load.Fault{Domain: d.domain, From: faultFrom, Until: faultUntil}
		d.recovery(t, "server", without, d.steady(t, server))
		d.recovery(t, "domain", without, d.steady(t, domain))
		// At 0.7 of the servers two of three domains are not enough; at 0.5 they are.
		half, halfLost := d.steady(t), d.steady(t, domain)
		half.ScaleArrivals(0.5 / 0.7)
		halfLost.ScaleArrivals(0.5 / 0.7)
		d.recovery(t, "domainAtHalfLoad", load.Run(half), halfLost)
	})
}

// Times between which servers are lost.
const (
	faultFrom  = 40 * time.Second
	faultUntil = 80 * time.Second
)

func (d deployment) recovery(t *testing.T, name string, without *load.Result, w *load.Workload) {
	r := load.Run(w)
	took, _ := r.RecoveryTime(without, d.pool, faultFrom, 0.95)
	figure(t, name+": goodput back after, s", took.Seconds())
	failed := 0
	for of := rank.Urgent; of <= rank.Bulk; of++ {
		failed += d.group(r, of).Failed
	}
	atMost(t, name+"Failed", float64(failed), 0)
	urgent := d.group(r, rank.Urgent)
	atLeast(t, name+"UrgentInTime", float64(urgent.InTime)/float64(urgent.Arrived), 0.99)
	atMost(t, name+"UrgentFirstTokenP95", load.Quantile(urgent.FirstToken, 95).Seconds(), firstToken)
}

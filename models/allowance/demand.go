package allowance

import (
	"math"
	"time"
)

// Demand is the recent use of one budget, in an instance's failure domain and in
// total. It sizes the standing reserve: tokens that the instance holds without
// current use, so that its failure domain can be served while the log is
// unreachable.
type Demand struct {
	local     float64
	total     float64
	decayedAt time.Time
}

// Add adds tokens billed at now. local reports whether they were spent in the
// instance's failure domain.
func (d *Demand) Add(now time.Time, policy Policy, tokens int64, local bool) {
	d.AddTotal(now, policy, tokens)
	if local {
		d.AddLocal(now, policy, tokens)
	}
}

// AddTotal adds tokens to the total only.
func (d *Demand) AddTotal(now time.Time, policy Policy, tokens int64) {
	d.decay(now, policy)
	d.total += float64(tokens)
}

// AddLocal adds tokens to the use in the failure domain only, not to the total.
func (d *Demand) AddLocal(now time.Time, policy Policy, tokens int64) {
	d.decay(now, policy)
	d.local += float64(tokens)
}

// Reserve returns the standing reserve of each of the instances in the failure
// domain when left tokens of the budget are unspent. Together the instances keep
// enough for Policy.ReserveDuration at the recent rate, but at most
// Policy.ReserveShare of the unspent tokens times the failure domain's share of
// the total use.
func (d *Demand) Reserve(now time.Time, policy Policy, left int64, instances int) int64 {
	d.decay(now, policy)
	if policy.ReserveDuration <= 0 || policy.ReserveRateWindow <= 0 || d.local < 1 || d.total < 1 || instances < 1 {
		return 0
	}
	needed := d.local / policy.ReserveRateWindow.Seconds() * policy.ReserveDuration.Seconds()
	share := min(1, d.local/d.total) * policy.ReserveShare * float64(left)
	return int64(min(needed, share) / float64(instances))
}

// Idle reports whether the failure domain no longer uses the budget.
func (d *Demand) Idle(now time.Time, policy Policy) bool {
	d.decay(now, policy)
	return d.local < 1
}

func (d *Demand) decay(now time.Time, policy Policy) {
	if elapsed := now.Sub(d.decayedAt); elapsed > 0 && policy.ReserveRateWindow > 0 {
		factor := math.Exp(-elapsed.Seconds() / policy.ReserveRateWindow.Seconds())
		d.local *= factor
		d.total *= factor
		d.decayedAt = now
	}
}

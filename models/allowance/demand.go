package allowance

import (
	"math"
	"time"
)

// Demand is the recent use of one budget, in the failure domain of an instance
// and everywhere. It sizes the standing reserve: the part that the instance
// holds although nothing asks for it now, so that its failure domain is served
// on when the log cannot be reached.
type Demand struct {
	local   float64
	total   float64
	decayed time.Time
}

// Add counts tokens billed at now. Local says that they were spent in the
// instance's failure domain.
func (d *Demand) Add(now time.Time, policy Policy, tokens int64, local bool) {
	d.AddTotal(now, policy, tokens)
	if local {
		d.AddLocal(now, policy, tokens)
	}
}

// AddTotal counts tokens spent anywhere.
func (d *Demand) AddTotal(now time.Time, policy Policy, tokens int64) {
	d.decay(now, policy)
	d.total += float64(tokens)
}

// AddLocal counts tokens spent in the failure domain, apart from the total.
func (d *Demand) AddLocal(now time.Time, policy Policy, tokens int64) {
	d.decay(now, policy)
	d.local += float64(tokens)
}

// Reserve returns the tokens to keep at each of instances in the failure
// domain, when left tokens of the budget are not spent yet. It is what lasts for
// Policy.Reserve at the recent rate, and at most the failure domain's share of
// what is left.
func (d *Demand) Reserve(now time.Time, policy Policy, left int64, instances int) int64 {
	d.decay(now, policy)
	if policy.ReserveDuration <= 0 || policy.ReserveRateWindow <= 0 || d.local < 1 || d.total < 1 || instances < 1 {
		return 0
	}
	lasting := d.local / policy.ReserveRateWindow.Seconds() * policy.ReserveDuration.Seconds()
	share := min(1, d.local/d.total) * policy.ReserveShare * float64(left)
	return int64(min(lasting, share) / float64(instances))
}

// Idle says that the failure domain has no use of the budget any more.
func (d *Demand) Idle(now time.Time, policy Policy) bool {
	d.decay(now, policy)
	return d.local < 1
}

func (d *Demand) decay(now time.Time, policy Policy) {
	if passed := now.Sub(d.decayed); passed > 0 && policy.ReserveRateWindow > 0 {
		part := math.Exp(-passed.Seconds() / policy.ReserveRateWindow.Seconds())
		d.local *= part
		d.total *= part
		d.decayed = now
	}
}

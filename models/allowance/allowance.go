// Package allowance sizes the part of a budget that one entry instance holds,
// so that busy budgets are drawn on seldom and idle tokens go back soon.
package allowance

import (
	"math"
	"time"
)

// Policy sizes allowances.
type Policy struct {
	// Horizon is the time that a draw is to last at the recent rate of use.
	Horizon time.Duration
	// RateWindow is the time over which the rate of use is averaged.
	RateWindow time.Duration
	// DrawDivisor divides the free budget: a draw beyond the need takes at most one
	// part, so allowances shrink as the budget nears its end.
	DrawDivisor int64
	// IdleTimeout is how long an unused allowance is kept.
	IdleTimeout time.Duration
	// ReserveDuration is the time that the standing reserve is to last when the log
	// cannot be reached. 0 keeps none.
	ReserveDuration time.Duration
	// ReserveRateWindow is the time over which the use that sizes the standing
	// reserve is averaged.
	ReserveRateWindow time.Duration
	// ReserveShare is the part of an unspent budget that the standing reserves
	// of all failure domains take at most.
	ReserveShare float64
}

// DefaultPolicy is adaptive. A zero Policy draws each hold by itself.
var DefaultPolicy = Policy{
	Horizon:     5 * time.Second,
	RateWindow:  10 * time.Second,
	DrawDivisor: 16,
	IdleTimeout: 5 * time.Second,

	ReserveDuration:   time.Hour,
	ReserveRateWindow: 5 * time.Minute,
	ReserveShare:      0.75,
}

// Allowance is what one entry instance holds of one budget.
type Allowance struct {
	policy Policy
	// granted and returned are sums over the instance's life.
	granted  int64
	returned int64
	// cut sums the holds that were cut and not released.
	cut      int64
	sequence uint64
	// used decays with Policy.Memory, so that used/Memory is the rate of use.
	used    float64
	decayed time.Time
	lastUse time.Time
	// reserve is what is kept although nothing asks for it now.
	reserve int64
}

// New returns an empty allowance.
func New(policy Policy) *Allowance {
	return &Allowance{policy: policy}
}

// Free returns the tokens that no hold has taken.
func (a *Allowance) Free() int64 { return a.granted - a.returned - a.cut }

// NextSequence numbers the next grant or return.
func (a *Allowance) NextSequence() uint64 {
	a.sequence++
	return a.sequence
}

// TryHold takes a hold from the allowance, if it covers it.
func (a *Allowance) TryHold(tokens int64) bool {
	if tokens > a.Free() {
		return false
	}
	a.cut += tokens
	return true
}

// RecordUse counts a request for tokens, whether or not it is covered.
func (a *Allowance) RecordUse(now time.Time, tokens int64) {
	a.decay(now)
	a.lastUse = now
	a.used += float64(tokens)
}

// Release puts back a hold that was not used.
func (a *Allowance) Release(tokens int64) { a.cut -= tokens }

// AccountTotals are what the shard's state has for this instance.
type AccountTotals struct {
	Granted  int64
	Returned int64
	// Sequence is the number of the last grant or return that was decided.
	Sequence uint64
}

// Reconcile takes over what the shard's state says. A return that is not decided
// yet stays counted as returned.
func (a *Allowance) Reconcile(s AccountTotals) {
	a.granted = s.Granted
	if s.Sequence >= a.sequence {
		a.returned = s.Returned
	}
}

// RecordReturn takes tokens out that are about to be returned to the budget.
func (a *Allowance) RecordReturn(tokens int64) { a.returned += tokens }

// DrawSize returns how many tokens to ask for when need are needed now and free are
// free in the budget.
func (a *Allowance) DrawSize(now time.Time, need, free int64) int64 {
	lack := need - a.Free()
	return lack + max(0, min(a.target(now, free), free-lack))
}

// RefillSize returns how many tokens to ask for ahead of need, so that requests
// seldom wait for a draw and are served for a while when the log is away.
func (a *Allowance) RefillSize(now time.Time, free int64) int64 {
	if target := a.reserve; a.Free() < target-target/reserveStep {
		return min(target-a.Free(), free)
	}
	if now.Sub(a.lastUse) >= a.policy.IdleTimeout {
		return 0
	}
	target := a.target(now, free)
	if a.Free() >= target/2 {
		return 0
	}
	return min(target-a.Free(), free)
}

// reserveStep divides the standing reserve into the steps in which it is
// filled and given back.
const reserveStep = 4

// SetReserve sets the standing reserve.
func (a *Allowance) SetReserve(tokens int64) { a.reserve = tokens }

// target returns what to hold beyond the need when free tokens are free in the
// budget.
func (a *Allowance) target(now time.Time, free int64) int64 {
	a.decay(now)
	target := int64(a.rate() * a.policy.Horizon.Seconds())
	if a.policy.DrawDivisor > 0 {
		target = min(target, free/a.policy.DrawDivisor)
	}
	return target
}

// Surplus returns how many tokens to give back. Short says that the budget did
// not cover somebody's grant lately.
func (a *Allowance) Surplus(now time.Time, short bool) int64 {
	free := a.Free()
	if free <= 0 {
		return 0
	}
	if short {
		return free
	}
	target := int64(0)
	if now.Sub(a.lastUse) < a.policy.IdleTimeout {
		a.decay(now)
		target = int64(2 * a.rate() * a.policy.Horizon.Seconds())
	}
	if free > max(2*target, a.reserve+a.reserve/reserveStep) {
		return free - max(target, a.reserve)
	}
	return 0
}

// rate returns the recent use in tokens per second.
func (a *Allowance) rate() float64 {
	if a.policy.RateWindow <= 0 {
		return 0
	}
	return a.used / a.policy.RateWindow.Seconds()
}

func (a *Allowance) decay(now time.Time) {
	if passed := now.Sub(a.decayed); passed > 0 && a.policy.RateWindow > 0 {
		a.used *= math.Exp(-passed.Seconds() / a.policy.RateWindow.Seconds())
		a.decayed = now
	}
}

// Package allowance sizes the part of a budget that one entry instance holds.
// Drawing tokens in advance keeps draws on busy budgets rare, and idle tokens are
// returned soon.
package allowance

import (
	"math"
	"time"
)

// Policy sets how allowances are sized.
type Policy struct {
	// Horizon is how long the tokens of one draw should last at the recent rate
	// of use.
	Horizon time.Duration
	// RateWindow is the time constant of the exponential moving average of the
	// rate of use.
	RateWindow time.Duration
	// DrawDivisor bounds the tokens drawn beyond the need: at most the free
	// budget divided by DrawDivisor, so that allowances shrink as the budget
	// runs out. 0 sets no bound.
	DrawDivisor int64
	// IdleTimeout is how long an unused allowance is kept.
	IdleTimeout time.Duration
	// ReserveDuration is how long the standing reserve should last while the log
	// is unreachable. 0 disables the standing reserve.
	ReserveDuration time.Duration
	// ReserveRateWindow is the time constant of the exponential moving average
	// of the use that sizes the standing reserve.
	ReserveRateWindow time.Duration
	// ReserveShare is the largest fraction of an unspent budget that the
	// standing reserves of all failure domains may take together.
	ReserveShare float64
}

// DefaultPolicy adapts allowances to the rate of use. A zero Policy draws exactly
// the tokens that each hold needs.
var DefaultPolicy = Policy{
	Horizon:     5 * time.Second,
	RateWindow:  10 * time.Second,
	DrawDivisor: 16,
	IdleTimeout: 5 * time.Second,

	ReserveDuration:   time.Hour,
	ReserveRateWindow: 5 * time.Minute,
	ReserveShare:      0.75,
}

// Allowance is the part of one budget that one entry instance holds.
type Allowance struct {
	policy Policy
	// granted and returned are totals since the instance started.
	granted  int64
	returned int64
	// held is the total of the holds taken and not released.
	held     int64
	sequence uint64
	// recentUse decays exponentially with the time constant Policy.RateWindow, so
	// that recentUse/RateWindow is the rate of use.
	recentUse float64
	decayedAt time.Time
	lastUse   time.Time
	// reserve is the standing reserve, which is kept even while it is not used.
	reserve int64
}

// New returns an empty allowance.
func New(policy Policy) *Allowance {
	return &Allowance{policy: policy}
}

// Free returns the tokens that are not part of a hold.
func (a *Allowance) Free() int64 { return a.granted - a.returned - a.held }

// NextSequence returns the sequence number for the next grant or return.
func (a *Allowance) NextSequence() uint64 {
	a.sequence++
	return a.sequence
}

// TryHold takes tokens for a hold, and reports false if too few are free.
func (a *Allowance) TryHold(tokens int64) bool {
	if tokens > a.Free() {
		return false
	}
	a.held += tokens
	return true
}

// RecordUse adds a request for tokens to the rate of use, whether or not the
// allowance covers it.
func (a *Allowance) RecordUse(now time.Time, tokens int64) {
	a.decay(now)
	a.lastUse = now
	a.recentUse += float64(tokens)
}

// Release frees the tokens of an unused hold.
func (a *Allowance) Release(tokens int64) { a.held -= tokens }

// AccountTotals are the totals of this instance's account in the shard's state.
type AccountTotals struct {
	Granted  int64
	Returned int64
	// Sequence is the number of the last grant or return that was applied or
	// rejected.
	Sequence uint64
}

// Reconcile updates the allowance with the totals in the shard's state. A return
// that the shard has not processed yet remains deducted, so that its tokens are
// not used.
func (a *Allowance) Reconcile(s AccountTotals) {
	a.granted = s.Granted
	if s.Sequence >= a.sequence {
		a.returned = s.Returned
	}
}

// RecordReturn removes tokens from the allowance before the return is sent.
func (a *Allowance) RecordReturn(tokens int64) { a.returned += tokens }

// DrawSize returns how many tokens to draw for a hold of need tokens when the
// budget has free tokens.
func (a *Allowance) DrawSize(now time.Time, need, free int64) int64 {
	shortfall := need - a.Free()
	return shortfall + max(0, min(a.target(now, free), free-shortfall))
}

// RefillSize returns how many tokens to draw ahead of need, so that requests
// rarely wait for a draw and can be served for some time while the log is
// unreachable.
func (a *Allowance) RefillSize(now time.Time, free int64) int64 {
	if target := a.reserve; a.Free() < target-target/reserveSteps {
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

// reserveSteps divides the standing reserve into steps. A difference of less than
// one step causes no draw or return.
const reserveSteps = 4

// SetReserve sets the size of the standing reserve in tokens.
func (a *Allowance) SetReserve(tokens int64) { a.reserve = tokens }

// target returns how many tokens to hold beyond the need when the budget has free
// tokens.
func (a *Allowance) target(now time.Time, free int64) int64 {
	a.decay(now)
	target := int64(a.rate() * a.policy.Horizon.Seconds())
	if a.policy.DrawDivisor > 0 {
		target = min(target, free/a.policy.DrawDivisor)
	}
	return target
}

// Surplus returns how many tokens to return to the budget. short reports that the
// budget recently did not cover a grant.
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
	if free > max(2*target, a.reserve+a.reserve/reserveSteps) {
		return free - max(target, a.reserve)
	}
	return 0
}

// rate returns the recent use in tokens per second.
func (a *Allowance) rate() float64 {
	if a.policy.RateWindow <= 0 {
		return 0
	}
	return a.recentUse / a.policy.RateWindow.Seconds()
}

func (a *Allowance) decay(now time.Time) {
	if elapsed := now.Sub(a.decayedAt); elapsed > 0 && a.policy.RateWindow > 0 {
		a.recentUse *= math.Exp(-elapsed.Seconds() / a.policy.RateWindow.Seconds())
		a.decayedAt = now
	}
}

package prepaid

import (
	"slices"
	"time"
)

// PendingReservation is the reservation of a request that waits until the spending
// limit covers it. Its tokens are held from the beginning, so that later requests
// don't use them.
type PendingReservation struct {
	reservation Reservation
	due         time.Time
}

// Due returns the time by which the spending limit covers the reservation, even if
// no new report is written.
func (p *PendingReservation) Due() time.Time { return p.due }

// Held returns the number of tokens of the grant that the reservation holds.
func (p *PendingReservation) Held() int64 { return p.reservation.own }

// ReservePending holds the tokens of a request that grant and spending limit will
// cover within maxWait, even without a new report.
func (b *LocalBudget) ReservePending(now time.Time, tokens int64, maxWait time.Duration) (*PendingReservation, bool) {
	r := b.split(tokens)
	if maxWait <= 0 || b.freeOwn(now.Add(maxWait)) < r.own {
		return nil, false
	}
	wait := b.searchDelay(now, maxWait, func(at time.Time) bool { return b.freeOwn(at) >= r.own })
	p := &PendingReservation{reservation: r, due: now.Add(wait)}
	b.hold(r)
	b.pending = append(b.pending, p)
	return p, true
}

// Activate returns the reservation if it is covered now. It is no longer pending
// then.
func (b *LocalBudget) Activate(now time.Time, p *PendingReservation) (Reservation, bool) {
	if b.freeAfter(now, p) < 0 {
		return Reservation{}, false
	}
	b.removePending(p)
	return p.reservation, true
}

// Cancel releases the tokens of a pending reservation.
func (b *LocalBudget) Cancel(p *PendingReservation) {
	b.Settle(p.reservation, 0)
	b.removePending(p)
}

func (b *LocalBudget) removePending(p *PendingReservation) {
	b.pending = slices.DeleteFunc(b.pending, func(other *PendingReservation) bool { return other == p })
}

// available returns how many tokens of the grant a request may use without delaying
// a pending reservation beyond its due time.
func (b *LocalBudget) available(now time.Time) int64 {
	available := b.freeOwn(now) + b.heldByPending(nil)
	for _, p := range b.pending {
		available = min(available, b.freeAfter(p.due, p))
	}
	return available
}

// freeAfter returns the number of tokens of the grant that are free at a time if
// only p and the pending reservations before it hold theirs.
func (b *LocalBudget) freeAfter(at time.Time, p *PendingReservation) int64 {
	return b.freeOwn(at) + b.heldByPending(nil) - b.heldByPending(p)
}

// heldByPending returns the number of tokens that pending reservations hold, up to
// and including last, or that all of them hold if last is nil.
func (b *LocalBudget) heldByPending(last *PendingReservation) int64 {
	var sum int64
	for _, p := range b.pending {
		sum += p.reservation.own
		if p == last {
			break
		}
	}
	return sum
}

// searchDelay returns the delay until the condition holds, to within a millisecond.
// The condition must hold after limit and, once it holds, must continue to hold.
func (b *LocalBudget) searchDelay(now time.Time, limit time.Duration, holds func(time.Time) bool) time.Duration {
	low, high := time.Duration(0), limit
	for high-low > time.Millisecond {
		if middle := (low + high) / 2; holds(now.Add(middle)) {
			high = middle
		} else {
			low = middle
		}
	}
	return high
}

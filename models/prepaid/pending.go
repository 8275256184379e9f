package prepaid

import (
	"slices"
	"time"
)

// PendingReservation is a request that waits until the terms cover it. Its tokens are held
// from the start, so that later requests don't use what it waits for.
type PendingReservation struct {
	part Reservation
	due  time.Time
}

// Due is when the terms in force cover the booking at the latest.
func (b *PendingReservation) Due() time.Time { return b.due }

// Held is what the booking holds of the grant.
func (b *PendingReservation) Held() int64 { return b.part.own }

// ReservePending holds the tokens of a request that grant and terms will cover within the
// patience, without a new report.
func (p *LocalBudget) ReservePending(now time.Time, tokens int64, patience time.Duration) (*PendingReservation, bool) {
	part := p.divide(tokens)
	if patience <= 0 || p.own(now.Add(patience)) < part.own {
		return nil, false
	}
	wait := p.until(now, patience, func(at time.Time) bool { return p.own(at) >= part.own })
	b := &PendingReservation{part: part, due: now.Add(wait)}
	p.hold(part)
	p.bookings = append(p.bookings, b)
	return b, true
}

// Activate ends a booking if it is covered now, and returns what is held.
func (p *LocalBudget) Activate(now time.Time, b *PendingReservation) (Reservation, bool) {
	if p.after(now, b) < 0 {
		return Reservation{}, false
	}
	p.drop(b)
	return b.part, true
}

// Cancel ends a booking and returns its tokens.
func (p *LocalBudget) Cancel(b *PendingReservation) {
	p.Settle(b.part, 0)
	p.drop(b)
}

func (p *LocalBudget) drop(b *PendingReservation) {
	p.bookings = slices.DeleteFunc(p.bookings, func(other *PendingReservation) bool { return other == b })
}

// room is what a request may use of the grant without making a booking wait longer.
func (p *LocalBudget) room(now time.Time) int64 {
	room := p.own(now) + p.booked(nil)
	for _, b := range p.bookings {
		room = min(room, p.after(b.due, b))
	}
	return room
}

// after is what the limit leaves when a booking and those before it are served.
func (p *LocalBudget) after(at time.Time, b *PendingReservation) int64 {
	return p.own(at) + p.booked(nil) - p.booked(b)
}

// booked is the sum of all bookings up to the last one named, or of all.
func (p *LocalBudget) booked(last *PendingReservation) int64 {
	var sum int64
	for _, b := range p.bookings {
		sum += b.part.own
		if b == last {
			break
		}
	}
	return sum
}

// until returns how long it takes, to a millisecond, until the condition holds. It
// does so after the limit, and does not end.
func (p *LocalBudget) until(now time.Time, limit time.Duration, holds func(time.Time) bool) time.Duration {
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

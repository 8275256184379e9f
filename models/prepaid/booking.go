package prepaid

import (
	"slices"
	"time"
)

// Booking is a request that waits until the terms cover it. Its tokens are held
// from the start, so that later requests don't use what it waits for.
type Booking struct {
	part Part
	due  time.Time
}

// Due is when the terms in force cover the booking at the latest.
func (b *Booking) Due() time.Time { return b.due }

// Held is what the booking holds of the grant.
func (b *Booking) Held() int64 { return b.part.own }

// Book holds the tokens of a request that grant and terms will cover within the
// patience, without a new report.
func (p *Purse) Book(now time.Time, tokens int64, patience time.Duration) (*Booking, bool) {
	part := p.divide(tokens)
	if patience <= 0 || p.own(now.Add(patience)) < part.own {
		return nil, false
	}
	wait := p.until(now, patience, func(at time.Time) bool { return p.own(at) >= part.own })
	b := &Booking{part: part, due: now.Add(wait)}
	p.hold(part)
	p.bookings = append(p.bookings, b)
	return b, true
}

// Begin ends a booking if it is covered now, and returns what is held.
func (p *Purse) Begin(now time.Time, b *Booking) (Part, bool) {
	if p.after(now, b) < 0 {
		return Part{}, false
	}
	p.drop(b)
	return b.part, true
}

// Cancel ends a booking and returns its tokens.
func (p *Purse) Cancel(b *Booking) {
	p.Settle(b.part, 0)
	p.drop(b)
}

func (p *Purse) drop(b *Booking) {
	p.bookings = slices.DeleteFunc(p.bookings, func(other *Booking) bool { return other == b })
}

// room is what a request may use of the grant without making a booking wait longer.
func (p *Purse) room(now time.Time) int64 {
	room := p.own(now) + p.booked(nil)
	for _, b := range p.bookings {
		room = min(room, p.after(b.due, b))
	}
	return room
}

// after is what the limit leaves when a booking and those before it are served.
func (p *Purse) after(at time.Time, b *Booking) int64 {
	return p.own(at) + p.booked(nil) - p.booked(b)
}

// booked is the sum of all bookings up to the last one named, or of all.
func (p *Purse) booked(last *Booking) int64 {
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
func (p *Purse) until(now time.Time, limit time.Duration, holds func(time.Time) bool) time.Duration {
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

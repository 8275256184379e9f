package prepaid

import (
	"math"
	"time"
)

const (
	// demandMemory is the time over which the demand is averaged. It is longer
	// than the pause between two requests of a small workspace at one entry.
	demandMemory = 8 * time.Second
	// priorWeight is for how long of observation the assumed demand counts.
	priorWeight = time.Second
)

// sentTerms are terms that were written, and since when they count.
type sentTerms struct {
	Terms
	at time.Time
}

// Purse is an entry's own account of one workspace's grant. It can't be used by
// several goroutines at once.
type Purse struct {
	// inForce are the terms that were read back.
	inForce sentTerms
	// pending are terms that were written but not read back, by their number. Any
	// of them may be in force, so all bind.
	pending map[int64]pendingTerms
	spent   int64
	held    int64
	wanted  int64

	prior    float64
	started  time.Time
	observed float64
	updated  time.Time
}

// pendingTerms are terms whose write was to take effect at an offset.
type pendingTerms struct {
	sentTerms
	offset int64
}

// NewPurse returns an empty purse that assumes a demand in tokens a second
// until it has seen some.
func NewPurse(now time.Time, prior float64) *Purse {
	return &Purse{pending: map[int64]pendingTerms{}, prior: prior, started: now, updated: now}
}

// Sent notes terms that are being written at the offset under a number.
func (p *Purse) Sent(now time.Time, sequence, offset int64, t Terms) {
	p.pending[sequence] = pendingTerms{sentTerms: sentTerms{Terms: t, at: now}, offset: offset}
}

// InForce notes that the terms of that number were read back.
func (p *Purse) InForce(sequence int64) {
	if t, known := p.pending[sequence]; known {
		p.inForce = t.sentTerms
		delete(p.pending, sequence)
	}
}

// Reached drops the terms whose write was to take effect before the offset: they
// were read back, or never will be in force.
func (p *Purse) Reached(offset int64) {
	for sequence, t := range p.pending {
		if t.offset < offset {
			delete(p.pending, sequence)
		}
	}
}

// Free is what new requests may use.
func (p *Purse) Free(now time.Time) int64 {
	limit := p.inForce.limit(now.Sub(p.inForce.at))
	for _, t := range p.pending {
		limit = min(limit, t.limit(now.Sub(t.at)))
	}
	return limit - p.spent - p.held
}

// Granted is what is left of the grant, whatever the terms allow now.
func (p *Purse) Granted() int64 { return p.inForce.Total - p.spent - p.held }

// Reserve holds the most that a request can cost, and reports whether the terms
// cover it.
func (p *Purse) Reserve(now time.Time, tokens int64) bool {
	if tokens > p.Free(now) {
		return false
	}
	p.held += tokens
	return true
}

// Covered returns how long it takes until the terms cover a request without being
// written anew, if that is within the limit.
func (p *Purse) Covered(now time.Time, tokens int64, limit time.Duration) (time.Duration, bool) {
	if p.Free(now.Add(limit)) < tokens {
		return 0, false
	}
	low, high := time.Duration(0), limit
	for high-low > time.Millisecond {
		if middle := (low + high) / 2; p.Free(now.Add(middle)) >= tokens {
			high = middle
		} else {
			low = middle
		}
	}
	return high, true
}

// Settle ends a hold with what the request used.
func (p *Purse) Settle(held, used int64) {
	p.held -= held
	p.spent += min(used, held)
}

// Want notes a request that the terms did not cover.
func (p *Purse) Want(tokens int64) { p.wanted = max(p.wanted, tokens) }

// ForgetWanted drops the note on refused requests.
func (p *Purse) ForgetWanted() { p.wanted = 0 }

// Asked counts a request of that size to the demand.
func (p *Purse) Asked(now time.Time, tokens int64) {
	p.fade(now)
	p.observed += float64(tokens)
}

func (p *Purse) fade(now time.Time) {
	p.observed *= math.Exp(-now.Sub(p.updated).Seconds() / demandMemory.Seconds())
	p.updated = now
}

// Demand is the tokens a second that callers ask for, by what was seen and, for
// the first seconds, by what was assumed.
func (p *Purse) Demand(now time.Time) float64 {
	p.fade(now)
	memory := demandMemory.Seconds()
	span := memory * (1 - math.Exp(-now.Sub(p.started).Seconds()/memory))
	return (p.prior*priorWeight.Seconds() + p.observed) / (priorWeight.Seconds() + span)
}

// Holder fills in the entry's view of its grant.
func (p *Purse) Holder(now time.Time, h Holder) Holder {
	h.Spent, h.Held, h.Demand, h.Wanted = p.spent, p.held, p.Demand(now), p.wanted
	return h
}

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
	priorWeight = 4 * time.Second
)

// Purse is an entry's own account of one workspace's grant. It can't be used by
// several goroutines at once.
type Purse struct {
	granted int64
	// limits are totals that were written but not read back, by the offset at
	// which their write was to take effect. They bind if they are lower.
	limits map[int64]int64
	spent  int64
	held   int64
	wanted int64

	prior    float64
	started  time.Time
	observed float64
	updated  time.Time
}

// NewPurse returns an empty purse that assumes a demand in tokens a second
// until it has seen some.
func NewPurse(now time.Time, prior float64) *Purse {
	return &Purse{limits: map[int64]int64{}, prior: prior, started: now, updated: now}
}

// SetGranted sets the total that was read back from the record.
func (p *Purse) SetGranted(total int64) { p.granted = total }

// Sent notes a total that is being written at the offset.
func (p *Purse) Sent(offset, total int64) { p.limits[offset] = total }

// Reached drops the notes on writes before the offset: they took effect and were
// read back, or never will.
func (p *Purse) Reached(offset int64) {
	for at := range p.limits {
		if at < offset {
			delete(p.limits, at)
		}
	}
}

// Free is what new requests may use.
func (p *Purse) Free() int64 {
	total := p.granted
	for _, limit := range p.limits {
		total = min(total, limit)
	}
	return total - p.spent - p.held
}

// Reserve holds the most that a request can cost, and reports whether the grant
// covers it.
func (p *Purse) Reserve(tokens int64) bool {
	if tokens > p.Free() {
		return false
	}
	p.held += tokens
	return true
}

// Settle ends a hold with what the request used.
func (p *Purse) Settle(held, used int64) {
	p.held -= held
	p.spent += min(used, held)
}

// Want notes a request that the grant did not cover.
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

// Holder returns the entry's view of its grant.
func (p *Purse) Holder(now time.Time, instance, incarnation string) Holder {
	return Holder{
		Instance: instance, Incarnation: incarnation,
		Spent: p.spent, Held: p.held, Demand: p.Demand(now), Wanted: p.wanted,
	}
}

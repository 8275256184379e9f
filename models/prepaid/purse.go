package prepaid

import (
	"math"
	"time"
)

const (
	// demandMemory is the time over which the demand is averaged. It is longer
	// than the pause between two requests of a small workspace at one entry.
	demandMemory = 8 * time.Second
	// priorWeight is for how long of observation the assumed demand counts at first,
	// and priorMemory how fast it is forgotten, within some requests of a large
	// workspace: callers of many workspaces reach few of the entries.
	priorWeight = time.Second
	priorMemory = 2 * time.Second
)

// sentTerms are terms that were written, and since when they count.
type sentTerms struct {
	Terms
	at time.Time
}

func (t sentTerms) limit(now time.Time) int64 { return t.Terms.limit(now.Sub(t.at)) }

// sentTotal is a grant whose write was to take effect at an offset.
type sentTotal struct {
	total  int64
	offset int64
}

// Purse is an entry's own account of one workspace's grant. It can't be used by
// several goroutines at once.
type Purse struct {
	// total is what was read back, and totals what was written but not read back,
	// by its number. Any of these may be in force, so all bind.
	total  int64
	totals map[int64]sentTotal
	// terms are in force, and reported may be.
	terms    *sentTerms
	reported *sentTerms
	spent    int64
	held     int64
	wanted   int64
	// borrowed tokens were given by other entries, which count them as spent.
	borrowed int64
	// bookings are requests that wait, by when they came. Their tokens are held.
	bookings []*Booking

	prior float64
	// started is when the entry took its first request, of any workspace.
	started time.Time
	// observed are the tokens asked for and seen the requests, both faded.
	observed float64
	seen     float64
	updated  time.Time
}

// NewPurse returns an empty purse that assumes a demand in tokens a second
// until the entry has taken requests for a while.
func NewPurse(now time.Time, prior float64) *Purse {
	return &Purse{totals: map[int64]sentTotal{}, prior: prior, updated: now}
}

// Started notes that the entry takes requests, of whatever workspace. Until then
// that it saw none of this one says nothing.
func (p *Purse) Started(now time.Time) {
	if p.started.IsZero() {
		p.started = now
	}
}

// SentGrant notes a total that is being written at the offset under a number.
func (p *Purse) SentGrant(sequence, offset, total int64) {
	p.totals[sequence] = sentTotal{total: total, offset: offset}
}

// GrantInForce notes a grant that was read back.
func (p *Purse) GrantInForce(g Grant) {
	p.total = g.Total
	delete(p.totals, g.Sequence)
}

// Reached drops the grants whose write was to take effect before the offset: they
// were read back, or never will be in force.
func (p *Purse) Reached(offset int64) {
	for sequence, t := range p.totals {
		if t.offset < offset {
			delete(p.totals, sequence)
		}
	}
}

// SentReport notes terms that are being written.
func (p *Purse) SentReport(now time.Time, t Terms) {
	p.reported = &sentTerms{Terms: t, at: now}
}

// ReportInForce notes that the terms written last are in force.
func (p *Purse) ReportInForce() {
	if p.reported != nil {
		p.terms, p.reported = p.reported, nil
	}
}

// ReportVoid notes that the terms written last never will be in force.
func (p *Purse) ReportVoid() { p.reported = nil }

// Free is what new requests may use.
func (p *Purse) Free(now time.Time) int64 { return p.own(now) + p.borrowed }

// own is what is free of the grant by the terms.
func (p *Purse) own(now time.Time) int64 {
	if p.terms == nil {
		return 0
	}
	limit := min(p.total, p.terms.limit(now))
	for _, t := range p.totals {
		limit = min(limit, t.total)
	}
	if p.reported != nil {
		limit = min(limit, p.reported.limit(now))
	}
	return limit - p.spent - p.held
}

// Granted is what is left of the grant, whatever the terms allow now.
func (p *Purse) Granted() int64 { return p.total - p.spent - p.held }

// Part is what a request holds of a purse.
type Part struct {
	own      int64
	borrowed int64
}

// Reserve holds the most that a request can cost, and reports whether grant and
// terms cover it. It may go ahead of bookings that are still covered in time.
func (p *Purse) Reserve(now time.Time, tokens int64) (Part, bool) {
	part := p.divide(tokens)
	if part.own > p.room(now) {
		return Part{}, false
	}
	p.hold(part)
	return part, true
}

// divide takes as much as possible from borrowed tokens, since those are lost if
// the process ends.
func (p *Purse) divide(tokens int64) Part {
	borrowed := min(tokens, p.borrowed)
	return Part{own: tokens - borrowed, borrowed: borrowed}
}

func (p *Purse) hold(part Part) {
	p.held += part.own
	p.borrowed -= part.borrowed
}

// Settle ends a hold with what the request used.
func (p *Purse) Settle(part Part, used int64) {
	p.held -= part.own
	p.borrowed += max(0, part.borrowed-used)
	p.spent += min(max(0, used-part.borrowed), part.own)
}

// Lend gives up to that many tokens to another entry. They count as spent here, so
// that nothing depends on whether they arrive.
func (p *Purse) Lend(now time.Time, tokens int64) int64 {
	lent := max(0, min(tokens, p.room(now)))
	p.spent += lent
	return lent
}

// Lack is what a request would have to borrow.
func (p *Purse) Lack(now time.Time, tokens int64) int64 {
	return tokens - p.borrowed - max(0, p.room(now))
}

// Borrow adds tokens that another entry gave.
func (p *Purse) Borrow(tokens int64) { p.borrowed += tokens }

// Want notes a request that was not covered.
func (p *Purse) Want(tokens int64) { p.wanted = max(p.wanted, tokens) }

// ForgetWanted drops the note on refused requests.
func (p *Purse) ForgetWanted() { p.wanted = 0 }

// Asked counts a request of that size to the demand.
func (p *Purse) Asked(now time.Time, tokens int64) {
	p.fade(now)
	p.observed += float64(tokens)
	p.seen++
}

func (p *Purse) fade(now time.Time) {
	kept := math.Exp(-now.Sub(p.updated).Seconds() / demandMemory.Seconds())
	p.observed *= kept
	p.seen *= kept
	p.updated = now
}

// Demand is the tokens a second that callers ask for, by what was seen and, for
// the first seconds, by what was assumed.
func (p *Purse) Demand(now time.Time) float64 {
	if p.started.IsZero() {
		return p.prior
	}
	p.fade(now)
	age, memory := now.Sub(p.started).Seconds(), demandMemory.Seconds()
	span := memory * (1 - math.Exp(-age/memory))
	weight := priorWeight.Seconds() * math.Exp(-age/priorMemory.Seconds())
	return (p.prior*weight + p.observed) / (weight + span)
}

// Holder fills in the entry's view of its grant.
func (p *Purse) Holder(now time.Time, h Holder) Holder {
	h.Spent, h.Held, h.Demand, h.Seen, h.Wanted = p.spent, p.held, p.Demand(now), p.seen, p.wanted
	return h
}

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
	SpendLimit
	at time.Time
}

func (t sentTerms) limit(now time.Time) int64 { return t.SpendLimit.limit(now.Sub(t.at)) }

// sentTotal is a grant whose write was to take effect at an offset.
type sentTotal struct {
	total  int64
	offset int64
}

// LocalBudget is an entry's own account of one workspace's grant. It can't be used by
// several goroutines at once.
type LocalBudget struct {
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
	bookings []*PendingReservation

	prior float64
	// started is when the entry took its first request, of any workspace.
	started time.Time
	// observed are the tokens asked for and seen the requests, both faded.
	observed float64
	seen     float64
	updated  time.Time
}

// NewLocalBudget returns an empty purse that assumes a demand in tokens a second
// until the entry has taken requests for a while.
func NewLocalBudget(now time.Time, prior float64) *LocalBudget {
	return &LocalBudget{totals: map[int64]sentTotal{}, prior: prior, updated: now}
}

// MarkStarted notes that the entry takes requests, of whatever workspace. Until then
// that it saw none of this one says nothing.
func (p *LocalBudget) MarkStarted(now time.Time) {
	if p.started.IsZero() {
		p.started = now
	}
}

// BeginGrantWrite notes a total that is being written at the offset under a number.
func (p *LocalBudget) BeginGrantWrite(sequence, offset, total int64) {
	p.totals[sequence] = sentTotal{total: total, offset: offset}
}

// ConfirmGrant notes a grant that was read back.
func (p *LocalBudget) ConfirmGrant(g Grant) {
	p.total = g.Total
	delete(p.totals, g.Sequence)
}

// DropGrantWritesBefore drops the grants whose write was to take effect before the offset: they
// were read back, or never will be in force.
func (p *LocalBudget) DropGrantWritesBefore(offset int64) {
	for sequence, t := range p.totals {
		if t.offset < offset {
			delete(p.totals, sequence)
		}
	}
}

// BeginReportWrite notes terms that are being written.
func (p *LocalBudget) BeginReportWrite(now time.Time, t SpendLimit) {
	p.reported = &sentTerms{SpendLimit: t, at: now}
}

// ConfirmReport notes that the terms written last are in force.
func (p *LocalBudget) ConfirmReport() {
	if p.reported != nil {
		p.terms, p.reported = p.reported, nil
	}
}

// DiscardReport notes that the terms written last never will be in force.
func (p *LocalBudget) DiscardReport() { p.reported = nil }

// Free is what new requests may use.
func (p *LocalBudget) Free(now time.Time) int64 { return p.own(now) + p.borrowed }

// own is what is free of the grant by the terms.
func (p *LocalBudget) own(now time.Time) int64 {
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

// GrantRemaining is what is left of the grant, whatever the terms allow now.
func (p *LocalBudget) GrantRemaining() int64 { return p.total - p.spent - p.held }

// Reservation is what a request holds of a purse.
type Reservation struct {
	own      int64
	borrowed int64
}

// Reserve holds the most that a request can cost, and reports whether grant and
// terms cover it. It may go ahead of bookings that are still covered in time.
func (p *LocalBudget) Reserve(now time.Time, tokens int64) (Reservation, bool) {
	part := p.divide(tokens)
	if part.own > p.room(now) {
		return Reservation{}, false
	}
	p.hold(part)
	return part, true
}

// divide takes as much as possible from borrowed tokens, since those are lost if
// the process ends.
func (p *LocalBudget) divide(tokens int64) Reservation {
	borrowed := min(tokens, p.borrowed)
	return Reservation{own: tokens - borrowed, borrowed: borrowed}
}

func (p *LocalBudget) hold(part Reservation) {
	p.held += part.own
	p.borrowed -= part.borrowed
}

// Settle ends a hold with what the request used.
func (p *LocalBudget) Settle(part Reservation, used int64) {
	p.held -= part.own
	p.borrowed += max(0, part.borrowed-used)
	p.spent += min(max(0, used-part.borrowed), part.own)
}

// Lend gives up to that many tokens to another entry. They count as spent here, so
// that nothing depends on whether they arrive.
func (p *LocalBudget) Lend(now time.Time, tokens int64) int64 {
	lent := max(0, min(tokens, p.room(now)))
	p.spent += lent
	return lent
}

// Shortfall is what a request would have to borrow.
func (p *LocalBudget) Shortfall(now time.Time, tokens int64) int64 {
	return tokens - p.borrowed - max(0, p.room(now))
}

// Borrow adds tokens that another entry gave.
func (p *LocalBudget) Borrow(tokens int64) { p.borrowed += tokens }

// RecordUnmet notes a request that was not covered.
func (p *LocalBudget) RecordUnmet(tokens int64) { p.wanted = max(p.wanted, tokens) }

// ClearUnmet drops the note on refused requests.
func (p *LocalBudget) ClearUnmet() { p.wanted = 0 }

// RecordRequest counts a request of that size to the demand.
func (p *LocalBudget) RecordRequest(now time.Time, tokens int64) {
	p.fade(now)
	p.observed += float64(tokens)
	p.seen++
}

func (p *LocalBudget) fade(now time.Time) {
	kept := math.Exp(-now.Sub(p.updated).Seconds() / demandMemory.Seconds())
	p.observed *= kept
	p.seen *= kept
	p.updated = now
}

// Demand is the tokens a second that callers ask for, by what was seen and, for
// the first seconds, by what was assumed.
func (p *LocalBudget) Demand(now time.Time) float64 {
	if p.started.IsZero() {
		return p.prior
	}
	p.fade(now)
	age, memory := now.Sub(p.started).Seconds(), demandMemory.Seconds()
	span := memory * (1 - math.Exp(-age/memory))
	weight := priorWeight.Seconds() * math.Exp(-age/priorMemory.Seconds())
	return (p.prior*weight + p.observed) / (weight + span)
}

// HolderState fills in the entry's view of its grant.
func (p *LocalBudget) HolderState(now time.Time, h HolderState) HolderState {
	h.Spent, h.Held, h.Demand, h.RecentRequests, h.Unmet = p.spent, p.held, p.Demand(now), p.seen, p.wanted
	return h
}

package prepaid

import (
	"math"
	"time"
)

const (
	// demandTimeConstant is the time constant of the moving average of the demand. It
	// is longer than the time between two requests of a small workspace at one
	// gateway.
	demandTimeConstant = 8 * time.Second
	// priorWeight is the observation time to which the assumed demand is equivalent at
	// first, and priorTimeConstant the time constant with which that decays. It decays
	// within a few requests of a large workspace, because callers of many workspaces
	// use few of the gateways.
	priorWeight       = time.Second
	priorTimeConstant = 2 * time.Second
)

// sentLimit is a spending limit that was written, with the time from which it
// applies.
type sentLimit struct {
	SpendLimit
	sentAt time.Time
}

func (l sentLimit) tokensAt(now time.Time) int64 { return l.tokensAfter(now.Sub(l.sentAt)) }

// pendingGrant is a grant whose write takes effect at the offset, if at all.
type pendingGrant struct {
	total  int64
	offset int64
}

// LocalBudget accounts for a gateway's spending from its grant of one workspace.
// It is not safe for concurrent use.
type LocalBudget struct {
	// total is that of the grant read back last, and pendingGrants are the grants
	// that were written but not read back, by sequence. Any of these may be in
	// effect, so the smallest total applies.
	total         int64
	pendingGrants map[int64]pendingGrant
	// limit is in effect, and pendingLimit may be.
	limit        *sentLimit
	pendingLimit *sentLimit
	spent        int64
	held         int64
	// unmet is the size of the largest request that was not covered recently, and
	// waiting the sum of those that wait for a larger grant or spending limit.
	unmet   int64
	waiting int64
	// borrowed tokens were lent by other gateways, which account for them as spent.
	borrowed int64
	// pending are the waiting requests in order of arrival. Their tokens are held.
	pending []*PendingReservation

	priorDemand float64
	// startedAt is when the gateway received its first request of any workspace.
	startedAt time.Time
	// recentTokens and recentRequests are the tokens requested by callers and the number
	// of their requests, recentLoans the tokens that other gateways asked for, all
	// exponentially decayed.
	recentTokens   float64
	recentRequests float64
	recentLoans    float64
	decayedAt      time.Time
}

// NewLocalBudget returns a budget without a grant. Until the gateway has received
// requests for a while, the demand is assumed to be priorDemand tokens per second.
func NewLocalBudget(now time.Time, priorDemand float64) *LocalBudget {
	return &LocalBudget{pendingGrants: map[int64]pendingGrant{}, priorDemand: priorDemand, decayedAt: now}
}

// MarkStarted records that the gateway receives requests, of any workspace. Before
// that, the absence of requests of this workspace doesn't indicate a low demand.
func (b *LocalBudget) MarkStarted(now time.Time) {
	if b.startedAt.IsZero() {
		b.startedAt = now
	}
}

// BeginGrantWrite records a grant that is being written at the offset.
func (b *LocalBudget) BeginGrantWrite(sequence, offset, total int64) {
	b.pendingGrants[sequence] = pendingGrant{total: total, offset: offset}
}

// ConfirmGrant records a grant that was read back.
func (b *LocalBudget) ConfirmGrant(g Grant) {
	b.total = g.Total
	delete(b.pendingGrants, g.Sequence)
}

// DropGrantWritesBefore drops the pending grants whose write would have taken effect
// before the offset: they were read back, or will never be in effect.
func (b *LocalBudget) DropGrantWritesBefore(offset int64) {
	for sequence, g := range b.pendingGrants {
		if g.offset < offset {
			delete(b.pendingGrants, sequence)
		}
	}
}

// BeginEra is called when the store has returned from a copy. Pending grants never take
// effect any more, but one of them may have been in effect before, so the smallest total
// applies, which is returned.
func (b *LocalBudget) BeginEra() int64 {
	for _, g := range b.pendingGrants {
		b.total = min(b.total, g.total)
	}
	clear(b.pendingGrants)
	return b.total
}

// BeginReportWrite records the spending limit of a report that is being written.
func (b *LocalBudget) BeginReportWrite(now time.Time, l SpendLimit) {
	b.pendingLimit = &sentLimit{SpendLimit: l, sentAt: now}
}

// ConfirmReport puts the spending limit of the report written last into effect.
func (b *LocalBudget) ConfirmReport() {
	if b.pendingLimit != nil {
		b.limit, b.pendingLimit = b.pendingLimit, nil
	}
}

// DiscardReport discards the spending limit of the report written last, which will
// never be in effect.
func (b *LocalBudget) DiscardReport() { b.pendingLimit = nil }

// Free returns the number of tokens available to new requests.
func (b *LocalBudget) Free(now time.Time) int64 { return b.freeOwn(now) + b.borrowed }

// freeOwn returns the number of free tokens of the grant within the spending limit.
func (b *LocalBudget) freeOwn(now time.Time) int64 {
	if b.limit == nil {
		return 0
	}
	limit := min(b.total, b.limit.tokensAt(now))
	for _, g := range b.pendingGrants {
		limit = min(limit, g.total)
	}
	if b.pendingLimit != nil {
		limit = min(limit, b.pendingLimit.tokensAt(now))
	}
	return limit - b.spent - b.held
}

// GrantRemaining returns the tokens of the grant that are neither spent nor held,
// regardless of the spending limit.
func (b *LocalBudget) GrantRemaining() int64 { return b.total - b.spent - b.held }

// Reservation holds tokens of a LocalBudget for one request.
type Reservation struct {
	own      int64
	borrowed int64
}

// Reserve holds the maximum cost of a request, and reports whether grant and
// spending limit cover it. The request may overtake pending reservations that are
// still covered when they are due.
func (b *LocalBudget) Reserve(now time.Time, tokens int64) (Reservation, bool) {
	r := b.split(tokens)
	if r.own > b.available(now) {
		return Reservation{}, false
	}
	b.hold(r)
	return r, true
}

// split covers as much as possible with borrowed tokens, since those are lost when
// the process ends.
func (b *LocalBudget) split(tokens int64) Reservation {
	borrowed := min(tokens, b.borrowed)
	return Reservation{own: tokens - borrowed, borrowed: borrowed}
}

func (b *LocalBudget) hold(r Reservation) {
	b.held += r.own
	b.borrowed -= r.borrowed
}

// Settle ends a reservation, of which the request used some tokens.
func (b *LocalBudget) Settle(r Reservation, used int64) {
	b.held -= r.own
	b.borrowed += max(0, r.borrowed-used)
	b.spent += min(max(0, used-r.borrowed), r.own)
}

// Lend lends at most this number of tokens to another gateway and returns how many
// it lent. They are accounted for as spent here, so that the total is never
// exceeded, whether or not they arrive.
func (b *LocalBudget) Lend(now time.Time, tokens int64) int64 {
	lent := max(0, min(tokens, b.available(now)))
	b.spent += lent
	return lent
}

// LendReserved lends the tokens of the grant that a reservation holds, and returns their
// number.
func (b *LocalBudget) LendReserved(r Reservation) int64 {
	b.Settle(r, r.own+r.borrowed)
	return r.own + r.borrowed
}

// Shortfall returns the number of tokens that a request would have to borrow. It is
// not positive if there are enough.
func (b *LocalBudget) Shortfall(now time.Time, tokens int64) int64 {
	return tokens - b.borrowed - max(0, b.available(now))
}

// Borrow adds tokens lent by another gateway.
func (b *LocalBudget) Borrow(tokens int64) { b.borrowed += tokens }

// Borrowed returns the number of borrowed tokens that no request holds.
func (b *LocalBudget) Borrowed() int64 { return b.borrowed }

// ReturnBorrowed removes the borrowed tokens that no request holds, so that they can be
// returned to a lender. The caller must return them at most once.
func (b *LocalBudget) ReturnBorrowed() int64 {
	tokens := b.borrowed
	b.borrowed = 0
	return tokens
}

// TakeBack adds tokens that a borrower returned. Whether this process or another one
// lent them makes no difference, since they are accounted for as spent once.
func (b *LocalBudget) TakeBack(tokens int64) {
	b.spent -= max(0, min(tokens, b.spent))
}

// RecordUnmet records the size of a request that was not covered.
func (b *LocalBudget) RecordUnmet(tokens int64) { b.unmet = max(b.unmet, tokens) }

// AddWaiting adds the tokens of a request that waits for a larger grant or spending limit,
// or removes them if the number is negative.
func (b *LocalBudget) AddWaiting(tokens int64) { b.waiting += tokens }

// ClearUnmet clears what RecordUnmet recorded.
func (b *LocalBudget) ClearUnmet() { b.unmet = 0 }

// RecordRequest adds a request for this number of tokens to the demand.
func (b *LocalBudget) RecordRequest(now time.Time, tokens int64) {
	b.decay(now)
	b.recentTokens += float64(tokens)
	b.recentRequests++
}

// RecordLoanRequest adds tokens that another gateway asked for to the demand for loans.
func (b *LocalBudget) RecordLoanRequest(now time.Time, tokens int64) {
	b.decay(now)
	b.recentLoans += float64(tokens)
}

func (b *LocalBudget) decay(now time.Time) {
	factor := math.Exp(-now.Sub(b.decayedAt).Seconds() / demandTimeConstant.Seconds())
	b.recentTokens *= factor
	b.recentRequests *= factor
	b.recentLoans *= factor
	b.decayedAt = now
}

// Demand returns the callers' demand in tokens per second. During the first seconds
// the assumed demand has a part in it.
func (b *LocalBudget) Demand(now time.Time) float64 {
	if b.startedAt.IsZero() {
		return b.priorDemand
	}
	b.decay(now)
	weight, span := b.demandWeights(now)
	return (b.priorDemand*weight + b.recentTokens) / (weight + span)
}

// demandWeights returns the weight of the assumed demand and the time to which the
// decayed tokens are equivalent, in seconds.
func (b *LocalBudget) demandWeights(now time.Time) (prior, observed float64) {
	age, timeConstant := now.Sub(b.startedAt).Seconds(), demandTimeConstant.Seconds()
	return priorWeight.Seconds() * math.Exp(-age/priorTimeConstant.Seconds()), timeConstant * (1 - math.Exp(-age/timeConstant))
}

// LoanDemand returns the other gateways' demand for loans in tokens per second.
func (b *LocalBudget) LoanDemand(now time.Time) float64 {
	if b.startedAt.IsZero() {
		return 0
	}
	b.decay(now)
	weight, span := b.demandWeights(now)
	return b.recentLoans / (weight + span)
}

// HolderState returns h with the spending and the demand filled in.
func (b *LocalBudget) HolderState(now time.Time, h HolderState) HolderState {
	h.Spent, h.Held, h.Unmet = b.spent, b.held, max(b.unmet, b.waiting)
	h.Demand, h.LoanDemand, h.RecentRequests = b.Demand(now), b.LoanDemand(now), b.recentRequests
	return h
}

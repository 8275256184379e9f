package run

import (
	"time"

	"github.com/crocusline/crocusline/models/ledger"
)

// chargeState says how far the bill of a run came.
type chargeState int

const (
	chargeNone chargeState = iota
	chargeDue
	chargeSettled
)

// record is one run and the answer it gave.
type record struct {
	id         ID
	request    Request
	requestIDs []string
	state      State
	// started is set once the server had the work, also while it is displaced.
	started  bool
	result   Result
	relays   map[SubscriptionID]*relay
	deadline time.Time
	// interrupted is when the last relay left an unfinished run.
	interrupted time.Time
	finished    time.Time
	acked       time.Time
	// payer of idempotent work is empty until a last frame is being sent.
	payer  payer
	charge chargeState
}

// payer is the hold that pays for a run, and the request that brought it.
type payer struct {
	hold      ledger.Hold
	requestID string
}

// relay is one entry's stream of one answer.
type relay struct {
	id        SubscriptionID
	record    *record
	requestID string
	hold      ledger.Hold
	replayed  bool
	// handing is set while the last frame is being sent to the relay.
	handing bool
}

func (r *record) done() bool {
	return r.state == Ran || r.state == Unresolved
}

// chargeable reports whether the run's bill may still become due.
func (r *record) chargeable() bool {
	return r.charge == chargeNone && r.state != Unresolved
}

// needed reports whether a finished answer must be kept: a relay reads it, or it
// belongs to non-idempotent work whose outcome the ledger does not hold yet, or
// it is billed and its caller may still ask for it.
func (r *record) needed() bool {
	if len(r.relays) > 0 {
		return true
	}
	return r.charge == chargeDue && (!r.request.Idempotent || r.acked.IsZero())
}

// handing reports whether a last frame is being sent to some relay.
func (r *record) handing() bool {
	for _, rel := range r.relays {
		if rel.handing {
			return true
		}
	}
	return false
}

// billed returns the tokens that the payer is charged.
func (r *record) billed() int64 {
	cost := r.request.Price
	if cost == 0 {
		cost = r.result.PromptTokens + r.result.OutputTokens
	}
	return min(cost, r.payer.hold.Tokens)
}

// expiry returns when the run is cancelled or its answer forgotten, or the zero
// time while neither can happen.
func (r *record) expiry(limits Limits) time.Time {
	if !r.done() {
		return r.cancelTime(limits)
	}
	if r.needed() {
		return time.Time{}
	}
	if !r.acked.IsZero() {
		return r.acked.Add(limits.GracePeriod)
	}
	return r.finished.Add(limits.AnswerRetention)
}

// cancelTime returns when an unfinished run is cancelled. Non-idempotent work
// always goes to its end once it runs.
func (r *record) cancelTime(limits Limits) time.Time {
	if !r.request.Idempotent && r.state == Running {
		return time.Time{}
	}
	at := r.deadline
	if r.request.Idempotent && !r.interrupted.IsZero() {
		left := r.interrupted.Add(limits.GracePeriod)
		if at.IsZero() || left.Before(at) {
			at = left
		}
	}
	return at
}

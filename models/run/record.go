package run

import (
	"time"

	"github.com/crocusline/crocusline/models/ledger"
)

// chargeState is the state of a run's bill.
type chargeState int

const (
	chargeNone chargeState = iota
	// chargeDue means that the bill is to be posted to the ledger.
	chargeDue
	// chargeSettled means that the ledger has stored the bill.
	chargeSettled
)

// record is the state of one run.
type record struct {
	id         ID
	request    Request
	requestIDs []string
	state      State
	// started is set once the work was started at the server. It stays set while
	// the run is preempted.
	started       bool
	result        Result
	subscriptions map[SubscriptionID]*subscription
	// deadline is the latest deadline of the requests that joined the run.
	deadline time.Time
	// unsubscribedAt is when the last subscription of an unfinished run ended.
	unsubscribedAt time.Time
	finishedAt     time.Time
	acknowledgedAt time.Time
	// payer of idempotent work is empty until a final frame is prepared.
	payer  payer
	charge chargeState
}

// payer is the hold that pays for a run, and the id of the request it came with.
type payer struct {
	hold      ledger.Hold
	requestID string
}

// subscription is the stream of one answer to one entry.
type subscription struct {
	id        SubscriptionID
	record    *record
	requestID string
	hold      ledger.Hold
	replayed  bool
	// sendingFinalFrame is set once the final frame was prepared.
	sendingFinalFrame bool
}

func (r *record) done() bool {
	return r.state == Ran || r.state == Unresolved
}

// chargeable reports whether the run's bill may still become due.
func (r *record) chargeable() bool {
	return r.charge == chargeNone && r.state != Unresolved
}

// mustRetain reports whether a finished answer must be retained. This is the case
// while a subscription reads it. While its bill is due, it is also the case for
// non-idempotent work, whose outcome is not in the ledger yet, and for an answer
// that is not acknowledged, because its caller may still request it.
func (r *record) mustRetain() bool {
	if len(r.subscriptions) > 0 {
		return true
	}
	return r.charge == chargeDue && (!r.request.Idempotent || r.acknowledgedAt.IsZero())
}

// sendingFinalFrame reports whether a final frame is being sent to any
// subscription.
func (r *record) sendingFinalFrame() bool {
	for _, sub := range r.subscriptions {
		if sub.sendingFinalFrame {
			return true
		}
	}
	return false
}

// billedTokens returns the number of tokens charged to the payer.
func (r *record) billedTokens() int64 {
	cost := r.request.Price
	if cost == 0 {
		cost = r.result.PromptTokens + r.result.OutputTokens
	}
	return min(cost, r.payer.hold.Tokens)
}

// expiresAt returns when the run is cancelled or its answer discarded, or the
// zero time while neither can happen.
func (r *record) expiresAt(limits Limits) time.Time {
	if !r.done() {
		return r.cancelAt(limits)
	}
	if r.mustRetain() {
		return time.Time{}
	}
	if !r.acknowledgedAt.IsZero() {
		return r.acknowledgedAt.Add(limits.GracePeriod)
	}
	return r.finishedAt.Add(limits.AnswerRetention)
}

// cancelAt returns when an unfinished run is cancelled, or the zero time if it
// has no limit. Running non-idempotent work is never cancelled.
func (r *record) cancelAt(limits Limits) time.Time {
	if !r.request.Idempotent && r.state == Running {
		return time.Time{}
	}
	at := r.deadline
	if r.request.Idempotent && !r.unsubscribedAt.IsZero() {
		graceEnd := r.unsubscribedAt.Add(limits.GracePeriod)
		if at.IsZero() || graceEnd.Before(at) {
			at = graceEnd
		}
	}
	return at
}

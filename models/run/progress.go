package run

import (
	"time"

	"github.com/crocusline/crocusline/models/ledger"
	"github.com/crocusline/crocusline/models/refusal"
)

// Start marks a queued run as running. It returns false if the run is not
// queued or no longer exists.
func (t *Tracker) Start(id ID) bool {
	rec := t.runs[id]
	if rec == nil || rec.state != Queued {
		return false
	}
	rec.state = Running
	rec.started = true
	return true
}

// Requeue marks a preempted run as queued again. It returns false if the run
// must not be preempted.
func (t *Tracker) Requeue(id ID) bool {
	rec := t.runs[id]
	if rec == nil || rec.state != Running || !rec.request.Idempotent {
		return false
	}
	rec.state = Queued
	return true
}

// Finish records the complete answer of a run. Non-idempotent work is charged
// immediately, because it has taken effect.
func (t *Tracker) Finish(now time.Time, id ID, result Result) []Action {
	rec := t.runs[id]
	if rec == nil || rec.done() {
		return nil
	}
	t.open--
	rec.state = Ran
	rec.result = result
	t.retain(now, rec)
	if rec.request.Idempotent {
		return nil
	}
	t.attempts.add(now, rec.request.attemptID(), Ran)
	return t.charge(rec)
}

// retain adds an ended run to the retained answers.
func (t *Tracker) retain(now time.Time, rec *record) {
	rec.finishedAt = now
	t.retained++
	t.retainedBytes += rec.result.MemoryBytes
}

// Fail records that a run ended without a complete answer. An attempt of
// non-idempotent work that did not run is fenced, because the caller receives
// "not run" and may make another attempt.
func (t *Tracker) Fail(now time.Time, id ID, outcome refusal.Outcome) {
	rec := t.runs[id]
	if rec == nil || rec.done() {
		return
	}
	t.open--
	if rec.request.Idempotent {
		t.remove(rec)
		return
	}
	if outcome == refusal.NotRun {
		t.attempts.add(now, rec.request.attemptID(), Fenced)
		t.remove(rec)
		return
	}
	rec.state = Unresolved
	t.retain(now, rec)
	t.attempts.add(now, rec.request.attemptID(), Unresolved)
}

// PrepareFinalFrame returns the final frame of a subscription. It must be called
// before the frame is sent, because it determines the payer: the first
// subscription whose final frame is prepared. Its entry is still connected, so it
// learns from the frame that its hold pays. It returns false if the answer must
// not be sent to the subscription any more.
func (t *Tracker) PrepareFinalFrame(id SubscriptionID) (FinalFrame, bool) {
	sub := t.subscriptions[id]
	if sub == nil || sub.record.state != Ran {
		return FinalFrame{}, false
	}
	rec := sub.record
	sub.sendingFinalFrame = true
	if rec.payer == (payer{}) {
		rec.payer = payer{hold: sub.hold, requestID: sub.requestID}
	}
	return FinalFrame{
		RequestID:    rec.request.ID,
		PromptTokens: rec.result.PromptTokens,
		OutputTokens: rec.result.OutputTokens,
		BilledTokens: rec.billedTokens(),
		Hold:         rec.payer.hold,
		Body:         rec.result.Body,
		Replayed:     sub.replayed,
	}, true
}

// CloseSubscription ends a subscription. delivered reports whether the final
// frame was sent, which makes the bill due.
func (t *Tracker) CloseSubscription(now time.Time, id SubscriptionID, delivered bool) []Action {
	sub := t.subscriptions[id]
	if sub == nil {
		return nil
	}
	rec := sub.record
	delete(t.subscriptions, id)
	delete(rec.subscriptions, id)
	if len(rec.subscriptions) == 0 && !rec.done() {
		rec.unsubscribedAt = now
	}
	if delivered && sub.sendingFinalFrame {
		return t.charge(rec)
	}
	if rec.request.Idempotent && rec.charge == chargeNone && !rec.sendingFinalFrame() {
		rec.payer = payer{}
	}
	return nil
}

// charge makes the bill of a run due. It has no effect if it was due before.
func (t *Tracker) charge(rec *record) []Action {
	if rec.charge != chargeNone {
		return nil
	}
	rec.charge = chargeDue
	t.unsettled[rec.id] = rec.payer
	t.runByPayingRequest[rec.payer.requestID] = rec.id
	req := &rec.request
	entries := []ledger.Entry{ledger.Bill{
		RequestID: req.ID,
		Workspace: req.Workspace,
		Kind:      req.Kind,
		Key:       req.Key,
		Hold:      rec.payer.hold,
		Tokens:    rec.billedTokens(),
		Witness:   t.incarnation,
		Server:    t.server,
	}}
	if !req.Idempotent {
		entries = append(entries, t.outcomeEntry(rec))
	}
	return []Action{Charge{Run: rec.id, Shard: rec.payer.hold.Shard, Entries: entries}}
}

func (t *Tracker) outcomeEntry(rec *record) ledger.Outcome {
	out := ledger.Outcome{
		Workspace: rec.request.Workspace,
		Key:       rec.request.Key,
		Attempt:   rec.request.Attempt,
	}
	if len(rec.result.Body) <= ledger.MaxKeptBodyBytes {
		out.Body = rec.result.Body
		out.BodyKept = true
	}
	return out
}

// MarkSettled records that the ledger shard has stored the bill of a run.
func (t *Tracker) MarkSettled(id ID) {
	if p := t.unsettled[id]; t.runByPayingRequest[p.requestID] == id {
		delete(t.runByPayingRequest, p.requestID)
	}
	delete(t.unsettled, id)
	if rec := t.runs[id]; rec != nil {
		rec.charge = chargeSettled
	}
}

// Acknowledgement is the result of acknowledging an answer.
type Acknowledgement struct {
	// Known is set when the run of the request exists.
	Known bool
	// Billed is set when the ledger has stored the bill.
	Billed bool
}

// Acknowledge records that the complete answer reached the caller.
func (t *Tracker) Acknowledge(now time.Time, requestID string) Acknowledgement {
	rec := t.byRequestID[requestID]
	if rec == nil || !rec.done() {
		return Acknowledgement{Known: rec != nil}
	}
	if rec.acknowledgedAt.IsZero() {
		rec.acknowledgedAt = now
	}
	return Acknowledgement{Known: true, Billed: rec.charge == chargeSettled}
}

// RevertAdmission removes a run that was just admitted but could not be queued.
func (t *Tracker) RevertAdmission(id ID) {
	if rec := t.runs[id]; rec != nil && rec.state == Queued && !rec.started {
		t.open--
		t.remove(rec)
	}
}

package run

import (
	"time"

	"github.com/crocusline/crocusline/models/ledger"
	"github.com/crocusline/crocusline/models/refusal"
)

// Start marks a queued run as running. It returns false when the run is gone.
func (b *Tracker) Start(id ID) bool {
	rec := b.runs[id]
	if rec == nil || rec.state != Queued {
		return false
	}
	rec.state = Running
	rec.started = true
	return true
}

// Requeue marks a displaced run as queued again. It returns false when the run
// may not be displaced.
func (b *Tracker) Requeue(id ID) bool {
	rec := b.runs[id]
	if rec == nil || rec.state != Running || !rec.request.Idempotent {
		return false
	}
	rec.state = Queued
	return true
}

// Finish records the whole answer of a run. Non-idempotent work is charged now,
// since its effect took place.
func (b *Tracker) Finish(now time.Time, id ID, result Result) []Action {
	rec := b.runs[id]
	if rec == nil || rec.done() {
		return nil
	}
	b.open--
	rec.state = Ran
	rec.result = result
	b.end(now, rec)
	if rec.request.Idempotent {
		return nil
	}
	b.attempts.add(now, rec.request.attemptID(), Ran)
	return b.charge(rec)
}

func (b *Tracker) end(now time.Time, rec *record) {
	rec.finished = now
	b.kept++
	b.keptBytes += rec.result.MemoryBytes
}

// Fail records that a run ended without a whole answer. An attempt of
// non-idempotent work that did not run is fenced, since its caller is told so.
func (b *Tracker) Fail(now time.Time, id ID, outcome refusal.Outcome) {
	rec := b.runs[id]
	if rec == nil || rec.done() {
		return
	}
	b.open--
	if rec.request.Idempotent {
		b.drop(rec)
		return
	}
	if outcome == refusal.NotRun {
		b.attempts.add(now, rec.request.attemptID(), Fenced)
		b.drop(rec)
		return
	}
	rec.state = Unresolved
	b.end(now, rec)
	b.attempts.add(now, rec.request.attemptID(), Unresolved)
}

// PrepareFinalFrame fixes who pays, before the last frame is sent to a relay: the first
// one does, whose entry is there to see it. It returns false when the answer may
// no longer go there.
func (b *Tracker) PrepareFinalFrame(id SubscriptionID) (FinalFrame, bool) {
	r := b.relays[id]
	if r == nil || r.record.state != Ran {
		return FinalFrame{}, false
	}
	rec := r.record
	r.handing = true
	if rec.payer == (payer{}) {
		rec.payer = payer{hold: r.hold, requestID: r.requestID}
	}
	return FinalFrame{
		RequestID:    rec.request.ID,
		PromptTokens: rec.result.PromptTokens,
		OutputTokens: rec.result.OutputTokens,
		BilledTokens: rec.billed(),
		Hold:         rec.payer.hold,
		Body:         rec.result.Body,
		Replayed:     r.replayed,
	}, true
}

// CloseSubscription ends a relay. handed says that the last frame was sent, which
// makes the bill due.
func (b *Tracker) CloseSubscription(now time.Time, id SubscriptionID, handed bool) []Action {
	r := b.relays[id]
	if r == nil {
		return nil
	}
	rec := r.record
	delete(b.relays, id)
	delete(rec.relays, id)
	if len(rec.relays) == 0 && !rec.done() {
		rec.interrupted = now
	}
	if handed && r.handing {
		return b.charge(rec)
	}
	if rec.request.Idempotent && rec.charge == chargeNone && !rec.handing() {
		rec.payer = payer{}
	}
	return nil
}

// charge makes the bill of a run due, once.
func (b *Tracker) charge(rec *record) []Action {
	if rec.charge != chargeNone {
		return nil
	}
	rec.charge = chargeDue
	b.unsettled[rec.id] = rec.payer
	b.owed[rec.payer.requestID] = rec.id
	req := &rec.request
	entries := []ledger.Entry{ledger.Bill{
		RequestID: req.ID,
		Workspace: req.Workspace,
		Kind:      req.Kind,
		Key:       req.Key,
		Hold:      rec.payer.hold,
		Tokens:    rec.billed(),
		Witness:   b.incarnation,
		Server:    b.server,
	}}
	if !req.Idempotent {
		entries = append(entries, b.outcome(rec))
	}
	return []Action{Charge{Run: rec.id, Shard: rec.payer.hold.Shard, Entries: entries}}
}

func (b *Tracker) outcome(rec *record) ledger.Outcome {
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

// MarkSettled records that the ledger shard holds the bill of a run.
func (b *Tracker) MarkSettled(id ID) {
	if p := b.unsettled[id]; b.owed[p.requestID] == id {
		delete(b.owed, p.requestID)
	}
	delete(b.unsettled, id)
	if rec := b.runs[id]; rec != nil {
		rec.charge = chargeSettled
	}
}

// Acknowledgement is what the record says to an acknowledged answer.
type Acknowledgement struct {
	// Known is set when the answer is in the record.
	Known bool
	// Billed is set when the ledger holds the bill.
	Billed bool
}

// Acknowledge records that the whole answer reached the caller.
func (b *Tracker) Acknowledge(now time.Time, requestID string) Acknowledgement {
	rec := b.byRequest[requestID]
	if rec == nil || !rec.done() {
		return Acknowledgement{Known: rec != nil}
	}
	if rec.acked.IsZero() {
		rec.acked = now
	}
	return Acknowledgement{Known: true, Billed: rec.charge == chargeSettled}
}

// RevertAdmission takes back a run that was admitted in the same step but could not be
// queued. It leaves no trace.
func (b *Tracker) RevertAdmission(id ID) {
	if rec := b.runs[id]; rec != nil && rec.state == Queued && !rec.started {
		b.open--
		b.drop(rec)
	}
}

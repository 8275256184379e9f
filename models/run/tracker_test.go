package run

import (
	"testing"
	"time"

	"github.com/crocusline/crocusline/models/ledger"
	"github.com/crocusline/crocusline/models/refusal"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var attempt1 = RequestRef{Workspace: "clinic", Key: "k", Attempt: 1}

func newTestBook(limits Limits) *Tracker {
	return NewTracker("drafting-1", "sidecar/1", limits)
}

func draft(id, key, entry string, sequence uint64) Request {
	return Request{
		ID: id, Workspace: "clinic", Kind: "draft", Key: key, Idempotent: true, Digest: []byte("d"),
		Hold: ledger.Hold{Holder: entry, Sequence: sequence, Tokens: 100},
	}
}

func booking(id, key, entry string, attempt int64) Request {
	r := draft(id, key, entry, uint64(attempt))
	r.Kind, r.Idempotent, r.Incarnation, r.Attempt, r.Price = "booking", false, "sidecar/1", attempt, 7
	return r
}

func submit(t *testing.T, b *Tracker, req Request) Admission {
	t.Helper()
	adm, err := b.Submit(start, req)
	if err != nil {
		t.Fatalf("Submit(%s): %v", req.ID, err)
	}
	return adm
}

func wantRefusal(t *testing.T, b *Tracker, req Request, reason refusal.Reason, outcome refusal.Outcome) {
	t.Helper()
	_, err := b.Submit(start, req)
	e, ok := refusal.As(err)
	if !ok || e.Reason != reason || e.Outcome != outcome {
		t.Errorf("Submit(%s) = %v, want %s (%s)", req.ID, err, reason, outcome)
	}
}

func finish(t *testing.T, b *Tracker, adm Admission) []Action {
	t.Helper()
	if !b.Start(adm.Run) {
		t.Fatalf("Start(%d) = false", adm.Run)
	}
	return b.Finish(start, adm.Run, Result{PromptTokens: 10, OutputTokens: 20, MemoryBytes: 40, Body: []byte("ok")})
}

func handOver(t *testing.T, b *Tracker, adm Admission) (FinalFrame, []Action) {
	t.Helper()
	h, ok := b.PrepareFinalFrame(adm.Subscription)
	if !ok {
		t.Fatal("HandOver refused")
	}
	return h, b.CloseSubscription(start, adm.Subscription, true)
}

func bills(actions []Action) []ledger.Bill {
	var found []ledger.Bill
	for _, a := range actions {
		if c, ok := a.(Charge); ok {
			for _, e := range c.Entries {
				if bill, ok := e.(ledger.Bill); ok {
					found = append(found, bill)
				}
			}
		}
	}
	return found
}

func TestRetryJoinsAndFirstAnsweredPaysOnce(t *testing.T) {
	b := newTestBook(DefaultLimits())
	first := submit(t, b, draft("r1", "k", "entry/a", 1))
	retry := submit(t, b, draft("r2", "k", "entry/b", 5))
	if retry.New || retry.Run != first.Run {
		t.Fatalf("retry = %+v, want to join run %d", retry, first.Run)
	}
	if acts := finish(t, b, first); len(acts) != 0 {
		t.Errorf("Finish = %v, want no bill before the last frame is sent", acts)
	}
	h, acts := handOver(t, b, retry)
	if h.Hold.Holder != "entry/b" || h.BilledTokens != 30 {
		t.Errorf("handover = %+v, want the hold of the call answered first to pay 30", h)
	}
	got := bills(acts)
	if len(got) != 1 || got[0].Hold.Holder != "entry/b" || got[0].Tokens != 30 || got[0].RequestID != "r1" {
		t.Errorf("bills = %+v", got)
	}
	if h, acts = handOver(t, b, first); len(acts) != 0 || h.Hold.Holder != "entry/b" {
		t.Errorf("second handover = %+v, %v, want the same hold and no second bill", h, acts)
	}
}

func TestOtherContentUnderOneKeyIsRefused(t *testing.T) {
	b := newTestBook(DefaultLimits())
	submit(t, b, draft("r1", "k", "entry/a", 1))
	other := draft("r2", "k", "entry/a", 2)
	other.Digest = []byte("other")
	wantRefusal(t, b, other, refusal.KeyReused, refusal.NotRun)
}

func TestNoBillWithoutHandover(t *testing.T) {
	b := newTestBook(DefaultLimits())
	adm := submit(t, b, draft("r1", "", "entry/a", 1))
	finish(t, b, adm)
	if _, ok := b.PrepareFinalFrame(adm.Subscription); !ok {
		t.Fatal("HandOver refused")
	}
	if acts := b.CloseSubscription(start, adm.Subscription, false); len(acts) != 0 {
		t.Errorf("CloseRelay of a failed send = %v, want no bill", acts)
	}
}

func TestBillNeverPassesTheHold(t *testing.T) {
	b := newTestBook(DefaultLimits())
	req := draft("r1", "", "entry/a", 1)
	req.Hold.Tokens = 12
	adm := submit(t, b, req)
	finish(t, b, adm)
	if _, acts := handOver(t, b, adm); bills(acts)[0].Tokens != 12 {
		t.Errorf("bill = %+v, want 12 tokens", bills(acts))
	}
}

func TestInterruptedDraftIsCancelledAfterGrace(t *testing.T) {
	limits := DefaultLimits()
	b := newTestBook(limits)
	adm := submit(t, b, draft("r1", "k", "entry/a", 1))
	b.Start(adm.Run)
	b.CloseSubscription(start, adm.Subscription, false)
	if acts := b.Expire(start.Add(limits.GracePeriod - 1)); len(acts) != 0 {
		t.Fatalf("within the grace time: %v", acts)
	}
	acts := b.Expire(start.Add(limits.GracePeriod))
	if len(acts) != 1 || acts[0] != (Cancel{Run: adm.Run, Started: true}) {
		t.Fatalf("after the grace time: %v", acts)
	}
	if settled, _ := b.FenceEntry(start, "entry/a"); !settled || b.OpenCount() != 0 {
		t.Errorf("settled = %t, open = %d after the cancel", settled, b.OpenCount())
	}
}

func TestRetryWithinGraceKeepsTheRun(t *testing.T) {
	limits := DefaultLimits()
	b := newTestBook(limits)
	adm := submit(t, b, draft("r1", "k", "entry/a", 1))
	b.Start(adm.Run)
	b.CloseSubscription(start, adm.Subscription, false)
	submit(t, b, draft("r1", "k", "entry/b", 1))
	if acts := b.Expire(start.Add(10 * limits.GracePeriod)); len(acts) != 0 {
		t.Errorf("a joined run was ended: %v", acts)
	}
}

func TestBookingGoesToItsEndAndIsChargedWithItsOutcome(t *testing.T) {
	b := newTestBook(DefaultLimits())
	req := booking("r1", "k", "entry/a", 1)
	req.Deadline = start.Add(time.Second)
	adm := submit(t, b, req)
	b.Start(adm.Run)
	b.CloseSubscription(start, adm.Subscription, false)
	if acts := b.Expire(start.Add(time.Hour)); len(acts) != 0 {
		t.Fatalf("running booking was ended: %v", acts)
	}
	acts := b.Finish(start, adm.Run, Result{Body: []byte("done")})
	charge, ok := acts[0].(Charge)
	if !ok || len(charge.Entries) != 2 {
		t.Fatalf("Finish = %v, want bill and outcome in one charge", acts)
	}
	out := charge.Entries[1].(ledger.Outcome)
	if bills(acts)[0].Tokens != 7 || out.Attempt != 1 || string(out.Body) != "done" || !out.BodyKept {
		t.Errorf("entries = %+v", charge.Entries)
	}
	if settled, _ := b.FenceEntry(start, "entry/a"); settled {
		t.Error("settled before the ledger holds the bill")
	}
	b.MarkSettled(adm.Run)
	if settled, _ := b.FenceEntry(start, "entry/a"); !settled {
		t.Error("not settled though the ledger holds the bill")
	}
}

func TestAttemptRunsOnce(t *testing.T) {
	limits := DefaultLimits()
	tests := []struct {
		name    string
		end     func(b *Tracker, adm Admission)
		reason  refusal.Reason
		outcome refusal.Outcome
	}{
		{"failed before it had an effect", func(b *Tracker, adm Admission) {
			b.Start(adm.Run)
			b.Fail(start, adm.Run, refusal.NotRun)
		}, refusal.Fenced, refusal.NotRun},
		{"expired in the queue", func(b *Tracker, _ Admission) {
			b.Expire(start.Add(time.Minute))
		}, refusal.Fenced, refusal.NotRun},
		{"answer forgotten", func(b *Tracker, adm Admission) {
			b.Start(adm.Run)
			b.Finish(start, adm.Run, Result{})
			b.MarkSettled(adm.Run)
			b.CloseSubscription(start, adm.Subscription, false)
			b.Expire(start.Add(limits.AnswerRetention))
		}, refusal.OutcomeUnknown, refusal.Unknown},
		{"unresolved and forgotten", func(b *Tracker, adm Admission) {
			b.Start(adm.Run)
			b.Fail(start, adm.Run, refusal.Unknown)
			b.CloseSubscription(start, adm.Subscription, false)
			b.Expire(start.Add(limits.AnswerRetention))
		}, refusal.OutcomeUnknown, refusal.Unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newTestBook(limits)
			req := booking("r1", "k", "entry/a", 1)
			req.Deadline = start.Add(time.Minute)
			tt.end(b, submit(t, b, req))
			if _, known := b.Request(1); known {
				t.Fatal("run still known")
			}
			wantRefusal(t, b, req, tt.reason, tt.outcome)
		})
	}
}

func TestFencedAttemptIsNeverRunAndTheNextMay(t *testing.T) {
	b := newTestBook(DefaultLimits())
	if s, _, _ := b.Inquire(start, attempt1, false); s != NotSeen {
		t.Errorf("state = %s, want notSeen", s)
	}
	if s, _, _ := b.Inquire(start, attempt1, true); s != Fenced {
		t.Errorf("state = %s, want fenced", s)
	}
	wantRefusal(t, b, booking("r1", "k", "entry/a", 1), refusal.Fenced, refusal.NotRun)
	if adm := submit(t, b, booking("r2", "k", "entry/b", 2)); !adm.New {
		t.Error("the next attempt was not started")
	}
}

func TestSeenAttemptIsNotFenced(t *testing.T) {
	b := newTestBook(DefaultLimits())
	adm := submit(t, b, booking("r1", "k", "entry/a", 1))
	if s, _, _ := b.Inquire(start, attempt1, true); s != Queued {
		t.Errorf("state = %s, want queued", s)
	}
	finish(t, b, adm)
	if s, _, _ := b.Inquire(start, attempt1, true); s != Ran {
		t.Errorf("state = %s, want ran", s)
	}
}

func TestRefusals(t *testing.T) {
	b := newTestBook(DefaultLimits())
	wrong := booking("r1", "k", "entry/a", 1)
	wrong.Incarnation = "sidecar/0"
	wantRefusal(t, b, wrong, refusal.WrongIncarnation, refusal.NotRun)
	join := draft("r1", "k", "entry/a", 1)
	join.JoinOnly = true
	wantRefusal(t, b, join, refusal.NotFound, refusal.NotRun)
	unregistered := booking("r1", "k", "entry/a", 0)
	wantRefusal(t, b, unregistered, refusal.InvalidRequest, refusal.NotRun)
	b.FenceEntry(start, "entry/dead")
	wantRefusal(t, b, draft("r1", "k", "entry/dead", 1), refusal.Fenced, refusal.NotRun)
	adm := submit(t, b, draft("r1", "k", "entry/a", 1))
	b.SetDraining(true)
	wantRefusal(t, b, draft("r2", "", "entry/a", 2), refusal.Draining, refusal.NotRun)
	if retry := submit(t, b, draft("r3", "k", "entry/a", 3)); retry.Run != adm.Run {
		t.Error("a retry could not join while draining")
	}
}

func TestFencedEntryPassesThePaymentOn(t *testing.T) {
	b := newTestBook(DefaultLimits())
	first := submit(t, b, draft("r1", "k", "entry/a", 1))
	settled, acts := b.FenceEntry(start, "entry/a")
	if !settled || len(acts) != 1 || acts[0] != (Disconnect{Subscription: first.Subscription}) {
		t.Fatalf("FenceEntry = %t, %v, want settled and the relay cut", settled, acts)
	}
	retry := submit(t, b, draft("r2", "k", "entry/b", 9))
	finish(t, b, first)
	if _, ok := b.PrepareFinalFrame(first.Subscription); ok {
		t.Error("handover to a fenced entry")
	}
	h, acts := handOver(t, b, retry)
	if got := bills(acts); h.Hold.Holder != "entry/b" || len(got) != 1 || got[0].Hold.Sequence != 9 {
		t.Errorf("handover = %+v, bills = %+v, want the retry's hold to pay", h, got)
	}
}

func TestFenceWaitsForALastFrameOnItsWay(t *testing.T) {
	b := newTestBook(DefaultLimits())
	adm := submit(t, b, draft("r1", "k", "entry/a", 1))
	finish(t, b, adm)
	b.PrepareFinalFrame(adm.Subscription)
	if settled, _ := b.FenceEntry(start, "entry/a"); settled {
		t.Fatal("settled while the last frame was on its way")
	}
	acts := b.CloseSubscription(start, adm.Subscription, true)
	if got := bills(acts); len(got) != 1 || got[0].Hold.Holder != "entry/a" {
		t.Errorf("bills = %+v", got)
	}
}

func TestOnlySettledAnswersAreEvicted(t *testing.T) {
	limits := DefaultLimits()
	limits.MaxAnswers = 1
	b := newTestBook(limits)
	adm := submit(t, b, draft("r1", "k1", "entry/a", 1))
	finish(t, b, adm)
	wantRefusal(t, b, draft("r2", "k2", "entry/a", 2), refusal.QueueFull, refusal.NotRun)
	handOver(t, b, adm)
	wantRefusal(t, b, draft("r2", "k2", "entry/a", 2), refusal.QueueFull, refusal.NotRun)
	b.MarkSettled(adm.Run)
	submit(t, b, draft("r2", "k2", "entry/a", 2))
	if acts := b.Expire(start); len(acts) != 1 || acts[0] != (Discard{Run: adm.Run}) {
		t.Errorf("Advance = %v, want the evicted answer forgotten", acts)
	}
}

func TestAcknowledgedAnswerIsForgottenAfterGrace(t *testing.T) {
	limits := DefaultLimits()
	b := newTestBook(limits)
	adm := submit(t, b, draft("r1", "k", "entry/a", 1))
	finish(t, b, adm)
	handOver(t, b, adm)
	b.MarkSettled(adm.Run)
	b.Acknowledge(start, "r1")
	if acts := b.Expire(start.Add(limits.GracePeriod - 1)); len(acts) != 0 {
		t.Errorf("within the grace time: %v", acts)
	}
	if acts := b.Expire(start.Add(limits.GracePeriod)); len(acts) != 1 {
		t.Errorf("after the grace time: %v", acts)
	}
}

package run

import (
	"testing"
	"time"

	"github.com/crocusline/crocusline/models/ledger"
	"github.com/crocusline/crocusline/models/refusal"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var attempt1 = RequestRef{Workspace: "clinic", Key: "k", Attempt: 1}

func newTestTracker(limits Limits) *Tracker {
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

func submit(t *testing.T, tr *Tracker, req Request) Admission {
	t.Helper()
	adm, err := tr.Submit(start, req)
	if err != nil {
		t.Fatalf("Submit(%s): %v", req.ID, err)
	}
	return adm
}

func wantRefusal(t *testing.T, tr *Tracker, req Request, reason refusal.Reason, outcome refusal.Outcome) {
	t.Helper()
	_, err := tr.Submit(start, req)
	e, ok := refusal.As(err)
	if !ok || e.Reason != reason || e.Outcome != outcome {
		t.Errorf("Submit(%s) = %v, want %s (%s)", req.ID, err, reason, outcome)
	}
}

func finish(t *testing.T, tr *Tracker, adm Admission) []Action {
	t.Helper()
	if !tr.Start(adm.Run) {
		t.Fatalf("Start(%d) = false", adm.Run)
	}
	return tr.Finish(start, adm.Run, Result{PromptTokens: 10, OutputTokens: 20, MemoryBytes: 40, Body: []byte("ok")})
}

func deliver(t *testing.T, tr *Tracker, adm Admission) (FinalFrame, []Action) {
	t.Helper()
	frame, ok := tr.PrepareFinalFrame(adm.Subscription)
	if !ok {
		t.Fatal("PrepareFinalFrame refused")
	}
	return frame, tr.CloseSubscription(start, adm.Subscription, true)
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

func TestRetryJoinsAndFirstAnsweredCallPaysOnce(t *testing.T) {
	tr := newTestTracker(DefaultLimits())
	first := submit(t, tr, draft("r1", "k", "entry/a", 1))
	retry := submit(t, tr, draft("r2", "k", "entry/b", 5))
	if retry.New || retry.Run != first.Run {
		t.Fatalf("retry = %+v, want to join run %d", retry, first.Run)
	}
	if acts := finish(t, tr, first); len(acts) != 0 {
		t.Errorf("Finish = %v, want no bill before the final frame is sent", acts)
	}
	frame, acts := deliver(t, tr, retry)
	if frame.Hold.Holder != "entry/b" || frame.BilledTokens != 30 {
		t.Errorf("final frame = %+v, want the hold of the call answered first to pay 30", frame)
	}
	got := bills(acts)
	if len(got) != 1 || got[0].Hold.Holder != "entry/b" || got[0].Tokens != 30 || got[0].RequestID != "r1" {
		t.Errorf("bills = %+v", got)
	}
	if frame, acts = deliver(t, tr, first); len(acts) != 0 || frame.Hold.Holder != "entry/b" {
		t.Errorf("second final frame = %+v, %v, want the same hold and no second bill", frame, acts)
	}
}

func TestKeyReuseWithDifferentContentIsRefused(t *testing.T) {
	tr := newTestTracker(DefaultLimits())
	submit(t, tr, draft("r1", "k", "entry/a", 1))
	other := draft("r2", "k", "entry/a", 2)
	other.Digest = []byte("other")
	wantRefusal(t, tr, other, refusal.KeyReused, refusal.NotRun)
}

func TestNoBillIfFinalFrameWasNotSent(t *testing.T) {
	tr := newTestTracker(DefaultLimits())
	adm := submit(t, tr, draft("r1", "", "entry/a", 1))
	finish(t, tr, adm)
	if _, ok := tr.PrepareFinalFrame(adm.Subscription); !ok {
		t.Fatal("PrepareFinalFrame refused")
	}
	if acts := tr.CloseSubscription(start, adm.Subscription, false); len(acts) != 0 {
		t.Errorf("CloseSubscription after a failed send = %v, want no bill", acts)
	}
}

func TestBillNeverExceedsHold(t *testing.T) {
	tr := newTestTracker(DefaultLimits())
	req := draft("r1", "", "entry/a", 1)
	req.Hold.Tokens = 12
	adm := submit(t, tr, req)
	finish(t, tr, adm)
	if _, acts := deliver(t, tr, adm); bills(acts)[0].Tokens != 12 {
		t.Errorf("bill = %+v, want 12 tokens", bills(acts))
	}
}

func TestUnsubscribedDraftIsCancelledAfterGracePeriod(t *testing.T) {
	limits := DefaultLimits()
	tr := newTestTracker(limits)
	adm := submit(t, tr, draft("r1", "k", "entry/a", 1))
	tr.Start(adm.Run)
	tr.CloseSubscription(start, adm.Subscription, false)
	if acts := tr.Expire(start.Add(limits.GracePeriod - 1)); len(acts) != 0 {
		t.Fatalf("within the grace period: %v", acts)
	}
	acts := tr.Expire(start.Add(limits.GracePeriod))
	if len(acts) != 1 || acts[0] != (Cancel{Run: adm.Run, Started: true}) {
		t.Fatalf("after the grace period: %v", acts)
	}
	if settled, _ := tr.FenceEntry(start, "entry/a"); !settled || tr.OpenCount() != 0 {
		t.Errorf("settled = %t, open = %d after the cancellation", settled, tr.OpenCount())
	}
}

// TestRetryExtendsDeadline checks that a run lasts until the latest deadline of its requests,
// and that one without a deadline has none.
func TestRetryExtendsDeadline(t *testing.T) {
	early, late := start.Add(time.Second), start.Add(3*time.Second)
	for _, test := range []struct {
		name          string
		first, second time.Time
		wantExpired   bool
	}{
		{"later", early, late, false},
		{"earlier", late, early, false},
		{"both passed", early, early, true},
		{"first without", time.Time{}, early, false},
		{"retry without", early, time.Time{}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			tr := newTestTracker(DefaultLimits())
			first, second := draft("r1", "k", "entry-1", 1), draft("r2", "k", "entry-2", 1)
			first.Deadline, second.Deadline = test.first, test.second
			submit(t, tr, first)
			submit(t, tr, second)
			if expired := len(tr.Expire(start.Add(2*time.Second))) > 0; expired != test.wantExpired {
				t.Errorf("expired: %t, want %t", expired, test.wantExpired)
			}
		})
	}
}

func TestRetryWithinGracePeriodKeepsRun(t *testing.T) {
	limits := DefaultLimits()
	tr := newTestTracker(limits)
	adm := submit(t, tr, draft("r1", "k", "entry/a", 1))
	tr.Start(adm.Run)
	tr.CloseSubscription(start, adm.Subscription, false)
	submit(t, tr, draft("r1", "k", "entry/b", 1))
	if acts := tr.Expire(start.Add(10 * limits.GracePeriod)); len(acts) != 0 {
		t.Errorf("a joined run was ended: %v", acts)
	}
}

func TestRunningBookingIsNotCancelledAndIsChargedWithOutcome(t *testing.T) {
	tr := newTestTracker(DefaultLimits())
	req := booking("r1", "k", "entry/a", 1)
	req.Deadline = start.Add(time.Second)
	adm := submit(t, tr, req)
	tr.Start(adm.Run)
	tr.CloseSubscription(start, adm.Subscription, false)
	if acts := tr.Expire(start.Add(time.Hour)); len(acts) != 0 {
		t.Fatalf("running booking was ended: %v", acts)
	}
	acts := tr.Finish(start, adm.Run, Result{Body: []byte("done")})
	charge, ok := acts[0].(Charge)
	if !ok || len(charge.Entries) != 2 {
		t.Fatalf("Finish = %v, want bill and outcome in one charge", acts)
	}
	out := charge.Entries[1].(ledger.Outcome)
	if bills(acts)[0].Tokens != 7 || out.Attempt != 1 || string(out.Body) != "done" || !out.BodyKept {
		t.Errorf("entries = %+v", charge.Entries)
	}
	if settled, _ := tr.FenceEntry(start, "entry/a"); settled {
		t.Error("settled before the ledger has stored the bill")
	}
	tr.MarkSettled(adm.Run)
	if settled, _ := tr.FenceEntry(start, "entry/a"); !settled {
		t.Error("not settled though the ledger has stored the bill")
	}
}

func TestAttemptRunsOnce(t *testing.T) {
	limits := DefaultLimits()
	tests := []struct {
		name    string
		end     func(tr *Tracker, adm Admission)
		reason  refusal.Reason
		outcome refusal.Outcome
	}{
		{"failed without an effect", func(tr *Tracker, adm Admission) {
			tr.Start(adm.Run)
			tr.Fail(start, adm.Run, refusal.NotRun)
		}, refusal.Fenced, refusal.NotRun},
		{"expired in the queue", func(tr *Tracker, _ Admission) {
			tr.Expire(start.Add(time.Minute))
		}, refusal.Fenced, refusal.NotRun},
		{"answer discarded", func(tr *Tracker, adm Admission) {
			tr.Start(adm.Run)
			tr.Finish(start, adm.Run, Result{})
			tr.MarkSettled(adm.Run)
			tr.CloseSubscription(start, adm.Subscription, false)
			tr.Expire(start.Add(limits.AnswerRetention))
		}, refusal.OutcomeUnknown, refusal.Unknown},
		{"unresolved and discarded", func(tr *Tracker, adm Admission) {
			tr.Start(adm.Run)
			tr.Fail(start, adm.Run, refusal.Unknown)
			tr.CloseSubscription(start, adm.Subscription, false)
			tr.Expire(start.Add(limits.AnswerRetention))
		}, refusal.OutcomeUnknown, refusal.Unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tr := newTestTracker(limits)
			req := booking("r1", "k", "entry/a", 1)
			req.Deadline = start.Add(time.Minute)
			tt.end(tr, submit(t, tr, req))
			if _, exists := tr.Request(1); exists {
				t.Fatal("run was not removed")
			}
			wantRefusal(t, tr, req, tt.reason, tt.outcome)
		})
	}
}

func TestFencedAttemptIsNeverRunAndNextAttemptIs(t *testing.T) {
	tr := newTestTracker(DefaultLimits())
	if s, _, _ := tr.Inquire(start, attempt1, false); s != NotSeen {
		t.Errorf("state = %s, want notSeen", s)
	}
	if s, _, _ := tr.Inquire(start, attempt1, true); s != Fenced {
		t.Errorf("state = %s, want fenced", s)
	}
	wantRefusal(t, tr, booking("r1", "k", "entry/a", 1), refusal.Fenced, refusal.NotRun)
	if adm := submit(t, tr, booking("r2", "k", "entry/b", 2)); !adm.New {
		t.Error("the next attempt was not started")
	}
}

func TestReceivedAttemptIsNotFenced(t *testing.T) {
	tr := newTestTracker(DefaultLimits())
	adm := submit(t, tr, booking("r1", "k", "entry/a", 1))
	if s, _, _ := tr.Inquire(start, attempt1, true); s != Queued {
		t.Errorf("state = %s, want queued", s)
	}
	finish(t, tr, adm)
	if s, _, _ := tr.Inquire(start, attempt1, true); s != Ran {
		t.Errorf("state = %s, want ran", s)
	}
}

func TestRefusals(t *testing.T) {
	tr := newTestTracker(DefaultLimits())
	wrong := booking("r1", "k", "entry/a", 1)
	wrong.Incarnation = "sidecar/0"
	wantRefusal(t, tr, wrong, refusal.WrongIncarnation, refusal.NotRun)
	join := draft("r1", "k", "entry/a", 1)
	join.JoinOnly = true
	wantRefusal(t, tr, join, refusal.NotFound, refusal.NotRun)
	unregistered := booking("r1", "k", "entry/a", 0)
	wantRefusal(t, tr, unregistered, refusal.InvalidRequest, refusal.NotRun)
	tr.FenceEntry(start, "entry/dead")
	wantRefusal(t, tr, draft("r1", "k", "entry/dead", 1), refusal.Fenced, refusal.NotRun)
	adm := submit(t, tr, draft("r1", "k", "entry/a", 1))
	tr.SetDraining(true)
	wantRefusal(t, tr, draft("r2", "", "entry/a", 2), refusal.Draining, refusal.NotRun)
	if retry := submit(t, tr, draft("r3", "k", "entry/a", 3)); retry.Run != adm.Run {
		t.Error("a retry could not join while draining")
	}
}

func TestRetryPaysAfterFirstEntryIsFenced(t *testing.T) {
	tr := newTestTracker(DefaultLimits())
	first := submit(t, tr, draft("r1", "k", "entry/a", 1))
	settled, acts := tr.FenceEntry(start, "entry/a")
	if !settled || len(acts) != 1 || acts[0] != (Disconnect{Subscription: first.Subscription}) {
		t.Fatalf("FenceEntry = %t, %v, want settled and the subscription ended", settled, acts)
	}
	retry := submit(t, tr, draft("r2", "k", "entry/b", 9))
	finish(t, tr, first)
	if _, ok := tr.PrepareFinalFrame(first.Subscription); ok {
		t.Error("final frame prepared for a fenced entry")
	}
	frame, acts := deliver(t, tr, retry)
	if got := bills(acts); frame.Hold.Holder != "entry/b" || len(got) != 1 || got[0].Hold.Sequence != 9 {
		t.Errorf("final frame = %+v, bills = %+v, want the retry's hold to pay", frame, got)
	}
}

func TestFenceIsNotSettledWhileFinalFrameIsSent(t *testing.T) {
	tr := newTestTracker(DefaultLimits())
	adm := submit(t, tr, draft("r1", "k", "entry/a", 1))
	finish(t, tr, adm)
	tr.PrepareFinalFrame(adm.Subscription)
	if settled, _ := tr.FenceEntry(start, "entry/a"); settled {
		t.Fatal("settled while the final frame was being sent")
	}
	acts := tr.CloseSubscription(start, adm.Subscription, true)
	if got := bills(acts); len(got) != 1 || got[0].Hold.Holder != "entry/a" {
		t.Errorf("bills = %+v", got)
	}
}

func TestOnlySettledAnswersAreEvicted(t *testing.T) {
	limits := DefaultLimits()
	limits.MaxAnswers = 1
	tr := newTestTracker(limits)
	adm := submit(t, tr, draft("r1", "k1", "entry/a", 1))
	finish(t, tr, adm)
	wantRefusal(t, tr, draft("r2", "k2", "entry/a", 2), refusal.QueueFull, refusal.NotRun)
	deliver(t, tr, adm)
	wantRefusal(t, tr, draft("r2", "k2", "entry/a", 2), refusal.QueueFull, refusal.NotRun)
	tr.MarkSettled(adm.Run)
	submit(t, tr, draft("r2", "k2", "entry/a", 2))
	if acts := tr.Expire(start); len(acts) != 1 || acts[0] != (Discard{Run: adm.Run}) {
		t.Errorf("Expire = %v, want the evicted answer discarded", acts)
	}
}

func TestAcknowledgedAnswerIsDiscardedAfterGracePeriod(t *testing.T) {
	limits := DefaultLimits()
	tr := newTestTracker(limits)
	adm := submit(t, tr, draft("r1", "k", "entry/a", 1))
	finish(t, tr, adm)
	deliver(t, tr, adm)
	tr.MarkSettled(adm.Run)
	tr.Acknowledge(start, "r1")
	if acts := tr.Expire(start.Add(limits.GracePeriod - 1)); len(acts) != 0 {
		t.Errorf("within the grace period: %v", acts)
	}
	if acts := tr.Expire(start.Add(limits.GracePeriod)); len(acts) != 1 {
		t.Errorf("after the grace period: %v", acts)
	}
}

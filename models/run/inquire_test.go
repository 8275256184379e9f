package run

import (
	"testing"
	"time"

	"github.com/crocusline/crocusline/models/refusal"
)

func inquire(t *testing.T, tr *Tracker, requestID string, fence bool) (State, []Action) {
	t.Helper()
	state, actions, err := tr.Inquire(start, RequestRef{RequestID: requestID}, fence)
	if err != nil {
		t.Fatal(err)
	}
	return state, actions
}

func wantState(t *testing.T, tr *Tracker, requestID string, fence bool, want State) {
	t.Helper()
	if got, _ := inquire(t, tr, requestID, fence); got != want {
		t.Errorf("Inquire(%s, %t) = %s, want %s", requestID, fence, got, want)
	}
}

func TestRequestIsFoundAndFencedByID(t *testing.T) {
	for _, key := range []string{"", "k"} {
		tr := newTestTracker(DefaultLimits())
		wantState(t, tr, "r1", false, NotSeen)
		adm := submit(t, tr, draft("r1", key, "entry/a", 1))
		wantState(t, tr, "r1", false, Queued)
		tr.Start(adm.Run)
		wantState(t, tr, "r1", false, Running)
		if state, acts := inquire(t, tr, "r1", true); state != Fenced || len(acts) != 1 || acts[0] != (Disconnect{Subscription: adm.Subscription}) {
			t.Errorf("key %q: Inquire = %s, %v, want fenced and the subscription ended", key, state, acts)
		}
		tr.Finish(start, adm.Run, Result{OutputTokens: 20})
		if _, ok := tr.PrepareFinalFrame(adm.Subscription); ok {
			t.Errorf("key %q: final frame prepared for a fenced request", key)
		}
		wantRefusal(t, tr, draft("r1", key, "entry/a", 1), refusal.Fenced, refusal.Unknown)
	}
}

func TestCancelledRequestIsFenced(t *testing.T) {
	limits := DefaultLimits()
	tr := newTestTracker(limits)
	adm := submit(t, tr, draft("r1", "k", "entry/a", 1))
	tr.Start(adm.Run)
	tr.CloseSubscription(start, adm.Subscription, false)
	tr.Expire(start.Add(limits.GracePeriod))
	wantState(t, tr, "r1", false, NotSeen)
	wantState(t, tr, "r1", true, Fenced)
	wantRefusal(t, tr, draft("r1", "k", "entry/a", 1), refusal.Fenced, refusal.NotRun)
	if retry := submit(t, tr, draft("r2", "k", "entry/b", 2)); !retry.New {
		t.Error("a retry under the same key was not started")
	}
}

func TestRequestWithUnsettledBillIsReportedAsRan(t *testing.T) {
	limits := DefaultLimits()
	tr := newTestTracker(limits)
	adm := submit(t, tr, draft("r1", "k", "entry/a", 1))
	finish(t, tr, adm)
	if _, ok := tr.PrepareFinalFrame(adm.Subscription); !ok {
		t.Fatal("PrepareFinalFrame refused")
	}
	wantState(t, tr, "r1", true, Ran)
	tr.CloseSubscription(start, adm.Subscription, true)
	wantState(t, tr, "r1", true, Ran)
	tr.Acknowledge(start, "r1")
	tr.Expire(start.Add(limits.GracePeriod))
	if _, exists := tr.Request(adm.Run); exists {
		t.Fatal("acknowledged answer was not discarded")
	}
	wantState(t, tr, "r1", true, Ran)
	tr.MarkSettled(adm.Run)
	wantState(t, tr, "r1", true, Fenced)
}

func TestRetryPaysAfterFirstRequestIsFenced(t *testing.T) {
	tr := newTestTracker(DefaultLimits())
	first := submit(t, tr, draft("r1", "k", "entry/a", 1))
	retry := submit(t, tr, draft("r2", "k", "entry/a", 2))
	tr.CloseSubscription(start, first.Subscription, false)
	wantState(t, tr, "r1", true, Fenced)
	finish(t, tr, first)
	_, acts := deliver(t, tr, retry)
	if got := bills(acts); len(got) != 1 || got[0].Hold.Sequence != 2 {
		t.Fatalf("bills = %+v, want the retry's hold to pay", got)
	}
	wantState(t, tr, "r2", true, Ran)
}

func TestFencingJoinedRetryDoesNotAffectRun(t *testing.T) {
	tr := newTestTracker(DefaultLimits())
	first := submit(t, tr, draft("r1", "k", "entry/a", 1))
	submit(t, tr, draft("r2", "k", "entry/b", 2))
	wantState(t, tr, "r2", true, Fenced)
	finish(t, tr, first)
	if _, acts := deliver(t, tr, first); len(bills(acts)) != 1 || bills(acts)[0].Hold.Sequence != 1 {
		t.Errorf("actions = %v, want the first hold to pay", acts)
	}
}

func TestRequestIsFoundByItsKey(t *testing.T) {
	tr := newTestTracker(DefaultLimits())
	ref := RequestRef{Workspace: "clinic", Key: "k"}
	if s, _, err := tr.Inquire(start, ref, false); err != nil || s != NotSeen {
		t.Errorf("Inquire = %s, %v, want notSeen", s, err)
	}
	submit(t, tr, draft("r1", "k", "entry/a", 1))
	if s, _, err := tr.Inquire(start, ref, false); err != nil || s != Queued {
		t.Errorf("Inquire = %s, %v, want queued", s, err)
	}
}

func TestNumberOfFencesIsLimited(t *testing.T) {
	limits := DefaultLimits()
	limits.MaxFences = 1
	tr := newTestTracker(limits)
	wantState(t, tr, "r1", true, Fenced)
	if _, _, err := tr.Inquire(start, RequestRef{RequestID: "r2"}, true); err == nil {
		t.Error("fence accepted beyond the limit")
	}
	if s, _, err := tr.Inquire(start.Add(limits.FenceRetention), RequestRef{RequestID: "r2"}, true); err != nil || s != Fenced {
		t.Errorf("Inquire = %s, %v after the retention time of the old fence", s, err)
	}
	if _, _, err := tr.Inquire(start, RequestRef{Workspace: "clinic", Key: "k"}, true); err == nil {
		t.Error("fence accepted without a request id or an attempt")
	}
}

func TestRequestIDInUseIsRefused(t *testing.T) {
	tr := newTestTracker(DefaultLimits())
	submit(t, tr, draft("r1", "k1", "entry/a", 1))
	wantRefusal(t, tr, draft("r1", "k2", "entry/a", 2), refusal.InvalidRequest, refusal.NotRun)
}

func TestFenceRetentionExceedsGracePeriod(t *testing.T) {
	limits := DefaultLimits()
	if limits.FenceRetention < limits.GracePeriod+time.Minute {
		t.Errorf("FenceRetention = %s with a grace period of %s", limits.FenceRetention, limits.GracePeriod)
	}
}

func TestPayerIsReleasedIfFinalFrameFails(t *testing.T) {
	tr := newTestTracker(DefaultLimits())
	first := submit(t, tr, draft("r1", "k", "entry/a", 1))
	finish(t, tr, first)
	if _, ok := tr.PrepareFinalFrame(first.Subscription); !ok {
		t.Fatal("PrepareFinalFrame refused")
	}
	tr.CloseSubscription(start, first.Subscription, false)
	wantState(t, tr, "r1", true, Fenced)
	frame, acts := deliver(t, tr, submit(t, tr, draft("r2", "k", "entry/b", 2)))
	if got := bills(acts); frame.Hold.Holder != "entry/b" || len(got) != 1 || got[0].Hold != frame.Hold {
		t.Errorf("final frame = %+v, bills = %+v, want the retry's hold to pay", frame, got)
	}
}

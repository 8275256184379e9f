package run

import (
	"testing"
	"time"

	"github.com/crocusline/crocusline/models/refusal"
)

func inquire(t *testing.T, b *Tracker, requestID string, fence bool) (State, []Action) {
	t.Helper()
	state, actions, err := b.Inquire(start, RequestRef{RequestID: requestID}, fence)
	if err != nil {
		t.Fatal(err)
	}
	return state, actions
}

func wantState(t *testing.T, b *Tracker, requestID string, fence bool, want State) {
	t.Helper()
	if got, _ := inquire(t, b, requestID, fence); got != want {
		t.Errorf("Inquire(%s, %t) = %s, want %s", requestID, fence, got, want)
	}
}

func TestRequestIsFoundAndFencedByItsIDAlone(t *testing.T) {
	for _, key := range []string{"", "k"} {
		b := newTestBook(DefaultLimits())
		wantState(t, b, "r1", false, NotSeen)
		adm := submit(t, b, draft("r1", key, "entry/a", 1))
		wantState(t, b, "r1", false, Queued)
		b.Start(adm.Run)
		wantState(t, b, "r1", false, Running)
		if state, acts := inquire(t, b, "r1", true); state != Fenced || len(acts) != 1 || acts[0] != (Disconnect{Subscription: adm.Subscription}) {
			t.Errorf("key %q: Inquire = %s, %v, want fenced and the relay cut", key, state, acts)
		}
		b.Finish(start, adm.Run, Result{OutputTokens: 20})
		if _, ok := b.PrepareFinalFrame(adm.Subscription); ok {
			t.Errorf("key %q: handover of a fenced request", key)
		}
		wantRefusal(t, b, draft("r1", key, "entry/a", 1), refusal.Fenced, refusal.Unknown)
	}
}

func TestCancelledRequestIsFenced(t *testing.T) {
	limits := DefaultLimits()
	b := newTestBook(limits)
	adm := submit(t, b, draft("r1", "k", "entry/a", 1))
	b.Start(adm.Run)
	b.CloseSubscription(start, adm.Subscription, false)
	b.Expire(start.Add(limits.GracePeriod))
	wantState(t, b, "r1", false, NotSeen)
	wantState(t, b, "r1", true, Fenced)
	wantRefusal(t, b, draft("r1", "k", "entry/a", 1), refusal.Fenced, refusal.NotRun)
	if retry := submit(t, b, draft("r2", "k", "entry/b", 2)); !retry.New {
		t.Error("a retry under the same key was not started")
	}
}

func TestBillOwedIsRanUntilItIsSettled(t *testing.T) {
	limits := DefaultLimits()
	b := newTestBook(limits)
	adm := submit(t, b, draft("r1", "k", "entry/a", 1))
	finish(t, b, adm)
	if _, ok := b.PrepareFinalFrame(adm.Subscription); !ok {
		t.Fatal("HandOver refused")
	}
	wantState(t, b, "r1", true, Ran)
	b.CloseSubscription(start, adm.Subscription, true)
	wantState(t, b, "r1", true, Ran)
	b.Acknowledge(start, "r1")
	b.Expire(start.Add(limits.GracePeriod))
	if _, known := b.Request(adm.Run); known {
		t.Fatal("acknowledged answer still kept")
	}
	wantState(t, b, "r1", true, Ran)
	b.MarkSettled(adm.Run)
	wantState(t, b, "r1", true, Fenced)
}

func TestFenceOfThePayerMakesTheRetryPay(t *testing.T) {
	b := newTestBook(DefaultLimits())
	first := submit(t, b, draft("r1", "k", "entry/a", 1))
	retry := submit(t, b, draft("r2", "k", "entry/a", 2))
	b.CloseSubscription(start, first.Subscription, false)
	wantState(t, b, "r1", true, Fenced)
	finish(t, b, first)
	_, acts := handOver(t, b, retry)
	if got := bills(acts); len(got) != 1 || got[0].Hold.Sequence != 2 {
		t.Fatalf("bills = %+v, want the retry's hold to pay", got)
	}
	wantState(t, b, "r2", true, Ran)
}

func TestFenceOfAJoinedRetryLeavesTheRunAlone(t *testing.T) {
	b := newTestBook(DefaultLimits())
	first := submit(t, b, draft("r1", "k", "entry/a", 1))
	submit(t, b, draft("r2", "k", "entry/b", 2))
	wantState(t, b, "r2", true, Fenced)
	finish(t, b, first)
	if _, acts := handOver(t, b, first); len(bills(acts)) != 1 || bills(acts)[0].Hold.Sequence != 1 {
		t.Errorf("actions = %v, want the first hold to pay", acts)
	}
}

func TestRequestIsFoundByItsKey(t *testing.T) {
	b := newTestBook(DefaultLimits())
	name := RequestRef{Workspace: "clinic", Key: "k"}
	if s, _, err := b.Inquire(start, name, false); err != nil || s != NotSeen {
		t.Errorf("Inquire = %s, %v, want notSeen", s, err)
	}
	submit(t, b, draft("r1", "k", "entry/a", 1))
	if s, _, err := b.Inquire(start, name, false); err != nil || s != Queued {
		t.Errorf("Inquire = %s, %v, want queued", s, err)
	}
}

func TestFencesAreBounded(t *testing.T) {
	limits := DefaultLimits()
	limits.MaxFences = 1
	b := newTestBook(limits)
	wantState(t, b, "r1", true, Fenced)
	if _, _, err := b.Inquire(start, RequestRef{RequestID: "r2"}, true); err == nil {
		t.Error("one fence too many was taken")
	}
	if s, _, err := b.Inquire(start.Add(limits.FenceRetention), RequestRef{RequestID: "r2"}, true); err != nil || s != Fenced {
		t.Errorf("Inquire = %s, %v after the old fence aged", s, err)
	}
	if _, _, err := b.Inquire(start, RequestRef{Workspace: "clinic", Key: "k"}, true); err == nil {
		t.Error("a fence without a request id or an attempt was taken")
	}
}

func TestRequestIDOfAnotherRequestIsRefused(t *testing.T) {
	b := newTestBook(DefaultLimits())
	submit(t, b, draft("r1", "k1", "entry/a", 1))
	wantRefusal(t, b, draft("r1", "k2", "entry/a", 2), refusal.InvalidRequest, refusal.NotRun)
}

func TestFenceAgeOutlivesTheGraceTime(t *testing.T) {
	limits := DefaultLimits()
	if limits.FenceRetention < limits.GracePeriod+time.Minute {
		t.Errorf("FenceAge = %s with a grace time of %s", limits.FenceRetention, limits.GracePeriod)
	}
}

func TestFailedLastFrameLeavesThePaymentOpen(t *testing.T) {
	b := newTestBook(DefaultLimits())
	first := submit(t, b, draft("r1", "k", "entry/a", 1))
	finish(t, b, first)
	if _, ok := b.PrepareFinalFrame(first.Subscription); !ok {
		t.Fatal("HandOver refused")
	}
	b.CloseSubscription(start, first.Subscription, false)
	wantState(t, b, "r1", true, Fenced)
	h, acts := handOver(t, b, submit(t, b, draft("r2", "k", "entry/b", 2)))
	if got := bills(acts); h.Hold.Holder != "entry/b" || len(got) != 1 || got[0].Hold != h.Hold {
		t.Errorf("handover = %+v, bills = %+v, want the retry's hold to pay", h, got)
	}
}

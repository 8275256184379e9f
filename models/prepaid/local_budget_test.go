package prepaid_test

import (
	"testing"
	"time"

	"github.com/crocusline/crocusline/models/prepaid"
)

var spendLimit = prepaid.SpendLimit{Committed: 0, Burst: 100, Rate: 1000, DisconnectedBurst: 500, DisconnectedRate: 2000}

func newBudget() *prepaid.LocalBudget {
	b := prepaid.NewLocalBudget(epoch, 10)
	b.BeginGrantWrite(1, 7, 10_000)
	b.ConfirmGrant(prepaid.Grant{Incarnation: 1, Sequence: 1, Total: 10_000})
	return b
}

func expectFree(t *testing.T, b *prepaid.LocalBudget, after time.Duration, want int64) {
	t.Helper()
	if got := b.Free(epoch.Add(after)); got != want {
		t.Errorf("after %s: %d tokens free, want %d", after, got, want)
	}
}

// TestSpendLimit checks what a gateway may spend while it can't write reports.
func TestSpendLimit(t *testing.T) {
	b := newBudget()
	expectFree(t, b, 0, 0)
	b.BeginReportWrite(epoch, spendLimit)
	b.ConfirmReport()
	expectFree(t, b, 0, 100)
	expectFree(t, b, 700*time.Millisecond, 100)
	expectFree(t, b, 1700*time.Millisecond, 1100)
	expectFree(t, b, 4*time.Second, 100+3300+500+2000)
	expectFree(t, b, time.Minute, 10_000)
	if _, ok := b.Reserve(epoch, 101); ok {
		t.Error("more than the burst was reserved")
	}
	reservation, ok := b.Reserve(epoch, 60)
	if !ok {
		t.Error("less than the burst was not reserved")
	}
	b.Settle(reservation, 40)
	expectFree(t, b, 0, 60)
	pending, ok := b.ReservePending(epoch, 160, time.Second)
	if !ok {
		t.Fatal("no pending reservation though the limit covers it in time")
	}
	if after := pending.Due().Sub(epoch); after < 790*time.Millisecond || after > 810*time.Millisecond {
		t.Errorf("due after %s, want 0.8 s", after)
	}
	b.Cancel(pending)
	if _, ok := b.ReservePending(epoch, 5000, time.Second); ok {
		t.Error("pending reservation that the limit does not cover in time")
	}
}

// TestPendingReservations checks the order of requests while the gateway is
// disconnected and a large request waits for the spending limit: small requests
// may overtake it only as long as it is still covered when it is due, and the next
// large request is covered after it.
func TestPendingReservations(t *testing.T) {
	b := newBudget()
	b.BeginReportWrite(epoch, spendLimit)
	b.ConfirmReport()
	first, ok := b.ReservePending(epoch, 600, 2*time.Second)
	if !ok {
		t.Fatal("no first pending reservation")
	}
	second, ok := b.ReservePending(epoch, 400, 2*time.Second)
	if !ok || second.Due().Sub(first.Due()) < 390*time.Millisecond {
		t.Fatalf("second reservation due at %v, first at %v", second.Due(), first.Due())
	}
	if _, ok := b.Reserve(epoch, 50); ok {
		t.Error("a small request delays the first pending reservation")
	}
	expectActivated(t, b, first, first.Due().Add(-10*time.Millisecond), false)
	expectActivated(t, b, second, first.Due(), false)
	b.Settle(expectActivated(t, b, first, first.Due(), true), 300)
	if _, ok := b.Reserve(first.Due(), 300); !ok {
		t.Error("tokens unused by the first request are not available to a small one")
	}
	expectActivated(t, b, second, second.Due().Add(-10*time.Millisecond), false)
	expectActivated(t, b, second, second.Due(), true)
	expectFree(t, b, second.Due().Sub(epoch), 0)
}

func expectActivated(t *testing.T, b *prepaid.LocalBudget, p *prepaid.PendingReservation, now time.Time, want bool) prepaid.Reservation {
	t.Helper()
	r, got := b.Activate(now, p)
	if got != want {
		t.Errorf("at %s, reservation due at %s: activated %t, want %t", now, p.Due(), got, want)
	}
	return r
}

// TestLoan checks that lent tokens are accounted for as spent, whether or not they
// arrive, and that borrowed tokens are used first and are free again if the request
// did not use them.
func TestLoan(t *testing.T) {
	lender, borrower := newBudget(), newBudget()
	lender.BeginReportWrite(epoch, spendLimit)
	lender.ConfirmReport()
	if lent := lender.Lend(epoch, 500); lent != 100 {
		t.Fatalf("%d tokens lent, want the burst of 100", lent)
	}
	expectFree(t, lender, 0, 0)
	if h := lender.HolderState(epoch, prepaid.HolderState{}); h.Spent != 100 {
		t.Errorf("%d tokens spent at the lender, want 100", h.Spent)
	}
	if shortfall := borrower.Shortfall(epoch, 90); shortfall != 90 {
		t.Errorf("shortfall of %d tokens, want 90", shortfall)
	}
	borrower.Borrow(100)
	reservation, ok := borrower.Reserve(epoch, 90)
	if !ok {
		t.Fatal("borrowed tokens were not reserved")
	}
	borrower.Settle(reservation, 70)
	expectFree(t, borrower, 0, 30)
	if h := borrower.HolderState(epoch, prepaid.HolderState{}); h.Spent != 0 || h.Held != 0 {
		t.Errorf("borrowed tokens accounted for twice: %+v", h)
	}
}

// TestUnansweredReport checks that the limit of a report without a response applies,
// since a successor may read that report.
func TestUnansweredReport(t *testing.T) {
	b := newBudget()
	b.BeginReportWrite(epoch, spendLimit)
	b.ConfirmReport()
	later := epoch.Add(10 * time.Second)
	b.BeginReportWrite(later, spendLimit)
	expectFree(t, b, 10*time.Second, 100)
	b.DiscardReport()
	if free := b.Free(later); free != 10_000 {
		t.Errorf("%d tokens free after the report was discarded, want 10000", free)
	}
}

// TestUnansweredGrant checks that the smallest of the grants that may be in effect
// applies until it is known which one is.
func TestUnansweredGrant(t *testing.T) {
	b := newBudget()
	b.BeginReportWrite(epoch, spendLimit)
	b.ConfirmReport()
	b.BeginGrantWrite(2, 9, 300)
	expectFree(t, b, time.Minute, 300)
	b.BeginGrantWrite(3, 9, 20_000)
	expectFree(t, b, time.Minute, 300)
	b.DropGrantWritesBefore(9)
	expectFree(t, b, time.Minute, 300)
	b.DropGrantWritesBefore(10)
	expectFree(t, b, time.Minute, 10_000)
}

// TestLateSuccessor checks the restart of a killed gateway during an outage of the
// store. The successor must treat as spent what its predecessor could spend until
// the successor started, however much later the store can be read.
func TestLateSuccessor(t *testing.T) {
	at := func(after time.Duration) prepaid.ClockReading {
		return prepaid.ClockReading{Wall: epoch.Add(after).UnixMilli(), Uptime: (time.Hour + after).Milliseconds(), BootID: 1}
	}
	account := prepaid.Account{}.
		WithGrant("entry-1", prepaid.Grant{Incarnation: 1, Total: 8_000}).
		WithReport("entry-1", prepaid.Report{SpendLimit: spendLimit, Incarnation: 1, SentAt: at(0)})
	holder := prepaid.HolderState{
		Instance: "entry-1", Incarnation: 2, StartedAt: at(1700 * time.Millisecond), Now: at(20 * time.Second),
		LatestWallTime: at(20 * time.Second).Wall, Holders: 1, Role: prepaid.Holder,
	}
	grant, changed := prepaid.NewPlanner().Grant(account, 10_000, holder)
	if want := int64(100 + 1000); !changed || grant.PriorSpent != want {
		t.Errorf("%d tokens treated as spent, want %d", grant.PriorSpent, want)
	}
}

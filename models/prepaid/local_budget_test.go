package prepaid_test

import (
	"testing"
	"time"

	"github.com/crocusline/crocusline/models/prepaid"
)

var terms = prepaid.SpendLimit{Committed: 0, Burst: 100, Rate: 1000, DisconnectedBurst: 500, DisconnectedRate: 2000}

func newPurse() *prepaid.LocalBudget {
	p := prepaid.NewLocalBudget(epoch, 10)
	p.BeginGrantWrite(1, 7, 10_000)
	p.ConfirmGrant(prepaid.Grant{Incarnation: 1, Sequence: 1, Total: 10_000})
	return p
}

func expectFree(t *testing.T, p *prepaid.LocalBudget, after time.Duration, want int64) {
	t.Helper()
	if got := p.Free(epoch.Add(after)); got != want {
		t.Errorf("after %s: %d tokens are free, want %d", after, got, want)
	}
}

// TestTerms checks what an entry may spend while it can't report.
func TestTerms(t *testing.T) {
	p := newPurse()
	expectFree(t, p, 0, 0)
	p.BeginReportWrite(epoch, terms)
	p.ConfirmReport()
	expectFree(t, p, 0, 100)
	expectFree(t, p, 700*time.Millisecond, 100)
	expectFree(t, p, 1700*time.Millisecond, 1100)
	expectFree(t, p, 4*time.Second, 100+3300+500+2000)
	expectFree(t, p, time.Minute, 10_000)
	if _, ok := p.Reserve(epoch, 101); ok {
		t.Error("more than the window was reserved")
	}
	part, ok := p.Reserve(epoch, 60)
	if !ok {
		t.Error("the window was not reserved")
	}
	p.Settle(part, 40)
	expectFree(t, p, 0, 60)
	b, ok := p.ReservePending(epoch, 160, time.Second)
	if !ok {
		t.Fatal("not booked though it is covered in time")
	}
	if after := b.Due().Sub(epoch); after < 790*time.Millisecond || after > 810*time.Millisecond {
		t.Errorf("covered after %s, want 0.8 s", after)
	}
	p.Cancel(b)
	if _, ok := p.ReservePending(epoch, 5000, time.Second); ok {
		t.Error("covered too early")
	}
}

// TestBookings replays a cut in which a large request waits for the terms: small
// ones go ahead only as long as it is covered in time, and the next large one
// waits for its turn.
func TestBookings(t *testing.T) {
	p := newPurse()
	p.BeginReportWrite(epoch, terms)
	p.ConfirmReport()
	first, ok := p.ReservePending(epoch, 600, 2*time.Second)
	if !ok {
		t.Fatal("the first is not booked")
	}
	second, ok := p.ReservePending(epoch, 400, 2*time.Second)
	if !ok || second.Due().Sub(first.Due()) < 390*time.Millisecond {
		t.Fatalf("the second is due at %v, the first at %v", second.Due(), first.Due())
	}
	if _, ok := p.Reserve(epoch, 50); ok {
		t.Error("a small request delays the first booking")
	}
	expectBegun(t, p, first, first.Due().Add(-10*time.Millisecond), false)
	expectBegun(t, p, second, first.Due(), false)
	p.Settle(expectBegun(t, p, first, first.Due(), true), 300)
	if _, ok := p.Reserve(first.Due(), 300); !ok {
		t.Error("what the first did not use is not free for a small request")
	}
	expectBegun(t, p, second, second.Due().Add(-10*time.Millisecond), false)
	expectBegun(t, p, second, second.Due(), true)
	expectFree(t, p, second.Due().Sub(epoch), 0)
}

func expectBegun(t *testing.T, p *prepaid.LocalBudget, b *prepaid.PendingReservation, now time.Time, want bool) prepaid.Reservation {
	t.Helper()
	part, got := p.Activate(now, b)
	if got != want {
		t.Errorf("at %s of a booking due at %s: begun is %t, want %t", now, b.Due(), got, want)
	}
	return part
}

// TestLoan checks that what is lent counts as spent, whether it arrives or not,
// and that borrowed tokens are used first and come back if they were not used.
func TestLoan(t *testing.T) {
	lender, borrower := newPurse(), newPurse()
	lender.BeginReportWrite(epoch, terms)
	lender.ConfirmReport()
	if lent := lender.Lend(epoch, 500); lent != 100 {
		t.Fatalf("%d tokens were lent of a window of 100", lent)
	}
	expectFree(t, lender, 0, 0)
	if h := lender.HolderState(epoch, prepaid.HolderState{}); h.Spent != 100 {
		t.Errorf("%d tokens count as spent, want 100", h.Spent)
	}
	if lack := borrower.Shortfall(epoch, 90); lack != 90 {
		t.Errorf("%d tokens are lacking, want 90", lack)
	}
	borrower.Borrow(100)
	part, ok := borrower.Reserve(epoch, 90)
	if !ok {
		t.Fatal("borrowed tokens were not reserved")
	}
	borrower.Settle(part, 70)
	expectFree(t, borrower, 0, 30)
	if h := borrower.HolderState(epoch, prepaid.HolderState{}); h.Spent != 0 || h.Held != 0 {
		t.Errorf("borrowed tokens count as spent again: %+v", h)
	}
}

// TestUnansweredReport checks that a report that may be in force binds, since a
// successor may go by it.
func TestUnansweredReport(t *testing.T) {
	p := newPurse()
	p.BeginReportWrite(epoch, terms)
	p.ConfirmReport()
	later := epoch.Add(10 * time.Second)
	p.BeginReportWrite(later, terms)
	expectFree(t, p, 10*time.Second, 100)
	p.DiscardReport()
	if free := p.Free(later); free != 10_000 {
		t.Errorf("%d tokens are free after the report was void, want 10000", free)
	}
}

// TestUnansweredGrant checks that the smaller of the old and the new grant binds
// until it is known which is in force.
func TestUnansweredGrant(t *testing.T) {
	p := newPurse()
	p.BeginReportWrite(epoch, terms)
	p.ConfirmReport()
	p.BeginGrantWrite(2, 9, 300)
	expectFree(t, p, time.Minute, 300)
	p.BeginGrantWrite(3, 9, 20_000)
	expectFree(t, p, time.Minute, 300)
	p.DropGrantWritesBefore(9)
	expectFree(t, p, time.Minute, 300)
	p.DropGrantWritesBefore(10)
	expectFree(t, p, time.Minute, 10_000)
}

// TestLateSuccessor replays a kill during an outage of the store: the successor
// counts as spent what the former process could spend until the successor began,
// however long it takes until the store can be read.
func TestLateSuccessor(t *testing.T) {
	at := func(after time.Duration) prepaid.ClockReading {
		return prepaid.ClockReading{Wall: epoch.Add(after).UnixMilli(), Uptime: (time.Hour + after).Milliseconds(), BootID: 1}
	}
	account := prepaid.Account{}.
		WithGrant("entry-1", prepaid.Grant{Incarnation: 1, Total: 8_000}).
		WithReport("entry-1", prepaid.Report{SpendLimit: terms, Incarnation: 1, SentAt: at(0)})
	holder := prepaid.HolderState{
		Instance: "entry-1", Incarnation: 2, StartedAt: at(1700 * time.Millisecond), Now: at(20 * time.Second),
		LatestWallTime: at(20 * time.Second).Wall,
	}
	grant, changed := prepaid.NewPlanner().Grant(account, 10_000, holder)
	if want := int64(100 + 1000); !changed || grant.PriorSpent != want {
		t.Errorf("%d tokens count as spent, want %d", grant.PriorSpent, want)
	}
}

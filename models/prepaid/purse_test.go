package prepaid_test

import (
	"testing"
	"time"

	"github.com/crocusline/crocusline/models/prepaid"
)

var terms = prepaid.Terms{Committed: 0, Window: 100, Rate: 1000, CutWindow: 500, CutRate: 2000}

func newPurse() *prepaid.Purse {
	p := prepaid.NewPurse(epoch, 10)
	p.SentGrant(1, 7, 10_000)
	p.GrantInForce(prepaid.Grant{Incarnation: 1, Sequence: 1, Total: 10_000})
	return p
}

func expectFree(t *testing.T, p *prepaid.Purse, after time.Duration, want int64) {
	t.Helper()
	if got := p.Free(epoch.Add(after)); got != want {
		t.Errorf("after %s: %d tokens are free, want %d", after, got, want)
	}
}

// TestTerms checks what an entry may spend while it can't report.
func TestTerms(t *testing.T) {
	p := newPurse()
	expectFree(t, p, 0, 0)
	p.SentReport(epoch, terms)
	p.ReportInForce()
	expectFree(t, p, 0, 100)
	expectFree(t, p, 700*time.Millisecond, 100)
	expectFree(t, p, 1700*time.Millisecond, 1100)
	expectFree(t, p, 4*time.Second, 100+3300+500+2000)
	expectFree(t, p, time.Minute, 10_000)
	if p.Reserve(epoch, 101) || !p.Reserve(epoch, 60) {
		t.Error("reservations don't keep to the window")
	}
	p.Settle(60, 40)
	expectFree(t, p, 0, 60)
	if after, ok := p.Covered(epoch, 160, time.Second); !ok || after < 790*time.Millisecond || after > 810*time.Millisecond {
		t.Errorf("covered after %s (%t), want 0.8 s", after, ok)
	}
	if _, ok := p.Covered(epoch, 5000, time.Second); ok {
		t.Error("covered too early")
	}
}

// TestUnansweredReport checks that a report that may be in force binds, since a
// successor may go by it.
func TestUnansweredReport(t *testing.T) {
	p := newPurse()
	p.SentReport(epoch, terms)
	p.ReportInForce()
	later := epoch.Add(10 * time.Second)
	p.SentReport(later, terms)
	expectFree(t, p, 10*time.Second, 100)
	p.ReportVoid()
	if free := p.Free(later); free != 10_000 {
		t.Errorf("%d tokens are free after the report was void, want 10000", free)
	}
}

// TestUnansweredGrant checks that the smaller of the old and the new grant binds
// until it is known which is in force.
func TestUnansweredGrant(t *testing.T) {
	p := newPurse()
	p.SentReport(epoch, terms)
	p.ReportInForce()
	p.SentGrant(2, 9, 300)
	expectFree(t, p, time.Minute, 300)
	p.SentGrant(3, 9, 20_000)
	expectFree(t, p, time.Minute, 300)
	p.Reached(9)
	expectFree(t, p, time.Minute, 300)
	p.Reached(10)
	expectFree(t, p, time.Minute, 10_000)
}

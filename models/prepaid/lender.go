package prepaid

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// Lender is a gateway that probably has tokens to lend.
type Lender struct {
	Instance    string
	PeerAddress netip.AddrPort
	// Free is the number of free tokens estimated from the gateway's last report and
	// its demand since then. Granted is the number that was left of its grant at the last
	// report, including those that its spending limit didn't permit.
	Free    int64
	Granted int64
}

// Observation is what a lender had left after a loan, which is newer than its last
// report.
type Observation struct {
	Free    int64
	Granted int64
	// Age is the time from reading the account until the loan.
	Age time.Duration
}

// estimate returns the lender's tokens when this time has elapsed since its report.
func (r Report) estimate(g Grant, age time.Duration) (free, granted int64) {
	used := r.Committed + int64(float64(r.Demand+r.LoanDemand)*age.Seconds())
	return min(g.Total, r.tokensAfter(age)) - used, g.Total - r.Committed
}

// update returns the lender's tokens when this time has elapsed since its report, which
// was before the observation.
func (o Observation) update(r Report, age time.Duration) (free, granted int64) {
	grown := r.tokensAfter(age) - r.tokensAfter(o.Age)
	used := int64(float64(r.Demand+r.LoanDemand) * (age - o.Age).Seconds())
	return min(o.Granted, o.Free+grown) - used, o.Granted
}

// Lenders returns the gateways that probably have tokens to lend to the instance, now
// or once their spending limits permit, in descending order of their free tokens. age is
// the time since the account was read, and observed holds what instances had left after
// loans since then.
func (a Account) Lenders(instance string, age time.Duration, observed map[string]Observation) []Lender {
	var lenders []Lender
	for name, g := range a.Grants {
		r := a.report(name, g)
		l := Lender{Instance: name, PeerAddress: g.PeerAddress}
		if o, exists := observed[name]; exists {
			l.Free, l.Granted = o.update(r, age)
		} else {
			l.Free, l.Granted = r.estimate(g, age)
		}
		if name != instance && l.Granted > 0 && l.PeerAddress.IsValid() {
			lenders = append(lenders, l)
		}
	}
	slices.SortFunc(lenders, func(a, b Lender) int {
		return cmp.Or(cmp.Compare(b.Free, a.Free), cmp.Compare(a.Instance, b.Instance))
	})
	return lenders
}

// SelectLenders returns the lenders that are equally suitable to cover a request's
// shortfall next: those that can probably cover all of it or, if there are none, the
// one with the most free tokens. What is lent in vain is returned.
func SelectLenders(lenders []Lender, shortfall int64) []Lender {
	enough := 0
	for i, l := range lenders {
		if l.Free >= shortfall {
			enough = i + 1
		}
	}
	return lenders[:min(max(1, enough), len(lenders))]
}

// Loan is a gateway's request for tokens of another one.
type Loan struct {
	Workspace string
	Tokens    int64
	// Demand is the number of tokens that the lender adds to the demand for loans. It is
	// 0 if another lender was asked before for the same request.
	Demand int64
	// Wait is how long the lender may wait until its spending limit covers the loan. With
	// a wait of 0 it lends what it has free.
	Wait time.Duration
}

// Lent is the response to a Loan.
type Lent struct {
	Tokens int64
	// Free and Granted are what the lender has left.
	Free    int64
	Granted int64
}

// Share is the part of a shortfall that a lender is asked for.
type Share struct {
	Lender
	Tokens int64
}

// DivideShortfall divides a request's shortfall among lenders whose spending limits may
// not permit the loans yet. If grants of single lenders cover it, one of these is chosen
// by pick, which returns a number below its argument. Otherwise those with the largest
// grants are asked, or none if up to limit of them together probably have less.
func DivideShortfall(lenders []Lender, shortfall int64, limit int, pick func(int) int) []Share {
	if shortfall <= 0 {
		return nil
	}
	byGrant := slices.Clone(lenders)
	slices.SortFunc(byGrant, func(a, b Lender) int {
		return cmp.Or(cmp.Compare(b.Granted, a.Granted), cmp.Compare(a.Instance, b.Instance))
	})
	if n := countEnough(byGrant, shortfall); n > 0 {
		return []Share{{Lender: byGrant[pick(n)], Tokens: shortfall}}
	}
	var shares []Share
	for _, l := range byGrant[:min(limit, len(byGrant))] {
		tokens := min(shortfall, l.Granted)
		shares = append(shares, Share{Lender: l, Tokens: tokens})
		if shortfall -= tokens; shortfall == 0 {
			return shares
		}
	}
	return nil
}

// countEnough returns the number of lenders whose grants cover the shortfall.
func countEnough(byGrant []Lender, shortfall int64) int {
	n := 0
	for n < len(byGrant) && byGrant[n].Granted >= shortfall {
		n++
	}
	return n
}

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
	// its demand since then.
	Free int64
}

// Lenders returns the gateways that probably have tokens to lend to the instance,
// in descending order of their free tokens. age is the time since the account was
// read.
func (a Account) Lenders(instance string, age time.Duration) []Lender {
	var lenders []Lender
	for name, g := range a.Grants {
		r := a.report(name, g)
		used := r.Committed + int64(float64(r.Demand)*age.Seconds())
		l := Lender{Instance: name, PeerAddress: g.PeerAddress, Free: min(g.Total, r.tokensAfter(age)) - used}
		if name != instance && l.Free > 0 && l.PeerAddress.IsValid() {
			lenders = append(lenders, l)
		}
	}
	slices.SortFunc(lenders, func(a, b Lender) int {
		return cmp.Or(cmp.Compare(b.Free, a.Free), cmp.Compare(a.Instance, b.Instance))
	})
	return lenders
}

// SelectLenders returns the lenders that are equally suitable to cover a request's
// shortfall next: those that can cover all of it or, if there are none, the one
// with the most free tokens. It returns nil if the first limit lenders together
// probably have less than the shortfall: a partial loan would not help the request,
// and the lenders would lack those tokens.
func SelectLenders(lenders []Lender, shortfall int64, limit int) []Lender {
	enough := 0
	var sum int64
	for i, l := range lenders[:min(limit, len(lenders))] {
		sum += l.Free
		if l.Free >= shortfall {
			enough = i + 1
		}
	}
	if len(lenders) == 0 || sum < shortfall {
		return nil
	}
	return lenders[:max(1, enough)]
}

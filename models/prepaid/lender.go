package prepaid

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// Lender is an entry that probably has tokens to lend.
type Lender struct {
	Instance    string
	PeerAddress netip.AddrPort
	// Free is what it has by its last report and by its demand since.
	Free int64
}

// Lenders returns the entries that probably have tokens to lend to the instance,
// most first. The age is the time since the account was read.
func (a Account) Lenders(instance string, age time.Duration) []Lender {
	var lenders []Lender
	for name, g := range a.Grants {
		r := a.report(name, g)
		used := r.Committed + int64(float64(r.Demand)*age.Seconds())
		l := Lender{Instance: name, PeerAddress: g.PeerAddress, Free: min(g.Total, r.limit(age)) - used}
		if name != instance && l.Free > 0 && l.PeerAddress.IsValid() {
			lenders = append(lenders, l)
		}
	}
	slices.SortFunc(lenders, func(a, b Lender) int {
		return cmp.Or(cmp.Compare(b.Free, a.Free), cmp.Compare(a.Instance, b.Instance))
	})
	return lenders
}

// SelectLenders returns the lenders that a request should ask next for what it lacks, any
// of them: those that have all of it, or else the one that has most. There is none
// if so many lenders together probably have less, since what some of them gave
// would be of no use here, and lacking there.
func SelectLenders(lenders []Lender, lack int64, most int) []Lender {
	enough := 0
	var sum int64
	for i, l := range lenders[:min(most, len(lenders))] {
		sum += l.Free
		if l.Free >= lack {
			enough = i + 1
		}
	}
	if len(lenders) == 0 || sum < lack {
		return nil
	}
	return lenders[:max(1, enough)]
}

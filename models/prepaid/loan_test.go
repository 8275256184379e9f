package prepaid_test

import (
	"slices"
	"time"

	"github.com/crocusline/crocusline/models/prepaid"
)

// loan is a request for a loan at a lender.
type loan struct {
	lender  string
	tokens  int64
	since   time.Duration
	until   time.Duration
	pending *prepaid.PendingReservation
	ended   bool
	lent    int64
}

// requestLoans asks lenders for what a request lacks, which their spending limits may
// not permit yet.
func (g *entry) requestLoans(w *waitingRequest) bool {
	f := g.fleet
	shortfall := g.budget.Shortfall(f.time(), w.tokens)
	lenders := slices.DeleteFunc(g.account.Lenders(g.name, f.now-g.readAt, g.observed), func(l prepaid.Lender) bool {
		peer := f.gatewayNamed(l.Instance)
		return g.isolated || peer.isolated || peer.killed || slices.Contains(w.refusedBy, l.Instance)
	})
	for _, r := range prepaid.DivideShortfall(lenders, shortfall, maxLoans, f.rand.IntN) {
		loan := &loan{lender: r.Instance, tokens: r.Tokens, since: f.now, until: w.since + maxLimitWait}
		peer := f.gatewayNamed(r.Instance)
		peer.lending = append(peer.lending, loan)
		w.loans = append(w.loans, loan)
	}
	return len(w.loans) > 0
}

// observe records what a lender has left.
func (g *entry) observe(lender *entry) {
	f := g.fleet
	g.observed[lender.name] = prepaid.Observation{
		Free: lender.budget.Free(f.time()), Granted: lender.budget.GrantRemaining(), Age: f.now - g.readAt,
	}
}

// returnBorrowed returns what was borrowed in vain to the lender asked last. Some
// returns are lost.
func (g *entry) returnBorrowed() {
	f := g.fleet
	if g.lastLender == nil || g.isolated || g.lastLender.isolated || g.lastLender.killed {
		return
	}
	if tokens := g.budget.ReturnBorrowed(); f.rand.Float64() >= f.storeFaultRate {
		g.lastLender.budget.TakeBack(tokens)
	}
}

// receiveLoans takes over what was lent, and reports whether all loans have ended.
func (g *entry) receiveLoans(w *waitingRequest) bool {
	ended := true
	for _, l := range w.loans {
		ended = ended && l.ended
		if l.ended && l.lent < l.tokens {
			w.refusedBy = append(w.refusedBy, l.lender)
		}
		if l.ended {
			g.observe(g.fleet.gatewayNamed(l.lender))
		}
		g.budget.Borrow(l.lent)
		l.tokens -= l.lent
		l.lent = 0
	}
	return ended
}

// serveLoans lends to gateways that wait.
func (g *entry) serveLoans() {
	f := g.fleet
	rest := g.lending[:0]
	for _, l := range g.lending {
		if g.serveLoan(l); !l.ended {
			rest = append(rest, l)
		}
	}
	g.lending = rest
	if len(rest) > 0 {
		g.unmetAt = f.now
	}
}

// countWaiting tells the budget how many tokens requests and other gateways wait for.
func (g *entry) countWaiting() {
	g.budget.AddWaiting(-g.waitingTokens)
	g.waitingTokens = 0
	for _, w := range g.waiting {
		if w.pending == nil && w.loans == nil {
			g.waitingTokens += w.tokens
		}
	}
	for _, l := range g.lending {
		if l.pending == nil {
			g.waitingTokens += l.tokens
		}
	}
	g.budget.AddWaiting(g.waitingTokens)
}

func (g *entry) serveLoan(l *loan) {
	f := g.fleet
	if l.pending != nil {
		if reservation, ok := g.budget.Activate(f.time(), l.pending); ok {
			l.lent, l.ended = g.budget.LendReserved(reservation), true
		} else if f.now > l.until {
			g.budget.Cancel(l.pending)
			l.ended = true
		}
		return
	}
	if reservation, ok := g.budget.Reserve(f.time(), l.tokens); ok {
		l.lent, l.ended = g.budget.LendReserved(reservation), true
		return
	}
	if !g.disconnected && f.now-l.since < grantWait {
		g.budget.RecordUnmet(l.tokens)
		return
	}
	var ok bool
	if l.pending, ok = g.budget.ReservePending(f.time(), l.tokens, l.until-f.now); !ok {
		l.ended = true
	}
}

// borrow borrows what a request lacks from other gateways, and reports whether that is
// enough. Some responses are lost, so that the tokens lent don't arrive.
func (g *entry) borrow(tokens, demand int64) bool {
	f := g.fleet
	var tried []string
	for {
		shortfall := g.budget.Shortfall(f.time(), tokens)
		lenders := slices.DeleteFunc(g.account.Lenders(g.name, f.now-g.readAt, g.observed), func(l prepaid.Lender) bool {
			return slices.Contains(tried, l.Instance)
		})
		candidates := prepaid.SelectLenders(lenders, shortfall)
		if shortfall <= 0 || len(candidates) == 0 || len(tried) == maxLendersAsked {
			return shortfall <= 0
		}
		peer := f.gatewayNamed(candidates[f.rand.IntN(len(candidates))].Instance)
		tried = append(tried, peer.name)
		if g.isolated || peer.isolated || peer.killed {
			continue
		}
		if demand > 0 {
			peer.budget.RecordLoanRequest(f.time(), demand)
			demand = 0
		}
		g.lastLender = peer
		lent := peer.budget.Lend(f.time(), shortfall)
		g.observe(peer)
		if f.rand.Float64() >= f.storeFaultRate {
			g.budget.Borrow(lent)
		}
	}
}

// firstAsk returns the demand that the first lender records.
func (w waitingRequest) firstAsk(f *fleet) int64 {
	if f.now-w.since <= tick {
		return w.tokens
	}
	return 0
}

package prepaid

// closePredecessor returns a grant without tokens in which everything that the
// predecessor of the holder's process may have spent is added to PriorSpent. A
// process that did not report on its grant has spent nothing of it, unless its reports
// were lost with an earlier era.
func (a Account) closePredecessor(h HolderState) Grant {
	g := a.Grants[h.Instance]
	r := a.report(h.Instance, g)
	closed := g.closed(h)
	switch {
	case g.Era < h.Era && r.Era == h.Era:
		// The predecessor wrote in this era, and the record of its grant is a late one of the
		// era before. Its spending limit bounds what it spent of any grant.
		closed.addReported(r, r.tokensAfter(h.timeUntilExit(r)))
		closed.Base, closed.Era, closed.Restored = closed.PriorSpent, h.Era, false
	case g.Era < h.Era:
		// The predecessor may have had a larger grant that the store lost. What it had is
		// not free, nor is what it is known to have had.
		closed.addUnreported(r, g.Total)
		closed.Base, closed.Era, closed.Restored = closed.PriorSpent, h.Era, false
	case r.Incarnation == 0 && !g.Restored:
		return closed
	case r.Era < g.Era:
		// What the predecessor spent since the era began was not reported.
		closed.addUnreported(r, g.Total)
	default:
		closed.addReported(r, min(g.Total, r.tokensAfter(h.timeUntilExit(r))))
	}
	return closed
}

// closed returns the grant without its tokens.
func (g Grant) closed(h HolderState) Grant {
	return Grant{
		PriorSpent: g.PriorSpent, Era: g.Era, Base: g.Base, Restored: g.Restored,
		PriorReserved: g.PriorReserved, PriorPermitted: g.PriorPermitted, PriorUnreported: g.PriorUnreported, ClosedAt: h.Now.Wall,
	}
}

// addReported adds the most that the writer of the report may have spent.
func (g *Grant) addReported(r Report, most int64) {
	g.PriorSpent += most
	g.PriorReserved += max(0, min(r.Committed, most)-r.Spent)
	g.PriorPermitted += max(0, most-r.Committed)
}

// addUnreported adds a grant of which only the spending until the report is known.
func (g *Grant) addUnreported(r Report, total int64) {
	g.PriorSpent += total
	g.PriorUnreported += max(0, total-r.Spent)
}

// ClosedSince returns by place what the grant counts as spent by processes that ended since an
// earlier grant of the instance.
func (g Grant) ClosedSince(earlier Grant) map[Place]int64 {
	closed := map[Place]int64{
		EndedReserved:   g.PriorReserved - earlier.PriorReserved,
		EndedPermitted:  g.PriorPermitted - earlier.PriorPermitted,
		EndedUnreported: g.PriorUnreported - earlier.PriorUnreported,
	}
	closed[Spent] = g.PriorSpent - earlier.PriorSpent - closed[EndedReserved] - closed[EndedPermitted] - closed[EndedUnreported]
	return closed
}

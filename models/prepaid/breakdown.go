package prepaid

import "time"

//go:generate stringer -type=Place -linecomment

// Place is where tokens of a workspace are.
type Place int

// Places of tokens. Those of ended processes are withheld for good.
const (
	// Spent tokens were reported as used, or lent and not returned.
	Spent Place = iota // spent
	// EndedReserved tokens were held for requests of ended processes at their last reports.
	EndedReserved // endedReserved
	// EndedPermitted tokens could be spent by ended processes after their last reports.
	EndedPermitted // endedPermitted
	// EndedUnreported tokens were granted to ended processes whose reports were lost.
	EndedUnreported // endedUnreported
	// SilentGrant tokens are granted to gateways that no longer report.
	SilentGrant // silentGrant
	// InFlight tokens are held for requests of gateways that report.
	InFlight // inFlight
	// PeerGrant tokens are granted to other gateways that report, which don't use them.
	PeerGrant // peerGrant
	// OwnGrant tokens are granted to this gateway, which doesn't use them.
	OwnGrant // ownGrant
	// Unstated tokens are granted to no gateway as far as is known, but the store may have lost
	// grants of them.
	Unstated // unstated
	// Ungranted tokens are granted to no gateway.
	Ungranted // ungranted
)

const placeCount = int(Ungranted) + 1

// Places returns all places.
func Places() []Place {
	var all []Place
	for p := range placeCount {
		all = append(all, Place(p))
	}
	return all
}

// silentAfter is the age of a gateway's last report from which on the gateway is silent. It is that
// after which the others replace it as a holder.
const silentAfter = 3 * time.Second

// Breakdown tells where the tokens of a workspace are, as far as one gateway knows. The amounts add up
// to the prepaid total.
type Breakdown struct {
	Tokens [placeCount]int64
	// ClosedAge is the time since the grant of an ended process was closed last, and SilentAge the age
	// of the oldest report of a silent gateway, by the time of day. They are 0 if there are none.
	ClosedAge time.Duration
	SilentAge time.Duration
}

// Breakdown returns where the tokens of the prepaid total are in the view of the holder.
func (a Account) Breakdown(prepaid int64, h HolderState) Breakdown {
	b := Breakdown{ClosedAge: a.closedAge(h.Now)}
	b.Tokens[Ungranted] = prepaid - a.Granted()
	if h.Withheld > 0 {
		b.Tokens[Ungranted] = min(b.Tokens[Ungranted], a.free(prepaid, h.Withheld, h.Era))
		b.Tokens[Unstated] = prepaid - a.Granted() - b.Tokens[Ungranted]
	}
	for name, g := range a.Grants {
		r, owner := a.report(name, g), a.owner(name, g, h)
		if owner == OwnGrant {
			r.Spent, r.Committed = h.Spent, h.committed()
		}
		b.addGrant(g, r, owner, h.Now)
	}
	return b
}

// owner returns the place of the unused tokens of a grant.
func (a Account) owner(name string, g Grant, h HolderState) Place {
	r := a.report(name, g)
	switch {
	case name == h.Instance && g.Incarnation == h.Incarnation:
		return OwnGrant
	case name == h.Instance, r.Incarnation != 0 && h.Now.wallSince(r.SentAt.Wall) > silentAfter:
		return SilentGrant
	}
	return PeerGrant
}

func (b *Breakdown) addGrant(g Grant, r Report, owner Place, now ClockReading) {
	b.Tokens[EndedReserved] += g.PriorReserved
	b.Tokens[EndedPermitted] += g.PriorPermitted
	b.Tokens[EndedUnreported] += g.PriorUnreported
	b.Tokens[Spent] += g.PriorSpent - g.PriorReserved - g.PriorPermitted - g.PriorUnreported + r.Spent
	if owner != SilentGrant {
		b.Tokens[InFlight] += r.Committed - r.Spent
		b.Tokens[owner] += g.Total - r.Committed
		return
	}
	b.Tokens[SilentGrant] += g.Total - r.Spent
	if r.Incarnation != 0 && g.Total > r.Spent {
		b.SilentAge = max(b.SilentAge, now.wallSince(r.SentAt.Wall))
	}
}

// closedAge returns the time since the grant of an ended process was closed last, or 0 if none was.
func (a Account) closedAge(now ClockReading) time.Duration {
	var latest int64
	for _, g := range a.Grants {
		latest = max(latest, g.ClosedAt)
	}
	if latest == 0 {
		return 0
	}
	return now.wallSince(latest)
}

// wallSince returns the time since an earlier time of day in ms since 1970.
func (c ClockReading) wallSince(earlier int64) time.Duration {
	return max(0, time.Duration(c.Wall-earlier)*time.Millisecond)
}

// Cause returns the place of the tokens that a refused request lacks most: Spent if all others
// together don't cover it. The tokens of ended processes come first where the rest of the total
// doesn't cover the request either.
func (b Breakdown) Cause(tokens int64) Place {
	var left, ended int64
	for p := EndedReserved; p <= Ungranted; p++ {
		left += b.Tokens[p]
	}
	for p := EndedReserved; p <= EndedUnreported; p++ {
		ended += b.Tokens[p]
	}
	switch {
	case left < tokens:
		return Spent
	case left-ended < tokens:
		return b.largest(EndedReserved, EndedUnreported)
	}
	return b.largest(SilentGrant, Ungranted)
}

// largest returns the place with the most tokens in a range.
func (b Breakdown) largest(first, last Place) Place {
	largest := first
	for p := first; p <= last; p++ {
		if b.Tokens[p] > b.Tokens[largest] {
			largest = p
		}
	}
	return largest
}

package prepaid

import (
	"net/netip"
	"time"
)

// Defaults of a Planner.
const (
	// DefaultHorizon is the time for which a gateway holds tokens in advance. It is as
	// long as an ordinary day in the operators' load data, since tokens that are held
	// are not lost.
	DefaultHorizon = 60 * time.Second
	// DefaultTolerance is the fraction of the target by which a grant may be off before
	// it is rewritten, so that small changes of the demand cause no store call.
	DefaultTolerance = 0.2
	// grantedFraction is the fraction of the remaining tokens that gateways hold. The
	// rest is for requests that are larger than usual.
	grantedFraction = 0.9
	// largeRequest is the size in tokens of a usual large request. A gateway whose share
	// is not much larger holds less than its share, so that the rest can be granted
	// when a request needs it.
	largeRequest = 15_000
	// burstFraction of a gateway's share of the remaining tokens may be spent at once in
	// addition to what was reported, but at most maxBurst, which is a few requests of
	// the usual size. This amount is lost for each gateway that is killed.
	burstFraction = 0.08
	maxBurst      = 40_000
	// A disconnected gateway may spend at once minDisconnectedBurst, which is one large
	// request of up to ten times the usual size, or the demand of
	// disconnectedBurstSpan if that is more.
	minDisconnectedBurst  = 30_000
	disconnectedBurstSpan = 2 * time.Second
	// rateFactor is the ratio of the permitted spending rate to the demand, and
	// disconnectedRateFactor that of the rate added once the gateway must be
	// disconnected. At times workspaces send several times their usual load, and gateways
	// that reach each other lend what the others don't need. All that is permitted until
	// a killed gateway is back counts as spent: with an added rate of 2.5, a loss of power at the
	// end of an outage of 5 s withheld a third of a workspace's total.
	rateFactor             = 1.3
	disconnectedRateFactor = 1.2
)

// requestScale is the factor by which numbers of requests are multiplied in reports.
const requestScale = 100

// minGateways is the number of gateways that are expected to report at least. The
// operators' deployments have more.
const minGateways = 4

// limitMaxAge is the age at which a spending limit is renewed even if nothing else
// changed, since the limit grows with its age.
const limitMaxAge = 500 * time.Millisecond

//go:generate stringer -type=Role -linecomment

// Role is what a gateway does with a workspace's tokens.
type Role int

// Roles of a gateway.
const (
	// Borrower borrows tokens for each request.
	Borrower Role = iota // borrower
	// SelfHolder holds tokens for its own callers.
	SelfHolder // selfHolder
	// Holder holds tokens for its own callers and lends them to other gateways.
	Holder // holder
)

// Planner computes the size of a gateway's grant and the spending limit that applies
// to it. It is designed for load that reaches the gateways unevenly, disconnections
// from the store without notice, workspaces that send several times their usual
// load, and gateways that are all killed at once.
type Planner struct {
	horizon   time.Duration
	tolerance float64
}

// PlannerOption configures a Planner.
type PlannerOption func(*Planner)

// WithHorizon sets how long a grant should last at the measured demand.
func WithHorizon(d time.Duration) PlannerOption { return func(p *Planner) { p.horizon = d } }

// WithTolerance sets the fraction of its target by which a grant may be off.
func WithTolerance(fraction float64) PlannerOption {
	return func(p *Planner) { p.tolerance = fraction }
}

// NewPlanner returns a Planner.
func NewPlanner(opts ...PlannerOption) *Planner {
	p := &Planner{horizon: DefaultHorizon, tolerance: DefaultTolerance}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// HolderState is the local state of a gateway that holds a grant.
type HolderState struct {
	Instance    string
	Incarnation int64
	// PeerAddress is the address at which the gateway lends tokens.
	PeerAddress netip.AddrPort
	// Sequence is the number of the grant to write.
	Sequence int64
	// StartedAt is when the process started. The instance's previous process had ended
	// by then.
	StartedAt ClockReading
	Now       ClockReading
	// LatestWallTime is the latest wall-clock time in the reports of all gateways.
	LatestWallTime int64
	// Witnesses bounds when the predecessor exited, and AwaitWitnesses is whether it may still
	// learn more.
	Witnesses      *Witnesses
	AwaitWitnesses bool
	// PeerClocks are the clocks of other gateways for the report.
	PeerClocks []PeerClock
	// Spent is the number of tokens used, and Held the number that requests in flight
	// may still use.
	Spent int64
	Held  int64
	// Demand is the demand of callers in tokens per second, and LoanDemand that of other
	// gateways for loans.
	Demand     float64
	LoanDemand float64
	// RecentRequests is the decayed number of requests.
	RecentRequests float64
	// Unmet is the number of tokens that requests wait for, or the size of the largest
	// request that was not covered recently.
	Unmet int64
	// ReportInterval is the time between two reports.
	ReportInterval time.Duration
	// Holders is the number of gateways that hold the workspace's tokens for all callers.
	Holders int
	// Era is the store's era, and Withheld the number of tokens paid in before it began, or
	// 0 in the first era.
	Era      int64
	Withheld int64
	// Role is what the gateway does with the workspace's tokens.
	Role Role
}

func (h HolderState) committed() int64 { return h.Spent + h.Held }

// Grant returns the grant that the gateway should have, and whether it differs enough
// from the present grant to be written. A gateway that doesn't hold the workspace's
// tokens keeps what it spent or holds for requests.
func (p *Planner) Grant(a Account, prepaid int64, h HolderState) (Grant, bool) {
	old, exists := a.Grants[h.Instance]
	superseded := exists && old.Incarnation != h.Incarnation
	if superseded && a.awaitsWitness(h, old) {
		return old, false
	}
	if superseded {
		old = a.closePredecessor(h)
		a = a.WithGrant(h.Instance, old)
	}
	if h.Role == Borrower {
		// Without a grant of its own or of a predecessor there is nothing to write.
		total := min(old.Total, h.committed())
		return h.grant(total, old), superseded || total != old.Total || (exists && old.Era != h.Era)
	}
	target := p.target(a, prepaid, h)
	// What a request waits for stays until the spending limit covers it.
	wanted := max(target, h.Unmet)
	total := old.Total
	switch free, margin := old.Total-h.committed(), p.margin(target); {
	case free < target-margin || free < h.Unmet:
		total = min(h.committed()+wanted, old.Total+max(0, a.free(prepaid, h.Withheld, h.Era)))
	case free > wanted+margin:
		total = h.committed() + wanted
	}
	grant := h.grant(total, old)
	return grant, !exists || superseded || total != old.Total || grant.PeerAddress != old.PeerAddress || grant.Era != old.Era
}

// grant returns a grant that replaces the old one.
func (h HolderState) grant(total int64, old Grant) Grant {
	g := Grant{
		Incarnation: h.Incarnation, Sequence: h.Sequence, Total: total, PriorSpent: old.PriorSpent, Era: h.Era, Base: old.Base, Restored: h.Withheld > 0,
		PriorReserved: old.PriorReserved, PriorPermitted: old.PriorPermitted, PriorUnreported: old.PriorUnreported, ClosedAt: old.ClosedAt,
	}
	if h.Role == Holder {
		g.PeerAddress = h.PeerAddress
	}
	return g
}

// margin returns the difference from the target by which the free tokens may be off
// before the grant is rewritten. A single request of the usual size doesn't exceed
// it.
func (p *Planner) margin(target int64) int64 {
	if p.tolerance == 0 {
		return 0
	}
	return max(int64(float64(target)*p.tolerance), min(target, largeRequest/2))
}

// Report returns the holder's report, and whether it should be written because it differs from the
// last one or would renew a limit that is too old, by the machine's uptime. Without a grant there is
// nothing to report.
func (p *Planner) Report(a Account, prepaid int64, h HolderState) (Report, bool) {
	grant, exists := a.Grants[h.Instance]
	if !exists || grant.Incarnation != h.Incarnation {
		return Report{}, false
	}
	old := a.report(h.Instance, grant)
	d := p.estimateDemand(a, h)
	left := float64(max(0, a.Unspent(prepaid))) * d.share
	demand := h.Demand + d.loans
	report := Report{
		SpendLimit: SpendLimit{
			Committed: h.committed(), Burst: burst(left, demand, h),
			Rate:              int64(demand * rateFactor),
			DisconnectedBurst: min(int64(left), max(minDisconnectedBurst, int64(demand*disconnectedBurstSpan.Seconds()))),
			DisconnectedRate:  int64(demand * disconnectedRateFactor),
		},
		Incarnation: h.Incarnation, Era: h.Era, SentAt: h.Now, PeerClocks: h.PeerClocks, Spent: h.Spent, Demand: int64(h.Demand), LoanDemand: int64(h.LoanDemand),
		RecentRequests: int64(h.RecentRequests * requestScale),
		Shortfall:      max(0, h.Unmet-(grant.Total-h.committed())),
	}
	if old.Incarnation == 0 || old.Era != report.Era || old.Committed != report.Committed || old.Spent != report.Spent {
		return report, true
	}
	return report, h.Role != Borrower && ((old.Shortfall == 0) != (report.Shortfall == 0) || h.Unmet > old.Burst ||
		report.SentAt.uptimeSince(old.SentAt) > limitMaxAge)
}

// burst returns what a holder with this share of the remaining tokens may spend at once:
// enough for its demand until the next report, and for the requests that wait. It is lost
// if the holder is killed.
func burst(left, demand float64, h HolderState) int64 {
	usual := min(maxBurst, burstFraction*left)
	untilReport := min(left, demand*rateFactor*h.ReportInterval.Seconds())
	return max(h.Unmet, int64(max(usual, untilReport)))
}

const (
	// minDemandShare is the part of a workspace's demand from which on a gateway holds
	// tokens for its own callers. It holds them until its part is half of that.
	minDemandShare = 0.1
	// minRecentRequests is the decayed number of requests without which a gateway's part of
	// the demand is unknown.
	minRecentRequests = 4
)

// HoldsByDemand reports whether the gateway should hold tokens because its own callers
// are a large part of the workspace's demand. It answers workspaces whose callers keep to
// a few gateways, and those that send many times their usual load to one: a loan for each
// request would cost more than the gateway can carry, and fail with it.
func (a Account) HoldsByDemand(h HolderState) bool {
	if h.RecentRequests < minRecentRequests {
		return false
	}
	// What this gateway borrows is part of the lenders' demand.
	var others float64
	for name, g := range a.Grants {
		if name != h.Instance {
			r := a.report(name, g)
			others += float64(r.Demand + r.LoanDemand)
		}
	}
	share := minDemandShare
	if own := a.Grants[h.Instance]; own.Incarnation == h.Incarnation && own.Total > h.committed() {
		share /= 2
	}
	return h.Demand >= share*max(others, h.Demand)
}

// demandEstimate is an estimate of a workspace's demand from the reports.
type demandEstimate struct {
	// share is the holder's expected fraction of the workspace's demand.
	share float64
	// own is the holder's expected demand in tokens per second, and loans the part of it
	// that are loans to gateways that hold no tokens.
	own   float64
	loans float64
	// peerShortfall is the number of tokens that the other gateways lack.
	peerShortfall int64
}

// estimateDemand estimates the demand from the reports of all gateways. If a
// workspace's callers use all gateways evenly, what one gateway received in a few
// seconds predicts little of the next ones; callers of other workspaces keep to one
// gateway. How often two requests arrived at the same gateway distinguishes these
// cases. Loans are shared equally among the holders, as each can lend to any gateway.
func (p *Planner) estimateDemand(a Account, h HolderState) demandEstimate {
	all, loans, spread := h.Demand, h.LoanDemand, newSpread(h.RecentRequests)
	var d demandEstimate
	for name, g := range a.Grants {
		if name != h.Instance {
			r := a.report(name, g)
			all += float64(r.Demand)
			loans += float64(r.LoanDemand)
			d.peerShortfall += r.Shortfall
			spread.add(float64(r.RecentRequests) / requestScale)
		}
	}
	if all+loans <= 0 {
		return d
	}
	if h.Role == Holder {
		d.loans = loans / float64(max(1, h.Holders))
	}
	unseen := spread.unseenDemand(all)
	d.share = (h.Demand + unseen + d.loans) / (all + unseen*float64(spread.gateways) + loans)
	d.own = d.share * (all + loans)
	if len(a.Reports) < minGateways {
		// The first reports of other gateways are probably still to come.
		d.share = min(d.share, 1.0/minGateways)
	}
	return d
}

// target returns the number of free tokens that the holder should have: as many as
// it needs during the horizon or, if fewer tokens remain, its share of them by
// demand.
func (p *Planner) target(a Account, prepaid int64, h HolderState) int64 {
	d := p.estimateDemand(a, h)
	left := prepaid - h.committed()
	for name, g := range a.Grants {
		left -= g.PriorSpent
		if name != h.Instance {
			left -= a.report(name, g).Spent
		}
	}
	if h.Withheld > 0 {
		left = min(left, a.grantable(prepaid, h))
	}
	if d.peerShortfall > max(0, a.free(prepaid, h.Withheld, h.Era)) {
		// Other gateways refuse requests for lack of tokens that are unused here.
		left -= d.peerShortfall
	}
	share := float64(max(0, left)) * grantedFraction * d.share
	return int64(min(d.own*p.horizon.Seconds(), share*share/(share+largeRequest)))
}

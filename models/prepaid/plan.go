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
	// disconnected. At times workspaces send several times their usual load.
	rateFactor             = 1.3
	disconnectedRateFactor = 2.5
)

// requestScale is the factor by which numbers of requests are multiplied in reports.
const requestScale = 100

// minGateways is the number of gateways that are expected to report at least. The
// operators' deployments have more.
const minGateways = 4

// limitMaxAge is the age at which a spending limit is renewed even if nothing else
// changed, since the limit grows with its age.
const limitMaxAge = 500 * time.Millisecond

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
	// Spent is the number of tokens used, and Held the number that requests in flight
	// may still use.
	Spent int64
	Held  int64
	// Demand is the demand of callers in tokens per second.
	Demand float64
	// RecentRequests is the decayed number of requests.
	RecentRequests float64
	// Unmet is the size of the largest request that was not covered recently.
	Unmet int64
}

func (h HolderState) committed() int64 { return h.Spent + h.Held }

// Grant returns the grant that the holder should have, and whether it differs enough
// from the present grant to be written.
func (p *Planner) Grant(a Account, prepaid int64, h HolderState) (Grant, bool) {
	old, exists := a.Grants[h.Instance]
	if exists && old.Incarnation != h.Incarnation {
		old, exists = a.closePredecessor(h), false
		a = a.WithGrant(h.Instance, old)
	}
	target := p.target(a, prepaid, h)
	total := old.Total
	switch free, margin := old.Total-h.committed(), p.margin(target); {
	case free < target-margin || free < h.Unmet:
		total = min(h.committed()+max(target, h.Unmet), old.Total+max(0, prepaid-a.Granted()))
	case free > target+margin:
		total = h.committed() + target
	}
	grant := Grant{
		Incarnation: h.Incarnation, Sequence: h.Sequence, Total: max(total, h.committed()), PriorSpent: old.PriorSpent,
		PeerAddress: h.PeerAddress,
	}
	return grant, !exists || grant.Total != old.Total
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

// Report returns the holder's report, and whether it should be written because it
// differs from the last one or would renew a limit that is too old. Without a grant
// there is nothing to report.
func (p *Planner) Report(a Account, prepaid int64, h HolderState) (Report, bool) {
	grant, exists := a.Grants[h.Instance]
	if !exists || grant.Incarnation != h.Incarnation {
		return Report{}, false
	}
	old := a.report(h.Instance, grant)
	left := float64(max(0, a.Unspent(prepaid))) * p.estimateDemand(a, h).share
	report := Report{
		SpendLimit: SpendLimit{
			Committed: h.committed(), Burst: max(h.Unmet, min(maxBurst, int64(burstFraction*left))),
			Rate:              int64(h.Demand * rateFactor),
			DisconnectedBurst: min(int64(left), max(minDisconnectedBurst, int64(h.Demand*disconnectedBurstSpan.Seconds()))),
			DisconnectedRate:  int64(h.Demand * disconnectedRateFactor),
		},
		Incarnation: h.Incarnation, SentAt: h.Now, Spent: h.Spent, Demand: int64(h.Demand),
		RecentRequests: int64(h.RecentRequests * requestScale),
		Shortfall:      max(0, h.Unmet-(grant.Total-h.committed())),
	}
	return report, old.Incarnation == 0 || old.Committed != report.Committed || old.Spent != report.Spent ||
		(old.Shortfall == 0) != (report.Shortfall == 0) || h.Unmet > old.Burst ||
		report.SentAt.Wall-old.SentAt.Wall > limitMaxAge.Milliseconds()
}

// demandEstimate is an estimate of a workspace's demand from the reports.
type demandEstimate struct {
	// share is the holder's expected fraction of the workspace's demand.
	share float64
	// own is the holder's expected demand in tokens per second.
	own float64
	// peerShortfall is the number of tokens that the other gateways lack.
	peerShortfall int64
}

// estimateDemand estimates the demand from the reports of all gateways. If a
// workspace's callers use all gateways evenly, what one gateway received in a few
// seconds predicts little of the next ones; callers of other workspaces keep to one
// gateway. How often two requests arrived at the same gateway distinguishes these
// cases.
func (p *Planner) estimateDemand(a Account, h HolderState) demandEstimate {
	all, spread := h.Demand, newSpread(h.RecentRequests)
	var d demandEstimate
	for name, g := range a.Grants {
		if name != h.Instance {
			r := a.report(name, g)
			all += float64(r.Demand)
			d.peerShortfall += r.Shortfall
			spread.add(float64(r.RecentRequests) / requestScale)
		}
	}
	if all <= 0 {
		return d
	}
	unseen := spread.unseenDemand(all)
	d.share = (h.Demand + unseen) / (all + unseen*float64(spread.gateways))
	d.own = d.share * all
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
	if d.peerShortfall > max(0, prepaid-a.Granted()) {
		// Other gateways refuse requests for lack of tokens that are unused here.
		left -= d.peerShortfall
	}
	share := float64(max(0, left)) * grantedFraction * d.share
	return int64(min(d.own*p.horizon.Seconds(), share*share/(share+largeRequest)))
}

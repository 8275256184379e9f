package prepaid

import (
	"net/netip"
	"time"
)

// Defaults of a Planner.
const (
	// DefaultHorizon is the time for which an entry holds tokens: the length of the
	// operators' ordinary days, since nothing is lost by holding them.
	DefaultHorizon = 60 * time.Second
	// DefaultTolerance is the part of the target by which a grant may be off before it
	// is written anew. It keeps small changes of the demand from costing a call.
	DefaultTolerance = 0.2
	// handedOut is the part of what is left that entries hold. The rest is for
	// requests that are larger than the usual.
	handedOut = 0.9
	// lump is the size of a usual large request. An entry whose share is not much larger
	// holds less than its share, so that the rest can be granted for a request.
	lump = 15_000
	// windowPart of an entry's share of what is left may be spent at once beyond
	// what was reported, and usualWindow, which is some requests of the usual size,
	// where that is less. As much is lost of each entry that is killed.
	windowPart  = 0.08
	usualWindow = 40_000
	// cutWindow is what an entry that is cut off may spend at once: one large
	// request, of up to ten times the usual size, or the demand of cutDemand.
	cutWindow = 30_000
	cutDemand = 2 * time.Second
	// ratePart and cutRatePart of the demand is the speed of spending, before and
	// after it is clear that an entry is cut off. Workspaces send several times
	// their usual at times.
	ratePart    = 1.3
	cutRatePart = 2.5
)

// hundredths is the unit of the number of requests in reports.
const hundredths = 100

// fewReports is the number of reports below which more entries are expected. The
// operators' deployments have more than that.
const fewReports = 4

// renewAfter is the age at which terms are written anew though nothing else
// changed, since what they allow grows with their age.
const renewAfter = 500 * time.Millisecond

// Planner decides how large an entry's grant should be, and by which terms it may
// be spent. It is made for a load that reaches entries unevenly, with cuts from
// the store that begin without notice, workspaces that send several times their
// usual, and entries that are killed all at once.
type Planner struct {
	horizon time.Duration
	slack   float64
}

// PlannerOption changes a Planner at construction.
type PlannerOption func(*Planner)

// WithHorizon sets for how long a grant is to last at the measured demand.
func WithHorizon(d time.Duration) PlannerOption { return func(p *Planner) { p.horizon = d } }

// WithTolerance sets by which part of its target a grant may be off.
func WithTolerance(part float64) PlannerOption { return func(p *Planner) { p.slack = part } }

// NewPlanner returns a planner.
func NewPlanner(opts ...PlannerOption) *Planner {
	p := &Planner{horizon: DefaultHorizon, slack: DefaultTolerance}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// HolderState is an entry's own view of its grant.
type HolderState struct {
	Instance    string
	Incarnation int64
	// PeerAddress is where the entry lends tokens.
	PeerAddress netip.AddrPort
	// Sequence is the number of the grant to write.
	Sequence int64
	// StartedAt is when the process began: the former one of the instance had ended.
	StartedAt ClockReading
	Now       ClockReading
	// LatestWallTime is the latest time of day in the reports of all entries.
	LatestWallTime int64
	// Spent is what was used, Held what requests under way may still use.
	Spent int64
	Held  int64
	// Demand is the tokens a second that callers asked for.
	Demand float64
	// RecentRequests is the number of requests in the memory of the demand.
	RecentRequests float64
	// Unmet is what refused requests lacked.
	Unmet int64
}

func (h HolderState) committed() int64 { return h.Spent + h.Held }

// Grant returns the holder's grant as it should be, and whether that is worth a
// write.
func (p *Planner) Grant(a Account, prepaid int64, h HolderState) (Grant, bool) {
	old, known := a.Grants[h.Instance]
	if known && old.Incarnation != h.Incarnation {
		old, known = a.closed(h), false
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
	return grant, !known || grant.Total != old.Total
}

// margin is by how much free tokens may be off their target. A usual request alone
// is no reason to write a grant.
func (p *Planner) margin(target int64) int64 {
	if p.slack == 0 {
		return 0
	}
	return max(int64(float64(target)*p.slack), min(target, lump/2))
}

// Report returns the holder's report, and whether it tells more than the last.
// A holder without a grant has nothing to report.
func (p *Planner) Report(a Account, prepaid int64, h HolderState) (Report, bool) {
	grant, known := a.Grants[h.Instance]
	if !known || grant.Incarnation != h.Incarnation {
		return Report{}, false
	}
	old := a.report(h.Instance, grant)
	left := float64(max(0, a.Unspent(prepaid))) * p.demand(a, h).share
	report := Report{
		SpendLimit: SpendLimit{
			Committed: h.committed(), Burst: max(h.Unmet, min(usualWindow, int64(windowPart*left))),
			Rate:              int64(h.Demand * ratePart),
			DisconnectedBurst: min(int64(left), max(cutWindow, int64(h.Demand*cutDemand.Seconds()))),
			DisconnectedRate:  int64(h.Demand * cutRatePart),
		},
		Incarnation: h.Incarnation, SentAt: h.Now, Spent: h.Spent, Demand: int64(h.Demand),
		RecentRequests: int64(h.RecentRequests * hundredths),
		Shortfall:      max(0, h.Unmet-(grant.Total-h.committed())),
	}
	return report, old.Incarnation == 0 || old.Committed != report.Committed || old.Spent != report.Spent ||
		(old.Shortfall == 0) != (report.Shortfall == 0) || h.Unmet > old.Burst ||
		report.SentAt.Wall-old.SentAt.Wall > renewAfter.Milliseconds()
}

// demand is what an entry knows of the demand of all.
type demand struct {
	// share is the holder's part of what is to come.
	share float64
	// own is the tokens a second to expect.
	own float64
	// called is what others lack.
	called int64
}

// demand sums up the reports. Callers of some workspaces reach all entries alike,
// so that what an entry saw in a few seconds tells little of the next ones; those
// of others keep to one entry. How often two requests came to one entry tells which.
func (p *Planner) demand(a Account, h HolderState) demand {
	all, spread := h.Demand, newSpread(h.RecentRequests)
	var d demand
	for name, g := range a.Grants {
		if name != h.Instance {
			r := a.report(name, g)
			all += float64(r.Demand)
			d.called += r.Shortfall
			spread.add(float64(r.RecentRequests) / hundredths)
		}
	}
	if all <= 0 {
		return d
	}
	unseen := spread.unseen(all)
	d.share = (h.Demand + unseen) / (all + unseen*float64(spread.entries))
	d.own = d.share * all
	if len(a.Reports) < fewReports {
		// Others are probably about to report.
		d.share = min(d.share, 1.0/fewReports)
	}
	return d
}

// target is the number of free tokens that the holder should have: enough for
// the horizon while there is plenty, and its share by demand of what is left.
func (p *Planner) target(a Account, prepaid int64, h HolderState) int64 {
	d := p.demand(a, h)
	left := prepaid - h.committed()
	for name, g := range a.Grants {
		left -= g.PriorSpent
		if name != h.Instance {
			left -= a.report(name, g).Spent
		}
	}
	if d.called > max(0, prepaid-a.Granted()) {
		// Others refuse requests for want of what lies idle here.
		left -= d.called
	}
	part := float64(max(0, left)) * handedOut * d.share
	return int64(min(d.own*p.horizon.Seconds(), part*part/(part+lump)))
}

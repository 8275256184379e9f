package prepaid

import "time"

// Defaults of a Planner.
const (
	// DefaultHorizon is the time for which an entry holds tokens: the length of the
	// operators' ordinary days, since nothing is lost by holding them.
	DefaultHorizon = 60 * time.Second
	// DefaultSlack is the part of the target by which a grant may be off before it
	// is written anew. It keeps small changes of the demand from costing a call.
	DefaultSlack = 0.2
	// handedOut is the part of what is left that entries hold. The rest is for
	// requests that are larger than the usual.
	handedOut = 0.9
	// windowPart of what is left may be spent at once beyond what was recorded, and
	// usualWindow, which is some requests of the usual size, where that is less. All
	// entries together lose some times as much when they are killed.
	windowPart  = 0.02
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

// WithSlack sets by which part of its target a grant may be off.
func WithSlack(part float64) PlannerOption { return func(p *Planner) { p.slack = part } }

// NewPlanner returns a planner.
func NewPlanner(opts ...PlannerOption) *Planner {
	p := &Planner{horizon: DefaultHorizon, slack: DefaultSlack}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Holder is an entry's own view of its grant.
type Holder struct {
	Instance    string
	Incarnation uint64
	// Sequence is the number of the record to write.
	Sequence int64
	Now      Clock
	// Newest is the latest time of day in the records of all entries.
	Newest int64
	// Spent is what was used, Held what requests under way may still use.
	Spent int64
	Held  int64
	// Demand is the tokens a second that callers asked for.
	Demand float64
	// Wanted is what refused requests lacked.
	Wanted int64
}

// Plan returns the holder's grant as it should be, and whether that is worth a
// write.
func (p *Planner) Plan(a Account, prepaid int64, h Holder) (Grant, bool) {
	old, known := a[h.Instance]
	if known && old.Incarnation != h.Incarnation {
		old, known = old.closed(h.Now, h.Newest), false
		a = a.With(h.Instance, old)
	}
	committed := h.Spent + h.Held
	target := p.target(a, prepaid, h)
	total := old.Total
	switch free, margin := old.Total-committed, int64(float64(target)*p.slack); {
	case free < target-margin || free < h.Wanted:
		total = min(committed+max(target, h.Wanted), old.Total+max(0, prepaid-a.Granted()))
	case free > target+margin:
		total = committed + target
	}
	total = max(total, committed)
	grant := Grant{
		Terms: terms(total, h, a.Unspent(prepaid)), Incarnation: h.Incarnation, Sequence: h.Sequence, Sent: h.Now,
		Spent: h.Spent, Demand: int64(h.Demand), Wanted: max(0, h.Wanted-(total-committed)), Closed: old.Closed,
	}
	return grant, !known || differs(old, grant) || h.Wanted > old.Window
}

// terms bound the spending of a grant.
func terms(total int64, h Holder, unspent int64) Terms {
	left := float64(max(0, unspent))
	return Terms{
		Total: total, Committed: h.Spent + h.Held,
		Window: max(h.Wanted, min(usualWindow, int64(windowPart*left))), Rate: int64(h.Demand * ratePart),
		CutWindow: max(cutWindow, int64(h.Demand*cutDemand.Seconds())), CutRate: int64(h.Demand * cutRatePart),
	}
}

// differs says whether the record tells others something new.
func differs(old, next Grant) bool {
	return old.Total != next.Total || old.Committed != next.Committed || old.Spent != next.Spent ||
		(old.Wanted == 0) != (next.Wanted == 0) || next.Sent.Wall-old.Sent.Wall > renewAfter.Milliseconds()
}

// target is the number of free tokens that the holder should have: enough for
// the horizon while there is plenty, and its share by demand of what is left.
func (p *Planner) target(a Account, prepaid int64, h Holder) int64 {
	others, called := 0.0, int64(0)
	left := prepaid - h.Spent - h.Held
	for name, g := range a {
		left -= g.Closed
		if name != h.Instance {
			others += float64(g.Demand)
			called += g.Wanted
			left -= g.Spent
		}
	}
	target := h.Demand * p.horizon.Seconds()
	share := 1.0
	if all := h.Demand + others; all > 0 {
		share = h.Demand / all
		target = min(target, float64(max(0, left))*handedOut*share)
	}
	if unassigned := prepaid - a.Granted(); called > max(0, unassigned) {
		// Others refuse requests for want of what lies idle here.
		target = min(target, float64(max(0, left-called))*share)
	}
	return int64(target)
}

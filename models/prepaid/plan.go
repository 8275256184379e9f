package prepaid

import "time"

// Defaults of a Planner.
const (
	// DefaultHorizon is the time for which an entry holds tokens: the longest cut
	// from the store on the operators' ordinary days, 9 s, at twice the demand.
	DefaultHorizon = 18 * time.Second
	// DefaultSlack is the part of the target by which a grant may be off before it
	// is written anew. It keeps small changes of the demand from costing a call.
	DefaultSlack = 0.2
)

// Planner decides how large an entry's grant should be. It is made for a load
// that reaches entries unevenly, with cuts from the store that begin without
// notice and workspaces that send several times their usual.
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
	Incarnation string
	// Spent is what was used, Held what requests under way may still use.
	Spent int64
	Held  int64
	// Demand is the tokens a second that callers asked for.
	Demand float64
	// Wanted is what refused requests lacked.
	Wanted int64
}

// Plan returns the account with the holder's grant as it should be, and whether
// that is worth a write.
func (p *Planner) Plan(a Account, prepaid int64, h Holder) (Account, bool) {
	next := a.clone()
	old, known := next.Grants[h.Instance]
	if known && old.Incarnation != h.Incarnation {
		next.Closed += old.Total
		old, known = Grant{}, false
		delete(next.Grants, h.Instance)
	}
	committed := h.Spent + h.Held
	target := p.target(next, prepaid, h)
	total := old.Total
	switch free, margin := old.Total-committed, int64(float64(target)*p.slack); {
	case free < target-margin || free < h.Wanted:
		total = min(committed+max(target, h.Wanted), old.Total+max(0, prepaid-next.Granted()))
	case free > target+margin:
		total = committed + target
	}
	total = max(total, committed)
	next.Grants[h.Instance] = Grant{
		Incarnation: h.Incarnation, Total: total, Spent: h.Spent, Demand: h.Demand, Wanted: missing(h.Wanted, total-committed),
	}
	return next, !known || p.differs(old, next.Grants[h.Instance], target)
}

// missing is the part of what is wanted that free tokens don't cover.
func missing(wanted, free int64) int64 { return max(0, wanted-free) }

// target is the number of free tokens that the holder should have: enough for
// the horizon while there is plenty, and its share by demand of what is left.
func (p *Planner) target(a Account, prepaid int64, h Holder) int64 {
	others, called := 0.0, int64(0)
	for name, g := range a.Grants {
		if name != h.Instance {
			others += g.Demand
			called += g.Wanted
		}
	}
	left := prepaid - a.Closed - h.Spent - h.Held
	for name, g := range a.Grants {
		if name != h.Instance {
			left -= g.Spent
		}
	}
	target := h.Demand * p.horizon.Seconds()
	if all := h.Demand + others; all > 0 {
		target = min(target, float64(max(0, left))*h.Demand/all)
	}
	if unassigned := prepaid - a.Granted(); called > 0 && unassigned < called {
		// Others refuse requests for want of what lies idle here.
		target = min(target, float64(max(0, left-called))*h.Demand/(h.Demand+others+1))
	}
	return int64(target)
}

// differs says whether the record tells others something new.
func (p *Planner) differs(old, next Grant, target int64) bool {
	if old.Total != next.Total || (old.Wanted == 0) != (next.Wanted == 0) {
		return true
	}
	margin := int64(float64(target) * p.slack)
	return next.Spent-old.Spent > margin
}

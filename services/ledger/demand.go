package ledger

import (
	"time"

	"github.com/crocusline/crocusline/models/allowance"
	"github.com/crocusline/crocusline/models/ledger"
	"github.com/crocusline/crocusline/services/stream"
)

// count counts a bill in the demand on its budget.
func (t *tail) count(now time.Time, bill ledger.Bill) {
	d := t.demand[bill.Workspace]
	if d == nil {
		d = &allowance.Demand{}
		t.demand[bill.Workspace] = d
	}
	d.Add(now, t.policy, bill.Tokens, t.neighbour(bill.Hold.Holder))
}

// reserve returns the standing reserve of this process in a budget. The caller
// is inside Stream.View.
func (t *tail) reserve(now time.Time, workspace string, b ledger.Budget) int64 {
	d := t.demand[workspace]
	if d == nil {
		return 0
	}
	instances := 1
	for _, holder := range t.state.Sharers(workspace) {
		if holder != t.holds.holder && t.neighbour(holder) {
			instances++
		}
	}
	return d.Reserve(now, t.policy, b.Free()+b.Outstanding, instances)
}

// demanded returns the workspaces whose budget is drawn on in this process's
// failure domain, and forgets the others.
func (t *tail) demanded() []string {
	var names []string
	t.stream.View(func(st stream.Status) {
		for name, d := range t.demand {
			names = append(names, name)
			if d.Idle(st.Now, t.policy) {
				delete(t.demand, name)
			}
		}
	})
	return names
}

// ownDemand is the demand on a budget as seen without the shard's stream.
type ownDemand struct {
	allowance.Demand
	// settled is what was settled of the budget when it was last looked at.
	settled int64
	known   bool
}

// see counts what all have settled since the last look, and returns the standing
// reserve.
func (d *ownDemand) see(now time.Time, policy allowance.Policy, b ledger.Budget) int64 {
	if d.known && b.Settled > d.settled {
		d.AddTotal(now, policy, b.Settled-d.settled)
	}
	d.settled, d.known = max(d.settled, b.Settled), true
	return d.Reserve(now, policy, b.Free()+b.Outstanding, 1)
}

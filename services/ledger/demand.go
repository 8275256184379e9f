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
	for _, holder := range t.state.WorkspaceHolders(workspace) {
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

// ownDemand is the demand on a budget as seen without the shard's stream: the
// requests of this process, among the bills of all.
type ownDemand struct {
	allowance.Demand
	// requests counts the holds that were cut and not released, less those
	// counted as billed.
	requests int64
	// settled and bills are those of the budget when it was last looked at.
	settled int64
	bills   int64
	known   bool
}

// see counts what was billed since the last look, and returns the standing
// reserve. Own requests count as bills of the mean size.
func (d *ownDemand) see(now time.Time, policy allowance.Policy, b ledger.Budget) int64 {
	settled, bills := b.Settled-d.settled, b.Bills-d.bills
	if d.known && settled > 0 && bills > 0 {
		own := max(0, min(d.requests, bills))
		d.requests -= own
		d.AddTotal(now, policy, settled)
		d.AddLocal(now, policy, settled*own/bills)
	}
	if !d.known || bills > 0 {
		d.settled, d.bills, d.known = b.Settled, b.Bills, true
	}
	return d.Reserve(now, policy, b.Free()+b.Outstanding, 1)
}

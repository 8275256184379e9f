package ledger

import (
	"time"

	"github.com/crocusline/crocusline/models/allowance"
	"github.com/crocusline/crocusline/models/ledger"
	"github.com/crocusline/crocusline/services/stream"
)

// recordDemand adds a bill to the demand on its budget.
func (r *replica) recordDemand(now time.Time, bill ledger.Bill) {
	d := r.demand[bill.Workspace]
	if d == nil {
		d = &allowance.Demand{}
		r.demand[bill.Workspace] = d
	}
	d.Add(now, r.policy, bill.Tokens, r.sameDomain(bill.Hold.Holder))
}

// reserve returns this process's standing reserve for a budget. It must be
// called inside Stream.View.
func (r *replica) reserve(now time.Time, workspace string, b ledger.Budget) int64 {
	d := r.demand[workspace]
	if d == nil {
		return 0
	}
	instances := 1
	for _, holder := range r.state.WorkspaceHolders(workspace) {
		if holder != r.holds.holder && r.sameDomain(holder) {
			instances++
		}
	}
	return d.Reserve(now, r.policy, b.Free()+b.Outstanding, instances)
}

// demandedWorkspaces returns the workspaces with demand in this process's
// failure domain. It includes those whose demand has become idle since the
// last call, and removes them.
func (r *replica) demandedWorkspaces() []string {
	var names []string
	r.stream.View(func(st stream.Status) {
		for name, d := range r.demand {
			names = append(names, name)
			if d.Idle(st.LogTime, r.policy) {
				delete(r.demand, name)
			}
		}
	})
	return names
}

// localDemand estimates the demand on a budget without a replica of the shard:
// from the budget's totals and the number of this process's requests.
type localDemand struct {
	allowance.Demand
	// requests is the number of holds that were taken and not released, less
	// those already attributed to bills.
	requests int64
	// settled and bills are the budget's totals at the last update.
	settled     int64
	bills       int64
	initialized bool
}

// update adds the tokens billed since the last update, and returns the
// standing reserve. Requests of this process are assumed to be billed at the
// mean size.
func (d *localDemand) update(now time.Time, policy allowance.Policy, b ledger.Budget) int64 {
	settled, bills := b.Settled-d.settled, b.Bills-d.bills
	if d.initialized && settled > 0 && bills > 0 {
		ownBills := max(0, min(d.requests, bills))
		d.requests -= ownBills
		d.AddTotal(now, policy, settled)
		d.AddLocal(now, policy, settled*ownBills/bills)
	}
	if !d.initialized || bills > 0 {
		d.settled, d.bills, d.initialized = b.Settled, b.Bills, true
	}
	return d.Reserve(now, policy, b.Free()+b.Outstanding, 1)
}

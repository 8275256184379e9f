package ledger

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/crocusline/crocusline/models/allowance"
	"github.com/crocusline/crocusline/models/ledger"
	"github.com/crocusline/crocusline/services/stream"
)

// replica is this process's copy of a ledger shard's state, built by reading
// the shard's stream.
type replica struct {
	stream *stream.Stream
	// state must only be read inside Stream.View and Stream.Wait.
	state *ledger.State
	holds *holds
	// shortages receives the workspaces whose budget did not cover a grant.
	shortages chan<- string
	// closed is set when the shard's owner has closed this process's holder.
	closed *atomic.Bool
	// policy and sameDomain size the standing reserves by demand. Like state,
	// demand must only be read inside Stream.View and Stream.Wait.
	policy     allowance.Policy
	sameDomain func(incarnation string) bool
	demand     map[string]*allowance.Demand
}

// openReplica starts to read a shard's stream. The writer name is unique for
// each opening, because the log numbers the records of each writer
// consecutively.
func (c *Client) openReplica(sh *shard) *replica {
	sh.openCount++
	writer := fmt.Sprintf("%s+client%d", c.incarnation, sh.openCount)
	rep := &replica{
		state:      ledger.New(),
		holds:      sh.holds,
		shortages:  c.balanceQueue,
		closed:     &sh.closed,
		policy:     c.policy,
		sameDomain: c.sameDomain,
		demand:     map[string]*allowance.Demand{},
	}
	rep.stream = stream.New(ledger.StreamName(sh.number), writer, c.log, rep,
		stream.WithAppendInterval(c.interval),
		stream.WithLimiter(c.limiter),
		stream.WithLogger(c.logger),
		stream.WithCheckpoints(c.schedule, func() bool { return !c.hasOwner(sh.number) }),
	)
	rep.stream.Run(c.ctx)
	return rep
}

// Apply implements stream.StateMachine.
func (r *replica) Apply(at stream.Position, bodies [][]byte) {
	for _, body := range bodies {
		r.state.ApplyBody(at.Time, body, func(entry ledger.Entry, effect ledger.Effect) {
			r.observe(at.Time, entry, effect)
		})
	}
}

// observe updates this process's holds, demand and balancing after an entry
// was applied.
func (r *replica) observe(logTime time.Time, entry ledger.Entry, effect ledger.Effect) {
	countEffect(entry, effect)
	switch e := entry.(type) {
	case ledger.Bill:
		r.holds.settle(e.Hold)
		if effect == ledger.Applied && r.sameDomain != nil {
			r.recordDemand(logTime, e)
		}
	case ledger.CloseHolder:
		if e.Holder == r.holds.holder {
			r.closed.Store(true)
		}
	case ledger.Grant:
		if effect == ledger.Uncovered && !e.Ahead {
			select {
			case r.shortages <- e.Workspace:
			default:
			}
		}
	default:
	}
}

// Snapshot implements stream.StateMachine.
func (r *replica) Snapshot() ([]byte, error) { return r.state.Snapshot() }

// Restore implements stream.StateMachine.
func (r *replica) Restore(data []byte) error {
	if data == nil {
		*r.state = *ledger.New()
		return nil
	}
	if err := r.state.Restore(data); err != nil {
		return err
	}
	if r.state.Closed(r.holds.holder) {
		r.closed.Store(true)
	}
	return nil
}

// view returns a workspace's budget and this process's account in it.
func (r *replica) view(workspace, holder string) (v accountView) {
	r.stream.View(func(st stream.Status) {
		a := r.state.Account(workspace, holder)
		b := r.state.Budget(workspace)
		v = accountView{
			budget:  b,
			reserve: r.reserve(st.LogTime, workspace, b),
			totals:  allowance.AccountTotals{Granted: a.Granted, Returned: a.Returned, Sequence: a.Sequence},
			closed:  r.state.Closed(holder),
			logTime: st.LogTime,
			readAt:  time.Now(),
		}
	})
	return v
}

// accountView is one workspace's budget together with one holder's account in
// it, at one point of the shard's stream.
type accountView struct {
	budget ledger.Budget
	totals allowance.AccountTotals
	// reserve is the holder's standing reserve. It is only set by a replica.
	reserve int64
	// closed is set if the shard's owner has closed the holder.
	closed bool
	// logTime is the log time of the last record applied.
	logTime time.Time
	// readAt is the local time at which the view was read.
	readAt time.Time
}

// short reports whether the budget did not cover a grant within the last
// shortageWindow.
func (v accountView) short() bool {
	if v.budget.Short.IsZero() {
		return false
	}
	return v.logTime.Sub(v.budget.Short)+time.Since(v.readAt) <= shortageWindow
}

// newer returns the view that is further along in the shard's stream.
func (v accountView) newer(other accountView) accountView {
	if other.logTime.After(v.logTime) || other.logTime.Equal(v.logTime) && other.totals.Sequence >= v.totals.Sequence {
		return other
	}
	return v
}

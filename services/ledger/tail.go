package ledger

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/crocusline/crocusline/models/allowance"
	"github.com/crocusline/crocusline/models/ledger"
	"github.com/crocusline/crocusline/services/stream"
)

// tail is one ledger shard as this process folds it.
type tail struct {
	stream *stream.Stream
	// state belongs to the stream: it is read in Stream.View and Stream.Wait.
	state *ledger.State
	holds *holds
	// short takes the workspaces whose budget did not cover a grant.
	short chan<- string
	// closed is set when the shard's owner closed this process's holder.
	closed *atomic.Bool
	// policy and neighbour size the standing reserves by demand, which belongs
	// to the stream as state does.
	policy    allowance.Policy
	neighbour func(incarnation string) bool
	demand    map[string]*allowance.Demand
}

// openTail begins to read a shard's stream. Each opening writes under a name of
// its own, because the records of one writer are numbered through.
func (c *Client) openTail(sh *shard) *tail {
	sh.openings++
	writer := fmt.Sprintf("%s+client%d", c.incarnation, sh.openings)
	t := &tail{
		state:     ledger.New(),
		holds:     sh.holds,
		short:     c.wake,
		closed:    &sh.closed,
		policy:    c.policy,
		neighbour: c.neighbour,
		demand:    map[string]*allowance.Demand{},
	}
	t.stream = stream.New(ledger.StreamName(sh.number), writer, c.log, t,
		stream.WithInterval(c.interval),
		stream.WithLimiter(c.limiter),
		stream.WithLogger(c.logger),
		stream.WithCheckpoints(c.schedule, func() bool { return !c.hasOwner(sh.number) }),
	)
	t.stream.Run(c.ctx)
	return t
}

// Apply implements stream.Fold.
func (t *tail) Apply(at stream.Position, bodies [][]byte) {
	for _, body := range bodies {
		t.state.ApplyBody(at.Time, body, func(entry ledger.Entry, effect ledger.Effect) {
			t.observe(at.Time, entry, effect)
		})
	}
}

func (t *tail) observe(now time.Time, entry ledger.Entry, effect ledger.Effect) {
	countEffect(entry, effect)
	switch e := entry.(type) {
	case ledger.Bill:
		t.holds.settle(e.Hold)
		if effect == ledger.Applied && t.neighbour != nil {
			t.count(now, e)
		}
	case ledger.CloseHolder:
		if e.Holder == t.holds.holder {
			t.closed.Store(true)
		}
	case ledger.Grant:
		if effect == ledger.Uncovered && !e.Ahead {
			select {
			case t.short <- e.Workspace:
			default:
			}
		}
	default:
	}
}

// Snapshot implements stream.Fold.
func (t *tail) Snapshot() ([]byte, error) { return t.state.Snapshot() }

// Restore implements stream.Fold.
func (t *tail) Restore(data []byte) error {
	if data == nil {
		*t.state = *ledger.New()
		return nil
	}
	if err := t.state.Restore(data); err != nil {
		return err
	}
	if t.state.Closed(t.holds.holder) {
		t.closed.Store(true)
	}
	return nil
}

// view returns a workspace's budget and this process's account.
func (t *tail) view(workspace, holder string) (v view) {
	t.stream.View(func(st stream.Status) {
		a := t.state.Account(workspace, holder)
		b := t.state.Budget(workspace)
		v = view{
			budget:  b,
			reserve: t.reserve(st.Now, workspace, b),
			sums:    allowance.AccountTotals{Granted: a.Granted, Returned: a.Returned, Sequence: a.Sequence},
			closed:  t.state.Closed(holder),
			now:     st.Now,
			read:    time.Now(),
		}
	})
	return v
}

// view is one workspace's budget as seen by one holder.
type view struct {
	budget ledger.Budget
	sums   allowance.AccountTotals
	// reserve is the holder's standing reserve, if the stream is read.
	reserve int64
	// closed says that the shard's owner closed the holder.
	closed bool
	// now is the log time of the last record that the view holds.
	now time.Time
	// read is the local time at which the view was current.
	read time.Time
}

// short says whether a grant on the budget was not covered lately.
func (v view) short() bool {
	if v.budget.Short.IsZero() {
		return false
	}
	return v.now.Sub(v.budget.Short)+time.Since(v.read) <= shortWindow
}

// newer returns the view that holds more of the shard's stream.
func (v view) newer(other view) view {
	if other.now.After(v.now) || other.now.Equal(v.now) && other.sums.Sequence >= v.sums.Sequence {
		return other
	}
	return v
}

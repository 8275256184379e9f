package ledger

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/crocusline/crocusline/models/allowance"
	"github.com/crocusline/crocusline/models/ledger"
	"github.com/crocusline/crocusline/services/stream"
)

// shard is one ledger shard as this process folds it.
type shard struct {
	number int
	stream *stream.Stream
	// state belongs to the stream: it is read in Stream.View and Stream.Wait.
	state *ledger.State
	holds *holds
	// short takes the workspaces whose budget did not cover a grant.
	short chan<- string
	// closed says that the shard's owner took this process for dead.
	closed atomic.Bool
	// policy and neighbour size the standing reserves by demand, which belongs
	// to the stream as state does.
	policy    allowance.Policy
	neighbour func(incarnation string) bool
	demand    map[string]*allowance.Demand
}

// Apply implements stream.Fold. A malformed body has no effect anywhere.
func (s *shard) Apply(at stream.Position, bodies [][]byte) {
	for _, body := range bodies {
		entries, err := ledger.Decode(body)
		if err != nil {
			continue
		}
		for _, e := range entries {
			s.observe(at.Time, e, s.state.Apply(at.Time, e))
		}
	}
}

func (s *shard) observe(now time.Time, entry ledger.Entry, effect ledger.Effect) {
	countEffect(entry, effect)
	switch e := entry.(type) {
	case ledger.Bill:
		s.holds.settle(e.Hold)
		if effect == ledger.Applied && s.neighbour != nil {
			s.count(now, e)
		}
	case ledger.CloseHolder:
		if e.Holder == s.holds.holder {
			s.closed.Store(true)
		}
	case ledger.Grant:
		if effect == ledger.Uncovered && !e.Ahead {
			select {
			case s.short <- e.Workspace:
			default:
			}
		}
	default:
	}
}

// count counts a bill in the demand on its budget.
func (s *shard) count(now time.Time, bill ledger.Bill) {
	d := s.demand[bill.Workspace]
	if d == nil {
		d = &allowance.Demand{}
		s.demand[bill.Workspace] = d
	}
	d.Add(now, s.policy, bill.Tokens, s.neighbour(bill.Hold.Holder))
}

// reserve returns the standing reserve of this process in a budget. The caller
// is inside Stream.View.
func (s *shard) reserve(now time.Time, workspace string, b ledger.Budget) int64 {
	d := s.demand[workspace]
	if d == nil {
		return 0
	}
	instances := 1
	for _, holder := range s.state.HoldersOf(workspace) {
		if holder != s.holds.holder && s.neighbour(holder) {
			instances++
		}
	}
	return d.Reserve(now, s.policy, b.Free()+b.Outstanding, instances)
}

// demanded returns the workspaces whose budget is drawn on in this process's
// failure domain, and forgets the others.
func (s *shard) demanded() []string {
	var names []string
	s.stream.View(func(st stream.Status) {
		for name, d := range s.demand {
			names = append(names, name)
			if d.Idle(st.Now, s.policy) {
				delete(s.demand, name)
			}
		}
	})
	return names
}

// Snapshot implements stream.Fold.
func (s *shard) Snapshot() ([]byte, error) { return s.state.Snapshot() }

// Restore implements stream.Fold.
func (s *shard) Restore(data []byte) error {
	if data == nil {
		*s.state = *ledger.New()
		return nil
	}
	if err := s.state.Restore(data); err != nil {
		return err
	}
	if s.state.Closed(s.holds.holder) {
		s.closed.Store(true)
	}
	return nil
}

// view returns a workspace's budget and this process's account.
func (s *shard) view(workspace, holder string) (v view) {
	s.stream.View(func(st stream.Status) { v = s.viewIn(st, workspace, holder) })
	return v
}

// viewIn is view for callers inside Stream.View or Stream.Wait.
func (s *shard) viewIn(st stream.Status, workspace, holder string) view {
	a := s.state.Account(workspace, holder)
	b := s.state.Budget(workspace)
	return view{
		budget:  b,
		reserve: s.reserve(st.Now, workspace, b),
		sums:    allowance.Sums{Granted: a.Granted, Returned: a.Returned, Sequence: a.Sequence},
		closed:  s.state.Closed(holder),
		now:     st.Now,
	}
}

// view is one workspace's budget as seen by one holder.
type view struct {
	budget ledger.Budget
	sums   allowance.Sums
	// reserve is the holder's standing reserve.
	reserve int64
	// closed says that the shard's owner took the holder for dead.
	closed bool
	// now is the log time of the last record.
	now time.Time
}

// holds numbers this process's holds in one shard.
type holds struct {
	holder string
	shard  int

	mu   sync.Mutex
	last uint64
	// unused are numbers of holds that were released.
	unused []uint64
	live   map[uint64]ledger.Hold
}

func newHolds(holder string, shard int) *holds {
	return &holds{holder: holder, shard: shard, live: map[uint64]ledger.Hold{}}
}

func (h *holds) cut(tokens int64) ledger.Hold {
	h.mu.Lock()
	defer h.mu.Unlock()
	hold := ledger.Hold{Holder: h.holder, Shard: h.shard, Tokens: tokens}
	if n := len(h.unused); n > 0 {
		hold.Sequence = h.unused[n-1]
		h.unused = h.unused[:n-1]
	} else {
		h.last++
		hold.Sequence = h.last
	}
	h.live[hold.Sequence] = hold
	return hold
}

// release says whether the hold was live. Its number is used again, so that the
// set of settled numbers stays dense.
func (h *holds) release(hold ledger.Hold) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.live[hold.Sequence] != hold {
		return false
	}
	delete(h.live, hold.Sequence)
	h.unused = append(h.unused, hold.Sequence)
	return true
}

func (h *holds) settle(hold ledger.Hold) {
	if hold.Holder != h.holder {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.live, hold.Sequence)
}

package simulation

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/coordination/fence"
	"github.com/crocusline/crocusline/models/ledger"
	"github.com/crocusline/crocusline/modules/platform/platformtest"
)

// account is a workspace's budget as the checker has it.
type account struct {
	topUps  map[string]int64
	granted map[string]int64
	last    map[string]uint64
	settled int64
}

func (a *account) toppedUp() (sum int64) {
	for _, tokens := range a.topUps {
		sum += tokens
	}
	return sum
}

func (a *account) outstanding() (sum int64) {
	for _, tokens := range a.granted {
		sum += tokens
	}
	return sum
}

// checker folds a shard's stream a second way: plainly, with nothing forgotten.
type checker struct {
	epoch    uint64
	owner    string
	sequence map[string]uint64
	accounts map[string]*account
	settled  map[string]map[uint64]bool
	closed   map[string]time.Time
	// billed sums what requests were charged, by name, and bills how often.
	billed map[string]int64
	bills  map[string]int
	// written counts the bills written off, old the records of old epochs, and
	// malformed the grants of no tokens.
	written, old, malformed int
}

func newChecker() *checker {
	return &checker{
		sequence: map[string]uint64{},
		accounts: map[string]*account{},
		settled:  map[string]map[uint64]bool{},
		closed:   map[string]time.Time{},
		billed:   map[string]int64{},
		bills:    map[string]int{},
	}
}

// accept says whether a record counts.
func (c *checker) accept(r fence.Record) bool {
	if r.Sequence <= c.sequence[r.Writer] {
		return false
	}
	c.sequence[r.Writer] = r.Sequence
	if r.Kind == fence.Claim {
		if r.Epoch != c.epoch+1 {
			c.old++
			return false
		}
		c.epoch, c.owner = r.Epoch, r.Writer
		return true
	}
	if r.Epoch != 0 && (r.Epoch != c.epoch || r.Writer != c.owner) {
		c.old++
		return false
	}
	return true
}

func (c *checker) account(workspace string) *account {
	a := c.accounts[workspace]
	if a == nil {
		a = &account{topUps: map[string]int64{}, granted: map[string]int64{}, last: map[string]uint64{}}
		c.accounts[workspace] = a
	}
	return a
}

func (c *checker) apply(at time.Time, entry ledger.Entry) {
	switch e := entry.(type) {
	case ledger.TopUp:
		a := c.account(e.Workspace)
		if _, found := a.topUps[e.ID]; !found {
			a.topUps[e.ID] = e.Tokens
		}
	case ledger.Grant:
		if e.Tokens <= 0 {
			c.malformed++
			return
		}
		c.move(e.Workspace, e.Holder, e.Sequence, e.Tokens)
	case ledger.Return:
		c.move(e.Workspace, e.Holder, e.Sequence, -e.Tokens)
	case ledger.Bill:
		c.bill(e)
	case ledger.CloseHolder:
		if c.closed[e.Holder].IsZero() {
			c.closed[e.Holder] = at
			for _, a := range c.accounts {
				delete(a.granted, e.Holder)
			}
		}
	default:
	}
}

func (c *checker) move(workspace, holder string, sequence uint64, tokens int64) {
	a := c.account(workspace)
	if !c.closed[holder].IsZero() || sequence <= a.last[holder] {
		return
	}
	a.last[holder] = sequence
	free := a.toppedUp() - a.settled - a.outstanding()
	if tokens > free || a.granted[holder]+tokens < 0 {
		return
	}
	a.granted[holder] += tokens
}

func (c *checker) bill(b ledger.Bill) {
	a, h := c.account(b.Workspace), b.Hold
	if c.settled[h.Holder] == nil {
		c.settled[h.Holder] = map[uint64]bool{}
	}
	if c.settled[h.Holder][h.Sequence] {
		return
	}
	if !c.closed[h.Holder].IsZero() {
		c.settled[h.Holder][h.Sequence] = true
		c.written++
		return
	}
	if a.granted[h.Holder] < h.Tokens {
		return
	}
	c.settled[h.Holder][h.Sequence] = true
	a.granted[h.Holder] -= h.Tokens
	name := nameOf(b.Workspace, b.Key, b.RequestID)
	if b.Tokens == 0 || c.bills[name] > 0 {
		return
	}
	c.bills[name]++
	c.billed[name] += b.Tokens
	a.settled += b.Tokens
}

// check folds a stream with the code under test and with the checker, and
// compares them at each step.
func (c *checker) check(log *platformtest.Log, stream string) (*ledger.State, error) {
	reader, state := fence.New(), ledger.New()
	batch, err := log.Read(context.Background(), stream, 0, 1<<30, 0)
	if err != nil {
		return nil, err
	}
	for _, r := range batch.Records {
		result, err := reader.Apply(r.Offset, r.Time, r.Data)
		if err != nil {
			return nil, err
		}
		if result.Decision == fence.Malformed {
			return nil, errors.Errorf("record %d is malformed", r.Offset)
		}
		accepted := result.Decision == fence.Accepted
		stale := r.Offset > 0 && r.Time.Sub(result.Record.Seen) > fence.DefaultDedupWindow
		if accepted != (!stale && c.accept(result.Record)) {
			return nil, errors.Errorf("record %d is %s, the checker says otherwise", r.Offset, result.Decision)
		}
		if !accepted || result.Record.Kind != fence.Entries {
			continue
		}
		if err := c.step(reader.Now(), state, result.Record.Bodies); err != nil {
			return nil, errors.WithMessagef(err, "record %d", r.Offset)
		}
	}
	return state, nil
}

func (c *checker) step(at time.Time, state *ledger.State, bodies [][]byte) error {
	for _, body := range bodies {
		all, err := ledger.Decode(body)
		if err != nil {
			return err
		}
		for _, e := range all {
			state.Apply(at, e)
			c.apply(at, e)
			if err := c.compare(state); err != nil {
				return errors.WithMessagef(err, "%+v", e)
			}
		}
	}
	return nil
}

func (c *checker) compare(state *ledger.State) error {
	for workspace, a := range c.accounts {
		topped, outstanding := a.toppedUp(), a.outstanding()
		if a.settled+outstanding > topped {
			return errors.Errorf("%s overspent: settled %d, outstanding %d, topped up %d", workspace, a.settled, outstanding, topped)
		}
		b := state.Budget(workspace)
		if b.ToppedUp != topped || b.Settled != a.settled || b.Outstanding != outstanding {
			return errors.Errorf("%s is %+v, the checker has %d, %d, %d", workspace, b, topped, a.settled, outstanding)
		}
	}
	return nil
}

package simulation

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/coordination/fence"
	"github.com/crocusline/crocusline/models/ledger"
	"github.com/crocusline/crocusline/modules/platform/platformtest"
)

// account is the checker's copy of a workspace's budget.
type account struct {
	topUps       map[string]int64
	granted      map[string]int64
	lastSequence map[string]uint64
	settled      int64
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

// checker is an independent reference implementation of a shard's state. It is
// simpler than the ledger's and discards nothing.
type checker struct {
	epoch    uint64
	owner    string
	sequence map[string]uint64
	accounts map[string]*account
	settled  map[string]map[uint64]bool
	closed   map[string]time.Time
	// billed and bills are the tokens and the number of bills, by request name.
	billed map[string]int64
	bills  map[string]int
	// writtenOff counts the bills written off, staleRecords the records of earlier
	// epochs, and emptyGrants the grants of zero tokens.
	writtenOff, staleRecords, emptyGrants int
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

// accept reports whether a record takes effect: it is no duplicate and not of an
// earlier epoch.
func (c *checker) accept(r fence.Record) bool {
	if r.Sequence <= c.sequence[r.Writer] {
		return false
	}
	c.sequence[r.Writer] = r.Sequence
	if r.Kind == fence.Claim {
		if r.Epoch != c.epoch+1 {
			c.staleRecords++
			return false
		}
		c.epoch, c.owner = r.Epoch, r.Writer
		return true
	}
	if r.Epoch != 0 && (r.Epoch != c.epoch || r.Writer != c.owner) {
		c.staleRecords++
		return false
	}
	return true
}

func (c *checker) account(workspace string) *account {
	a := c.accounts[workspace]
	if a == nil {
		a = &account{topUps: map[string]int64{}, granted: map[string]int64{}, lastSequence: map[string]uint64{}}
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
			c.emptyGrants++
			return
		}
		c.applyTransfer(e.Workspace, e.Holder, e.Sequence, e.Tokens)
	case ledger.Return:
		c.applyTransfer(e.Workspace, e.Holder, e.Sequence, -e.Tokens)
	case ledger.Bill:
		c.applyBill(e)
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

// applyTransfer applies a grant, or a return if tokens is negative.
func (c *checker) applyTransfer(workspace, holder string, sequence uint64, tokens int64) {
	a := c.account(workspace)
	if !c.closed[holder].IsZero() || sequence <= a.lastSequence[holder] {
		return
	}
	a.lastSequence[holder] = sequence
	free := a.toppedUp() - a.settled - a.outstanding()
	if tokens > free || a.granted[holder]+tokens < 0 {
		return
	}
	a.granted[holder] += tokens
}

func (c *checker) applyBill(b ledger.Bill) {
	a, h := c.account(b.Workspace), b.Hold
	if c.settled[h.Holder] == nil {
		c.settled[h.Holder] = map[uint64]bool{}
	}
	if c.settled[h.Holder][h.Sequence] {
		return
	}
	if !c.closed[h.Holder].IsZero() {
		c.settled[h.Holder][h.Sequence] = true
		c.writtenOff++
		return
	}
	if a.granted[h.Holder] < h.Tokens {
		return
	}
	c.settled[h.Holder][h.Sequence] = true
	a.granted[h.Holder] -= h.Tokens
	name := requestName(b.Workspace, b.Key, b.RequestID)
	if b.Tokens == 0 || c.bills[name] > 0 {
		return
	}
	c.bills[name]++
	c.billed[name] += b.Tokens
	a.settled += b.Tokens
}

// checkStream replays a stream into the ledger state and into the checker, and
// compares them after each entry.
func (c *checker) checkStream(log *platformtest.Log, stream string) (*ledger.State, error) {
	reader, state := fence.New(), ledger.New()
	batch, err := log.Read(context.Background(), stream, 0, 1<<30, 0)
	if err != nil {
		return nil, err
	}
	for _, record := range batch.Records {
		result, err := reader.Apply(record.Offset, record.Time, record.Data)
		if err != nil {
			return nil, err
		}
		if result.Decision == fence.Malformed {
			return nil, errors.Errorf("record %d is malformed", record.Offset)
		}
		accepted := result.Decision == fence.Accepted
		stale := record.Offset > 0 && record.Time.Sub(result.Record.Seen) > fence.DefaultDedupWindow
		if accepted != (!stale && c.accept(result.Record)) {
			return nil, errors.Errorf("record %d is %s, the checker disagrees", record.Offset, result.Decision)
		}
		if !accepted || result.Record.Kind != fence.Entries {
			continue
		}
		if err := c.applyBodies(reader.Now(), state, result.Record.Bodies); err != nil {
			return nil, errors.WithMessagef(err, "record %d", record.Offset)
		}
	}
	return state, nil
}

func (c *checker) applyBodies(at time.Time, state *ledger.State, bodies [][]byte) error {
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

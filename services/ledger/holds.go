package ledger

import (
	"sync"

	"github.com/crocusline/crocusline/coordination/escrow"
	"github.com/crocusline/crocusline/models/ledger"
)

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

// settleAll forgets the holds whose numbers are settled.
func (h *holds) settleAll(settled escrow.Ranges) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for sequence := range h.live {
		if settled.Contains(sequence) {
			delete(h.live, sequence)
		}
	}
}

func (h *holds) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.live)
}

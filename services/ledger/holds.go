package ledger

import (
	"sync"

	"github.com/crocusline/crocusline/coordination/escrow"
	"github.com/crocusline/crocusline/models/ledger"
)

// holds tracks this process's holds in one shard and assigns their sequence
// numbers.
type holds struct {
	holder string
	shard  int

	mu   sync.Mutex
	last uint64
	// released has the sequence numbers of released holds, which are reused.
	released []uint64
	live     map[uint64]ledger.Hold
}

func newHolds(holder string, shard int) *holds {
	return &holds{holder: holder, shard: shard, live: map[uint64]ledger.Hold{}}
}

// create returns a new hold.
func (h *holds) create(tokens int64) ledger.Hold {
	h.mu.Lock()
	defer h.mu.Unlock()
	hold := ledger.Hold{Holder: h.holder, Shard: h.shard, Tokens: tokens}
	if n := len(h.released); n > 0 {
		hold.Sequence = h.released[n-1]
		h.released = h.released[:n-1]
	} else {
		h.last++
		hold.Sequence = h.last
	}
	h.live[hold.Sequence] = hold
	return hold
}

// release reports whether the hold was live, and removes it. Its sequence
// number is reused, so that the set of settled numbers stays dense.
func (h *holds) release(hold ledger.Hold) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.live[hold.Sequence] != hold {
		return false
	}
	delete(h.live, hold.Sequence)
	h.released = append(h.released, hold.Sequence)
	return true
}

// settle removes a billed hold.
func (h *holds) settle(hold ledger.Hold) {
	if hold.Holder != h.holder {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.live, hold.Sequence)
}

// settleAll removes the holds whose sequence numbers are in settled.
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

package ledger

import "github.com/crocusline/crocusline/coordination/escrow"

// OutstandingByHolder returns the outstanding tokens of a workspace's budget for
// each holder that has any.
func (s *State) OutstandingByHolder(workspace string) map[string]int64 {
	held := map[string]int64{}
	b := s.budgets[workspace]
	if b == nil {
		return held
	}
	for name, a := range b.Escrow.Accounts {
		if a.Outstanding > 0 {
			held[name] = a.Outstanding
		}
	}
	return held
}

// SettledSequences returns the sequence numbers of a holder's billed holds. The
// caller must not modify the result.
func (s *State) SettledSequences(name string) escrow.Ranges {
	if h := s.holders[name]; h != nil {
		return h.Settled
	}
	return nil
}

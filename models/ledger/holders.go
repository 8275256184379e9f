package ledger

import "github.com/crocusline/crocusline/coordination/escrow"

// OutstandingByHolder returns the holders that have tokens of a workspace's budget
// outstanding, with the number of tokens.
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

// SettledSequences returns the sequence numbers of a holder's holds that were billed.
// The caller does not change them.
func (s *State) SettledSequences(name string) escrow.Ranges {
	if h := s.holders[name]; h != nil {
		return h.Settled
	}
	return nil
}

package ledger

import (
	"time"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/coordination/escrow"
	"github.com/crocusline/crocusline/coordination/once"
)

// Budget is a copy of one workspace's budget in the shard's state.
type Budget struct {
	Workspace   string
	ToppedUp    int64
	Settled     int64
	Outstanding int64
	Bills       int64
	// Duplicates is the number of bills that charged nothing because their hold
	// or request was already billed.
	Duplicates int64
	WriteOff   WriteOff
	// Short is the log time of the last grant that the budget did not cover.
	Short time.Time
}

// Free returns the tokens that are neither settled nor outstanding.
func (b Budget) Free() int64 { return b.ToppedUp - b.Settled - b.Outstanding }

// Budget returns the budget of a workspace, or an empty one if there is none.
func (s *State) Budget(workspace string) Budget {
	b := s.budgets[workspace]
	if b == nil {
		return Budget{Workspace: workspace}
	}
	return Budget{
		Workspace:   workspace,
		ToppedUp:    b.Escrow.ToppedUp,
		Settled:     b.Escrow.Settled,
		Outstanding: b.Escrow.Outstanding,
		Bills:       b.Bills,
		Duplicates:  b.Duplicates,
		WriteOff:    b.WriteOff,
		Short:       b.Short,
	}
}

// Account returns a holder's account in a workspace's budget.
func (s *State) Account(workspace, holder string) escrow.Account {
	b := s.budgets[workspace]
	if b == nil {
		return escrow.Account{}
	}
	return b.Escrow.Account(holder)
}

// OpenHolders returns the outstanding tokens in the shard for each holder that is
// not closed. The number may be 0.
func (s *State) OpenHolders() map[string]int64 {
	held := map[string]int64{}
	for name, h := range s.holders {
		if h.ClosedAt.IsZero() {
			held[name] = 0
		}
	}
	for _, b := range s.budgets {
		for name, a := range b.Escrow.Accounts {
			if a.Outstanding > 0 {
				held[name] += a.Outstanding
			}
		}
	}
	return held
}

// WorkspaceHolders returns the holders with an account in a workspace's budget.
// Closed holders have none.
func (s *State) WorkspaceHolders(workspace string) []string {
	b := s.budgets[workspace]
	if b == nil {
		return nil
	}
	var holders []string
	for name := range b.Escrow.Accounts {
		holders = append(holders, name)
	}
	return holders
}

// Closed reports whether a holder was closed within ClosedHolderRetention.
func (s *State) Closed(holder string) bool {
	h := s.holders[holder]
	return h != nil && !h.ClosedAt.IsZero()
}

// Settled reports whether a hold was billed.
func (s *State) Settled(h Hold) bool {
	holder := s.holders[h.Holder]
	return holder != nil && holder.Settled.Contains(h.Sequence)
}

// Attempt returns the latest attempt registered under a caller's key.
func (s *State) Attempt(workspace, key string) (once.Attempt, bool) {
	return s.attempts.Get(attemptKey(workspace, key))
}

// Now returns the log time of the last entry applied.
func (s *State) Now() time.Time { return s.now }

type snapshot struct {
	Budgets  map[string]*budget      `json:"budgets"`
	Holders  map[string]*holder      `json:"holders"`
	Attempts map[string]once.Attempt `json:"attempts"`
	Billed   []billedRequest         `json:"billed"`
	Now      time.Time               `json:"now"`
}

// Snapshot encodes the state as deterministic CBOR.
func (s *State) Snapshot() ([]byte, error) {
	data, err := encoding.Marshal(snapshot{
		Budgets:  s.budgets,
		Holders:  s.holders,
		Attempts: s.attempts.Snapshot(),
		Billed:   s.billed,
		Now:      s.now,
	})
	return data, errors.Wrap(err, "encode ledger state")
}

// Restore replaces the state with one encoded by Snapshot.
func (s *State) Restore(data []byte) error {
	var snap snapshot
	if err := decoding.Unmarshal(data, &snap); err != nil {
		return errors.Wrap(err, "decode ledger state")
	}
	fresh := New()
	for workspace, b := range snap.Budgets {
		if b == nil || b.Escrow == nil {
			return errors.Errorf("budget of %s is empty", workspace)
		}
		b.Escrow.Init()
		fresh.budgets[workspace] = b
	}
	for name, h := range snap.Holders {
		if h != nil {
			fresh.holders[name] = h
		}
	}
	fresh.attempts.Restore(snap.Attempts)
	fresh.billed = snap.Billed
	for _, k := range snap.Billed {
		fresh.isBilled[k.Hash] = true
	}
	fresh.now = snap.Now
	*s = *fresh
	return nil
}

package ledger

import (
	"crypto/sha256"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/coordination/escrow"
	"github.com/crocusline/crocusline/coordination/once"
)

//go:generate stringer -type=Effect -linecomment -output=effect_string.go

// ClosedHolderRetention is how long, in log time, the state retains a closed
// holder. A bill on one of its holds is written off within that time.
const ClosedHolderRetention = 7 * 24 * time.Hour

// Effect is the result of applying an entry.
type Effect int

// Effects of entries. Uncovered is a grant that exceeds the free budget.
// WrittenOff is a bill whose holder is closed. Conflict is a registration
// whose key was used with another digest. Expired is a registration whose key
// may be older than the registry's records. Ignored is an entry that does not
// fit the state, and Malformed one that is invalid in any state.
const (
	Applied    Effect = iota // applied
	Duplicate                // duplicate
	Uncovered                // uncovered
	WrittenOff               // writtenOff
	Ignored                  // ignored
	Conflict                 // conflict
	Malformed                // malformed
	Expired                  // expired
)

// WriteOff totals the bills that were applied after their holder was closed.
type WriteOff struct {
	Bills  int64 `json:"bills"`
	Tokens int64 `json:"tokens"`
}

// budget is a workspace's budget with the totals of its bills.
type budget struct {
	Escrow     *escrow.Budget `json:"escrow"`
	Bills      int64          `json:"bills"`
	Duplicates int64          `json:"duplicates"`
	WriteOff   WriteOff       `json:"writeOff"`
	// Short is the log time of the last grant that the budget did not cover,
	// other than grants ahead of need.
	Short time.Time `json:"short"`
}

// holder is the state of an entry incarnation in the shard.
type holder struct {
	// Settled is the set of sequence numbers of the billed holds.
	Settled escrow.Ranges `json:"settled"`
	// ClosedAt is the log time of the CloseHolder entry, zero if there is none.
	ClosedAt time.Time `json:"closedAt"`
}

// requestHash identifies a billed request in a shard. It is the first half of a
// SHA-256 hash: callers choose their keys, so the hash must be collision-resistant.
type requestHash [sha256.Size / 2]byte

func hashRequest(workspace, identity string) (h requestHash) {
	sum := sha256.Sum256([]byte(attemptKey(workspace, identity)))
	copy(h[:], sum[:])
	return h
}

// billedRequest records that a request was billed. It is encoded as an array,
// without field names, because a checkpoint contains very many.
type billedRequest struct {
	_    struct{} `cbor:",toarray"`
	Hash requestHash
	At   time.Time
}

// State is the state of one shard. It is not safe for concurrent use.
type State struct {
	budgets  map[string]*budget
	holders  map[string]*holder
	attempts *once.Registry
	// billed lists the requests billed within BillKeyRetention by log time.
	billed   []billedRequest
	isBilled map[requestHash]bool
	now      time.Time
}

// New returns the state of an empty stream.
func New() *State {
	return &State{
		budgets:  map[string]*budget{},
		holders:  map[string]*holder{},
		attempts: once.New(),
		isBilled: map[requestHash]bool{},
	}
}

// Apply applies an entry that was appended to the log at the log time now.
func (s *State) Apply(now time.Time, entry Entry) Effect {
	if now.After(s.now) {
		s.now = now.UTC()
	}
	s.evictExpired()
	switch e := entry.(type) {
	case TopUp:
		return escrowEffect(s.budget(e.Workspace).Escrow.TopUp(e.ID, e.Tokens))
	case Grant:
		return s.grant(e)
	case Return:
		return s.returnTokens(e)
	case Bill:
		return s.bill(e)
	case Register:
		return s.register(e)
	case Outcome:
		body := e.Body
		if !e.BodyKept || len(body) > MaxKeptBodyBytes {
			body = nil
		}
		kept := e.BodyKept && len(e.Body) <= MaxKeptBodyBytes
		return onceEffect(s.attempts.Finish(s.now, attemptKey(e.Workspace, e.Key), e.Attempt, body, kept))
	case Void:
		return onceEffect(s.attempts.Void(s.now, attemptKey(e.Workspace, e.Key), e.Attempt))
	case CloseHolder:
		return s.closeHolder(e)
	}
	return Malformed
}

func (s *State) grant(e Grant) Effect {
	if e.Holder == "" {
		return Malformed
	}
	if !s.holder(e.Holder).ClosedAt.IsZero() {
		return Ignored
	}
	b := s.budget(e.Workspace)
	effect := escrowEffect(b.Escrow.Grant(e.Holder, e.Sequence, e.Tokens))
	if effect == Uncovered && !e.Ahead {
		b.Short = s.now
	}
	return effect
}

func (s *State) returnTokens(e Return) Effect {
	b := s.budgets[e.Workspace]
	h := s.holders[e.Holder]
	if b == nil || h == nil || !h.ClosedAt.IsZero() {
		return Ignored
	}
	return escrowEffect(b.Escrow.Return(e.Holder, e.Sequence, e.Tokens))
}

func (s *State) bill(e Bill) Effect {
	if e.Tokens < 0 || e.Hold.Tokens < 0 || e.Hold.Sequence == 0 {
		return Malformed
	}
	b := s.budgets[e.Workspace]
	h := s.holders[e.Hold.Holder]
	if b == nil || h == nil {
		return Ignored
	}
	if h.Settled.Contains(e.Hold.Sequence) {
		b.Duplicates++
		return Duplicate
	}
	if !h.ClosedAt.IsZero() {
		h.Settled.Add(e.Hold.Sequence)
		b.WriteOff.Bills++
		b.WriteOff.Tokens += min(e.Tokens, e.Hold.Tokens)
		return WrittenOff
	}
	request := hashRequest(e.Workspace, e.identity())
	repeated := s.isBilled[request]
	spent := e.Tokens
	if repeated {
		spent = 0
	}
	if err := b.Escrow.Settle(e.Hold.Holder, e.Hold.Tokens, spent); err != nil {
		return escrowEffect(err)
	}
	h.Settled.Add(e.Hold.Sequence)
	return s.recordBill(b, e, request, repeated)
}

// recordBill updates the bill totals after a hold was settled. A bill of 0 tokens
// only releases the hold, and does not mark the request as billed.
func (s *State) recordBill(b *budget, e Bill, request requestHash, repeated bool) Effect {
	if repeated {
		b.Duplicates++
		return Duplicate
	}
	if e.Tokens == 0 {
		return Applied
	}
	b.Bills++
	s.isBilled[request] = true
	s.billed = append(s.billed, billedRequest{Hash: request, At: s.now})
	return Applied
}

func (s *State) register(e Register) Effect {
	return onceEffect(s.attempts.Register(s.now, attemptKey(e.Workspace, e.Key), once.Attempt{
		ID:           e.ID,
		Number:       e.Attempt,
		Digest:       e.Digest,
		KeyCreatedAt: KeyTime(e.Key),
		Requester:    e.Entry,
		Runner:       e.Sidecar,
		Place:        e.Server,
	}))
}

func (s *State) closeHolder(e CloseHolder) Effect {
	if e.Holder == "" {
		return Malformed
	}
	h := s.holder(e.Holder)
	if !h.ClosedAt.IsZero() {
		return Duplicate
	}
	h.ClosedAt = s.now
	for name, other := range s.holders {
		if !other.ClosedAt.IsZero() && s.now.Sub(other.ClosedAt) > ClosedHolderRetention {
			delete(s.holders, name)
		}
	}
	for _, b := range s.budgets {
		b.Escrow.Close(e.Holder)
	}
	return Applied
}

// evictExpired removes the requests that were billed before BillKeyRetention.
func (s *State) evictExpired() {
	n := 0
	for n < len(s.billed) && s.now.Sub(s.billed[n].At) > BillKeyRetention {
		delete(s.isBilled, s.billed[n].Hash)
		n++
	}
	s.billed = s.billed[n:]
}

func (s *State) budget(workspace string) *budget {
	b := s.budgets[workspace]
	if b == nil {
		b = &budget{Escrow: escrow.New()}
		s.budgets[workspace] = b
	}
	return b
}

func (s *State) holder(name string) *holder {
	h := s.holders[name]
	if h == nil {
		h = &holder{}
		s.holders[name] = h
	}
	return h
}

// attemptKey joins a workspace and a caller's key. The separator is unambiguous
// because the names of workspaces contain no NUL.
func attemptKey(workspace, key string) string { return workspace + "\x00" + key }

func onceEffect(e once.Effect) Effect {
	switch e {
	case once.Applied:
		return Applied
	case once.Conflict:
		return Conflict
	case once.Expired:
		return Expired
	default:
		return Ignored
	}
}

func escrowEffect(err error) Effect {
	if err == nil {
		return Applied
	}
	var (
		duplicate *escrow.DuplicateError
		uncovered *escrow.UncoveredError
		invalid   *escrow.InvalidError
	)
	switch {
	case errors.As(err, &duplicate):
		return Duplicate
	case errors.As(err, &uncovered):
		return Uncovered
	case errors.As(err, &invalid):
		return Malformed
	default:
		return Ignored
	}
}

// Check returns an error if a budget violates an invariant.
func (s *State) Check() error {
	for workspace, b := range s.budgets {
		if err := b.Escrow.Check(); err != nil {
			return errors.WithMessagef(err, "budget of %s", workspace)
		}
	}
	return nil
}

// Workspaces returns the sorted names of the workspaces with a budget.
func (s *State) Workspaces() []string {
	names := make([]string, 0, len(s.budgets))
	for name := range s.budgets {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

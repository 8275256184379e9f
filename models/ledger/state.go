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

// ClosedHolderRetention is how long, by the log's clock, the fold remembers that a
// holder was closed. Bills of that holder count as written off within it.
const ClosedHolderRetention = 7 * 24 * time.Hour

// Effect says what an entry did to the state it met.
type Effect int

// The effects.
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

// WriteOff sums the bills that came after their holder was closed.
type WriteOff struct {
	Bills  int64 `json:"bills"`
	Tokens int64 `json:"tokens"`
}

// budget is a workspace's budget and what was billed to it.
type budget struct {
	Escrow     *escrow.Budget `json:"escrow"`
	Bills      int64          `json:"bills"`
	Duplicates int64          `json:"duplicates"`
	WriteOff   WriteOff       `json:"writeOff"`
	// Short is the log time of the last grant that was not covered.
	Short time.Time `json:"short"`
}

// holder is what the shard knows of an entry incarnation.
type holder struct {
	// Settled holds the sequence numbers of the holds that are billed.
	Settled escrow.Ranges `json:"settled"`
	// ClosedAt is the log time of the CloseHolder, zero while the holder lives.
	ClosedAt time.Time `json:"closedAt"`
}

// requestHash names a billed request in a shard: the first half of a SHA-256,
// because callers choose their keys and must find no two with one hash.
type requestHash [sha256.Size / 2]byte

func hashRequest(workspace, identity string) (h requestHash) {
	sum := sha256.Sum256([]byte(attemptKey(workspace, identity)))
	copy(h[:], sum[:])
	return h
}

// billedRequest remembers the bill of a request. A checkpoint holds very many, so
// that they are written without field names.
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
	// billed lists the bills of the window in the order of their log time.
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

// Apply applies an entry that the log took at now.
func (s *State) Apply(now time.Time, entry Entry) Effect {
	if now.After(s.now) {
		s.now = now.UTC()
	}
	s.forget()
	switch e := entry.(type) {
	case TopUp:
		return effectOf(s.budget(e.Workspace).Escrow.TopUp(e.ID, e.Tokens))
	case Grant:
		return s.grant(e)
	case Return:
		return s.giveBack(e)
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
	effect := effectOf(b.Escrow.Grant(e.Holder, e.Sequence, e.Tokens))
	if effect == Uncovered && !e.Ahead {
		b.Short = s.now
	}
	return effect
}

func (s *State) giveBack(e Return) Effect {
	b := s.budgets[e.Workspace]
	h := s.holders[e.Holder]
	if b == nil || h == nil || !h.ClosedAt.IsZero() {
		return Ignored
	}
	return effectOf(b.Escrow.Return(e.Holder, e.Sequence, e.Tokens))
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
		return effectOf(err)
	}
	h.Settled.Add(e.Hold.Sequence)
	return s.count(b, e, request, repeated)
}

// count counts a bill whose hold was settled just now. A bill of no tokens only
// gives the hold back.
func (s *State) count(b *budget, e Bill, request requestHash, repeated bool) Effect {
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
		ID:        e.ID,
		Number:    e.Attempt,
		Digest:    e.Digest,
		Made:      KeyTime(e.Key),
		Requester: e.Entry,
		Runner:    e.Sidecar,
		Place:     e.Server,
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

func (s *State) forget() {
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

// attemptKey joins a workspace and a caller's key. Workspaces hold no NUL.
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

func effectOf(err error) Effect {
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

// Check returns an error if an invariant of a budget does not hold.
func (s *State) Check() error {
	for workspace, b := range s.budgets {
		if err := b.Escrow.Check(); err != nil {
			return errors.WithMessagef(err, "budget of %s", workspace)
		}
	}
	return nil
}

// Workspaces returns the workspaces with a budget, sorted.
func (s *State) Workspaces() []string {
	names := make([]string, 0, len(s.budgets))
	for name := range s.budgets {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

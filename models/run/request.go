// Package run is the pure record of the requests at one sidecar: what is
// queued, running or done, which answers are kept for retries, what was fenced
// and which bills are due. It has no goroutine and no clock of its own.
package run

import (
	"time"

	"github.com/crocusline/crocusline/models/ledger"
	"github.com/crocusline/crocusline/models/rank"
)

// Request is one request as an entry sent it.
type Request struct {
	ID        string
	Workspace string
	Kind      string
	// Key is the caller's idempotency key, empty if none was given.
	Key        string
	Idempotent bool
	Rank       rank.Rank
	// Hold pays for the request. Its holder is the entry that sent it.
	Hold   ledger.Hold
	Prompt string
	Body   []byte
	// MaxTokens bounds the whole answer, Generated included.
	MaxTokens int
	// Price is the flat price of a plain call in tokens. 0 charges the tokens
	// of prompt and answer.
	Price int64
	// Weight is the workspace's weight in the fair share.
	Weight int
	// Share is the part of the queue that the kind may fill. 0 is the default.
	Share    float64
	Deadline time.Time
	// FromToken is the first token wanted.
	FromToken int
	// Generated are the tokens that another server made before it failed.
	Generated []string
	// Incarnation is the sidecar incarnation the request is meant for. Empty
	// takes any.
	Incarnation string
	// Attempt is the number of the registered attempt of non-idempotent work.
	Attempt int64
	// Digest is the digest of kind and content.
	Digest []byte
	// JoinOnly joins a request that is already here and starts nothing.
	JoinOnly bool
}

// RequestRef names a request to inquire about: idempotent work by RequestID alone,
// with a caller's key or without, non-idempotent work by the rest. Idempotent
// work that was sent under another id is found by Workspace and Key, but not
// fenced.
type RequestRef struct {
	RequestID string
	Workspace string
	// Key is the caller's idempotency key.
	Key string
	// Attempt is the registered attempt of non-idempotent work, otherwise 0.
	Attempt int64
}

// identity is what the retries of one request have in common.
type identity struct {
	workspace string
	key       string
	requestID string
}

func (r *Request) identity() identity {
	if r.Key == "" {
		return identity{requestID: r.ID}
	}
	return identity{workspace: r.Workspace, key: r.Key}
}

// attemptID names one registered attempt of a non-idempotent request, or an
// idempotent request by its id alone.
type attemptID struct {
	workspace string
	key       string
	attempt   int64
	requestID string
}

func (r *Request) attemptID() attemptID {
	return attemptID{workspace: r.Workspace, key: r.Key, attempt: r.Attempt}
}

// Result is what a finished request produced.
type Result struct {
	// PromptTokens is the length of the prompt as the server counted it.
	PromptTokens int64
	// OutputTokens counts the tokens of the whole answer, those that another
	// server made included.
	OutputTokens int64
	// Body is the answer of a plain call.
	Body []byte
	// MemoryBytes is the memory that the whole answer takes.
	MemoryBytes int
}

// State says how far a request came.
type State int

//go:generate stringer -type=State -linecomment -output=state_string.go

// The states of a request. The names are those of the peer protocol.
const (
	NotSeen    State = iota // notSeen
	Queued                  // queued
	Running                 // running
	Ran                     // ran
	Fenced                  // fenced
	Unresolved              // unknown
)

// ID numbers the runs of one sidecar from 1.
type ID uint64

// SubscriptionID numbers the relays of one sidecar from 1. A relay is one entry's
// stream of one answer.
type SubscriptionID uint64

// Admission says what became of an accepted request.
type Admission struct {
	Run          ID
	Subscription SubscriptionID
	// New is set when the request has to be queued. Otherwise it joined the
	// run of an earlier one.
	New bool
}

// FinalFrame is what the last frame of an answer says.
type FinalFrame struct {
	RequestID    string
	PromptTokens int64
	OutputTokens int64
	// BilledTokens is the amount that the paying hold is charged.
	BilledTokens int64
	// Hold pays: that of the first call that the last frame was sent to, or of
	// the registered attempt.
	Hold ledger.Hold
	Body []byte
	// Replayed is set when the run had finished before this relay came.
	Replayed bool
}

// Action is something the record asks its owner to do.
type Action interface {
	isAction()
}

// Cancel stops a queued or running request. The run is no longer known.
type Cancel struct {
	Run ID
	// Expired is set when the deadline passed, and not set when no relay came
	// back for the answer.
	Expired bool
	// Started is set when the server had begun the work.
	Started bool
}

// Disconnect ends a relay whose entry was fenced.
type Disconnect struct {
	Subscription SubscriptionID
}

// Charge asks for entries to be posted to the ledger shard.
type Charge struct {
	Run     ID
	Shard   int
	Entries []ledger.Entry
}

// Discard drops a kept answer.
type Discard struct {
	Run ID
}

func (Cancel) isAction()     {}
func (Disconnect) isAction() {}
func (Charge) isAction()     {}
func (Discard) isAction()    {}

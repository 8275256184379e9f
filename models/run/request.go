// Package run tracks the requests of one sidecar: which are queued, running or
// finished, which answers are retained for retries, which requests are fenced and
// which bills are due. It is pure: callers pass the time and carry out the
// returned actions.
//
// A run is one execution of a request, and its answer is what the backend server
// generated or returned. Retries of the request join its run. Each call that is
// admitted opens a subscription, which is one stream of the run's answer to the
// entry instance that made the call.
package run

import (
	"time"

	"github.com/crocusline/crocusline/models/ledger"
	"github.com/crocusline/crocusline/models/rank"
)

// Request is a request as received from an entry.
type Request struct {
	ID        string
	Workspace string
	Kind      string
	// Key is the caller's idempotency key, or empty.
	Key        string
	Idempotent bool
	Rank       rank.Rank
	// Hold is the reservation of tokens that pays for the request. Its holder is
	// the entry that sent the request.
	Hold   ledger.Hold
	Prompt string
	Body   []byte
	// MaxTokens bounds the complete answer, including Generated.
	MaxTokens int
	// Price is the fixed price of a call to a plain service in tokens. If 0, the
	// tokens of prompt and answer are charged.
	Price int64
	// Weight is the workspace's weight in fair scheduling.
	Weight int
	// Share is the fraction of the queue that the kind may occupy. 0 selects the
	// default.
	Share    float64
	Deadline time.Time
	// FromToken is the index of the first token to send.
	FromToken int
	// Generated are the tokens that another server generated before it failed.
	Generated []string
	// Incarnation is the sidecar incarnation that the request is addressed to.
	// Empty matches any.
	Incarnation string
	// Attempt is the number of the registered attempt of non-idempotent work.
	Attempt int64
	// Digest is the digest of kind and content.
	Digest []byte
	// JoinOnly joins an existing run and starts no new one.
	JoinOnly bool
}

// RequestRef refers to a request in an inquiry. Idempotent work is referred to by
// RequestID alone, whether or not it has an idempotency key; non-idempotent work
// by Workspace, Key and Attempt. Workspace and Key without Attempt also find
// idempotent work that was sent under another id, but cannot fence it.
type RequestRef struct {
	RequestID string
	Workspace string
	// Key is the caller's idempotency key.
	Key string
	// Attempt is the registered attempt of non-idempotent work, and 0 for
	// idempotent work.
	Attempt int64
}

// identity is the key shared by all retries of a request.
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

// attemptID identifies a registered attempt of non-idempotent work, or, by
// requestID alone, an idempotent request.
type attemptID struct {
	workspace string
	key       string
	attempt   int64
	requestID string
}

func (r *Request) attemptID() attemptID {
	return attemptID{workspace: r.Workspace, key: r.Key, attempt: r.Attempt}
}

// Result is the result of a finished run.
type Result struct {
	// PromptTokens is the length of the prompt as counted by the server.
	PromptTokens int64
	// OutputTokens counts the tokens of the complete answer, including those that
	// another server generated.
	OutputTokens int64
	// Body is the answer of a plain service.
	Body []byte
	// MemoryBytes is the memory used by the complete answer.
	MemoryBytes int
}

// State is the processing state of a request.
type State int

//go:generate stringer -type=State -linecomment -output=state_string.go

// The states of a request, with their names in the peer protocol.
const (
	// NotSeen means that the sidecar has no record of the request.
	NotSeen State = iota // notSeen
	// Queued means that the request waits for a slot of the server.
	Queued // queued
	// Running means that the server is processing the request.
	Running // running
	// Ran means that the request finished with a complete answer.
	Ran // ran
	// Fenced means that the attempt will not run at this sidecar, or, for an
	// idempotent request, that its hold will not be charged by this sidecar.
	Fenced // fenced
	// Unresolved means that the request failed and may have had an effect.
	Unresolved // unknown
)

// ID numbers the runs of one sidecar from 1.
type ID uint64

// SubscriptionID numbers the subscriptions of one sidecar from 1. A subscription
// is the stream of one answer to one entry.
type SubscriptionID uint64

// Admission is the result of an accepted request.
type Admission struct {
	Run          ID
	Subscription SubscriptionID
	// New is set when the request started a run, which has to be queued. Otherwise
	// it joined the run of an earlier request.
	New bool
}

// FinalFrame is the content of the frame that ends an answer stream.
type FinalFrame struct {
	RequestID    string
	PromptTokens int64
	OutputTokens int64
	// BilledTokens is the amount charged to Hold.
	BilledTokens int64
	// Hold pays for the run: it is the hold of the first call whose final frame
	// was prepared, or of the registered attempt.
	Hold ledger.Hold
	Body []byte
	// Replayed is set when the run had finished before the subscription was
	// opened.
	Replayed bool
}

// Action is an instruction that the owner of the Tracker has to carry out.
type Action interface {
	isAction()
}

// Cancel stops a queued or running run, which the Tracker has removed.
type Cancel struct {
	Run ID
	// Expired is set when the deadline passed. Otherwise the run had no
	// subscription for the grace period.
	Expired bool
	// Started is set when the work was started at the server.
	Started bool
}

// Disconnect ends a subscription whose request or entry was fenced.
type Disconnect struct {
	Subscription SubscriptionID
}

// Charge posts the bill and outcome of a run to a ledger shard.
type Charge struct {
	Run     ID
	Shard   int
	Entries []ledger.Entry
}

// Discard frees a retained answer.
type Discard struct {
	Run ID
}

func (Cancel) isAction()     {}
func (Disconnect) isAction() {}
func (Charge) isAction()     {}
func (Discard) isAction()    {}

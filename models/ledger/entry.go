// Package ledger is the deterministic state machine of a ledger shard:
// budgets, registrations of non-idempotent requests, and bills. The state is
// the result of applying the entries of the shard's log stream in order.
//
// The type Entry is an entry of that stream. An entry instance is something
// else: a process in the role entry, which admits and dispatches requests.
// Each run of a process is a new incarnation.
package ledger

import "time"

// Hold reserves a part of an entry instance's allowance to pay for one request.
type Hold struct {
	// Holder is the incarnation of the entry instance that owns the allowance.
	Holder string `json:"holder"`
	Shard  int    `json:"shard"`
	// Sequence identifies the hold among those of one holder in one shard.
	// Numbers start at 1, and the numbers of released holds are reused.
	Sequence uint64 `json:"sequence"`
	// Tokens is the maximum cost of the request.
	Tokens int64 `json:"tokens"`
}

// Entry is one change of a shard's state. Whether it takes effect depends only
// on the entries before it in the stream, so that all readers get the same
// result.
type Entry interface {
	isEntry()
}

// TopUp adds prepaid tokens to a workspace's budget. A second one with the
// same ID has no effect.
type TopUp struct {
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	Tokens    int64  `json:"tokens"`
}

// Grant moves tokens from the budget to an entry instance's allowance. It has
// no effect if the budget has fewer free tokens.
type Grant struct {
	Workspace string `json:"workspace"`
	Holder    string `json:"holder"`
	// Sequence increases over the holder's grants and returns in one workspace,
	// starting at 1. An entry whose sequence is not above the last one processed
	// has no effect.
	Sequence uint64 `json:"sequence"`
	Tokens   int64  `json:"tokens"`
	// Ahead marks a grant that no request is waiting for. If the budget does
	// not cover it, no tokens are recalled from other holders.
	Ahead bool `json:"ahead,omitempty"`
}

// Return moves unused tokens from an allowance back to the budget.
type Return struct {
	Workspace string `json:"workspace"`
	Holder    string `json:"holder"`
	// Sequence shares one numbering with the holder's grants.
	Sequence uint64 `json:"sequence"`
	Tokens   int64  `json:"tokens"`
}

// Bill settles a hold: Tokens are spent, and the rest of the hold is returned to
// the budget. Only the first bill of a hold takes effect. Of several bills of
// one request within BillKeyRetention only the first is charged. A request is
// identified by the caller's idempotency key, or else by its ID.
type Bill struct {
	RequestID string `json:"requestId"`
	Workspace string `json:"workspace"`
	Kind      string `json:"kind"`
	// Key is the caller's idempotency key, empty if none was given.
	Key  string `json:"key,omitempty"`
	Hold Hold   `json:"hold"`
	// Tokens is the amount charged, at most Hold.Tokens.
	Tokens int64 `json:"tokens"`
	// Witness is the incarnation of the sidecar that ran the request.
	Witness string `json:"witness"`
	Server  string `json:"server"`
}

// identity identifies the request that the bill is for. A request that was
// resumed on another server has one hold for each server, but one identity.
func (b Bill) identity() string {
	if b.Key != "" {
		return "key:" + b.Key
	}
	return "request:" + b.RequestID
}

// Register registers an attempt of a non-idempotent request at one sidecar.
type Register struct {
	// ID is unique for each call that tries to register an attempt.
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	Key       string `json:"key"`
	Digest    []byte `json:"digest"`
	// Attempt is the attempt number that the writer expects, starting at 1. The
	// entry has no effect unless this is the next number and the attempt before
	// it is void.
	Attempt int64 `json:"attempt"`
	// Entry is the only entry incarnation that may dispatch the attempt.
	Entry string `json:"entry"`
	// Sidecar is the only sidecar incarnation that may run the attempt.
	Sidecar string `json:"sidecar"`
	Server  string `json:"server"`
}

// Outcome records that an attempt ran.
type Outcome struct {
	Workspace string `json:"workspace"`
	Key       string `json:"key"`
	Attempt   int64  `json:"attempt"`
	// Body is the response body if it is no longer than MaxKeptBodyBytes.
	Body     []byte `json:"body,omitempty"`
	BodyKept bool   `json:"bodyKept"`
}

// Void records that an attempt is proven not to have run and never to run.
type Void struct {
	Workspace string `json:"workspace"`
	Key       string `json:"key"`
	Attempt   int64  `json:"attempt"`
}

// CloseHolder returns all tokens that an ended entry incarnation still holds.
// Only the shard's owner writes it, after every sidecar has fenced the incarnation
// and settled its holds.
type CloseHolder struct {
	Holder string `json:"holder"`
}

// MaxKeptBodyBytes is the size of the largest response body that an Outcome
// stores.
const MaxKeptBodyBytes = 1024

// BillKeyRetention is how long, in log time, the state retains the identities of
// billed requests. It exceeds the time in which a request is retried.
const BillKeyRetention = 15 * time.Minute

func (TopUp) isEntry()       {}
func (Grant) isEntry()       {}
func (Return) isEntry()      {}
func (Bill) isEntry()        {}
func (Register) isEntry()    {}
func (Outcome) isEntry()     {}
func (Void) isEntry()        {}
func (CloseHolder) isEntry() {}

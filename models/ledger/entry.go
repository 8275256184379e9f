// Package ledger is the pure state of a ledger shard: budgets, registrations
// of non-idempotent requests and bills, folded from the shard's log stream.
package ledger

import "time"

// Hold is the part of an entry instance's allowance that pays for one request.
type Hold struct {
	// Holder is the incarnation of the entry that holds the allowance.
	Holder string `json:"holder"`
	Shard  int    `json:"shard"`
	// Sequence numbers the holds of one holder in one shard, from 1.
	Sequence uint64 `json:"sequence"`
	// Tokens is the most that the request may cost.
	Tokens int64 `json:"tokens"`
}

// Entry is one change of a shard's state. The position in the stream decides
// whether it takes effect; every reader decides alike.
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
// no effect when the budget does not cover it.
type Grant struct {
	Workspace string `json:"workspace"`
	Holder    string `json:"holder"`
	// Sequence numbers the holder's grants and returns in one workspace, from
	// 1. One that is not above the last has no effect.
	Sequence uint64 `json:"sequence"`
	Tokens   int64  `json:"tokens"`
	// Ahead says that no request waits for the tokens. If the budget does not
	// cover them, nobody is asked to give back tokens.
	Ahead bool `json:"ahead,omitempty"`
}

// Return moves unspent tokens from an allowance back to the budget.
type Return struct {
	Workspace string `json:"workspace"`
	Holder    string `json:"holder"`
	// Sequence is numbered together with the holder's grants.
	Sequence uint64 `json:"sequence"`
	Tokens   int64  `json:"tokens"`
}

// Bill settles a hold: Tokens are spent, the rest of the hold goes back to the
// budget. The first bill of a hold counts, and the first bill of a request (by
// the caller's key, or else the request's id) within KeyWindow.
type Bill struct {
	RequestID string `json:"requestId"`
	Workspace string `json:"workspace"`
	Kind      string `json:"kind"`
	// Key is the caller's idempotency key, empty if none was given.
	Key  string `json:"key,omitempty"`
	Hold Hold   `json:"hold"`
	// Tokens is the amount charged. Never above Hold.Tokens.
	Tokens int64 `json:"tokens"`
	// Witness is the incarnation of the sidecar that ran the request.
	Witness string `json:"witness"`
	Server  string `json:"server"`
}

// identity names the request that the bill is for. A request that went on at
// another server has a hold there and here, but one identity.
func (b Bill) identity() string {
	if b.Key != "" {
		return "key:" + b.Key
	}
	return "request:" + b.RequestID
}

// Register registers an attempt of a non-idempotent request at one sidecar.
type Register struct {
	// ID tells the calls that tried to register apart.
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	Key       string `json:"key"`
	Digest    []byte `json:"digest"`
	// Attempt is the number that the writer expects to get, from 1. The entry
	// has no effect unless it is the next free one and the one before is void.
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
	// Body is the answer if it is at most MaxKeptBody bytes.
	Body     []byte `json:"body,omitempty"`
	BodyKept bool   `json:"bodyKept"`
}

// Void records the proof that an attempt did not and will not run.
type Void struct {
	Workspace string `json:"workspace"`
	Key       string `json:"key"`
	Attempt   int64  `json:"attempt"`
}

// CloseHolder returns all that an ended entry incarnation still holds. Only the
// shard's owner writes it, once every sidecar has fenced the incarnation and
// settled its holds.
type CloseHolder struct {
	Holder string `json:"holder"`
}

// MaxKeptBodyBytes is the largest answer, in bytes, that an Outcome keeps.
const MaxKeptBodyBytes = 1024

// BillKeyRetention is how long, by the log's clock, the fold remembers the keys of
// bills. Retries of one request come within it.
const BillKeyRetention = 15 * time.Minute

func (TopUp) isEntry()       {}
func (Grant) isEntry()       {}
func (Return) isEntry()      {}
func (Bill) isEntry()        {}
func (Register) isEntry()    {}
func (Outcome) isEntry()     {}
func (Void) isEntry()        {}
func (CloseHolder) isEntry() {}

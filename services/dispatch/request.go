package dispatch

import (
	"time"

	"github.com/crocusline/crocusline/models/ledger"
	"github.com/crocusline/crocusline/models/refusal"
)

// Request is one caller's request, as received.
type Request struct {
	// ID names the request in logs and bills. It is unique; an empty one is
	// replaced.
	ID             string
	Workspace      string
	Kind           string
	IdempotencyKey string
	// Retry says that the caller sent the request before.
	Retry bool
	// Prompt is the input of model work.
	Prompt string
	// Body is the input of a plain call.
	Body []byte
	// MaxTokens bounds the answer. 0 takes the route's limit.
	MaxTokens int
	// Timeout is the caller's time limit. 0 takes the route's limit.
	Timeout time.Duration
	// FromToken is the first token that the caller wants.
	FromToken int64
}

// UnknownIfRetry returns the refusal of a call of non-idempotent work that learned
// nothing of its key. The call started nothing, but if it is a retry, an earlier
// one may have run the request.
func (r Request) UnknownIfRetry(err error) error {
	e, ok := refusal.As(err)
	if !ok || !r.Retry {
		return err
	}
	unknown := *e
	unknown.Outcome = refusal.Unknown
	return &unknown
}

// Usage counts what a request consumed, in tokens.
type Usage struct {
	PromptTokens int64
	OutputTokens int64
	BilledTokens int64
}

// Response ends a whole answer.
type Response struct {
	RequestID string
	Server    string
	// Body is the answer of a plain call.
	Body []byte
	// Tokens is the number of tokens in the whole answer.
	Tokens int64
	Usage  Usage
	// Replayed says that an earlier request with the same key was answered.
	Replayed bool
	// Receipt is what is needed to settle the request once the caller has the
	// answer. It is nil when nothing is left to settle.
	Receipt *Receipt
}

// Receipt is the entry's copy of a bill. It is kept until the bill is in the
// shard's stream, so that losing the sidecar loses no bill.
type Receipt struct {
	// Sidecar is the incarnation that ran the request.
	Sidecar string
	Server  string
	Bill    ledger.Bill
}

// Sink takes the answer as it arrives.
type Sink interface {
	// Accepted is called when a server has the request. Tokens follow from
	// firstToken on; it is called again when the answer starts anew.
	Accepted(requestID, server string, firstToken int64) error
	// Tokens takes consecutive tokens of the answer.
	Tokens(first int64, tokens []string) error
}

package dispatch

import (
	"time"

	"github.com/crocusline/crocusline/models/ledger"
	"github.com/crocusline/crocusline/models/refusal"
)

// Request is a caller's request.
type Request struct {
	// ID identifies the request in logs and bills. It is unique; Dispatch
	// generates one if it is empty.
	ID             string
	Workspace      string
	Kind           string
	IdempotencyKey string
	// Retry is set if the caller has sent the request before.
	Retry bool
	// Prompt is the input of model work.
	Prompt string
	// Body is the input of plain work.
	Body []byte
	// MaxTokens bounds the output. 0 means the route's limit.
	MaxTokens int
	// Timeout is the caller's time limit. 0 means the route's limit.
	Timeout time.Duration
	// FromToken is the index of the first token to send to the caller.
	FromToken int64
}

// UnknownIfRetry returns err with the outcome unknown if the request is a retry. It
// is for calls of non-idempotent work that fail before the key was looked up: this
// call started nothing, but an earlier one may have run the request.
func (r Request) UnknownIfRetry(err error) error {
	e, ok := refusal.As(err)
	if !ok || !r.Retry {
		return err
	}
	unknown := *e
	unknown.Outcome = refusal.Unknown
	return &unknown
}

// Usage is the number of tokens that a request consumed.
type Usage struct {
	PromptTokens int64
	OutputTokens int64
	BilledTokens int64
}

// Response summarizes a complete response, whose tokens were sent to the Sink.
type Response struct {
	RequestID string
	Server    string
	// Body is the output of plain work.
	Body []byte
	// Tokens is the number of tokens of the whole response.
	Tokens int64
	Usage  Usage
	// Replayed is set if the response is that of an earlier request with the same
	// key.
	Replayed bool
	// Receipt settles the request once the caller has received the response. It is
	// nil if there is nothing to settle.
	Receipt *Receipt
}

// Receipt is the copy of a bill at the entry instance that dispatched the request. It
// is kept until the bill is in the shard's stream, so that the bill is not lost if the
// sidecar fails.
type Receipt struct {
	// Sidecar is the incarnation that ran the request.
	Sidecar string
	Server  string
	Bill    ledger.Bill
}

// Sink receives the response as it is generated.
type Sink interface {
	// Accepted is called once a server has accepted the request. The tokens that
	// follow start at the index firstToken.
	Accepted(requestID, server string, firstToken int64) error
	// Tokens receives consecutive tokens, the first of which has the index first.
	Tokens(first int64, tokens []string) error
}

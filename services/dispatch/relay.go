package dispatch

import (
	"fmt"

	"github.com/crocusline/crocusline/services/memory"
)

// SequenceError is returned if a sidecar's stream has a gap, or ends with another
// number of tokens than it announces.
type SequenceError struct {
	// Want is the index of the next token, or the number of tokens announced.
	Want int64
	// Got is the index of the chunk's first token, or the number of tokens received.
	Got int64
}

// Error implements error.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("response out of sequence: want token %d, got %d", e.Want, e.Got)
}

// SinkError is returned if the caller disconnected or its stream failed.
type SinkError struct {
	Cause error
}

// Error implements error.
func (e *SinkError) Error() string {
	return "caller's stream: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *SinkError) Unwrap() error {
	return e.Cause
}

// relay forwards one response to the caller, each token once and in order, even
// if several servers generate parts of it.
type relay struct {
	sink Sink
	// firstWanted is the index of the first token to forward.
	firstWanted int64
	// received is the number of the response's tokens so far. tokens are these, from index 0, until there is no memory for
	// them any more (dropped), and retained is what is reserved for them.
	received int64
	tokens   []string
	dropped  bool
	retained int
	// response is the memory of the response, nil without a limit.
	response *memory.Response
	// accepted is set once Sink.Accepted was called.
	accepted bool
}

// announce notifies the caller that a server accepted the request.
func (r *relay) announce(requestID, server string) error {
	if r.accepted {
		return nil
	}
	r.accepted = true
	if err := r.sink.Accepted(requestID, server, r.firstWanted); err != nil {
		return &SinkError{Cause: err}
	}
	return nil
}

// add appends a chunk whose first token has the given index and forwards it.
// Tokens that were received before are dropped.
func (r *relay) add(first int64, chunk []string) error {
	next := r.received
	if first > next {
		return &SequenceError{Want: next, Got: first}
	}
	duplicates := next - first
	if duplicates >= int64(len(chunk)) {
		return nil
	}
	fresh := chunk[duplicates:]
	r.received += int64(len(fresh))
	r.retain(fresh)
	return r.forward(next, fresh)
}

// tokenBytes is what a token takes beside its text.
const tokenBytes = 32

// retain keeps tokens for the case that another server has to go on with the response. Without memory for them, a failure of
// the server ends the response, but nothing else does.
func (r *relay) retain(tokens []string) {
	if r.dropped {
		return
	}
	size := tokenBytes * len(tokens)
	for _, token := range tokens {
		size += len(token)
	}
	if r.response.Grow(size) {
		r.tokens = append(r.tokens, tokens...)
		r.retained += size
		return
	}
	r.response.Shrink(r.retained)
	r.tokens, r.retained, r.dropped = nil, 0, true
}

// forward sends the tokens to the caller, without those before firstWanted.
func (r *relay) forward(first int64, tokens []string) error {
	skip := r.firstWanted - first
	if skip >= int64(len(tokens)) {
		return nil
	}
	if skip > 0 {
		first += skip
		tokens = tokens[skip:]
	}
	if err := r.sink.Tokens(first, tokens); err != nil {
		return &SinkError{Cause: err}
	}
	return nil
}

// checkComplete checks that all of the response's tokens were received.
func (r *relay) checkComplete(total int64) error {
	if total != r.received {
		return &SequenceError{Want: total, Got: r.received}
	}
	return nil
}

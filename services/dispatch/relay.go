package dispatch

import (
	"fmt"
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
	// tokens are the response's tokens so far, from index 0.
	tokens []string
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
	next := int64(len(r.tokens))
	if first > next {
		return &SequenceError{Want: next, Got: first}
	}
	duplicates := next - first
	if duplicates >= int64(len(chunk)) {
		return nil
	}
	fresh := chunk[duplicates:]
	r.tokens = append(r.tokens, fresh...)
	return r.forward(next, fresh)
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
	if total != int64(len(r.tokens)) {
		return &SequenceError{Want: total, Got: int64(len(r.tokens))}
	}
	return nil
}

package dispatch

import (
	"fmt"
)

// SequenceError says that a sidecar's stream does not continue the answer.
type SequenceError struct {
	// Want is the token that was due.
	Want int64
	// Got is the first token of the chunk, or the length claimed at the end.
	Got int64
}

// Error implements error.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("answer out of order: want token %d, got %d", e.Want, e.Got)
}

// SinkError says that the caller's stream failed.
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

// relay passes one answer on to the caller, each token once and in order,
// whatever number of servers generated it.
type relay struct {
	sink Sink
	// from is the first token that the caller wants.
	from int64
	// tokens is the answer so far, from token 0.
	tokens []string
	// accepted says that the caller was told of a server.
	accepted bool
}

// start tells the caller that a server has the request.
func (r *relay) start(requestID, server string) error {
	if r.accepted {
		return nil
	}
	r.accepted = true
	if err := r.sink.Accepted(requestID, server, r.from); err != nil {
		return &SinkError{Cause: err}
	}
	return nil
}

// add takes a chunk whose first token has the given position. Tokens that are
// known already are dropped.
func (r *relay) add(first int64, chunk []string) error {
	next := int64(len(r.tokens))
	if first > next {
		return &SequenceError{Want: next, Got: first}
	}
	known := next - first
	if known >= int64(len(chunk)) {
		return nil
	}
	fresh := chunk[known:]
	r.tokens = append(r.tokens, fresh...)
	return r.forward(next, fresh)
}

// forward hands the caller the tokens it asked for.
func (r *relay) forward(first int64, tokens []string) error {
	skip := r.from - first
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

// finish checks that the answer is whole.
func (r *relay) finish(total int64) error {
	if total != int64(len(r.tokens)) {
		return &SequenceError{Want: total, Got: int64(len(r.tokens))}
	}
	return nil
}

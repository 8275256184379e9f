// Package refusal describes why a request ended without a whole answer: the
// reason, whether the request may have run, and when to come back.
package refusal

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Error ends a request without a whole answer.
type Error struct {
	Reason  Reason
	Outcome Outcome
	// RetryAfter is when a retry is worth making. 0 means that a retry of the
	// same request cannot help.
	RetryAfter time.Duration
	// Advice is one sentence that says what to do.
	Advice string
}

// New returns a refusal of a request that did not run.
func New(reason Reason, retryAfter time.Duration, advice string) *Error {
	return &Error{Reason: reason, Outcome: NotRun, RetryAfter: retryAfter, Advice: advice}
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Reason, e.Outcome, e.Advice)
}

// As returns the refusal in err's chain, if there is one.
func As(err error) (*Error, bool) {
	var e *Error
	ok := errors.As(err, &e)
	return e, ok
}

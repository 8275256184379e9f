// Package refusal describes why a request ended without a complete response: the
// reason, whether the request may have run, and when to retry.
package refusal

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Error reports that a request ended without a complete response.
type Error struct {
	Reason  Reason
	Outcome Outcome
	// RetryAfter is the time after which a retry may succeed. 0 means that a retry
	// of the same request cannot succeed.
	RetryAfter time.Duration
	// Advice is one sentence that describes what the caller should do.
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

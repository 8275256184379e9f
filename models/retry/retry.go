// Package retry decides whether and when a failed attempt is retried. Retries are
// deducted from a budget that successful requests fill, so that they remain a small
// share of the traffic when all servers fail. A retry is free if the server was
// draining or lost, since that happens to a request at most once per server.
package retry

import (
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/crocusline/crocusline/models/refusal"
)

// Defaults of the options.
const (
	DefaultRetryRatio      = 0.08
	DefaultBurst           = 10.0
	DefaultMaxAttempts     = 3
	DefaultInitialInterval = 50 * time.Millisecond
	DefaultMaxInterval     = 2 * time.Second
)

// Option configures a Budget.
type Option func(*Budget)

// WithRetryRatio sets the number of retries that each successful request adds to
// the budget.
func WithRetryRatio(ratio float64) Option { return func(b *Budget) { b.retryRatio = ratio } }

// WithBurst sets the maximum number of retries that the budget holds.
func WithBurst(n float64) Option { return func(b *Budget) { b.burst = n } }

// WithMaxAttempts sets the maximum number of attempts of a request, including the
// first.
func WithMaxAttempts(n int) Option { return func(b *Budget) { b.maxAttempts = n } }

// WithBackoff sets the initial and the maximum delay before a retry.
func WithBackoff(initial, maximum time.Duration) Option {
	return func(b *Budget) { b.initialInterval, b.maxInterval = initial, maximum }
}

// WithRand sets the random source of the jitter.
func WithRand(r *rand.Rand) Option { return func(b *Budget) { b.rand = r } }

// WithoutBudget permits retries without a budget. It is a baseline for
// measurements.
func WithoutBudget() Option { return func(b *Budget) { b.unlimited = true } }

// Budget decides on the retries of one entry instance.
type Budget struct {
	retryRatio      float64
	burst           float64
	maxAttempts     int
	initialInterval time.Duration
	maxInterval     time.Duration
	rand            *rand.Rand
	unlimited       bool
	balance         float64
}

// New returns a full budget.
func New(opts ...Option) *Budget {
	b := &Budget{
		retryRatio:      DefaultRetryRatio,
		burst:           DefaultBurst,
		maxAttempts:     DefaultMaxAttempts,
		initialInterval: DefaultInitialInterval,
		maxInterval:     DefaultMaxInterval,
		rand:            rand.New(rand.NewPCG(0, 0)),
	}
	for _, opt := range opts {
		opt(b)
	}
	b.balance = b.burst
	return b
}

// Attempt describes a failed attempt.
type Attempt struct {
	Idempotent bool
	// Dispatched reports whether a server may have received the request.
	Dispatched bool
	// ServerLost reports whether the server has become unavailable and is no longer
	// selected, so that the retry cannot add to its load.
	ServerLost bool
	// Err is the error of the attempt.
	Err *refusal.Error
	// Attempts is the number of attempts so far, including this one.
	Attempts int
	// TimeLeft is the time until the request's deadline.
	TimeLeft time.Duration
}

// Decision is the decision on a retry.
type Decision struct {
	Retry bool
	// Delay is the delay before the retry.
	Delay time.Duration
	// Err is the error for the caller if there is no retry.
	Err *refusal.Error
}

// RecordSuccess records that a request was answered, which adds to the budget.
func (b *Budget) RecordSuccess() { b.balance = min(b.balance+b.retryRatio, b.burst) }

// Decide decides whether to retry after a failed attempt, and deducts the retry
// from the budget.
func (b *Budget) Decide(a Attempt) Decision {
	if !b.safeToRetry(a) || !retryable(a.Err.Reason) || a.Attempts >= b.maxAttempts {
		return Decision{Err: a.Err}
	}
	delay := b.delay(a)
	if delay >= a.TimeLeft {
		return Decision{Err: a.Err}
	}
	if isFree(a.Err.Reason) || a.ServerLost || b.unlimited {
		return Decision{Retry: true, Delay: delay}
	}
	if b.balance < 1 {
		return Decision{Err: &refusal.Error{
			Reason:     refusal.RetryBudget,
			Outcome:    a.Err.Outcome,
			RetryAfter: max(a.Err.RetryAfter, b.maxInterval),
			Advice:     "too many requests fail now: come back after the given time",
		}}
	}
	b.balance--
	return Decision{Retry: true, Delay: delay}
}

// safeToRetry reports whether a second execution cannot repeat a side effect.
func (b *Budget) safeToRetry(a Attempt) bool {
	return a.Idempotent || !a.Dispatched || a.Err.Outcome == refusal.NotRun
}

// delay returns the delay before the retry: an exponential backoff with jitter, or
// 0 if another server can accept the request immediately.
func (b *Budget) delay(a Attempt) time.Duration {
	if isFree(a.Err.Reason) {
		return 0
	}
	policy := backoff.ExponentialBackOff{
		InitialInterval: b.initialInterval, Multiplier: backoff.DefaultMultiplier, MaxInterval: b.maxInterval,
	}
	policy.Reset()
	var d time.Duration
	for range a.Attempts {
		d = policy.NextBackOff()
	}
	return d/2 + time.Duration(b.rand.Int64N(int64(d/2)+1))
}

// isFree reports whether a refusal costs the server nothing and does not indicate
// its load, so that a retry on another server needs no budget.
func isFree(r refusal.Reason) bool {
	return r == refusal.Draining || r == refusal.WrongIncarnation || r == refusal.ShuttingDown
}

// retryable reports whether another server may respond differently.
func retryable(r refusal.Reason) bool {
	switch r {
	case refusal.Draining, refusal.WrongIncarnation, refusal.ShuttingDown, refusal.ServerFailed,
		refusal.QueueFull, refusal.DeadlineUnreachable, refusal.ShareExceeded, refusal.NotReady,
		refusal.OutcomeUnknown:
		return true
	default:
		return false
	}
}

// Package retry decides whether a failed attempt is tried again, and when.
// Retries are paid from a budget that successful requests fill, so that they
// stay a small share of the traffic while a whole fleet fails. Leaving a server
// that is draining or lost is free: each request meets that once a server.
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

// Option changes a Budget at construction.
type Option func(*Budget)

// WithRetryRatio sets the retries earned by each successful request.
func WithRetryRatio(share float64) Option { return func(b *Budget) { b.share = share } }

// WithBurst sets the most retries that can be saved up.
func WithBurst(n float64) Option { return func(b *Budget) { b.burst = n } }

// WithMaxAttempts sets how often a request is tried in all.
func WithMaxAttempts(n int) Option { return func(b *Budget) { b.tries = n } }

// WithBackoff sets the first and the longest pause before a retry.
func WithBackoff(first, most time.Duration) Option {
	return func(b *Budget) { b.interval, b.most = first, most }
}

// WithRand sets the random source of the pauses.
func WithRand(r *rand.Rand) Option { return func(b *Budget) { b.rand = r } }

// WithoutBudget turns the budget off. It is a baseline for measurements.
func WithoutBudget() Option { return func(b *Budget) { b.unlimited = true } }

// Budget decides about the retries of one entry.
type Budget struct {
	share     float64
	burst     float64
	tries     int
	interval  time.Duration
	most      time.Duration
	rand      *rand.Rand
	unlimited bool
	saved     float64
}

// New returns a full budget.
func New(opts ...Option) *Budget {
	b := &Budget{
		share:    DefaultRetryRatio,
		burst:    DefaultBurst,
		tries:    DefaultMaxAttempts,
		interval: DefaultInitialInterval,
		most:     DefaultMaxInterval,
		rand:     rand.New(rand.NewPCG(0, 0)),
	}
	for _, opt := range opts {
		opt(b)
	}
	b.saved = b.burst
	return b
}

// Attempt is an attempt that failed.
type Attempt struct {
	Idempotent bool
	// Dispatched says that a server may have received the request.
	Dispatched bool
	// ServerLost says that the server went away and is left alone from now on, so that
	// the retry cannot add to its load.
	ServerLost bool
	// Err is what is known of the attempt.
	Err *refusal.Error
	// Attempts counts the attempts so far, this one included.
	Attempts int
	// TimeLeft is the time until the request's deadline.
	TimeLeft time.Duration
}

// Decision says whether to try again.
type Decision struct {
	Retry bool
	// Delay is the pause before the retry.
	Delay time.Duration
	// Err is what the caller is told when there is no retry.
	Err *refusal.Error
}

// RecordSuccess says that a request was answered.
func (b *Budget) RecordSuccess() { b.saved = min(b.saved+b.share, b.burst) }

// Decide says whether to try again after a failed attempt, and takes the retry
// from the budget.
func (b *Budget) Decide(a Attempt) Decision {
	if !b.safe(a) || !worthwhile(a.Err.Reason) || a.Attempts >= b.tries {
		return Decision{Err: a.Err}
	}
	after := b.pause(a)
	if after >= a.TimeLeft {
		return Decision{Err: a.Err}
	}
	if free(a.Err.Reason) || a.ServerLost || b.unlimited {
		return Decision{Retry: true, Delay: after}
	}
	if b.saved < 1 {
		return Decision{Err: &refusal.Error{
			Reason:     refusal.RetryBudget,
			Outcome:    a.Err.Outcome,
			RetryAfter: max(a.Err.RetryAfter, b.most),
			Advice:     "too many requests fail now: come back after the given time",
		}}
	}
	b.saved--
	return Decision{Retry: true, Delay: after}
}

// safe says whether a second run cannot repeat an effect.
func (b *Budget) safe(a Attempt) bool {
	return a.Idempotent || !a.Dispatched || a.Err.Outcome == refusal.NotRun
}

// pause is the time before the retry. What another server can take at once does
// not wait.
func (b *Budget) pause(a Attempt) time.Duration {
	if free(a.Err.Reason) {
		return 0
	}
	policy := backoff.ExponentialBackOff{
		InitialInterval: b.interval, Multiplier: backoff.DefaultMultiplier, MaxInterval: b.most,
	}
	policy.Reset()
	var d time.Duration
	for range a.Attempts {
		d = policy.NextBackOff()
	}
	return d/2 + time.Duration(b.rand.Int64N(int64(d/2)+1))
}

// free says whether a refusal costs the server nothing and says nothing about
// its load, so that moving on needs no budget.
func free(r refusal.Reason) bool {
	return r == refusal.Draining || r == refusal.WrongIncarnation || r == refusal.ShuttingDown
}

// worthwhile says whether another server may answer differently.
func worthwhile(r refusal.Reason) bool {
	switch r {
	case refusal.Draining, refusal.WrongIncarnation, refusal.ShuttingDown, refusal.ServerFailed,
		refusal.QueueFull, refusal.DeadlineUnreachable, refusal.ShareExceeded, refusal.NotReady,
		refusal.OutcomeUnknown:
		return true
	default:
		return false
	}
}

package queue

import (
	"time"

	"github.com/crocusline/crocusline/models/rank"
)

// Defaults of the options.
const (
	DefaultSlots           = 16
	DefaultQueueLength     = 256
	DefaultKindShare       = 0.5
	DefaultTimePerToken    = 20 * time.Millisecond
	DefaultUrgentWaitLimit = 800 * time.Millisecond
	// MaxRetryAfter bounds the retry times given to refused callers.
	MaxRetryAfter = 15 * time.Minute
)

// Option configures a Queue.
type Option func(*Queue)

// WithSlots sets the number of requests that run concurrently.
func WithSlots(n int) Option { return func(q *Queue) { q.slots = n } }

// WithQueueLength sets the number of requests of one rank that may wait.
func WithQueueLength(n int) Option { return func(q *Queue) { q.queueLength = n } }

// WithFloor sets the share of the service that is guaranteed to a rank while it has
// waiting requests, regardless of the requests of higher ranks.
func WithFloor(r rank.Rank, share float64) Option {
	return func(q *Queue) { q.ranks[r].floor = share }
}

// WithWaitLimit sets the maximum time that a request of a rank may wait for its
// start.
func WithWaitLimit(r rank.Rank, d time.Duration) Option {
	return func(q *Queue) { q.ranks[r].waitLimit = d }
}

// WithKindShare sets the share of a rank's queue and of its permitted wait that one
// kind of request may use.
func WithKindShare(kind string, share float64) Option {
	return func(q *Queue) { q.kindShares[kind] = share }
}

// WithDefaultKindShare sets the share of the kinds without a share set by
// WithKindShare.
func WithDefaultKindShare(share float64) Option {
	return func(q *Queue) { q.kindShare = share }
}

// WithTimePerToken sets the run time per token that is assumed for a kind of
// request until its first request has finished.
func WithTimePerToken(d time.Duration) Option { return func(q *Queue) { q.timePerToken = d } }

// WithPreemption sets the lowest rank whose requests may preempt running requests
// of lower ranks.
func WithPreemption(lowest rank.Rank) Option { return func(q *Queue) { q.lowestPreempting = lowest } }

// WithoutPreemption disables preemption by higher ranks.
func WithoutPreemption() Option { return func(q *Queue) { q.lowestPreempting = -1 } }

// WithoutFairPreemption lets a workspace keep slots beyond its fair share while
// other workspaces of its rank wait.
func WithoutFairPreemption() Option { return func(q *Queue) { q.fairPreemption = false } }

// WithOrder selects the scheduling order.
func WithOrder(o Order) Option { return func(q *Queue) { q.order = o } }

// WithoutPrediction accepts requests regardless of their predicted wait, up to the
// queue length. It is a baseline for measurements.
func WithoutPrediction() Option { return func(q *Queue) { q.predict = false } }

//go:generate stringer -type=Order -linecomment -output=order_string.go

// Order is the scheduling order.
type Order int

// The scheduling orders. All but Fair are baselines for measurements.
const (
	Fair    Order = iota // fair
	Ranked               // ranked
	Arrival              // arrival
)

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
	MaxRetryAfter          = 15 * time.Minute
)

// Option changes a Queue at construction.
type Option func(*Queue)

// WithSlots sets how many requests run at once.
func WithSlots(n int) Option { return func(q *Queue) { q.slots = n } }

// WithQueueLength sets how many requests of one rank may wait.
func WithQueueLength(n int) Option { return func(q *Queue) { q.limit = n } }

// WithFloor sets the share of the service that a rank keeps while it has
// requests waiting, whatever waits above it.
func WithFloor(r rank.Rank, share float64) Option {
	return func(q *Queue) { q.lanes[r].floor = share }
}

// WithWaitLimit sets the longest time that a request of a rank may wait for
// its start.
func WithWaitLimit(r rank.Rank, d time.Duration) Option {
	return func(q *Queue) { q.lanes[r].waitLimit = d }
}

// WithKindShare sets the share of a rank's queue and of its permitted wait that
// one kind of work may take.
func WithKindShare(kind string, share float64) Option {
	return func(q *Queue) { q.kindShares[kind] = share }
}

// WithDefaultKindShare sets the share of kinds without one of their own.
func WithDefaultKindShare(share float64) Option {
	return func(q *Queue) { q.kindShare = share }
}

// WithTimePerToken sets the run time per token that is assumed of a kind of work
// until its first request has finished.
func WithTimePerToken(d time.Duration) Option { return func(q *Queue) { q.tokenTime = d } }

// WithPreemption sets the lowest rank that may displace running requests of
// ranks below it. WithoutPreemption turns displacement off.
func WithPreemption(lowest rank.Rank) Option { return func(q *Queue) { q.preemptFrom = lowest } }

// WithoutPreemption lets running requests run to their end.
func WithoutPreemption() Option { return func(q *Queue) { q.preemptFrom = -1 } }

// WithoutFairPreemption lets a workspace keep slots beyond its part while others of
// its rank wait.
func WithoutFairPreemption() Option { return func(q *Queue) { q.slotShares = false } }

// WithOrder selects the order of service.
func WithOrder(o Order) Option { return func(q *Queue) { q.order = o } }

// WithoutPrediction accepts requests whatever their predicted wait, up to the
// limit of the queue. It is a baseline for measurements.
func WithoutPrediction() Option { return func(q *Queue) { q.predict = false } }

//go:generate stringer -type=Order -linecomment -output=order_string.go

// Order is the order of service.
type Order int

// The orders. All but Fair are baselines for measurements.
const (
	Fair    Order = iota // fair
	Ranked               // ranked
	Arrival              // arrival
)

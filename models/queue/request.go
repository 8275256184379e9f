// Package queue schedules the requests of one backend server. Ranks are served in
// order of priority, with a guaranteed minimum share (the floor) for the lower
// ranks. Within a rank, workspaces share the server by weighted fair queueing.
// Requests that cannot meet their deadline are refused immediately.
//
// A Queue does no I/O and reads no clock: its methods receive events with their
// time and return actions, which the caller executes. The caller serialises all
// calls.
package queue

import (
	"time"

	"github.com/crocusline/crocusline/models/rank"
	"github.com/crocusline/crocusline/models/refusal"
)

// Request describes a request to the queue.
type Request struct {
	ID        string
	Workspace string
	Kind      string
	Rank      rank.Rank
	// Weight is the workspace's share within a rank, relative to other workspaces.
	// 0 is treated as 1.
	Weight int
	// Share is the share of the rank's queue and of the permitted wait that the
	// request's kind may use. 0 selects the share set by the queue's options.
	Share float64
	// PromptTokens is the length of the prompt, or the price of a call to a plain
	// service.
	PromptTokens int64
	// MaxTokens is the maximum number of tokens that the request may generate.
	MaxTokens int64
	// Deadline is the time by which the complete response is due. Zero means no
	// deadline.
	Deadline time.Time
	// NonPreemptible requests are not preempted once started.
	NonPreemptible bool
}

// Decision describes the expected start of an accepted request.
type Decision struct {
	// PredictedWait is the predicted time until the request starts.
	PredictedWait time.Duration
	// StartBy is the latest start time that meets the limits. Zero means no limit.
	StartBy time.Time
}

// Action is an action for the caller to execute: Start, Preempt or Expire.
type Action interface{ action() }

// Start runs a request on the server. If Resumed is set, the request was preempted
// before and continues after its last token.
type Start struct {
	ID      string
	Resumed bool
}

// Preempt stops a running request, which is queued again and resumed later.
type Preempt struct{ ID string }

// Expire ends a waiting request that can no longer meet its deadline, or that is
// refused by a drain.
type Expire struct {
	ID  string
	Err *refusal.Error
}

func (Start) action()   {}
func (Preempt) action() {}
func (Expire) action()  {}

// Load is a snapshot of a backend server's load.
type Load struct {
	Running int
	Slots   int
	// Queued, Ahead and Wait are indexed by rank: the number of waiting requests,
	// the number of running or waiting requests that a new request can neither
	// overtake nor preempt, and the predicted wait of a new request.
	Queued   [rank.Count]int
	Ahead    [rank.Count]int
	Wait     [rank.Count]time.Duration
	Draining bool
}

// item is a waiting or running request.
type item struct {
	Request
	// sequence numbers the requests in order of arrival.
	sequence uint64
	startBy  time.Time
	started  time.Time
	// elapsed is the run time up to the last preemption.
	elapsed time.Duration
	running bool
	// protected items were started to meet the floor of their rank. They are not
	// preempted.
	protected bool
	resumed   bool
	// generated is the number of generated tokens, and charged the number of tokens
	// charged to the workspace's counter.
	generated int64
	charged   float64
	// expectedRun is the remaining run time that was expected at the last start.
	expectedRun time.Duration
	estimator   *estimator
}

func (it *item) weight() float64 {
	if it.Weight <= 0 {
		return 1
	}
	return float64(it.Weight)
}

// usedTokens returns the number of prompt and output tokens processed so far.
func (it *item) usedTokens() float64 {
	if it.started.IsZero() {
		return 0
	}
	return float64(it.PromptTokens + it.generated)
}

// Package queue decides the order in which one backend server's requests run:
// rank first with a floor for the lower ranks, a fair share for each workspace
// within a rank, and a refusal at once for what cannot meet its deadline.
//
// A Queue is pure state. It takes events with their time and returns actions;
// the caller runs them and serialises all calls.
package queue

import (
	"time"

	"github.com/crocusline/crocusline/models/rank"
	"github.com/crocusline/crocusline/models/refusal"
)

// Request is what the queue needs to know of a request.
type Request struct {
	ID        string
	Workspace string
	Kind      string
	Rank      rank.Rank
	// Weight is the workspace's share within a rank, relative to the others.
	// 0 counts as 1.
	Weight int
	// Share is the part of the rank's queue and permitted wait that the kind may
	// take. 0 is what the queue's options say.
	Share float64
	// PromptTokens is the length of the prompt, or the price of a plain call.
	PromptTokens int64
	// MaxTokens is the most the request may generate.
	MaxTokens int64
	// Deadline is when the whole answer is due. Zero is no deadline.
	Deadline time.Time
	// NonPreemptible requests are never displaced once started.
	NonPreemptible bool
}

// Decision says what an accepted request can expect.
type Decision struct {
	// PredictedWait is the predicted time until the request starts.
	PredictedWait time.Duration
	// StartBy is the latest start that still meets the limits. Zero is none.
	StartBy time.Time
}

// Action is something for the caller to do: Start, Preempt or Expire.
type Action interface{ action() }

// Start runs a request on the server. Resumed requests ran before and continue
// after their last token.
type Start struct {
	ID      string
	Resumed bool
}

// Preempt stops a running request, which is queued again and resumed later.
type Preempt struct{ ID string }

// Expire ends a waiting request that can no longer meet its deadline.
type Expire struct {
	ID  string
	Err *refusal.Error
}

func (Start) action()   {}
func (Preempt) action() {}
func (Expire) action()  {}

// Load is a backend server's state at one time.
type Load struct {
	Running int
	Slots   int
	// Queued, Ahead and Wait are indexed by rank: requests waiting, requests
	// running or waiting that a new one may not overtake or displace, and the
	// predicted wait of a new request.
	Queued   [rank.Count]int
	Ahead    [rank.Count]int
	Wait     [rank.Count]time.Duration
	Draining bool
}

// item is a request in the queue or on the server.
type item struct {
	Request
	// arrival counts the requests in the order they came.
	arrival uint64
	startBy time.Time
	started time.Time
	// elapsed is the run time before the last displacement.
	elapsed time.Duration
	running bool
	// protected runs were started to keep their rank's floor.
	protected bool
	resumed   bool
	// served counts generated tokens; charged the tokens on the counters.
	served  int64
	charged float64
	// booked is the run time that was expected at the last start.
	booked time.Duration
	expect *estimator
}

func (it *item) weight() float64 {
	if it.Weight <= 0 {
		return 1
	}
	return float64(it.Weight)
}

// used is what the item has cost so far, in tokens.
func (it *item) used() float64 {
	if it.started.IsZero() {
		return 0
	}
	return float64(it.PromptTokens + it.served)
}

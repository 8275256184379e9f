package load

import (
	"time"

	"github.com/crocusline/crocusline/models/admission"
	"github.com/crocusline/crocusline/models/refusal"
)

// request is one caller's request. Submitting it again after a refusal resets its
// progress.
type request struct {
	run       *run
	stream    *Stream
	id        string
	workspace string
	// prompt is the part of the prompt that placement uses. prefix identifies its
	// shared beginning.
	prompt       string
	prefix       string
	outputTokens int

	arrivedAt    time.Time
	submittedAt  time.Time
	deadline     time.Time
	firstTokenAt time.Time
	lastTokenAt  time.Time
	// decidedAt is the time of the latest decision to admit, refuse or dispatch.
	decidedAt time.Time
	// received is the number of response tokens that the caller keeps from earlier
	// attempts, tokenTimes the times of all tokens generated for it.
	received      int
	tokenTimes    []time.Time
	attempts      int
	triedServers  []string
	resubmissions int
}

func (r *request) promptTokens() int { return r.stream.PrefixTokens + r.stream.TailTokens }

// admissionRequest returns the properties that the entries' admission depends on.
func (r *request) admissionRequest() admission.Request {
	return admission.Request{Workspace: r.workspace, Kind: r.stream.Kind}
}

// submit sends the request to the next entry in turn.
func (r *request) submit() {
	r.submittedAt = r.run.now
	r.firstTokenAt, r.lastTokenAt = time.Time{}, time.Time{}
	r.received, r.tokenTimes, r.attempts, r.triedServers = 0, nil, 0, nil
	if r.stream.Deadline > 0 {
		r.deadline = r.submittedAt.Add(r.stream.Deadline)
	}
	e := r.run.entries[r.run.submissions%len(r.run.entries)]
	r.run.submissions++
	r.run.result.submitted++
	r.run.after(r.run.workload.Hop, func() { e.submit(r) })
}

// addToken records a token that reaches the entry at the given time.
func (r *request) addToken(at time.Time) {
	result := r.run.result
	if r.firstTokenAt.IsZero() {
		r.firstTokenAt = at
	} else {
		result.recordTokenGap(r, at.Sub(r.lastTokenAt))
	}
	r.lastTokenAt = at
	r.tokenTimes = append(r.tokenTimes, at)
	result.recordToken(r, at)
}

// finish delivers the complete response, or err, to the caller. A caller who is
// refused with a retry-after time submits again as often as the stream allows.
func (r *request) finish(err *refusal.Error) {
	result := r.run.result
	if err == nil {
		result.recordCompletion(r)
		return
	}
	result.recordFailedSubmission(r, err)
	if err.RetryAfter > 0 && err.Outcome == refusal.NotRun && r.resubmissions < r.stream.Returns {
		r.resubmissions++
		r.run.after(err.RetryAfter+r.run.workload.Hop, r.submit)
		return
	}
	result.recordFinalFailure(r, err)
}

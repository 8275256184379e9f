package run

import (
	"time"

	"github.com/crocusline/crocusline/models/refusal"
)

// Inquire returns the state of a request.
//
// With fence set, an attempt of non-idempotent work that this sidecar has not
// received is never run afterwards, and the hold of an idempotent request is never
// charged by this sidecar afterwards, unless it was already chosen to pay for the
// run. State Fenced confirms this. A run that other requests have joined continues.
func (t *Tracker) Inquire(now time.Time, ref RequestRef, fence bool) (State, []Action, error) {
	switch {
	case ref.Attempt != 0:
		state, err := t.inquireAttempt(now, ref, fence)
		return state, nil, err
	case ref.RequestID != "":
		return t.inquireRequest(now, ref.RequestID, fence)
	case ref.Key == "" || fence:
		return NotSeen, nil, refusal.New(refusal.InvalidRequest, 0, "Name the request by its id, or the attempt by its key and number.")
	default:
		return t.byIdentity[identity{workspace: ref.Workspace, key: ref.Key}].stateOrNotSeen(), nil, nil
	}
}

func (t *Tracker) inquireAttempt(now time.Time, ref RequestRef, fence bool) (State, error) {
	rec := t.byIdentity[identity{workspace: ref.Workspace, key: ref.Key}]
	if rec != nil && rec.request.Attempt == ref.Attempt {
		return rec.state, nil
	}
	id := attemptID{workspace: ref.Workspace, key: ref.Key, attempt: ref.Attempt}
	if state := t.attempts.state(id); state != NotSeen || !fence {
		return state, nil
	}
	if !t.attempts.ensureCapacity(now) {
		return NotSeen, refusal.New(refusal.QueueFull, fullRetryAfter, "The server remembers all the attempts it can.")
	}
	t.attempts.add(now, id, Fenced)
	return Fenced, nil
}

func (t *Tracker) inquireRequest(now time.Time, requestID string, fence bool) (State, []Action, error) {
	if _, unsettled := t.runByPayingRequest[requestID]; unsettled {
		return Ran, nil, nil
	}
	id := attemptID{requestID: requestID}
	if state := t.fencedRequests.state(id); state != NotSeen {
		return state, nil, nil
	}
	rec := t.byRequestID[requestID]
	if !fence || rec != nil && !rec.fenceable(requestID) {
		return rec.stateOrNotSeen(), nil, nil
	}
	if !t.fencedRequests.ensureCapacity(now) {
		return NotSeen, nil, refusal.New(refusal.QueueFull, fullRetryAfter, "The server remembers all the fences it can.")
	}
	t.fencedRequests.add(now, id, Fenced)
	if rec == nil {
		return Fenced, nil, nil
	}
	return Fenced, t.disconnectFenced(now, rec, func(sub *subscription) bool { return sub.requestID == requestID }), nil
}

// fenceable reports whether charging the hold of a request can still be
// prevented.
func (r *record) fenceable(requestID string) bool {
	return r.request.Idempotent && r.payer.requestID != requestID
}

// stateOrNotSeen returns the state of r, or NotSeen if r is nil.
func (r *record) stateOrNotSeen() State {
	if r == nil {
		return NotSeen
	}
	return r.state
}

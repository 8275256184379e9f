package run

import (
	"time"

	"github.com/crocusline/crocusline/models/refusal"
)

// Inquire returns the state of a request.
//
// With fence set, an attempt of non-idempotent work that was not seen is never
// run afterwards, and the hold of an idempotent request is never charged here
// afterwards, unless its bill is due already. The answer Fenced says that this
// is so. A run that other requests wait for goes on.
func (b *Tracker) Inquire(now time.Time, name RequestRef, fence bool) (State, []Action, error) {
	switch {
	case name.Attempt != 0:
		state, err := b.inquireAttempt(now, name, fence)
		return state, nil, err
	case name.RequestID != "":
		return b.inquireRequest(now, name.RequestID, fence)
	case name.Key == "" || fence:
		return NotSeen, nil, refusal.New(refusal.InvalidRequest, 0, "Name the request by its id, or the attempt by its key and number.")
	default:
		return b.byID[identity{workspace: name.Workspace, key: name.Key}].stateOrNotSeen(), nil, nil
	}
}

func (b *Tracker) inquireAttempt(now time.Time, name RequestRef, fence bool) (State, error) {
	rec := b.byID[identity{workspace: name.Workspace, key: name.Key}]
	if rec != nil && rec.request.Attempt == name.Attempt {
		return rec.state, nil
	}
	id := attemptID{workspace: name.Workspace, key: name.Key, attempt: name.Attempt}
	if state := b.attempts.state(id); state != NotSeen || !fence {
		return state, nil
	}
	if !b.attempts.room(now) {
		return NotSeen, refusal.New(refusal.QueueFull, busyRetry, "The server remembers all the attempts it can.")
	}
	b.attempts.add(now, id, Fenced)
	return Fenced, nil
}

func (b *Tracker) inquireRequest(now time.Time, requestID string, fence bool) (State, []Action, error) {
	if _, owed := b.owed[requestID]; owed {
		return Ran, nil, nil
	}
	id := attemptID{requestID: requestID}
	if state := b.requests.state(id); state != NotSeen {
		return state, nil, nil
	}
	rec := b.byRequest[requestID]
	if !fence || rec != nil && !rec.fenceable(requestID) {
		return rec.stateOrNotSeen(), nil, nil
	}
	if !b.requests.room(now) {
		return NotSeen, nil, refusal.New(refusal.QueueFull, busyRetry, "The server remembers all the fences it can.")
	}
	b.requests.add(now, id, Fenced)
	if rec == nil {
		return Fenced, nil, nil
	}
	return Fenced, b.cutRelays(now, rec, func(r *relay) bool { return r.requestID == requestID }), nil
}

// fenceable reports whether the hold of a request can still be kept from being
// charged.
func (r *record) fenceable(requestID string) bool {
	return r.request.Idempotent && r.payer.requestID != requestID
}

// stateOrNotSeen returns the state of a run that may be missing.
func (r *record) stateOrNotSeen() State {
	if r == nil {
		return NotSeen
	}
	return r.state
}

package run

import (
	"time"

	"github.com/crocusline/crocusline/models/refusal"
)

// attemptLog remembers the attempts of non-idempotent work that ended or were
// fenced, so that none of them runs again.
type attemptLog struct {
	limit  int
	age    time.Duration
	states map[attemptID]State
	order  []endedAttempt
}

type endedAttempt struct {
	id    attemptID
	ended time.Time
}

func newAttemptLog(limit int, age time.Duration) attemptLog {
	return attemptLog{limit: limit, age: age, states: map[attemptID]State{}}
}

func (l *attemptLog) state(id attemptID) State {
	return l.states[id]
}

// room reports whether one more attempt can be remembered, forgetting one that
// is old enough if need be.
func (l *attemptLog) room(now time.Time) bool {
	if len(l.order) < l.limit {
		return true
	}
	if now.Sub(l.order[0].ended) < l.age {
		return false
	}
	delete(l.states, l.order[0].id)
	l.order = l.order[1:]
	return true
}

func (l *attemptLog) add(now time.Time, id attemptID, state State) {
	if _, known := l.states[id]; !known {
		l.order = append(l.order, endedAttempt{id: id, ended: now})
	}
	l.states[id] = state
}

// check returns the refusal of an attempt that must not run.
func (l *attemptLog) check(id attemptID) error {
	switch l.states[id] {
	case NotSeen:
		return nil
	case Fenced:
		return refusal.New(refusal.Fenced, 0, "The attempt was fenced: register the next one.")
	default:
		return &refusal.Error{
			Reason:  refusal.OutcomeUnknown,
			Outcome: refusal.Unknown,
			Advice:  "The attempt was made and its answer is no longer kept here.",
		}
	}
}

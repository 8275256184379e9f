package run

import (
	"time"

	"github.com/crocusline/crocusline/models/refusal"
)

// attemptLog records the attempts and requests that ended or were fenced, so that
// none of them runs again. Each is kept for at least the retention time.
type attemptLog struct {
	limit     int
	retention time.Duration
	states    map[attemptID]State
	// order lists the attempts from the oldest to the newest.
	order []endedAttempt
}

type endedAttempt struct {
	id    attemptID
	ended time.Time
}

func newAttemptLog(limit int, retention time.Duration) attemptLog {
	return attemptLog{limit: limit, retention: retention, states: map[attemptID]State{}}
}

func (l *attemptLog) state(id attemptID) State {
	return l.states[id]
}

// ensureCapacity reports whether one more attempt can be added. It removes the
// oldest attempt if the log is full and its retention time is over.
func (l *attemptLog) ensureCapacity(now time.Time) bool {
	if len(l.order) < l.limit {
		return true
	}
	if now.Sub(l.order[0].ended) < l.retention {
		return false
	}
	delete(l.states, l.order[0].id)
	l.order = l.order[1:]
	return true
}

func (l *attemptLog) add(now time.Time, id attemptID, state State) {
	if _, exists := l.states[id]; !exists {
		l.order = append(l.order, endedAttempt{id: id, ended: now})
	}
	l.states[id] = state
}

// checkUnused returns an error if the attempt must not run.
func (l *attemptLog) checkUnused(id attemptID) error {
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

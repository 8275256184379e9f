package fleet

import (
	"slices"
	"strings"
	"time"
)

// AbsenceTracker finds the members that the platform's list has left out for long. The
// list lags, so that a short absence says nothing.
type AbsenceTracker struct {
	after time.Duration
	// since is when each absent member was first missed, by incarnation.
	since map[string]time.Time
}

// NewAbsenceTracker returns an Absence that reports members left out for longer than
// after.
func NewAbsenceTracker(after time.Duration) *AbsenceTracker {
	return &AbsenceTracker{after: after, since: map[string]time.Time{}}
}

// Observe takes the names in the list and the members as of now. It returns the
// members to be looked at, in the order of their incarnations.
func (a *AbsenceTracker) Observe(now time.Time, listed map[string]bool, members map[string]Member) []Member {
	for incarnation := range a.since {
		if m, known := members[incarnation]; !known || listed[m.Name] {
			delete(a.since, incarnation)
		}
	}
	var overdue []Member
	for incarnation, m := range members {
		if listed[m.Name] {
			continue
		}
		first, missed := a.since[incarnation]
		if !missed {
			a.since[incarnation] = now
			continue
		}
		if now.Sub(first) >= a.after {
			overdue = append(overdue, m)
		}
	}
	slices.SortFunc(overdue, func(x, y Member) int { return strings.Compare(x.Incarnation, y.Incarnation) })
	return overdue
}

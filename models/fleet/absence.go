package fleet

import (
	"slices"
	"strings"
	"time"
)

// AbsenceTracker finds members that have been missing from the platform's list of
// instances for a while. The list is updated with a delay, so a short absence
// doesn't mean that a member has ended.
type AbsenceTracker struct {
	threshold time.Duration
	// missingSince is when each missing member was first not listed, by incarnation.
	missingSince map[string]time.Time
}

// NewAbsenceTracker returns an AbsenceTracker that reports members that have been
// missing for at least the threshold.
func NewAbsenceTracker(threshold time.Duration) *AbsenceTracker {
	return &AbsenceTracker{threshold: threshold, missingSince: map[string]time.Time{}}
}

// Observe records the names listed and the members registered at the given time. It
// returns the members that reached the threshold, ordered by incarnation.
func (a *AbsenceTracker) Observe(now time.Time, listed map[string]bool, members map[string]Member) []Member {
	for incarnation := range a.missingSince {
		if m, known := members[incarnation]; !known || listed[m.Name] {
			delete(a.missingSince, incarnation)
		}
	}
	var overdue []Member
	for incarnation, m := range members {
		if listed[m.Name] {
			continue
		}
		first, missed := a.missingSince[incarnation]
		if !missed {
			a.missingSince[incarnation] = now
			continue
		}
		if now.Sub(first) >= a.threshold {
			overdue = append(overdue, m)
		}
	}
	slices.SortFunc(overdue, func(x, y Member) int { return strings.Compare(x.Incarnation, y.Incarnation) })
	return overdue
}

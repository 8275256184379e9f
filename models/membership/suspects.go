// Package membership is the pure part of deciding which members of the fleet
// are gone although nothing replaced them: they are missing from the platform's
// list, which lags, and do not answer either.
package membership

import (
	"slices"
	"time"
)

// DefaultPatience is how long a member that is not listed may leave probes
// unanswered.
const DefaultPatience = 30 * time.Second

// listsMissing is how many lists in a row have to lack a member before it is
// probed.
const listsMissing = 2

// Suspects are the members that the platform's list does not name.
type Suspects struct {
	patience time.Duration
	missing  map[string]*suspect
}

type suspect struct {
	lists int
	// silent is since when probes go unanswered, zero if the last one was
	// answered.
	silent time.Time
}

// NewSuspects returns an empty set.
func NewSuspects(patience time.Duration) *Suspects {
	return &Suspects{patience: patience, missing: map[string]*suspect{}}
}

// Listed takes a new list: the incarnations of the members that it does not
// name. All others are suspects no more.
func (s *Suspects) Listed(unnamed []string) {
	for incarnation := range s.missing {
		if !slices.Contains(unnamed, incarnation) {
			delete(s.missing, incarnation)
		}
	}
	for _, incarnation := range unnamed {
		if s.missing[incarnation] == nil {
			s.missing[incarnation] = &suspect{}
		}
		s.missing[incarnation].lists++
	}
}

// Probes returns the suspects to probe, sorted.
func (s *Suspects) Probes() []string {
	var probes []string
	for incarnation, m := range s.missing {
		if m.lists >= listsMissing {
			probes = append(probes, incarnation)
		}
	}
	slices.Sort(probes)
	return probes
}

// Answered says that a suspect answered a probe.
func (s *Suspects) Answered(incarnation string) {
	if m := s.missing[incarnation]; m != nil {
		m.silent = time.Time{}
	}
}

// Unanswered says that a suspect did not answer a probe. It returns whether the
// suspect counts as gone.
func (s *Suspects) Unanswered(now time.Time, incarnation string) bool {
	m := s.missing[incarnation]
	if m == nil {
		return false
	}
	if m.silent.IsZero() {
		m.silent = now
	}
	return now.Sub(m.silent) >= s.patience
}

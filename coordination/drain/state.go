// Package drain decides when a process takes no new work and when it may stop.
//
// A State is pure. A process that is to stop gives it the plan as it reads it,
// or closes it, and refuses new work from then on. It is safe to stop once
// nothing is left of the work that it had taken before. A plan can be withdrawn,
// and the process then takes work again; a closed one never does.
package drain

// State says why a process takes no new work, if it does not. The zero State
// is of a process in service. States can be compared.
type State struct {
	planned bool
	closing bool
}

// PendingWork is work of one sort that a process still has.
type PendingWork struct {
	// Name is the sort of work.
	Name string
	// Count is the number of pieces of it.
	Count int
}

// WithPlannedStop returns the state after the process has read that it is to leave, or
// that it no longer is.
func (s State) WithPlannedStop(leaving bool) State {
	s.planned = leaving
	return s
}

// WithShutdown returns the state of a process that is stopping, which no plan takes
// back into service.
func (s State) WithShutdown() State {
	s.closing = true
	return s
}

// Draining reports whether the process takes no new work.
func (s State) Draining() bool {
	return s.planned || s.closing
}

// SafeToStop reports whether the process takes no new work and nothing is left.
func (s State) SafeToStop(loads ...PendingWork) bool {
	return s.Draining() && len(Remaining(loads...)) == 0
}

// Remaining returns the loads that have to end before a stop is safe.
func Remaining(loads ...PendingWork) []PendingWork {
	var left []PendingWork
	for _, l := range loads {
		if l.Count != 0 {
			left = append(left, l)
		}
	}
	return left
}

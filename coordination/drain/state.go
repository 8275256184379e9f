// Package drain decides when a process refuses new work and when it can stop
// safely.
//
// A State is an immutable value without side effects. A process refuses new work
// while a stop is planned and from the moment it shuts down. It can stop safely
// when the work that it accepted before has ended. A planned stop can be withdrawn,
// after which the process accepts work again. A shutdown is permanent.
package drain

// State holds the reasons why a process refuses new work. The zero State is that of
// a process that accepts work. States are comparable with ==.
type State struct {
	stopPlanned  bool
	shuttingDown bool
}

// PendingWork is the remaining work of one kind.
type PendingWork struct {
	// Name is the kind of work.
	Name  string
	Count int
}

// WithPlannedStop returns the state after a stop was planned or withdrawn.
func (s State) WithPlannedStop(planned bool) State {
	s.stopPlanned = planned
	return s
}

// WithShutdown returns the state of a process that shuts down. It refuses new work
// even if a planned stop is withdrawn.
func (s State) WithShutdown() State {
	s.shuttingDown = true
	return s
}

// Draining reports whether the process refuses new work.
func (s State) Draining() bool {
	return s.stopPlanned || s.shuttingDown
}

// SafeToStop reports whether the process refuses new work and no work remains.
func (s State) SafeToStop(work ...PendingWork) bool {
	return s.Draining() && len(Remaining(work...)) == 0
}

// Remaining returns the kinds of work that must end before the process can stop
// safely.
func Remaining(work ...PendingWork) []PendingWork {
	var remaining []PendingWork
	for _, w := range work {
		if w.Count != 0 {
			remaining = append(remaining, w)
		}
	}
	return remaining
}

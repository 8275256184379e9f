package roster

import "time"

// View is how well a gateway knows a state of the store.
type View struct {
	// Age is the time since the state is known to have been the store's.
	Age time.Duration
	// Bound is the age from which on the state lacks changes that must be in force, or 0.
	Bound time.Duration
	// Reachable is whether the last read succeeded.
	Reachable bool
	// Slow is whether a response arrives that work has waited for already.
	Slow bool
}

// Current reports whether the state holds all changes that must be in force. What can't be taken back, such as a
// refusal for good, needs a current one.
func (v View) Current() bool { return v.Bound == 0 || v.Age < v.Bound }

// UpdateExpected reports whether a newer state is likely to arrive at once: the state isn't current though no read has
// failed, as the process did not run, or the next read is about to fail. What begins should wait for it. Without
// the store, and while a long response arrives over a thin link, work goes on with the state that is known. That a
// response takes long is known only once it was waited for.
func (v View) UpdateExpected() bool { return !v.Current() && v.Reachable && !v.Slow }

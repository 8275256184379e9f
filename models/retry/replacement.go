package retry

import "time"

// Replacement describes the send to another server that would replace a send whose server is silent.
// The load that it answers are servers that are silent for seconds, one alone or many at once: requests
// that leave them all come back to the same pool.
type Replacement struct {
	// Available is whether there is a server to choose, and Suspected whether it failed recently itself.
	Available, Suspected bool
	// AttemptsLeft is the number of sends that may follow the current one.
	AttemptsLeft int
	// Latency is the time in which the other server should answer, Waited the time since the current send
	// began, and TimeLeft the time until the request's deadline.
	Latency, Waited, TimeLeft time.Duration
}

// Possible reports whether the replacement can be made and is more likely to be answered than the current
// send. The other server may be silent too, so it gets as much time as the current one has had.
func (r Replacement) Possible() bool {
	return r.Available && !r.Suspected && r.AttemptsLeft > 0 && r.TimeLeft >= max(r.Latency, r.Waited)
}

// Replace decides whether a send is given up for the replacement, and then reserves the retry. Otherwise
// the request waits for the current server.
func (w *WindowBudget) Replace(now time.Time, r Replacement) (Reservation, bool) {
	if !r.Possible() {
		return Reservation{}, false
	}
	return w.Reserve(now)
}

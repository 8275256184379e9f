package control

import (
	"slices"
	"sync"

	"github.com/crocusline/crocusline/models/fleet"
	"github.com/crocusline/crocusline/services/stream"
)

// replica is the fleet's state as of the events read from the stream. It implements
// stream.StateMachine.
type replica struct {
	// state is guarded by the stream: it is read within Stream.View and Stream.Wait.
	state *fleet.State

	mu sync.Mutex
	// waiters are the channels that receive the result of a record's body, oldest
	// first.
	waiters map[string][]chan fleet.Result
}

func newReplica() *replica {
	return &replica{state: fleet.New(), waiters: map[string][]chan fleet.Result{}}
}

// Apply implements stream.StateMachine. A body that can't be decoded has no effect.
func (r *replica) Apply(at stream.Position, bodies [][]byte) {
	events := make([]fleet.Event, len(bodies))
	for i, body := range bodies {
		// A release that can decode the event has the same state except for its effect.
		events[i], _ = fleet.DecodeEvent(body)
	}
	next, results := r.state.ApplyAll(at.Offset, at.Time, events...)
	r.state = next
	for i, body := range bodies {
		r.sendResult(string(body), results[i])
	}
}

// Snapshot implements stream.StateMachine.
func (r *replica) Snapshot() ([]byte, error) { return r.state.Snapshot() }

// Restore implements stream.StateMachine.
func (r *replica) Restore(data []byte) error {
	if data == nil {
		r.state = fleet.New()
		return nil
	}
	state, err := fleet.Restore(data)
	if err != nil {
		return err
	}
	r.state = state
	return nil
}

// addWaiter returns a channel that receives the result of the next record with the
// body.
func (r *replica) addWaiter(body string) chan fleet.Result {
	waiter := make(chan fleet.Result, 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiters[body] = append(r.waiters[body], waiter)
	return waiter
}

// removeWaiter removes a channel that addWaiter returned.
func (r *replica) removeWaiter(body string, waiter chan fleet.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiters[body] = slices.DeleteFunc(r.waiters[body], func(c chan fleet.Result) bool { return c == waiter })
	if len(r.waiters[body]) == 0 {
		delete(r.waiters, body)
	}
}

// sendResult sends the result to the oldest waiter for the body.
func (r *replica) sendResult(body string, result fleet.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if waiters := r.waiters[body]; len(waiters) > 0 {
		waiters[0] <- result
		r.waiters[body] = waiters[1:]
	}
}

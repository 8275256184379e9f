package control

import (
	"slices"
	"sync"

	"github.com/crocusline/crocusline/models/fleet"
	"github.com/crocusline/crocusline/services/stream"
)

// fold builds the fleet's state up from the stream. It implements stream.Fold.
type fold struct {
	// state belongs to the stream: it is read in Stream.View and Stream.Wait.
	state *fleet.State

	mu sync.Mutex
	// waiting are the writers that want to know what became of a body.
	waiting map[string][]chan fleet.Result
}

func newFold() *fold {
	return &fold{state: fleet.New(), waiting: map[string][]chan fleet.Result{}}
}

// Apply implements stream.Fold. A body that can't be decoded has no effect.
func (f *fold) Apply(at stream.Position, bodies [][]byte) {
	events := make([]fleet.Event, len(bodies))
	for i, body := range bodies {
		// A release that knows the event reads the same state, but for that event.
		events[i], _ = fleet.DecodeEvent(body)
	}
	next, results := f.state.ApplyAll(at.Offset, at.Time, events...)
	f.state = next
	for i, body := range bodies {
		f.answer(string(body), results[i])
	}
}

// Snapshot implements stream.Fold.
func (f *fold) Snapshot() ([]byte, error) { return f.state.Snapshot() }

// Restore implements stream.Fold.
func (f *fold) Restore(data []byte) error {
	if data == nil {
		f.state = fleet.New()
		return nil
	}
	state, err := fleet.Restore(data)
	if err != nil {
		return err
	}
	f.state = state
	return nil
}

// expect returns the channel that gets the result of the next record with the
// body.
func (f *fold) expect(body string) chan fleet.Result {
	answer := make(chan fleet.Result, 1)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waiting[body] = append(f.waiting[body], answer)
	return answer
}

// forget undoes expect.
func (f *fold) forget(body string, answer chan fleet.Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waiting[body] = slices.DeleteFunc(f.waiting[body], func(c chan fleet.Result) bool { return c == answer })
	if len(f.waiting[body]) == 0 {
		delete(f.waiting, body)
	}
}

func (f *fold) answer(body string, result fleet.Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if first := f.waiting[body]; len(first) > 0 {
		first[0] <- result
		f.waiting[body] = first[1:]
	}
}

package relay

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/roster"
	"github.com/crocusline/crocusline/modules/exchange"
)

// startCalls shares the calls that ask servers when they started.
type startCalls struct {
	mu      sync.Mutex
	running map[startKey]*startCall
}

// startKey identifies the start of a server that is to be confirmed.
type startKey struct {
	id      string
	started int64
}

// startCall is a call to one server.
type startCall struct {
	askedAt time.Time
	done    chan struct{}
	// The following are set before done is closed.
	started int64
	err     error
	// callerEnded is whether the context of the stream that made the call had ended by then.
	callerEnded bool
}

func newStartCalls() *startCalls { return &startCalls{running: map[startKey]*startCall{}} }

// ask returns the answer of a call that began after the given time: of the one under way, or of one
// that it makes itself with f. A call that failed and whose caller has ended, for any reason, is made again.
func (c *startCalls) ask(ctx context.Context, s roster.Server, after time.Time, f func(context.Context) (int64, error)) (*startCall, error) {
	key := startKey{s.ID, s.Started}
	for {
		call, own := c.join(key, after)
		if own {
			c.run(ctx, key, call, f)
			return call, call.err
		}
		select {
		case <-call.done:
		case <-ctx.Done():
			return nil, exchange.Ended(ctx)
		}
		if call.err == nil || !call.callerEnded || exchange.Ended(ctx) != nil {
			return call, call.err
		}
	}
}

// join returns the call that is under way, if it began after the time, or a new one and true.
func (c *startCalls) join(key startKey, after time.Time) (*startCall, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if call := c.running[key]; call != nil && call.askedAt.After(after) {
		return call, false
	}
	call := &startCall{askedAt: time.Now(), done: make(chan struct{})}
	c.running[key] = call
	return call, true
}

// run makes the call.
func (c *startCalls) run(ctx context.Context, key startKey, call *startCall, f func(context.Context) (int64, error)) {
	// Deferred for the case of a panic.
	call.err = errors.New("the call did not end")
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.running[key] == call {
			delete(c.running, key)
		}
		close(call.done)
	}()
	call.started, call.err = f(ctx)
	call.callerEnded = exchange.Ended(ctx) != nil
}

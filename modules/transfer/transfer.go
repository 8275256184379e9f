// Package transfer bounds HTTP responses by their progress instead of their duration. A
// large response over a slow link takes long and is sound; one that is given up begins
// again at its first byte, so a bound that it can't meet is never met.
package transfer

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxLateness is how late a timer may fire in a process that runs. Beyond that the process was stopped, or
	// lacked processor time, and what has arrived meanwhile is still to be read.
	maxLateness = 100 * time.Millisecond
	// lateGrace is the time for that, and maxExtensions how often a call gets it.
	lateGrace     = 100 * time.Millisecond
	maxExtensions = 3
)

// Limits bounds the progress of a response.
type Limits struct {
	// Begin is how long a response may take to begin.
	Begin time.Duration
	// Stall is how long a response that has begun may bring no further byte.
	Stall time.Duration
	// Grace is how long a response may arrive at any rate. After that its average rate
	// must be at least MinRate, in bytes per second.
	Grace   time.Duration
	MinRate float64
}

// expiry returns when a response is given up that began at a time and has brought its
// newest byte at another.
func (l Limits) expiry(began, newest time.Time, received int64) time.Time {
	allowed := l.Grace + time.Duration(float64(received)/l.MinRate*float64(time.Second))
	stalled := newest.Add(l.Stall)
	if slow := began.Add(allowed); slow.Before(stalled) {
		return slow
	}
	return stalled
}

// Error is returned for a response that exceeded its limits.
type Error struct {
	// Begun is whether any part of the response arrived, Received the size of its body
	// until then, in bytes.
	Begun    bool
	Received int64
	// Took is the time since the call, or since the response began.
	Took time.Duration
}

// Error implements error.
func (e *Error) Error() string {
	if !e.Begun {
		return fmt.Sprintf("no response within %s", e.Took)
	}
	return fmt.Sprintf("response given up after %d bytes in %s", e.Received, e.Took)
}

// Guard cancels the context of a call whose response exceeds its limits.
type Guard struct {
	limits  Limits
	ctx     context.Context
	cancel  context.CancelCauseFunc
	started time.Time

	mu    sync.Mutex
	timer *time.Timer
	// due is when the timer should fire, and extensions how often it has fired late.
	due        time.Time
	extensions int
	began      time.Time
	received   int64
	released   bool
}

// Watch returns a guard of a call that starts now, and the context of the call. Stop must
// be called when the response was read.
func Watch(ctx context.Context, limits Limits) (context.Context, *Guard) {
	now := time.Now()
	g := &Guard{limits: limits, started: now, due: now.Add(limits.Begin)}
	g.ctx, g.cancel = context.WithCancelCause(ctx)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.timer = time.AfterFunc(limits.Begin, g.expire)
	return g.ctx, g
}

func (g *Guard) expire() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.released {
		return
	}
	now := time.Now()
	if now.Sub(g.due) > maxLateness && g.extensions < maxExtensions {
		g.extensions++
		g.reset(now, lateGrace)
		return
	}
	since := g.started
	if !g.began.IsZero() {
		since = g.began
	}
	g.cancel(&Error{Begun: !g.began.IsZero(), Received: g.received, Took: time.Since(since)})
}

// Body returns a reader of the response's body, which has begun.
func (g *Guard) Body(body io.Reader) io.Reader {
	g.record(0)
	return &guardedReader{guard: g, reader: body}
}

// record extends the time of the response after n more bytes.
func (g *Guard) record(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if g.began.IsZero() {
		g.began = now
	}
	g.received += int64(n)
	g.reset(now, g.limits.expiry(g.began, now, g.received).Sub(now))
}

// reset sets the timer, with the guard locked.
func (g *Guard) reset(now time.Time, d time.Duration) {
	g.due = now.Add(d)
	g.timer.Reset(d)
}

// Cause returns the Error if the response exceeded its limits, and err otherwise.
func (g *Guard) Cause(err error) error {
	var exceeded *Error
	if errors.As(context.Cause(g.ctx), &exceeded) {
		return errors.WithStack(exceeded)
	}
	return errors.WithStack(err)
}

// Release lifts the limits, while the context goes on.
func (g *Guard) Release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.released = true
	g.timer.Stop()
}

// Stop ends the guard and cancels the context.
func (g *Guard) Stop() {
	g.timer.Stop()
	g.cancel(context.Canceled)
}

type guardedReader struct {
	guard  *Guard
	reader io.Reader
}

// Read implements io.Reader.
func (r *guardedReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if n > 0 {
		r.guard.record(n)
	}
	return n, err
}

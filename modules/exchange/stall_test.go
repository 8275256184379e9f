package exchange_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/modules/exchange"
)

// stalledContext is the context of a request whose process stands still once the connection was chosen: stall is
// called before its end is observed.
type stalledContext struct {
	context.Context
	stall func()
}

// Done implements context.Context.
func (c stalledContext) Done() <-chan struct{} {
	c.stall()
	return c.Context.Done()
}

// lateContext is a context whose deadline has passed, and whose timer has not run yet.
type lateContext struct {
	context.Context
	deadline time.Time
}

// Deadline implements context.Context.
func (c lateContext) Deadline() (time.Time, bool) { return c.deadline, true }

// TestSentTooLate guards against requests that are sent after their time was over, or after their caller has left,
// since the process stood still.
func TestSentTooLate(t *testing.T) {
	ended := func(ctx context.Context) context.Context {
		ctx, cancel := context.WithCancel(ctx)
		cancel()
		return ctx
	}
	expired := func(ctx context.Context) context.Context { return lateContext{ctx, time.Now().Add(-time.Second)} }
	left := func(ctx context.Context) context.Context {
		ctx, cancel := context.WithCancel(ctx)
		return stalledContext{ctx, cancel}
	}
	for name, newContext := range map[string]func(context.Context) context.Context{"caller left before": ended, "timer late": expired, "caller left meanwhile": left} {
		for _, kept := range []bool{false, true} {
			t.Run(name+map[bool]string{false: ", new connection", true: ", kept connection"}[kept], func(t *testing.T) {
				const requests = 100
				var arrived atomic.Int64
				s := newScriptedServer(t, func(conn net.Conn, requests *bufio.Reader) {
					for {
						id, ok := readRequestID(requests)
						if !ok {
							return
						}
						if id == "late" {
							arrived.Add(1)
						}
						_, _ = conn.Write([]byte(response(id, "to "+id)))
					}
				})
				c := exchange.New()
				defer func() { _ = c.Close() }()
				for range requests {
					if kept {
						if _, err := call(c, s.request("1")); err != nil {
							t.Fatal(err)
						}
					}
					resp, err := c.Do(newContext(t.Context()), s.request("late"))
					if err == nil {
						_ = resp.Body.Close()
						t.Fatal("got a response")
					}
					var notSent *exchange.NotSentError
					if !errors.As(err, &notSent) {
						t.Fatalf("got %v, want NotSentError", err)
					}
				}
				time.Sleep(20 * time.Millisecond)
				if got := arrived.Load(); got > 0 {
					t.Errorf("%d of %d requests arrived", got, requests)
				}
			})
		}
	}
}

// leavingContext ends after it was found to be open once.
type leavingContext struct {
	context.Context
	asked *int
}

// Err implements context.Context.
func (c leavingContext) Err() error {
	if *c.asked++; *c.asked > 1 {
		return context.Canceled
	}
	return nil
}

// TestIdleTimeOfUnusedConnection guards against connections that are used after the server's keep-alive timeout, as a request
// that wasn't sent over them counts as their last one.
func TestIdleTimeOfUnusedConnection(t *testing.T) {
	const step = 300 * time.Millisecond
	s := newScriptedServer(t, func(conn net.Conn, requests *bufio.Reader) {
		for {
			if _, ok := readRequestID(requests); !ok {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 0\r\n\r\n")
		}
	})
	c := exchange.New()
	defer func() { _ = c.Close() }()
	if _, err := call(c, s.request("1")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(step)
	var notSent *exchange.NotSentError
	resp, err := c.Do(leavingContext{t.Context(), new(int)}, s.request("2"))
	if err == nil {
		_ = resp.Body.Close()
	}
	if !errors.As(err, &notSent) {
		t.Fatalf("got %v, want NotSentError", err)
	}
	time.Sleep(step)
	if _, err := call(c, s.request("3")); err != nil || c.Dialed() != 2 {
		t.Errorf("got %v over %d connections, want a second one", err, c.Dialed())
	}
}

package exchange_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
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

// latelyEndedContext ends when its deadline is asked for the last of a number of times.
type latelyEndedContext struct {
	context.Context
	end   func()
	times *atomic.Int64
}

// Deadline implements context.Context.
func (c latelyEndedContext) Deadline() (time.Time, bool) {
	if c.times.Add(-1) > 0 {
		return time.Time{}, false
	}
	c.end()
	return time.Now().Add(-time.Second), true
}

// TestLongBodySentTooLate guards against requests with long bodies that are sent although they ended before the goroutine ran
// that writes them.
func TestLongBodySentTooLate(t *testing.T) {
	const requests, longBody = 100, 100 << 10
	// Asked before a connection is taken, before it is used, before the goroutine is started, and in it.
	const times = 4
	var arrived atomic.Int64
	s := newScriptedServer(t, func(conn net.Conn, requests *bufio.Reader) {
		for {
			line, err := requests.Peek(1)
			if err != nil || len(line) == 0 {
				return
			}
			r, err := http.ReadRequest(requests)
			if err != nil || r.Header.Get("Request-Id") == "late" {
				arrived.Add(1)
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(conn, response("1", "to 1"))
		}
	})
	c := exchange.New()
	defer func() { _ = c.Close() }()
	for range requests {
		if _, err := call(c, s.request("1")); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		var left atomic.Int64
		left.Store(times)
		r := s.request("late")
		r.Body = make([]byte, longBody)
		resp, err := c.Do(latelyEndedContext{ctx, cancel, &left}, r)
		cancel()
		if err == nil {
			_ = resp.Body.Close()
			t.Fatal("got a response")
		}
	}
	time.Sleep(20 * time.Millisecond)
	if got := arrived.Load(); got > 0 {
		t.Errorf("%d of %d requests arrived", got, requests)
	}
}

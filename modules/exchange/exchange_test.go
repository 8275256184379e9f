package exchange_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/modules/exchange"
)

// peer is a server that reads requests and writes what a script says.
type peer struct {
	*testing.T
	listener net.Listener
	accepted atomic.Int64
}

// newPeer serves each connection by the script, which gets the connection and a
// reader of its requests.
func newPeer(t *testing.T, script func(conn net.Conn, requests *bufio.Reader)) *peer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &peer{T: t, listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			p.accepted.Add(1)
			go func() {
				defer func() { _ = conn.Close() }()
				script(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return p
}

func (p *peer) address() netip.AddrPort {
	return p.listener.Addr().(*net.TCPAddr).AddrPort()
}

func (p *peer) request(id string) *exchange.Request {
	return &exchange.Request{
		Address: p.address(), Method: http.MethodPost, Target: "/a", Host: "a.example",
		Header: http.Header{"Request-Id": {id}}, Body: []byte("body"),
		IsForeign: func(h http.Header) bool { return h.Get("Request-Id") != "" && h.Get("Request-Id") != id },
	}
}

// next reads one request and returns its id.
func next(requests *bufio.Reader) (string, bool) {
	r, err := http.ReadRequest(requests)
	if err != nil {
		return "", false
	}
	_, err = io.Copy(io.Discard, r.Body)
	return r.Header.Get("Request-Id"), err == nil
}

func answer(id, body string) string {
	return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// call sends one request and returns the body of its answer.
func call(c *exchange.Client, r *exchange.Request) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	resp, err := c.Do(ctx, r)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

func echo(conn net.Conn, requests *bufio.Reader) {
	for {
		id, ok := next(requests)
		if !ok {
			return
		}
		_, _ = conn.Write([]byte(answer(id, "to "+id)))
	}
}

func TestReuse(t *testing.T) {
	p := newPeer(t, echo)
	c := exchange.New()
	defer func() { _ = c.Close() }()
	for _, id := range []string{"1", "2", "3"} {
		if body, err := call(c, p.request(id)); err != nil || body != "to "+id {
			t.Fatalf("got %q and %v", body, err)
		}
	}
	if p.accepted.Load() != 1 || c.Dialed() != 1 || c.Reused() != 2 {
		t.Errorf("%d connections, %d dialed, %d reused", p.accepted.Load(), c.Dialed(), c.Reused())
	}
}

// TestSecondAnswer checks that an answer that nobody asked for reaches nobody: if
// it is there before the next request, the connection is dropped.
func TestSecondAnswer(t *testing.T) {
	p := newPeer(t, func(conn net.Conn, requests *bufio.Reader) {
		id, _ := next(requests)
		_, _ = conn.Write([]byte(answer(id, "first") + answer(id, "second")))
		echo(conn, requests)
	})
	c := exchange.New()
	defer func() { _ = c.Close() }()
	if body, err := call(c, p.request("1")); err != nil || body != "first" {
		t.Fatalf("got %q and %v", body, err)
	}
	time.Sleep(20 * time.Millisecond)
	if body, err := call(c, p.request("2")); err != nil || body != "first" {
		t.Fatalf("got %q and %v, want that of a new connection", body, err)
	}
	if p.accepted.Load() != 2 {
		t.Errorf("%d connections, want 2", p.accepted.Load())
	}
}

// TestLateSecondAnswer checks that an answer to an earlier request that comes in
// the place of the next one is skipped.
func TestLateSecondAnswer(t *testing.T) {
	p := newPeer(t, func(conn net.Conn, requests *bufio.Reader) {
		first, _ := next(requests)
		_, _ = conn.Write([]byte(answer(first, "first")))
		second, _ := next(requests)
		_, _ = conn.Write([]byte(answer(first, "again") + answer(second, "mine")))
		echo(conn, requests)
	})
	c := exchange.New()
	defer func() { _ = c.Close() }()
	if _, err := call(c, p.request("1")); err != nil {
		t.Fatal(err)
	}
	if body, err := call(c, p.request("2")); err != nil || body != "mine" {
		t.Fatalf("got %q and %v", body, err)
	}
}

// TestWritten checks what a failure says of the request.
func TestWritten(t *testing.T) {
	p := newPeer(t, func(_ net.Conn, requests *bufio.Reader) { _, _ = next(requests) })
	c := exchange.New()
	defer func() { _ = c.Close() }()
	_, err := call(c, p.request("1"))
	var lost *exchange.NoResponseError
	if !errors.As(err, &lost) || !lost.Written {
		t.Errorf("got %v, want a lost request that may have run", err)
	}
	_ = p.listener.Close()
	_, err = call(c, p.request("2"))
	var dial *exchange.DialError
	if !errors.As(err, &dial) {
		t.Errorf("got %v, want a failed connection", err)
	}
}

// TestClosedWhileIdle checks that a connection that the server closed is not used.
func TestClosedWhileIdle(t *testing.T) {
	p := newPeer(t, func(conn net.Conn, requests *bufio.Reader) {
		id, ok := next(requests)
		if ok {
			_, _ = conn.Write([]byte(answer(id, "to "+id)))
		}
	})
	c := exchange.New()
	defer func() { _ = c.Close() }()
	for _, id := range []string{"1", "2"} {
		if body, err := call(c, p.request(id)); err != nil || body != "to "+id {
			t.Fatalf("got %q and %v", body, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TestIncomplete checks that an answer that is cut off does not look complete.
func TestIncomplete(t *testing.T) {
	for name, script := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"head":    "HTTP/1.1 200 OK\r\nContent-Le",
		"garbage": "\x00\x01\x02 not an answer\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			p := newPeer(t, func(conn net.Conn, requests *bufio.Reader) {
				_, _ = next(requests)
				_, _ = conn.Write([]byte(script))
			})
			c := exchange.New()
			defer func() { _ = c.Close() }()
			if body, err := call(c, p.request("1")); err == nil {
				t.Errorf("got %q without an error", body)
			}
		})
	}
}

// TestResetWithoutLength checks an answer that ends with its connection: complete
// after an orderly end, not after a reset.
func TestResetWithoutLength(t *testing.T) {
	for _, reset := range []bool{false, true} {
		p := newPeer(t, func(conn net.Conn, requests *bufio.Reader) {
			_, _ = next(requests)
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\n\r\nall of it"))
			time.Sleep(10 * time.Millisecond)
			if reset {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
		})
		c := exchange.New()
		body, err := call(c, p.request("1"))
		if (err != nil) != reset {
			t.Errorf("reset %t: got %q and %v", reset, body, err)
		}
		_ = c.Close()
	}
}

// TestEarlyAnswer checks that a connection on which a long body is not out yet is
// not used again.
func TestEarlyAnswer(t *testing.T) {
	p := newPeer(t, func(conn net.Conn, requests *bufio.Reader) {
		if _, err := http.ReadRequest(requests); err != nil {
			return
		}
		_, _ = conn.Write([]byte("HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n"))
		time.Sleep(100 * time.Millisecond)
	})
	c := exchange.New()
	defer func() { _ = c.Close() }()
	r := p.request("1")
	r.Body = make([]byte, 16<<20)
	if _, err := call(c, r); err != nil {
		t.Fatal(err)
	}
	if _, err := call(c, p.request("2")); err != nil {
		t.Fatal(err)
	}
	if p.accepted.Load() != 2 {
		t.Errorf("%d connections, want 2", p.accepted.Load())
	}
}

// TestConnections checks the limit of connections to one server.
func TestConnections(t *testing.T) {
	release := make(chan struct{})
	p := newPeer(t, func(conn net.Conn, requests *bufio.Reader) {
		id, _ := next(requests)
		<-release
		_, _ = conn.Write([]byte(answer(id, "done")))
	})
	c := exchange.New()
	defer func() { _ = c.Close() }()
	done := make(chan error, 1)
	go func() {
		r := p.request("1")
		r.MaxConns = 1
		_, err := call(c, r)
		done <- err
	}()
	for p.accepted.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	r := p.request("2")
	r.MaxConns = 1
	_, err := call(c, r)
	var dial *exchange.DialError
	if !errors.As(err, &dial) || !dial.PoolExhausted {
		t.Errorf("got %v, want that all connections are in use", err)
	}
	close(release)
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// TestPrune checks that unused connections are closed in time.
func TestPrune(t *testing.T) {
	p := newPeer(t, echo)
	c := exchange.New(exchange.WithIdleTimeout(10 * time.Millisecond))
	defer func() { _ = c.Close() }()
	if _, err := call(c, p.request("1")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond)
	c.Prune(time.Now())
	if _, err := call(c, p.request("2")); err != nil {
		t.Fatal(err)
	}
	if c.Dialed() != 2 {
		t.Errorf("%d connections, want 2", c.Dialed())
	}
}

// FuzzAnswer lets a server answer anything. No answer to another request, and no
// answer that ended early, may look like the one asked for.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte(answer("1", "whole")))
	f.Add([]byte(answer("2", "foreign")))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\n" + answer("1", "later")))
	f.Fuzz(func(t *testing.T, data []byte) {
		p := newPeer(t, func(conn net.Conn, requests *bufio.Reader) {
			_, _ = next(requests)
			_, _ = conn.Write(data)
		})
		c := exchange.New()
		defer func() { _ = c.Close() }()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		resp, err := c.Do(ctx, p.request("1"))
		if err != nil {
			return
		}
		defer func() { _ = resp.Body.Close() }()
		if id := resp.Header.Get("Request-Id"); id != "" && id != "1" {
			t.Errorf("got the answer to %q", id)
		}
		body, err := io.ReadAll(resp.Body)
		if err == nil && resp.ContentLength >= 0 && int64(len(body)) != resp.ContentLength {
			t.Errorf("%d of %d bytes without an error", len(body), resp.ContentLength)
		}
	})
}

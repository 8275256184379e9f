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
	"github.com/crocusline/crocusline/standin/site"
)

// scriptedServer is a TCP server whose connections are handled by a script.
type scriptedServer struct {
	*testing.T
	listener net.Listener
	accepted atomic.Int64
}

// newScriptedServer starts a server that passes each connection and a reader of its
// requests to the script.
func newScriptedServer(t *testing.T, script func(conn net.Conn, requests *bufio.Reader)) *scriptedServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedServer{T: t, listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.accepted.Add(1)
			go func() {
				defer func() { _ = conn.Close() }()
				script(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return s
}

func (s *scriptedServer) address() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

func (s *scriptedServer) request(id string) *exchange.Request {
	return &exchange.Request{
		Address: s.address(), Method: http.MethodPost, Target: "/a", Host: "a.example",
		Header: http.Header{"Request-Id": {id}}, Body: []byte("body"),
		IsForeign: func(h http.Header, _ bool) bool { return h.Get("Request-Id") != "" && h.Get("Request-Id") != id },
	}
}

// readRequestID reads one request and returns its id.
func readRequestID(requests *bufio.Reader) (string, bool) {
	r, err := http.ReadRequest(requests)
	if err != nil {
		return "", false
	}
	_, err = io.Copy(io.Discard, r.Body)
	return r.Header.Get("Request-Id"), err == nil
}

func response(id, body string) string {
	return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// call sends one request and returns the body of its response.
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
		id, ok := readRequestID(requests)
		if !ok {
			return
		}
		_, _ = conn.Write([]byte(response(id, "to "+id)))
	}
}

func TestReuse(t *testing.T) {
	s := newScriptedServer(t, echo)
	c := exchange.New()
	defer func() { _ = c.Close() }()
	for _, id := range []string{"1", "2", "3"} {
		if body, err := call(c, s.request(id)); err != nil || body != "to "+id {
			t.Fatalf("got %q and %v", body, err)
		}
	}
	if s.accepted.Load() != 1 || c.Dialed() != 1 || c.Reused() != 2 {
		t.Errorf("%d connections, %d dialed, %d reused", s.accepted.Load(), c.Dialed(), c.Reused())
	}
}

// TestNewConnection checks which requests get a connection of their own, also if idle ones take all that the
// server allows.
func TestNewConnection(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(n int, r *exchange.Request)
		dialed int64
	}{
		{"different ids", func(n int, r *exchange.Request) { r.ID = strconv.Itoa(n) }, 1},
		{"the same id", func(_ int, r *exchange.Request) { r.ID = "1" }, 4},
		{"an id of two requests before", func(n int, r *exchange.Request) { r.ID = strconv.Itoa(n % 2) }, 2},
		{"no id", func(_ int, _ *exchange.Request) {}, 1},
		{"new connections", func(_ int, r *exchange.Request) { r.NewConnection = true }, 4},
	} {
		for _, maxConns := range []int{1, 2} {
			t.Run(tt.name+" "+strconv.Itoa(maxConns), func(t *testing.T) {
				s := newScriptedServer(t, echo)
				c := exchange.New()
				defer func() { _ = c.Close() }()
				for n := range 4 {
					r := s.request("x")
					r.MaxConns = maxConns
					tt.change(n, r)
					if body, err := call(c, r); err != nil || body != "to x" {
						t.Fatalf("request %d: got %q and %v", n, body, err)
					}
				}
				if got := c.Dialed(); got < tt.dialed || maxConns > 1 && got != tt.dialed {
					t.Errorf("%d connections established, want %d", got, tt.dialed)
				}
			})
		}
	}
}

// TestUnsolicitedResponse checks that a connection on which an unsolicited response
// arrived before the next request is closed and not reused.
func TestUnsolicitedResponse(t *testing.T) {
	s := newScriptedServer(t, func(conn net.Conn, requests *bufio.Reader) {
		id, _ := readRequestID(requests)
		_, _ = conn.Write([]byte(response(id, "first") + response(id, "second")))
		echo(conn, requests)
	})
	c := exchange.New()
	defer func() { _ = c.Close() }()
	if body, err := call(c, s.request("1")); err != nil || body != "first" {
		t.Fatalf("got %q and %v", body, err)
	}
	time.Sleep(20 * time.Millisecond)
	if body, err := call(c, s.request("2")); err != nil || body != "first" {
		t.Fatalf("got %q and %v, want the response from a new connection", body, err)
	}
	if s.accepted.Load() != 2 {
		t.Errorf("%d connections, want 2", s.accepted.Load())
	}
}

// TestLateForeignResponse checks that a second response to an earlier request is
// skipped if it arrives after the next request was sent.
func TestLateForeignResponse(t *testing.T) {
	s := newScriptedServer(t, func(conn net.Conn, requests *bufio.Reader) {
		first, _ := readRequestID(requests)
		_, _ = conn.Write([]byte(response(first, "first")))
		second, _ := readRequestID(requests)
		_, _ = conn.Write([]byte(response(first, "again") + response(second, "mine")))
		echo(conn, requests)
	})
	c := exchange.New()
	defer func() { _ = c.Close() }()
	if _, err := call(c, s.request("1")); err != nil {
		t.Fatal(err)
	}
	if body, err := call(c, s.request("2")); err != nil || body != "mine" {
		t.Fatalf("got %q and %v", body, err)
	}
}

// TestWritten checks that the error tells a request that may have reached the server
// from one that was never sent.
func TestWritten(t *testing.T) {
	s := newScriptedServer(t, func(_ net.Conn, requests *bufio.Reader) { _, _ = readRequestID(requests) })
	c := exchange.New()
	defer func() { _ = c.Close() }()
	_, err := call(c, s.request("1"))
	var lost *exchange.NoResponseError
	if !errors.As(err, &lost) || !lost.Written {
		t.Errorf("got %v, want a NoResponseError with Written set", err)
	}
	_ = s.listener.Close()
	_, err = call(c, s.request("2"))
	var dial *exchange.DialError
	if !errors.As(err, &dial) {
		t.Errorf("got %v, want a DialError", err)
	}
}

// TestClosedWhileIdle checks that an idle connection that the server closed is not
// reused.
func TestClosedWhileIdle(t *testing.T) {
	s := newScriptedServer(t, func(conn net.Conn, requests *bufio.Reader) {
		id, ok := readRequestID(requests)
		if ok {
			_, _ = conn.Write([]byte(response(id, "to "+id)))
		}
	})
	c := exchange.New()
	defer func() { _ = c.Close() }()
	for _, id := range []string{"1", "2"} {
		if body, err := call(c, s.request(id)); err != nil || body != "to "+id {
			t.Fatalf("got %q and %v", body, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TestTruncatedResponse checks that a truncated response returns an error.
func TestTruncatedResponse(t *testing.T) {
	for name, script := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"header":  "HTTP/1.1 200 OK\r\nContent-Le",
		"garbage": "\x00\x01\x02 not an answer\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := newScriptedServer(t, func(conn net.Conn, requests *bufio.Reader) {
				_, _ = readRequestID(requests)
				_, _ = conn.Write([]byte(script))
			})
			c := exchange.New()
			defer func() { _ = c.Close() }()
			if body, err := call(c, s.request("1")); err == nil {
				t.Errorf("got %q without an error", body)
			}
		})
	}
}

// TestResetWithoutLength checks a response that is delimited by the end of its
// connection: it is complete after a FIN, and an error after a reset.
func TestResetWithoutLength(t *testing.T) {
	for _, reset := range []bool{false, true} {
		s := newScriptedServer(t, func(conn net.Conn, requests *bufio.Reader) {
			_, _ = readRequestID(requests)
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\n\r\nall of it"))
			time.Sleep(10 * time.Millisecond)
			if reset {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
		})
		c := exchange.New()
		body, err := call(c, s.request("1"))
		if (err != nil) != reset {
			t.Errorf("reset %t: got %q and %v", reset, body, err)
		}
		_ = c.Close()
	}
}

// TestEarlyResponse checks that a connection is not reused if the server responded
// before a long request body was written.
func TestEarlyResponse(t *testing.T) {
	s := newScriptedServer(t, func(conn net.Conn, requests *bufio.Reader) {
		if _, err := http.ReadRequest(requests); err != nil {
			return
		}
		_, _ = conn.Write([]byte("HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n"))
		time.Sleep(100 * time.Millisecond)
	})
	c := exchange.New()
	defer func() { _ = c.Close() }()
	r := s.request("1")
	r.Body = make([]byte, 16<<20)
	if _, err := call(c, r); err != nil {
		t.Fatal(err)
	}
	if _, err := call(c, s.request("2")); err != nil {
		t.Fatal(err)
	}
	if s.accepted.Load() != 2 {
		t.Errorf("%d connections, want 2", s.accepted.Load())
	}
}

// TestFullPoolNoEnd guards against a server whose connections are all in use and that counts
// as one that accepts none.
func TestFullPoolNoEnd(t *testing.T) {
	s := newScriptedServer(t, func(_ net.Conn, requests *bufio.Reader) { _, _ = readRequestID(requests) })
	c := exchange.New()
	for range exchange.DefaultMaxConns + 1 {
		if err := c.Connect(t.Context(), s.address()); err != nil {
			t.Fatal(err)
		}
	}
	_ = c.Close()
	closed := exchange.New()
	defer func() { _ = closed.Close() }()
	var dial *exchange.DialError
	if err := closed.Connect(t.Context(), netip.MustParseAddrPort("127.0.0.1:1")); !errors.As(err, &dial) {
		t.Errorf("got %v, want a DialError of an address without a listener", err)
	}
}

// TestMaxConns checks the limit of connections to one server.
func TestMaxConns(t *testing.T) {
	release := make(chan struct{})
	s := newScriptedServer(t, func(conn net.Conn, requests *bufio.Reader) {
		id, _ := readRequestID(requests)
		<-release
		_, _ = conn.Write([]byte(response(id, "done")))
	})
	c := exchange.New()
	defer func() { _ = c.Close() }()
	done := make(chan error, 1)
	go func() {
		r := s.request("1")
		r.MaxConns = 1
		_, err := call(c, r)
		done <- err
	}()
	for s.accepted.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	r := s.request("2")
	r.MaxConns = 1
	_, err := call(c, r)
	var dial *exchange.DialError
	if !errors.As(err, &dial) || !dial.PoolExhausted {
		t.Errorf("got %v, want a DialError with PoolExhausted set", err)
	}
	close(release)
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// TestPrune checks that idle connections are closed after the idle timeout.
func TestPrune(t *testing.T) {
	s := newScriptedServer(t, echo)
	c := exchange.New(exchange.WithIdleTimeout(10 * time.Millisecond))
	defer func() { _ = c.Close() }()
	if _, err := call(c, s.request("1")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond)
	c.Prune(time.Now())
	if _, err := call(c, s.request("2")); err != nil {
		t.Fatal(err)
	}
	if c.Dialed() != 2 {
		t.Errorf("%d connections, want 2", c.Dialed())
	}
}

// TestPruneUnusable checks that an idle connection is closed that the server has closed, or on which
// it sends bytes that belong to no request.
func TestPruneUnusable(t *testing.T) {
	for _, extra := range []string{"", "unsolicited"} {
		closed := make(chan struct{})
		s := newScriptedServer(t, func(conn net.Conn, requests *bufio.Reader) {
			id, _ := readRequestID(requests)
			_, _ = io.WriteString(conn, response(id, "done"))
			time.Sleep(10 * time.Millisecond)
			if extra == "" {
				_ = conn.(*net.TCPConn).CloseWrite()
			}
			_, _ = io.WriteString(conn, extra)
			_, _ = requests.ReadByte()
			close(closed)
		})
		c := exchange.New(exchange.WithIdleTimeout(time.Hour))
		if _, err := call(c, s.request("1")); err != nil {
			t.Fatal(err)
		}
		for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
			c.Prune(time.Now())
			select {
			case <-closed:
			default:
				if time.Now().Before(deadline) {
					continue
				}
				t.Errorf("connection after %q is still open", extra)
			}
			break
		}
		_ = c.Close()
	}
}

// FuzzResponse makes the server send arbitrary bytes. The client must not return a
// response to another request, nor a truncated response without an error.
func FuzzResponse(f *testing.F) {
	f.Add([]byte(response("1", "whole")))
	f.Add([]byte(response("2", "foreign")))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\n" + response("1", "later")))
	for _, r := range site.EndlessResponses() {
		f.Add(r.Prefix(1 << 10))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s := newScriptedServer(t, func(conn net.Conn, requests *bufio.Reader) {
			_, _ = readRequestID(requests)
			_, _ = conn.Write(data)
		})
		c := exchange.New()
		defer func() { _ = c.Close() }()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		resp, err := c.Do(ctx, s.request("1"))
		if err != nil {
			return
		}
		defer func() { _ = resp.Body.Close() }()
		if id := resp.Header.Get("Request-Id"); id != "" && id != "1" {
			t.Errorf("got the response to request %q", id)
		}
		body, err := io.ReadAll(resp.Body)
		if err == nil && resp.ContentLength >= 0 && int64(len(body)) != resp.ContentLength {
			t.Errorf("%d of %d bytes without an error", len(body), resp.ContentLength)
		}
	})
}

package exchange_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/crocusline/crocusline/modules/exchange"
)

// noticeTimeout is shorter than the TCP user timeout, after which the kernel closes a connection whose
// bytes are not acknowledged.
const noticeTimeout = exchange.DefaultUserTimeout * 2 / 3

// TestServerWorksOnAbandonedLongBody guards against servers that learn of the end of a request only once they have
// read its long body.
func TestServerWorksOnAbandonedLongBody(t *testing.T) {
	for _, size := range []int{1 << 10, 100 << 10, 256 << 10, 1 << 20, longBodySize} {
		for _, early := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d bytes, answers early %t", size, early), func(t *testing.T) {
				t.Parallel()
				began, noticed := make(chan struct{}), make(chan bool, 1)
				s := newScriptedServer(t, func(conn net.Conn, requests *bufio.Reader) {
					if _, err := http.ReadRequest(requests); err != nil {
						return
					}
					if early {
						_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
					}
					// The client fills the receive window meanwhile.
					time.Sleep(100 * time.Millisecond)
					close(began)
					noticed <- awaitHangup(t, conn, noticeTimeout)
				})
				c := exchange.New()
				defer func() { _ = c.Close() }()
				r := s.request("1")
				r.Body = make([]byte, size)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if early {
					resp, err := c.Do(ctx, r)
					if err != nil {
						t.Fatal(err)
					}
					<-began
					_ = resp.Body.Close()
				} else {
					go func() {
						<-began
						cancel()
					}()
					if resp, err := c.Do(ctx, r); err == nil {
						_ = resp.Body.Close()
						t.Error("got a response")
					}
				}
				if !<-noticed {
					t.Errorf("the server did not learn within %v that the client closed the connection", noticeTimeout)
				}
			})
		}
	}
}

// TestServerWorksOnBehindClosedWindow guards against connections that the kernel closes without telling a server which
// works and has not read a long body: its request goes on elsewhere meanwhile.
func TestServerWorksOnBehindClosedWindow(t *testing.T) {
	t.Parallel()
	const deadline = exchange.DefaultUserTimeout + time.Second
	noticed := make(chan time.Duration, 1)
	s := newScriptedServer(t, func(conn net.Conn, requests *bufio.Reader) {
		if _, err := http.ReadRequest(requests); err != nil {
			return
		}
		start := time.Now()
		if awaitHangup(t, conn, 2*deadline) {
			noticed <- time.Since(start)
			return
		}
		noticed <- 0
	})
	c := exchange.New()
	defer func() { _ = c.Close() }()
	r := s.request("1")
	r.Body = make([]byte, longBodySize)
	ctx, cancel := context.WithTimeout(t.Context(), deadline)
	defer cancel()
	start := time.Now()
	if resp, err := c.Do(ctx, r); err == nil {
		_ = resp.Body.Close()
		t.Error("got a response")
	}
	ended := time.Since(start)
	if after := <-noticed; after == 0 || after > ended+noticeTimeout/4 {
		t.Errorf("the request ended after %v, and the server learned that after %v", ended, after)
	}
}

// awaitHangup reports whether the peer closes or resets the connection within the timeout, without reading from it.
func awaitHangup(t *testing.T, conn net.Conn, timeout time.Duration) bool {
	t.Helper()
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Error(err)
		return false
	}
	var polled int
	var pollErr error
	deadline := time.Now().Add(timeout)
	err = raw.Control(func(fd uintptr) {
		for {
			left := max(0, time.Until(deadline))
			polled, pollErr = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}, int(left.Milliseconds()))
			// The runtime's signals interrupt the call.
			if !errors.Is(pollErr, unix.EINTR) {
				return
			}
		}
	})
	if err != nil || pollErr != nil {
		t.Errorf("poll: %v, %v", err, pollErr)
	}
	return polled > 0
}

// TestEndedRequestSent guards against requests that are sent after their end.
func TestEndedRequestSent(t *testing.T) {
	received := make(chan struct{}, 1000)
	s := newScriptedServer(t, func(conn net.Conn, requests *bufio.Reader) {
		for {
			r, err := http.ReadRequest(requests)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			if r.Header.Get("Ended") != "" {
				received <- struct{}{}
			}
			_, _ = io.WriteString(conn, response("1", "answer"))
		}
	})
	c := exchange.New()
	defer func() { _ = c.Close() }()
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	for range 50 {
		if _, err := call(c, s.request("1")); err != nil {
			t.Fatal(err)
		}
		r := s.request("1")
		r.Header.Set("Ended", "1")
		resp, err := c.Do(ended, r)
		var notSent *exchange.NotSentError
		if err == nil {
			_ = resp.Body.Close()
		}
		if !errors.As(err, &notSent) || !errors.Is(err, context.Canceled) {
			t.Errorf("got %v, want that nothing was sent", err)
		}
	}
	// The connection is still usable.
	if _, err := call(c, s.request("1")); err != nil {
		t.Fatal(err)
	}
	if n := len(received); n > 0 {
		t.Errorf("the server received %d requests after their end", n)
	}
}

// TestResetBehindSentBytes guards against a request whose connection is reset, which a lossy link may lose for good, though
// an orderly close needs not wait: all its bytes are sent, and the server's system has not acknowledged them yet.
func TestResetBehindSentBytes(t *testing.T) {
	const attempts = 20
	ends := make(chan error, attempts)
	arrived := make(chan struct{}, 1)
	s := newScriptedServer(t, func(conn net.Conn, requests *bufio.Reader) {
		for {
			id, ok := readRequestID(requests)
			if !ok {
				return
			}
			if id == "last" {
				arrived <- struct{}{}
				_, err := requests.ReadByte()
				ends <- err
				return
			}
			_, _ = io.WriteString(conn, response(id, "answer"))
		}
	})
	c := exchange.New()
	defer func() { _ = c.Close() }()
	for range attempts {
		// A system acknowledges late on a connection that carries requests and responses in turns.
		for range 10 {
			if _, err := call(c, s.request("1")); err != nil {
				t.Fatal(err)
			}
		}
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			<-arrived
			// The write returns meanwhile.
			time.Sleep(5 * time.Millisecond)
			cancel()
		}()
		if resp, err := c.Do(ctx, s.request("last")); err == nil {
			_ = resp.Body.Close()
			t.Error("got a response")
		}
		cancel()
	}
	resets := 0
	for range attempts {
		if err := <-ends; !errors.Is(err, io.EOF) {
			resets++
		}
	}
	if resets > 0 {
		t.Errorf("%d of %d connections were reset", resets, attempts)
	}
}

// TestServerWorksOnWithFullBuffer guards against servers that don't learn of the end of a request which fills their receive
// buffer, whether all of it could be sent or not.
func TestServerWorksOnWithFullBuffer(t *testing.T) {
	// The window is about 4 KiB. One of the sizes fills it exactly, so that nothing is left to send but the close.
	sizes := []int{1, 1 << 10, 3 << 10, 5 << 10, 8 << 10, 12 << 10}
	for size := 4020; size < 4080; size++ {
		sizes = append(sizes, size)
	}
	noticed := make([]chan bool, len(sizes))
	for i := range noticed {
		noticed[i] = make(chan bool, 1)
	}
	began := make(chan struct{}, len(noticed))
	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) { optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<10) })
		if err != nil {
			return err
		}
		return optionErr
	}}
	listener, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		for i := range noticed {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				// The client fills the receive window meanwhile.
				time.Sleep(60 * time.Millisecond)
				began <- struct{}{}
				noticed[i] <- awaitHangup(t, conn, noticeTimeout)
			}()
		}
	}()
	c := exchange.New()
	defer func() { _ = c.Close() }()
	for i, size := range sizes {
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			<-began
			cancel()
		}()
		resp, err := c.Do(ctx, &exchange.Request{
			Address: listener.Addr().(*net.TCPAddr).AddrPort(), Method: http.MethodPost, Target: "/a", Host: "a", Body: make([]byte, size),
		})
		if err == nil {
			_ = resp.Body.Close()
			t.Error("got a response")
		}
		cancel()
		if !<-noticed[i] {
			t.Errorf("%d bytes: the server did not learn within %v that the client closed the connection", size, noticeTimeout)
		}
	}
}

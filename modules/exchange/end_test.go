package exchange_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/modules/exchange"
)

// TestUnframedResponseResetWhileWriting guards against a part of a response that ends with its connection passing for
// the whole, as the write of the request has received the error of the reset and the read an orderly end.
func TestUnframedResponseResetWhileWriting(t *testing.T) {
	t.Parallel()
	const repetitions, concurrent = 400, 8
	s := newScriptedServer(t, func(conn net.Conn, requests *bufio.Reader) {
		if _, err := http.ReadRequest(requests); err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
		reset(conn)
	})
	var complete atomic.Int64
	var callers sync.WaitGroup
	for range concurrent {
		callers.Go(func() {
			for range repetitions / concurrent {
				if _, err := callWithLongBody(t, s); err == nil {
					complete.Add(1)
				}
			}
		})
	}
	callers.Wait()
	if n := complete.Load(); n > 0 {
		t.Errorf("%d of %d responses that were reset passed for complete", n, repetitions)
	}
}

// reset makes the close of the connection a reset.
func reset(conn net.Conn) { _ = conn.(*net.TCPConn).SetLinger(0) }

// responseEnd is how a server ends a response, with a part of the request read.
type responseEnd struct {
	name string
	// early is whether the response is sent before the body of the request was read.
	early bool
	// end reads the rest of the request, or not, and ends the connection.
	end func(conn net.Conn, rest io.Reader)
	// clean is whether the server has read the request and closes its side in order.
	clean bool
}

// ends are the ways in which servers end a response.
func ends(done <-chan struct{}) []responseEnd {
	read := func(rest io.Reader) { _, _ = io.Copy(io.Discard, rest) }
	return []responseEnd{
		{"closed", false, func(net.Conn, io.Reader) {}, true},
		{"reset after the last byte", false, func(conn net.Conn, _ io.Reader) { reset(conn) }, false},
		{"early, read later, closed", true, func(_ net.Conn, rest io.Reader) {
			time.Sleep(50 * time.Millisecond)
			read(rest)
		}, true},
		{"early, ended, read later", true, func(conn net.Conn, rest io.Reader) {
			_ = conn.(*net.TCPConn).CloseWrite()
			time.Sleep(50 * time.Millisecond)
			read(rest)
		}, true},
		{"early, ended, never read", true, func(conn net.Conn, _ io.Reader) {
			_ = conn.(*net.TCPConn).CloseWrite()
			<-done
		}, false},
		{"early, ended, then reset", true, func(conn net.Conn, _ io.Reader) {
			_ = conn.(*net.TCPConn).CloseWrite()
			time.Sleep(20 * time.Millisecond)
			reset(conn)
		}, false},
		{"early, closed unread", true, func(net.Conn, io.Reader) {}, false},
	}
}

// TestEndOfResponse guards against responses that are taken for complete though their end doesn't show it, and against
// complete ones that are refused, for each framing and end.
func TestEndOfResponse(t *testing.T) {
	t.Parallel()
	const chunked = "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"
	framings := []struct {
		name, method, text, body string
		// framed is whether the head or the body says where the response ends, and cut whether it ends before.
		framed, cut bool
	}{
		{"length", http.MethodPost, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", "body", true, false},
		{"length, cut", http.MethodPost, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody", "", true, true},
		{"chunks", http.MethodPost, "HTTP/1.1 200 OK\r\n" + chunked + "0\r\n\r\n", "body", true, false},
		{"chunks, cut", http.MethodPost, "HTTP/1.1 200 OK\r\n" + chunked, "", true, true},
		{"none", http.MethodPost, "HTTP/1.1 200 OK\r\n\r\nbody", "body", false, false},
		{"none, error", http.MethodPost, "HTTP/1.1 500 Failed\r\n\r\nbody", "body", false, false},
		{"none, HTTP/1.0", http.MethodPost, "HTTP/1.0 200 OK\r\n\r\nbody", "body", false, false},
		{"none, interim first", http.MethodPost, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\nbody", "body", false, false},
		{"HEAD", http.MethodHead, "HTTP/1.1 200 OK\r\n\r\n", "", true, false},
		{"204", http.MethodPost, "HTTP/1.1 204 No Content\r\n\r\n", "", true, false},
		{"304", http.MethodPost, "HTTP/1.1 304 Not Modified\r\n\r\n", "", true, false},
	}
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	for _, end := range ends(done) {
		for _, f := range framings {
			for _, size := range []int{100, longBodySize} {
				if end.early && size < longBodySize {
					// The server's system receives all of a short request, read or not.
					continue
				}
				t.Run(end.name+"/"+f.name+"/"+strconv.Itoa(size), func(t *testing.T) {
					t.Parallel()
					s := newScriptedServer(t, func(conn net.Conn, requests *bufio.Reader) {
						r, err := http.ReadRequest(requests)
						if err != nil {
							return
						}
						if !end.early {
							_, _ = io.Copy(io.Discard, r.Body)
						}
						_, _ = io.WriteString(conn, f.text)
						end.end(conn, r.Body)
					})
					body, err := callForEnd(t, s, f.method, size)
					switch complete := !f.cut && (f.framed || end.clean); {
					case complete && end.clean && (err != nil || body != f.body):
						t.Errorf("got %q and %v, want %q", body, err, f.body)
					case !complete && err == nil:
						t.Errorf("%q passed for complete", body)
					case errors.Is(err, context.DeadlineExceeded):
						t.Errorf("got %v, want an error before the deadline", err)
					}
				})
			}
		}
	}
}

// callForEnd sends a request with a body of that size and returns the body of its response.
func callForEnd(t *testing.T, s *scriptedServer, method string, size int) (string, error) {
	t.Helper()
	c := exchange.New()
	defer func() { _ = c.Close() }()
	r := s.request("1")
	r.Method, r.Body = method, make([]byte, size)
	ctx, cancel := context.WithTimeout(t.Context(), longBodyTimeout)
	defer cancel()
	resp, err := c.Do(ctx, r)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

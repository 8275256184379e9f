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
	"github.com/crocusline/crocusline/tests/knownred"
)

// longBodySize is the size in bytes of a request body that no receive window of the tests holds.
const longBodySize = 2 << 20

// TestServerReadsLongBodyLate guards against servers that are healthy, read a long body later than
// the TCP user timeout, and whose connection is reset.
func TestServerReadsLongBodyLate(t *testing.T) {
	const events = 8
	for _, early := range []bool{true, false} {
		t.Run(fmt.Sprintf("answers early %t", early), func(t *testing.T) {
			t.Parallel()
			read := make(chan int64, 1)
			s := newScriptedServer(t, func(conn net.Conn, requests *bufio.Reader) {
				r, err := http.ReadRequest(requests)
				if err != nil {
					return
				}
				const pause = exchange.DefaultUserTimeout * 3 / 2 / events
				if early {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
				}
				for range events {
					time.Sleep(pause)
					if early {
						_, _ = io.WriteString(conn, "5\r\nevent\r\n")
					}
				}
				n, _ := io.Copy(io.Discard, r.Body)
				read <- n
				if early {
					_, _ = io.WriteString(conn, "0\r\n\r\n")
					return
				}
				_, _ = io.WriteString(conn, response("1", "answer"))
			})
			body, err := callWithLongBody(t, s)
			want := "answer"
			if early {
				want = "eventeventeventeventeventeventeventevent"
			}
			problem := ""
			if err != nil || body != want {
				problem = fmt.Sprintf("got %q and %v, want %q", body, err, want)
			}
			if n := <-read; problem == "" && n != longBodySize {
				problem = fmt.Sprintf("the server read %d bytes, want %d", n, longBodySize)
			}
			knownred.Report(t, problem)
		})
	}
}

// TestServerUnreachableWithUnreadBody guards against servers that vanish while they have not read a
// long body, and whose requests wait for their deadline.
func TestServerUnreachableWithUnreadBody(t *testing.T) {
	t.Parallel()
	for _, after := range []time.Duration{0, time.Second} {
		t.Run(after.String(), func(t *testing.T) {
			t.Parallel()
			s := newScriptedServer(t, func(conn net.Conn, requests *bufio.Reader) {
				if _, err := http.ReadRequest(requests); err != nil {
					return
				}
				time.Sleep(after)
				dropPackets(t, conn)
				<-t.Context().Done()
			})
			_, err := callWithLongBody(t, s)
			if err == nil || errors.Is(err, context.DeadlineExceeded) {
				t.Errorf("got %v, want an error of the connection", err)
			}
		})
	}
}

// longBodyTimeout is the deadline of a request with a long body. Callers wait about as long.
const longBodyTimeout = 10 * time.Second

// callWithLongBody sends a request with a long body and returns the body of its response.
func callWithLongBody(t *testing.T, s *scriptedServer) (string, error) {
	t.Helper()
	c := exchange.New()
	defer func() { _ = c.Close() }()
	r := s.request("1")
	r.Body = make([]byte, longBodySize)
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

// dropPackets makes the socket ignore all packets, as if its machine were gone.
func dropPackets(t *testing.T, conn net.Conn) {
	t.Helper()
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Error(err)
		return
	}
	drop := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K}}
	program := &unix.SockFprog{Len: uint16(len(drop)), Filter: &drop[0]}
	var attachErr error
	err = raw.Control(func(fd uintptr) {
		attachErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, program)
	})
	if err != nil || attachErr != nil {
		t.Errorf("attach filter: %v, %v", err, attachErr)
	}
}

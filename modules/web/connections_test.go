package web_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/crocusline/crocusline/modules/netmeter"
	"github.com/crocusline/crocusline/modules/web"
)

// limitedServer is a server with a limit of two connections. Its handler waits for release at the path
// /wait.
type limitedServer struct {
	*web.Server
	release chan struct{}
	entered chan struct{}
	limited atomic.Int64
}

func newLimitedServer(t *testing.T) *limitedServer {
	t.Helper()
	s := &limitedServer{release: make(chan struct{}), entered: make(chan struct{})}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			s.entered <- struct{}{}
			<-s.release
		}
		w.WriteHeader(http.StatusNoContent)
	})
	var err error
	s.Server, err = web.NewServer(netip.MustParseAddrPort("127.0.0.1:0"), handler,
		web.WithMaxConnections(func() int { return 2 }, func() { s.limited.Add(1) }))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// connect opens a connection and writes the text.
func (s *limitedServer) connect(t *testing.T, text string) net.Conn {
	t.Helper()
	conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", s.Address().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	return conn
}

// status reads the status of a response, or 0 if the connection was closed.
func status(conn net.Conn) int {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

const (
	header = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	wait   = "GET /wait HTTP/1.1\r\nHost: a\r\n\r\n"
)

// TestIdleConnectionsKeepOthersOut guards against connections with a part of a header, or without a
// request, that keep callers from connecting.
func TestIdleConnectionsKeepOthersOut(t *testing.T) {
	for _, text := range []string{"GET / HT", header, ""} {
		s := newLimitedServer(t)
		first, second := s.connect(t, text), s.connect(t, wait)
		if text == header && status(first) != http.StatusNoContent {
			t.Fatal("the first request was not served")
		}
		<-s.entered
		// The first connection is kept for a short time.
		for status(s.connect(t, header)) != http.StatusNoContent {
			time.Sleep(time.Millisecond)
		}
		if got := status(first); got != 0 {
			t.Errorf("after %q: got status %d, want a closed connection", text, got)
		}
		close(s.release)
		if got := status(second); got != http.StatusNoContent {
			t.Errorf("a request in progress got status %d", got)
		}
		if s.limited.Load() == 0 {
			t.Error("no connection was counted")
		}
	}
}

// TestConnectionLimitEndsRequests guards against a limit that closes connections with requests in
// progress for new ones, over HTTP/1.1 and HTTP/2, and against new ones that are not refused then.
func TestConnectionLimitEndsRequests(t *testing.T) {
	for _, http2 := range []bool{false, true} {
		s := newLimitedServer(t)
		served := make(chan bool, 2)
		for range 2 {
			protocols := new(http.Protocols)
			protocols.SetHTTP1(!http2)
			protocols.SetUnencryptedHTTP2(http2)
			client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
			defer client.CloseIdleConnections()
			go func() {
				resp, err := client.Get("http://" + s.Address().String() + "/wait")
				if err == nil {
					_ = resp.Body.Close()
				}
				served <- err == nil && resp.StatusCode == http.StatusNoContent
			}()
			<-s.entered
		}
		time.Sleep(150 * time.Millisecond)
		if got := status(s.connect(t, header)); got != http.StatusServiceUnavailable && got != 0 {
			t.Errorf("HTTP/2 %t: a connection beyond the limit got status %d", http2, got)
		}
		close(s.release)
		for range 2 {
			if !<-served {
				t.Errorf("HTTP/2 %t: a request in progress was not served", http2)
			}
		}
	}
}

// TestBodyWithoutEnd guards against connections that stay open as long as a body is short of its end,
// whether the handler reads it or not.
func TestBodyWithoutEnd(t *testing.T) {
	for _, read := range []bool{false, true} {
		handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if read {
				_, _ = io.Copy(io.Discard, r.Body)
			}
			w.WriteHeader(http.StatusNoContent)
		})
		server, err := web.NewServer(netip.MustParseAddrPort("127.0.0.1:0"), handler, web.WithBodyTimeout(20*time.Millisecond))
		if err != nil {
			t.Fatal(err)
		}
		s := &limitedServer{Server: server}
		conn := s.connect(t, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nbo")
		if err := conn.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, conn); err != nil {
			t.Errorf("read %t: the connection was not closed: %v", read, err)
		}
		_ = s.Close()
	}
}

// TestLimitedConnectionLosesTCPMethods guards against a limit of connections that hides the methods of TCP connections.
// Without SetLinger, a caller of HTTP/1.0 takes an aborted response for complete. Without CloseWrite, a caller whose body
// was refused gets a reset instead of the end of the response.
func TestLimitedConnectionLosesTCPMethods(t *testing.T) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/refused" {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		tcp, ok := conn.(interface{ SetLinger(sec int) error })
		if !ok || tcp.SetLinger(0) != nil {
			t.Error("the connection can't be reset")
		}
		_ = conn.Close()
	})
	server, err := web.NewServer(netip.MustParseAddrPort("127.0.0.1:0"), handler, web.WithMeter(netmeter.New()),
		web.WithMaxConnections(func() int { return 2 }, func() {}))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	s := &limitedServer{Server: server}
	// The server skips no more than 256 KiB of a body, and most of what has arrived stays unread.
	const bodyBytes, sentBytes = 1 << 20, 64 << 10
	refused := s.connect(t, fmt.Sprintf("POST /refused HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", bodyBytes, strings.Repeat("x", sentBytes)))
	if data, err := io.ReadAll(refused); err != nil || !bytes.HasPrefix(data, []byte("HTTP/1.1 503")) {
		t.Errorf("refused body: got %q and %v", data, err)
	}
	aborted := s.connect(t, "GET /aborted HTTP/1.0\r\nHost: a\r\n\r\n")
	if data, err := io.ReadAll(aborted); err == nil {
		t.Errorf("aborted response: got %q without an error", data)
	}
}

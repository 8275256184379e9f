package exchange_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/modules/exchange"
)

// endlessServer answers each request with start and then repeats pattern until the client
// closes the connection.
type endlessServer struct {
	address netip.AddrPort
	sent    atomic.Int64
	closed  chan struct{}
}

func newEndlessServer(t *testing.T, start, pattern string) *endlessServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &endlessServer{address: listener.Addr().(*net.TCPAddr).AddrPort(), closed: make(chan struct{})}
	go func() {
		defer close(s.closed)
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		if _, err := conn.Read(make([]byte, 4096)); err != nil {
			return
		}
		block := []byte(strings.Repeat(pattern, 1+(32<<10)/len(pattern)))
		for data := []byte(start); ; data = block {
			n, err := conn.Write(data)
			s.sent.Add(int64(n))
			if err != nil {
				return
			}
		}
	}()
	return s
}

// TestEndlessResponse checks that bytes without end are given up at a bound, with the
// connection closed and without keeping them in memory. The request may have run.
func TestEndlessResponse(t *testing.T) {
	// maxRead is what a response may take before it is given up, with what the sockets hold.
	const maxRead = 16 << 20
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, c := range map[string]struct{ start, pattern string }{
		"no answer":     {"", "x"},
		"header line":   {ok + "Server: ", "x"},
		"header lines":  {ok, "X-Field: value\r\n"},
		"interim heads": {"", "HTTP/1.1 102 Processing\r\nX-Field: value\r\n\r\n"},
		"chunk line":    {ok + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		"chunk extension": {
			ok + "Transfer-Encoding: chunked\r\n\r\n5;", "x",
		},
		"trailer":          {ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Field: value\r\n"},
		"foreign response": {ok + "Request-Id: another\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nhello\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newEndlessServer(t, c.start, c.pattern)
			client := exchange.New()
			defer func() { _ = client.Close() }()
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			before := heapInUse()
			resp, err := client.Do(ctx, &exchange.Request{Address: s.address, Method: "GET", Target: "/", Host: "a", Header: http.Header{}, IsForeign: func(h http.Header) bool { return h.Get("Request-Id") == "another" }})
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
			var noResponse *exchange.NoResponseError
			if err == nil || (errors.As(err, &noResponse) && !noResponse.Written) || ctx.Err() != nil {
				t.Errorf("got %v, want an error that leaves open whether the request ran", err)
			}
			<-s.closed
			if sent := s.sent.Load(); sent > maxRead {
				t.Errorf("%d bytes were read, want at most %d", sent, maxRead)
			}
			if grown := heapInUse() - before; grown > 2<<20 {
				t.Errorf("memory grew by %d bytes", grown)
			}
		})
	}
}

func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

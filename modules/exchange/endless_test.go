package exchange_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/modules/exchange"
	"github.com/crocusline/crocusline/standin/site"
)

// TestEndlessResponse checks that bytes without end are given up at a bound, with the
// connection closed and without keeping them in memory. The request may have run.
func TestEndlessResponse(t *testing.T) {
	// maxRead is what a response may take before it is given up, with what the sockets hold.
	const maxRead = 16 << 20
	for _, r := range site.EndlessResponses() {
		t.Run(r.Name, func(t *testing.T) {
			s, err := site.NewEndlessServer(r)
			if err != nil {
				t.Fatal(err)
			}
			client := exchange.New()
			defer func() { _ = client.Close() }()
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			before := heapInUse()
			resp, err := client.Do(ctx, &exchange.Request{Address: s.Address(), Method: "GET", Target: "/", Host: "a", Header: http.Header{}, IsForeign: func(h http.Header, _ bool) bool { return h.Get("Request-Id") == "another" }})
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
			var noResponse *exchange.NoResponseError
			if err == nil || (errors.As(err, &noResponse) && !noResponse.Written) || ctx.Err() != nil {
				t.Errorf("got %v, want an error that leaves open whether the request ran", err)
			}
			if err := s.Close(); err != nil {
				t.Error(err)
			}
			if sent := s.Sent(); sent > maxRead {
				t.Errorf("%d bytes were read, want at most %d", sent, maxRead)
			}
			if grown := heapInUse() - before; grown > 2<<20 {
				t.Errorf("memory grew by %d bytes", grown)
			}
		})
	}
}

// TestUndecodableResponse checks that the error for bytes that are no response is short, as it is
// logged.
func TestUndecodableResponse(t *testing.T) {
	const maxErrorBytes = 1 << 10
	long := strings.Repeat("\x01", 60<<10)
	for _, data := range []string{
		long + "\r\n\r\n", "HTTP/1.1 " + long + "\r\n\r\n", "HTTP/1.1 200 OK\r\n" + long + "\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: " + strings.Repeat("x", len(long)) + "\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: " + strings.Repeat("x", len(long)) + "\r\n\r\n",
	} {
		s := newScriptedServer(t, func(conn net.Conn, requests *bufio.Reader) {
			_, _ = readRequestID(requests)
			_, _ = io.WriteString(conn, data)
		})
		client := exchange.New()
		_, err := call(client, s.request("1"))
		var noResponse *exchange.NoResponseError
		if !errors.As(err, &noResponse) || !noResponse.Written || len(err.Error()) > maxErrorBytes {
			t.Errorf("%.40q: error of %d bytes, %.200s", data, len(fmt.Sprint(err)), fmt.Sprint(err))
		}
		_ = client.Close()
	}
}

func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

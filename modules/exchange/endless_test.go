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

// TestHeadFields checks that a head with many fields is given up, whether or not it ends, and that the
// lines of a body don't count as fields.
func TestHeadFields(t *testing.T) {
	fields := func(n int) string {
		var b strings.Builder
		for i := range n {
			fmt.Fprintf(&b, "F%d:\r\n", i)
		}
		return b.String()
	}
	const ok = "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n"
	lines := strings.Repeat("\n", 3000)
	framed := fmt.Sprintf("Content-Length: %d\r\n", len(lines))
	tests := []struct {
		name string
		// parts are sent one after the other.
		parts    []string
		accepted bool
	}{
		{"some", []string{ok + fields(100) + framed + "\r\n" + lines}, true},
		{"in parts", []string{ok + fields(50), framed + "\r\n" + lines}, true},
		{"after interim heads", []string{strings.Repeat("HTTP/1.1 102 Processing\r\n"+fields(50)+"\r\n", 5), ok + framed + "\r\n" + lines}, true},
		{"many", []string{ok + fields(200) + framed + "\r\n" + lines}, false},
		{"many of one name", []string{ok + strings.Repeat("F:\r\n", 200) + framed + "\r\n" + lines}, false},
		{"many without an end", []string{ok + fields(200), "F:"}, false},
	}
	for _, tt := range tests {
		s := newScriptedServer(t, func(conn net.Conn, requests *bufio.Reader) {
			_, _ = readRequestID(requests)
			for _, part := range tt.parts {
				_, _ = io.WriteString(conn, part)
				time.Sleep(10 * time.Millisecond)
			}
			// Without an end the connection stays open until the client closes it.
			_, _ = requests.ReadByte()
		})
		client := exchange.New()
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		resp, err := client.Do(ctx, s.request("1"))
		var noResponse *exchange.NoResponseError
		switch {
		case !tt.accepted && (!errors.As(err, &noResponse) || !noResponse.Written || ctx.Err() != nil):
			t.Errorf("%s: got %v, want an error that leaves open whether the request ran", tt.name, err)
		case tt.accepted && err != nil:
			t.Errorf("%s: %v", tt.name, err)
		case tt.accepted:
			if body, err := io.ReadAll(resp.Body); err != nil || string(body) != lines {
				t.Errorf("%s: body of %d bytes, %v", tt.name, len(body), err)
			}
			_ = resp.Body.Close()
		}
		cancel()
		_ = client.Close()
	}
}

func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

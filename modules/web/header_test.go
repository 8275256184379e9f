package web_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/crocusline/crocusline/modules/web"
)

const maxFields = 10

// fieldsRequest returns a request with the number of header fields, and a body of lines.
func fieldsRequest(fields int) string {
	body := strings.Repeat("a\r\n\n", 100*maxFields)
	text := fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n", len(body))
	for i := range fields - 2 {
		text += fmt.Sprintf("X-%d:\r\n", i)
	}
	return text + "\r\n" + body
}

// TestHeaderFields guards against headers of more fields than are allowed, also when they come in small parts or are not
// complete, and against a limit that counts lines of bodies, or fields of earlier requests.
func TestHeaderFields(t *testing.T) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(http.StatusNoContent)
	})
	server, err := web.NewServer(netip.MustParseAddrPort("127.0.0.1:0"), handler, web.WithoutHTTP2(), web.WithMaxHeaderFields(maxFields))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	s := &limitedServer{Server: server}
	for _, tt := range []struct {
		name string
		text string
		part int
		want int
	}{
		{"at the limit", fieldsRequest(maxFields), 1 << 20, http.StatusNoContent},
		{"at the limit, byte by byte", fieldsRequest(maxFields), 1, http.StatusNoContent},
		{"over the limit", fieldsRequest(maxFields + 1), 1 << 20, http.StatusRequestHeaderFieldsTooLarge},
		{"without an end", "GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", maxFields+1), 1, http.StatusRequestHeaderFieldsTooLarge},
		{"without carriage returns", "GET / HTTP/1.1\n" + strings.Repeat("a:\n", maxFields+1), 1 << 20, http.StatusRequestHeaderFieldsTooLarge},
	} {
		conn := s.connect(t, "")
		responses := bufio.NewReader(conn)
		const requests = 3
		for i := range requests {
			for rest := tt.text; rest != ""; {
				n := min(tt.part, len(rest))
				if _, err := io.WriteString(conn, rest[:n]); err != nil {
					break
				}
				rest = rest[n:]
			}
			if err := conn.SetReadDeadline(time.Now().Add(time.Minute)); err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(responses, nil)
			if err != nil {
				t.Fatalf("%s, request %d: %v", tt.name, i, err)
			}
			_ = resp.Body.Close()
			if resp.StatusCode != tt.want {
				t.Errorf("%s, request %d: got status %d, want %d", tt.name, i, resp.StatusCode, tt.want)
			}
			if resp.StatusCode != http.StatusNoContent {
				if rest, _ := io.ReadAll(responses); len(rest) > 0 {
					t.Errorf("%s: a second response to the request: %q", tt.name, rest)
				}
				break
			}
		}
	}
}

// TestHeaderFieldsAfterBlankLines guards against blank lines before a request, which net/http skips after a POST, that
// count as the end of its header.
func TestHeaderFieldsAfterBlankLines(t *testing.T) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	server, err := web.NewServer(netip.MustParseAddrPort("127.0.0.1:0"), handler, web.WithoutHTTP2(), web.WithMaxHeaderFields(maxFields))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	conn := (&limitedServer{Server: server}).connect(t, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
	if got := status(conn); got != http.StatusNoContent {
		t.Fatalf("got status %d", got)
	}
	for _, text := range []string{"\r\n\r\n", "GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a:\r\n", maxFields) + "\r\n"} {
		if _, err := io.WriteString(conn, text); err != nil {
			t.Fatal(err)
		}
	}
	if got := status(conn); got != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("got status %d", got)
	}
}

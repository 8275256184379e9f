package relay_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/models/roster"
	"github.com/crocusline/crocusline/standin/site"
)

// rawServer runs each request and responds with the same bytes, in which ID stands for the request's id.
type rawServer struct {
	listener net.Listener
	response string
	ran      atomic.Int64
}

func newRawServer(t *testing.T, response string) *rawServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &rawServer{listener: listener, response: response}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *rawServer) address() netip.AddrPort { return s.listener.Addr().(*net.TCPAddr).AddrPort() }

func (s *rawServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	requests := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		s.ran.Add(1)
		if _, err := io.WriteString(conn, strings.ReplaceAll(s.response, "ID", r.Header.Get("Request-Id"))); err != nil {
			return
		}
	}
}

// heads are the heads of responses to requests that have run, with what the server says of that.
func heads() map[string]string {
	all := map[string]string{
		"not executed empty":     "503 S\r\nRequest-Id: ID\r\nNot-Executed:\r\n",
		"not executed 0":         "503 S\r\nRequest-Id: ID\r\nNot-Executed: 0\r\n",
		"not executed false":     "503 S\r\nRequest-Id: ID\r\nNot-Executed: False\r\n",
		"not executed 1 and 0":   "503 S\r\nRequest-Id: ID\r\nNot-Executed: 1\r\nNot-Executed: 0\r\n",
		"failure not executed":   "500 S\r\nRequest-Id: ID\r\nNot-Executed: 1\r\n",
		"deadline not executed":  "504 S\r\nRequest-Id: ID\r\nNot-Executed: 1\r\n",
		"not found not executed": "404 S\r\nRequest-Id: ID\r\nNot-Executed: 1\r\n",
		"two ids":                "503 S\r\nRequest-Id: ID\r\nRequest-Id: another\r\nNot-Executed: 1\r\n",
		"misdirected, two ids":   "421 S\r\nRequest-Id: ID\r\nRequest-Id: another\r\n",
		"no statement":           "503 S\r\nRequest-Id: ID\r\n",
	}
	for _, status := range []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		all[fmt.Sprintf("sealed %d", status)] = fmt.Sprintf("%d S\r\nRequest-Id: ID\r\nResponse-Seal: seal-of-s1\r\n", status)
	}
	return all
}

// TestRanButRefused guards against requests that a server may have run and whose callers are told that they have not, or that run
// at a second server.
func TestRanButRefused(t *testing.T) {
	bodies := map[string]string{
		"": "Content-Length: 6\r\n\r\nfailed", "/large": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", site.LargeBodySize, strings.Repeat("x", site.LargeBodySize)),
		"/trailer": "Transfer-Encoding: chunked\r\nTrailer: Not-Executed\r\n\r\n1\r\nx\r\n0\r\nNot-Executed: 1\r\n\r\n",
	}
	for name, head := range heads() {
		for body, bytes := range bodies {
			for _, path := range []string{"/once/a", "/plan/a", "/lookup/a", "/draft/a"} {
				t.Run(name+body+path, func(t *testing.T) { testRanButRefused(t, "HTTP/1.1 "+head+bytes, path) })
			}
		}
	}
}

func testRanButRefused(t *testing.T, response, path string) {
	t.Helper()
	raw, other := newRawServer(t, response), site.NewServer("s2", 3)
	env := newTestEnv(t, nil, other)
	list := []roster.Server{
		{ID: "s1", Address: raw.address(), Slots: 8, FailureDomain: "near"},
		{ID: "s2", Address: other.Address(), Slots: 8, FailureDomain: "far"},
	}
	env.catalog.balancers["plain"].SetServers(list, 0)
	env.catalog.balancers["models"].SetServers(list, 100_000)
	resp, err := env.send(t.Context(), path)
	if raw.ran.Load() != 1 {
		t.Fatalf("the first server got %d requests", raw.ran.Load())
	}
	if strings.HasPrefix(path, "/lookup") || strings.HasPrefix(path, "/draft") {
		if err != nil || resp.Header().Get("Response-Seal") != "seal-of-s2" || other.ExecutionCount("r1") != 1 {
			t.Errorf("got status %d and %v after %d runs at the other server, want its answer", resp.Code, err, other.ExecutionCount("r1"))
		}
		return
	}
	e, refused := refusal.As(err)
	if !refused || e.Outcome != refusal.Unknown || other.ExecutionCount("r1") != 0 {
		t.Errorf("got status %d and %v after %d runs at the other server, want an unknown outcome", resp.Code, err, other.ExecutionCount("r1"))
	}
}

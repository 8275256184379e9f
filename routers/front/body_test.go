package front_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"

	"github.com/crocusline/crocusline/platform"
	"github.com/crocusline/crocusline/routers/front"
	"github.com/crocusline/crocusline/services/memory"
)

// unsized hides the length of a body, so that it is sent in chunks.
type unsized struct{ io.Reader }

// TestBodyChanged guards against a body that reaches the relay in another form, or is refused, as its
// size is that of the parts in which it is read.
func TestBodyChanged(t *testing.T) {
	fake := &fakeRelay{response: "answer"}
	_, server := serve(t, fake)
	for _, size := range []int{0, 1, 8 << 10, 8<<10 + 1, 24 << 10, 100_000, 504 << 10, 4 << 20, 4<<20 + 1} {
		for _, chunked := range []bool{false, true} {
			body := bytes.Repeat([]byte("0123456789a"), size/11+1)[:size]
			reader := io.Reader(bytes.NewReader(body))
			if chunked {
				reader = unsized{reader}
			}
			fake.got = nil
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/a", reader)
			if err != nil {
				t.Fatal(err)
			}
			want := http.StatusOK
			if size > 4<<20 {
				want = http.StatusRequestEntityTooLarge
			}
			resp, err := server.Client().Do(req)
			if err != nil {
				// The server closes the connection before such a body has ended.
				if want == http.StatusOK {
					t.Errorf("%d bytes, chunked %t: %v", size, chunked, err)
				}
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode != want || want == http.StatusOK && !bytes.Equal(fake.got.Body, body) {
				t.Errorf("%d bytes, chunked %t: got status %d", size, chunked, resp.StatusCode)
			}
		}
	}
}

// exchangeRaw sends a request, ends its direction of the connection, and returns the response, with the
// status 0 if there was none.
func exchangeRaw(t *testing.T, server *httptest.Server, request string) response {
	t.Helper()
	conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	// The server may close the connection before it has the whole request.
	go func() {
		_, _ = io.WriteString(conn, "POST /a HTTP/1.1\r\nHost: a\r\n"+request)
		_ = conn.(*net.TCPConn).CloseWrite()
	}()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return response{}
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, close: resp.Close}
}

// TestReservationNotReleased guards against requests that keep their memory reserved after they have
// ended, however that was.
func TestReservationNotReleased(t *testing.T) {
	for _, request := range []string{
		"Content-Length: 4\r\n\r\nbody",
		"Content-Length: 4\r\n\r\nbo",
		"Content-Length: 4000000\r\n\r\nbo",
		"Content-Length: 4000000000\r\n\r\nbo",
		"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0",
		"Transfer-Encoding: chunked\r\n\r\nx",
		"\r\n",
	} {
		for _, r := range []front.Relay{&fakeRelay{response: "answer"}, panickingRelay{value: "defect"}, panickingRelay{part: "half", value: http.ErrAbortHandler}} {
			m := memory.New(64 << 20)
			server := httptest.NewServer(front.New(hclog.NewNullLogger(), platform.HeaderCodec{}, r, noTables{}, front.WithMemory(m)))
			exchangeRaw(t, server, request)
			server.Close()
			if held := m.Held(); held != 0 {
				t.Errorf("%q: %d bytes are held after the request", request, held)
			}
		}
	}
}

// TestNoMemory guards against requests that reach a server without memory for them, and against a
// refusal that keeps its connection open or doesn't say when to retry.
func TestNoMemory(t *testing.T) {
	for _, tt := range []struct {
		limit   int64
		request string
	}{
		{0, "\r\n"},
		{0, "Content-Length: 4\r\n\r\nbody"},
		{1 << 20, "Content-Length: 4194304\r\n\r\nbo"},
		{1 << 20, "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("4\r\nbody\r\n", 100_000)},
	} {
		fake := &fakeRelay{response: "answer"}
		_, server := serve(t, fake, front.WithMemory(memory.New(tt.limit)))
		resp := exchangeRaw(t, server, tt.request)
		if resp.status != http.StatusServiceUnavailable || resp.header.Get("Retry-After") == "" || !resp.close || fake.got != nil {
			t.Errorf("%.40q: got %v, passed on: %t", tt.request, resp, fake.got != nil)
		}
	}
}

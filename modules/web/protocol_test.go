package web_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/crocusline/crocusline/modules/web"
)

const http2Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"

// TestHTTP2TurnedOff guards against a server that speaks HTTP/2 although that is turned off, or that takes the start of
// an HTTP/2 connection for a request.
func TestHTTP2TurnedOff(t *testing.T) {
	handled := false
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		handled = true
		w.WriteHeader(http.StatusNoContent)
	})
	server, err := web.NewServer(netip.MustParseAddrPort("127.0.0.1:0"), handler, web.WithoutHTTP2())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	s := &limitedServer{Server: server}
	conn := s.connect(t, http2Preface)
	if err := conn.SetReadDeadline(time.Now().Add(time.Minute)); err != nil {
		t.Fatal(err)
	}
	if got := status(conn); got != http.StatusHTTPVersionNotSupported || handled {
		t.Errorf("got status %d, handled %t", got, handled)
	}
	if got := status(conn); got != 0 {
		t.Errorf("a second response with status %d", got)
	}
	if got := status(s.connect(t, header)); got != http.StatusNoContent {
		t.Errorf("HTTP/1.1 got status %d", got)
	}
}

// TestHTTP2TurnedOffOverTLS guards against a server that agrees on HTTP/2 in the handshake, refuses callers that offer
// HTTP/1.1 too, or doesn't tell callers without TLS why it refuses them.
func TestHTTP2TurnedOffOverTLS(t *testing.T) {
	certified := httptest.NewTLSServer(http.NotFoundHandler())
	defer certified.Close()
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	server, err := web.NewServer(netip.MustParseAddrPort("127.0.0.1:0"), handler, web.WithTLS(certified.TLS), web.WithoutHTTP2())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	transport := certified.Client().Transport.(*http.Transport).Clone()
	transport.ForceAttemptHTTP2 = true
	defer transport.CloseIdleConnections()
	for scheme, want := range map[string]int{"https": http.StatusNoContent, "http": http.StatusBadRequest} {
		resp, err := (&http.Client{Transport: transport}).Get(scheme + "://" + server.Address().String())
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.ProtoMajor != 1 || resp.StatusCode != want {
			t.Errorf("%s: got %s %d, want status %d", scheme, resp.Proto, resp.StatusCode, want)
		}
	}
}

// TestLongHandshake guards against a server that holds the first message of a TLS handshake whatever its size. One that has read
// it all answers with an alert, as it is no valid message.
func TestLongHandshake(t *testing.T) {
	certified := httptest.NewTLSServer(http.NotFoundHandler())
	defer certified.Close()
	server, err := web.NewServer(netip.MustParseAddrPort("127.0.0.1:0"), http.NotFoundHandler(), web.WithTLS(certified.TLS), web.WithoutHTTP2())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	const headerBytes = 4
	for messageBytes, alert := range map[int]bool{10_000: true, 60_000: false} {
		message := append([]byte{1, 0, byte(messageBytes >> 8), byte(messageBytes)}, make([]byte, messageBytes)...)
		var records []byte
		for part := range slices.Chunk(message, 10_000+headerBytes) {
			records = append(records, 22, 3, 1, byte(len(part)>>8), byte(len(part)))
			records = append(records, part...)
		}
		conn := (&limitedServer{Server: server}).connect(t, "")
		// The server may close the connection before all is written.
		_, _ = conn.Write(records)
		answer, _ := io.ReadAll(conn)
		if got := len(answer) > 0; got != alert {
			t.Errorf("message of %d bytes: got the answer %x", messageBytes, answer)
		}
	}
}

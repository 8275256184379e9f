package web_test

import (
	"bytes"
	"log"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"github.com/crocusline/crocusline/modules/web"
)

// TestPanicMissingInErrorLog guards against panics of handlers that the error log doesn't have.
func TestPanicMissingInErrorLog(t *testing.T) {
	var lines bytes.Buffer
	s, err := web.NewServer(netip.MustParseAddrPort("127.0.0.1:0"), http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("defect") }),
		web.WithErrorLog(log.New(&lines, "", 0)))
	if err != nil {
		t.Fatal(err)
	}
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+s.Address().String(), http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	if resp, err := http.DefaultClient.Do(req); err == nil {
		_ = resp.Body.Close()
		t.Errorf("got status %d, want a closed connection", resp.StatusCode)
	}
	// The server writes the line before it closes the connection.
	_ = s.Close()
	if !strings.Contains(lines.String(), "defect") {
		t.Errorf("got %q", lines.String())
	}
}

package front_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"

	"github.com/crocusline/crocusline/models/call"
	"github.com/crocusline/crocusline/platform"
	"github.com/crocusline/crocusline/routers/front"
)

// panickingRelay sets a header, writes a part of a response, and panics with the value.
type panickingRelay struct {
	part  string
	value any
}

func (p panickingRelay) Relay(_ context.Context, w http.ResponseWriter, _ *call.Request) error {
	w.Header().Set("Content-Length", "100")
	if p.part != "" {
		_, _ = io.WriteString(w, p.part)
		_ = http.NewResponseController(w).Flush()
	}
	panic(p.value)
}

// TestPanicCutsConnection guards against panics that cut a caller's connection without a response or
// a line in the log. A response that was begun must not look complete.
func TestPanicCutsConnection(t *testing.T) {
	tests := []struct {
		name     string
		relay    panickingRelay
		answered bool
		logged   bool
	}{
		{"before the response", panickingRelay{value: "defect"}, true, true},
		{"in the response", panickingRelay{part: "half", value: "defect"}, false, true},
		{"abort", panickingRelay{value: http.ErrAbortHandler}, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var lines bytes.Buffer
			logger := hclog.New(&hclog.LoggerOptions{Output: &lines})
			h := front.New(logger, platform.HeaderCodec{}, tt.relay, noTables{})
			server := httptest.NewServer(h)
			resp, err := post(t, server, "the body")
			server.Close()
			if answered := err == nil && resp.status == http.StatusBadGateway && resp.header.Get("Request-Id") == "r1"; answered != tt.answered {
				t.Errorf("got status %d, %q and %v", resp.status, resp.body, err)
			}
			if logged := strings.Contains(lines.String(), "request ended by a panic"); logged != tt.logged || strings.Count(lines.String(), "\n") > 1 {
				t.Errorf("log: %q", lines.String())
			}
			if n := h.OpenRequests(); n != 0 {
				t.Errorf("%d requests are open", n)
			}
		})
	}
}

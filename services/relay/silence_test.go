package relay_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/crocusline/crocusline/models/roster"
	"github.com/crocusline/crocusline/models/route"
	"github.com/crocusline/crocusline/services/relay"
	"github.com/crocusline/crocusline/standin/site"
	"github.com/crocusline/crocusline/tests/knownred"
)

// silentFor exceeds the silence timeouts of the test's routes twice, and is far below their timeouts.
const silentFor = 600 * time.Millisecond

// newSilentServer starts a server that answers after silentFor, with the rest of a stream of four events.
func newSilentServer(t *testing.T) netip.AddrPort {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(silentFor):
		case <-r.Context().Done():
			return
		}
		w.Header().Set("Request-Id", "r1")
		w.Header().Set("Response-Seal", "x")
		if r.Header.Get("Model") == "" {
			_, _ = w.Write([]byte("late"))
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		first := 1
		if r.Header.Get("Last-Event-Id") != "" {
			first = 3
		}
		_, _ = w.Write([]byte(events(first, 4)))
	}))
	t.Cleanup(s.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
}

// TestSilentServerWithoutReplacement guards against a send being given up because its server is silent
// though the request can't be sent to another one, whereas a request that may run only once is answered.
func TestSilentServerWithoutReplacement(t *testing.T) {
	tests := []struct {
		name    string
		path    string
		retries int
		// first is the behaviour of a server that is chosen before the silent ones, or site.Serve for none.
		first  site.Behaviour
		silent int
	}{
		{"run once", "/once/a", 0, site.Serve, 2},
		{"request, no retry budget", "/lookup/a", 0, site.Serve, 2},
		{"stream, no retry budget", "/draft/a", 0, site.Serve, 2},
		{"request, no other server", "/lookup/a", 5, site.Serve, 1},
		{"stream, no other server", "/draft/a", 5, site.Serve, 1},
		{"request after a reset, budget used up", "/lookup/a", 1, site.Reset, 2},
		{"resumed stream, budget used up", "/draft/a", 1, site.AbortResponse, 2},
		{"resumed stream, no other server", "/draft/a", 5, site.AbortResponse, 1},
	}
	var problems []string
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			first := site.NewServer("s0", 4, tt.first)
			env := newTestEnv(t, []relay.Option{relay.WithRetryBudget(time.Minute, 0, tt.retries)}, first)
			contents := env.catalog.table.Contents
			for i := range contents.Routes {
				contents.Routes[i].Timeout, contents.Routes[i].MaxAttempts = 20*time.Second, 4
			}
			env.catalog.table = route.New(contents)
			var list []roster.Server
			if tt.first != site.Serve {
				list = append(list, roster.Server{ID: "s0", Address: first.Address(), Slots: 8, FailureDomain: "near", Version: "v1"})
			}
			for i := range tt.silent {
				list = append(list, roster.Server{ID: fmt.Sprintf("silent%d", i), Address: newSilentServer(t), Slots: 8, FailureDomain: "far", Version: "v1"})
			}
			env.catalog.balancers["plain"].SetServers(list, 0)
			env.catalog.balancers["models"].SetServers(list, 100_000)
			want := "late"
			if tt.path == "/draft/a" {
				want = events(1, 4)
			}
			resp, err := env.send(t.Context(), tt.path, "Deadline-Ms", "20000")
			if err != nil || resp.Body.String() != want {
				problems = append(problems, fmt.Sprintf("%s: got status %d, %q and %v, want %q", tt.name, resp.Code, resp.Body, err, want))
			}
		})
	}
	knownred.Report(t, strings.Join(problems, "\n"))
}

package relay_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
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
func newSilentServer(t *testing.T) netip.AddrPort { return newCountingServer(t, new(atomic.Int64)) }

// newCountingServer starts the same server, which counts its requests.
func newCountingServer(t *testing.T, requests *atomic.Int64) netip.AddrPort {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
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

// TestSlowServerReadsLongPrompt guards against a long prompt that is given up while its server reads it, by a prediction
// that assumes it to be cached: the next server would have to read it again.
func TestSlowServerReadsLongPrompt(t *testing.T) {
	for _, tt := range []struct {
		// prefix has segments that count as cached.
		usage, prefix string
		// more is whether another server is asked.
		more bool
	}{{"100,40", "a:60,b:40", true}, {"20000,40", "a:19900,b:100", false}} {
		t.Run(tt.usage, func(t *testing.T) {
			var requests atomic.Int64
			env := newTestEnv(t, []relay.Option{relay.WithRetryBudget(time.Minute, 0, 5)}, site.NewServer("unused", 4))
			var list []roster.Server
			for i := range 2 {
				list = append(list, roster.Server{ID: fmt.Sprintf("s%d", i), Address: newCountingServer(t, &requests), Slots: 8, Version: "v1"})
			}
			env.catalog.balancers["models"].SetServers(list, 100_000)
			env.usage = tt.usage
			_, _ = env.send(t.Context(), "/draft/a", "Deadline-Ms", "5000", "Prompt-Prefix", tt.prefix)
			if sends := requests.Load(); (sends > 1) != tt.more {
				t.Errorf("the prompt was sent %d times, want more than once: %t", sends, tt.more)
			}
		})
	}
}

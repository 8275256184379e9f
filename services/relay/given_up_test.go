package relay_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/crocusline/crocusline/models/roster"
	"github.com/crocusline/crocusline/services/relay"
	"github.com/crocusline/crocusline/standin/site"
)

// startedReports names the start of each server, unless the caller has given up.
type startedReports int64

func (r startedReports) Started(ctx context.Context, _ roster.Server, _ int) (int64, error) {
	return int64(r), ctx.Err()
}

// TestFirstEventWhileSendIsGivenUp guards against streams that break off after the first event, as it arrived while the
// send was given up for a silent server.
func TestFirstEventWhileSendIsGivenUp(t *testing.T) {
	answer, arrived := make(chan struct{}), make(chan struct{})
	silent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-answer
		w.Header().Set("Request-Id", "r1")
		w.Header().Set("Response-Seal", "x")
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = w.Write([]byte(events(1, 1)))
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	defer silent.Close()
	sound := site.NewServer("s2", 4)
	env := newTestEnv(t, []relay.Option{relay.WithRetryBudget(time.Minute, 0, 5), relay.WithReports(startedReports(17))}, sound)
	env.catalog.balancers["models"].SetServers([]roster.Server{
		{ID: "s1", Address: netip.MustParseAddrPort(strings.TrimPrefix(silent.URL, "http://")), Slots: 8, FailureDomain: "near", Version: "v1", Started: 17},
		{ID: "s2", Address: sound.Address(), Slots: 8, FailureDomain: "far", Version: "v1", Started: 17},
	}, 100_000)
	env.catalog.restarted = true
	// The next use of the balancer is that of the silence timeout.
	var once sync.Once
	env.catalog.stall = func() {
		select {
		case <-arrived:
		default:
			return
		}
		once.Do(func() {
			close(answer)
			time.Sleep(100 * time.Millisecond)
		})
	}
	if status, body, err := env.sendOverConnection("/draft/a"); err != nil || body != events(1, 4) {
		t.Errorf("got status %d, %q and %v, want all events", status, body, err)
	}
}

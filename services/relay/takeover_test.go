package relay_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/crocusline/crocusline/models/lineage"
	"github.com/crocusline/crocusline/models/route"
	models "github.com/crocusline/crocusline/models/takeover"
	"github.com/crocusline/crocusline/modules/metric"
	"github.com/crocusline/crocusline/services/relay"
	"github.com/crocusline/crocusline/services/takeover"
	"github.com/crocusline/crocusline/standin/site"
)

// alone is the fleet of one gateway, which records all streams.
type alone struct{}

func (alone) Supersede(context.Context, netip.AddrPort, lineage.ID, netip.AddrPort) (models.Answer, error) {
	return models.Answer{}, nil
}
func (alone) Recorded(lineage.ID) bool                 { return true }
func (alone) Recorders(lineage.ID) []netip.AddrPort    { return nil }
func (alone) Refresh(context.Context, time.Time) error { return nil }

// unreadResponse is the response of a caller that doesn't read: each write of an event waits.
type unreadResponse struct {
	*httptest.ResponseRecorder
	waiting chan struct{}
	unblock chan struct{}
}

// Write implements http.ResponseWriter.
func (r *unreadResponse) Write([]byte) (int, error) {
	close(r.waiting)
	<-r.unblock
	return 0, http.ErrHandlerTimeout
}

// TestServerWorksWhileCallerDoesNotRead guards against servers that work on a stream which was resumed elsewhere, while
// the write of an event to its first caller waits.
func TestServerWorksWhileCallerDoesNotRead(t *testing.T) {
	tk := takeover.New(hclog.NewNullLogger(), netip.AddrPort{}, alone{}, alone{}, metric.New())
	server := site.NewServer("s1", 100, site.PacedEvents)
	env := newTestEnv(t, []relay.Option{relay.WithTakeover(tk), relay.WithLineage(newFakeLineage("other", "v1"))}, server)
	contents := env.catalog.table.Contents
	for i := range contents.Routes {
		contents.Routes[i].Timeout = time.Minute
	}
	env.catalog.table = route.New(contents)
	resp := &unreadResponse{ResponseRecorder: httptest.NewRecorder(), waiting: make(chan struct{}), unblock: make(chan struct{})}
	ended := make(chan error, 1)
	go func() { ended <- env.sendTo(t.Context(), resp, "/draft/a", "Deadline-Ms", "60000") }()
	<-resp.waiting
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	answer, err := tk.Supersede(ctx, lineage.NewID("clinics", "r1"), netip.MustParseAddrPort("10.0.0.2:80"))
	if err != nil || !answer.Recorded {
		t.Errorf("got %+v and %v", answer, err)
	}
	select {
	case err := <-ended:
		t.Errorf("the request ended with %v while its write waited", err)
	default:
	}
	close(resp.unblock)
	if err := <-ended; err == nil {
		t.Error("the response was complete")
	}
}

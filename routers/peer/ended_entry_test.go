package peer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/crocusline/crocusline/kernel"
	"github.com/crocusline/crocusline/models/fleet"
	"github.com/crocusline/crocusline/models/refusal"
	peerv1 "github.com/crocusline/crocusline/modules/wire/peer/v1"
	"github.com/crocusline/crocusline/modules/wire/peer/v1/peerv1connect"
	"github.com/crocusline/crocusline/services/refusalwire"
	"github.com/crocusline/crocusline/services/runner"
)

// fixedState is a StateSource whose state does not change.
type fixedState struct{ state *fleet.State }

func (s fixedState) State() *fleet.State { return s.state }
func (s fixedState) TableVersion() int64 { return s.state.Version() }

func TestRunRefusesEndedEntry(t *testing.T) {
	state, _ := fleet.New().Apply(0, time.Now(), fleet.Fence{Incarnation: "entry/dead"})
	r := runner.New("drafting-1", "sidecar/1", echoBackend{}, runner.WithOutbox(&fakeOutbox{}))
	if err := r.Start(context.Background(), kernel.New(hclog.NewNullLogger())); err != nil {
		t.Fatal(err)
	}
	mux := http.NewServeMux()
	mux.Handle(NewSidecarHandler(r, fixedState{state}).HTTPHandler())
	s := httptest.NewServer(mux)
	defer func() {
		s.Close()
		if err := r.Close(); err != nil {
			t.Error(err)
		}
	}()
	c := peerv1connect.NewSidecarServiceClient(s.Client(), s.URL)
	req := &peerv1.RunRequest{RequestId: "r1", Workspace: "clinic", Idempotent: true, Prompt: "a b", Hold: hold("entry/dead")}
	_, _, err := runRequest(t, c, req)
	if got, ok := refusalwire.Decode(err); !ok || got.Reason != refusal.Fenced || got.Outcome != refusal.NotRun {
		t.Fatalf("error %v", err)
	}
	req.Hold = hold("entry/live")
	if _, _, err := runRequest(t, c, req); err != nil {
		t.Fatalf("error %v", err)
	}
}

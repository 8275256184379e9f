package receipt

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/hashicorp/go-hclog"

	"github.com/crocusline/crocusline/models/ledger"
	peerv1 "github.com/crocusline/crocusline/modules/wire/peer/v1"
	"github.com/crocusline/crocusline/modules/wire/peer/v1/peerv1connect"
	"github.com/crocusline/crocusline/services/dispatch"
)

// world is a sidecar, the ledger and the directory around the service.
type world struct {
	peerv1connect.UnimplementedSidecarServiceHandler
	mu       sync.Mutex
	billed   bool
	state    string
	asked    int
	posted   []ledger.Bill
	settled  bool
	sidecars map[string]dispatch.Sidecar
}

func (w *world) Acknowledge(context.Context, *connect.Request[peerv1.AcknowledgeRequest]) (*connect.Response[peerv1.AcknowledgeResponse], error) {
	return connect.NewResponse(&peerv1.AcknowledgeResponse{Billed: w.billed, Known: true}), nil
}

func (w *world) Inquire(context.Context, *connect.Request[peerv1.InquireRequest]) (*connect.Response[peerv1.InquireResponse], error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.asked++
	return connect.NewResponse(&peerv1.InquireResponse{State: w.state, Incarnation: "model-1/1"}), nil
}

func (w *world) Post(_ context.Context, _ int, entries ...ledger.Entry) error {
	for _, e := range entries {
		if bill, ok := e.(ledger.Bill); ok {
			w.posted = append(w.posted, bill)
		}
	}
	return nil
}

func (w *world) Settled(ledger.Hold) bool { return w.settled }
func (w *world) ReceiptDropped()          {}
func (w *world) ReceiptsWritten(int)      {}

func (w *world) Sidecar(server string) (dispatch.Sidecar, bool) {
	s, ok := w.sidecars[server]
	return s, ok
}

func newWorld(t *testing.T) (*world, *Service) {
	w := &world{}
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewSidecarServiceHandler(w))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	w.sidecars = map[string]dispatch.Sidecar{"model-1": {
		Server:      "model-1",
		Incarnation: "model-1/1",
		Client:      peerv1connect.NewSidecarServiceClient(server.Client(), server.URL),
	}}
	return w, New(hclog.NewNullLogger(), w, w, w)
}

func receipt(tokens int64) dispatch.Receipt {
	return dispatch.Receipt{
		Server:  "model-1",
		Sidecar: "model-1/1",
		Bill:    ledger.Bill{RequestID: "r", Hold: ledger.Hold{Holder: "entry-1/1", Sequence: 1, Tokens: 10}, Tokens: tokens},
	}
}

// rounds makes rounds a second apart.
func rounds(t *testing.T, s *Service, n int) {
	t.Helper()
	start := time.Unix(1000, 0)
	for i := range n {
		s.now = func() time.Time { return start.Add(time.Duration(i) * settleInterval) }
		for len(s.ring) > 0 {
			s.take(t.Context(), <-s.ring)
		}
		s.settleAll(t.Context(), sidecarBillTimeout)
	}
}

func TestEntryWritesTheBillOfALostSidecar(t *testing.T) {
	w, s := newWorld(t)
	s.now = func() time.Time { return time.Unix(1000, 0) }
	delete(w.sidecars, "model-1")
	s.Add(receipt(7))
	rounds(t, s, 4)
	if len(w.posted) != 0 {
		t.Fatalf("bill written before the sidecar had its time: %v", w.posted)
	}
	rounds(t, s, 30)
	if len(w.posted) != 1 || w.posted[0].Tokens != 7 || len(s.kept) != 0 {
		t.Fatalf("posted %v, kept %v", w.posted, s.kept)
	}
}

func TestSettledBillIsNotWritten(t *testing.T) {
	w, s := newWorld(t)
	w.billed = true
	s.Add(receipt(7))
	rounds(t, s, 30)
	if len(w.posted) != 0 || len(s.kept) != 0 {
		t.Fatalf("posted %v, kept %v", w.posted, s.kept)
	}
}

func TestAbandonedHoldIsFreedOnProof(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(*world)
		// posted is the number of bills of nothing that free the hold.
		posted int
		kept   int
	}{
		{"fenced at its sidecar", func(w *world) { w.state = stateFenced }, 1, 0},
		{"ran without a known effect", func(w *world) { w.state = stateUnresolved }, 1, 0},
		{"sidecar replaced", func(w *world) {
			s := w.sidecars["model-1"]
			s.Incarnation = "model-1/2"
			w.sidecars["model-1"] = s
		}, 1, 0},
		{"billed meanwhile", func(w *world) { w.settled = true }, 0, 0},
		{"still running", func(w *world) { w.state = "running" }, 0, 1},
		{"sidecar not known now", func(w *world) { delete(w.sidecars, "model-1") }, 0, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w, s := newWorld(t)
			test.prepare(w)
			s.Reconcile(receipt(7))
			rounds(t, s, 30)
			if len(w.posted) != test.posted || len(s.kept) != test.kept {
				t.Fatalf("posted %v, kept %v", w.posted, s.kept)
			}
			if test.posted == 1 && w.posted[0].Tokens != 0 {
				t.Fatalf("billed %d tokens", w.posted[0].Tokens)
			}
		})
	}
}

func TestLooksAtAbandonedHoldsGrowRare(t *testing.T) {
	w, s := newWorld(t)
	w.state = "running"
	s.Reconcile(receipt(7))
	rounds(t, s, 120)
	if w.asked > 12 {
		t.Fatalf("asked %d times in two minutes", w.asked)
	}
}

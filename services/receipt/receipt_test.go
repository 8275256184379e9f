package receipt

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
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

// fakeDeps fakes the dependencies of the service: a sidecar, the ledger, the
// directory and the counters.
type fakeDeps struct {
	peerv1connect.UnimplementedSidecarServiceHandler
	mu        sync.Mutex
	billed    bool
	state     string
	inquiries int
	posted    []ledger.Bill
	settled   bool
	sidecars  map[string]dispatch.Sidecar
}

func (f *fakeDeps) Acknowledge(context.Context, *connect.Request[peerv1.AcknowledgeRequest]) (*connect.Response[peerv1.AcknowledgeResponse], error) {
	return connect.NewResponse(&peerv1.AcknowledgeResponse{Billed: f.billed, Known: true}), nil
}

func (f *fakeDeps) Inquire(context.Context, *connect.Request[peerv1.InquireRequest]) (*connect.Response[peerv1.InquireResponse], error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inquiries++
	return connect.NewResponse(&peerv1.InquireResponse{State: f.state, Incarnation: "model-1/1"}), nil
}

func (f *fakeDeps) Post(_ context.Context, _ int, entries ...ledger.Entry) error {
	for _, e := range entries {
		if bill, ok := e.(ledger.Bill); ok {
			f.posted = append(f.posted, bill)
		}
	}
	return nil
}

func (f *fakeDeps) Settled(ledger.Hold) bool { return f.settled }
func (f *fakeDeps) ReceiptDropped()          {}
func (f *fakeDeps) ReceiptsWritten(int)      {}

func (f *fakeDeps) Sidecar(server string) (dispatch.Sidecar, bool) {
	s, ok := f.sidecars[server]
	return s, ok
}

func newService(t *testing.T) (*fakeDeps, *Service) {
	f := &fakeDeps{}
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewSidecarServiceHandler(f))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	f.sidecars = map[string]dispatch.Sidecar{"model-1": {
		Server:      "model-1",
		Incarnation: "model-1/1",
		Client:      peerv1connect.NewSidecarServiceClient(server.Client(), server.URL),
	}}
	return f, New(hclog.NewNullLogger(), f, f, f)
}

func receipt(tokens int64) dispatch.Receipt {
	return dispatch.Receipt{
		Server:  "model-1",
		Sidecar: "model-1/1",
		Bill:    ledger.Bill{RequestID: "r", Hold: ledger.Hold{Holder: "entry-1/1", Sequence: 1, Tokens: 10}, Tokens: tokens},
	}
}

// runPasses makes n passes over the receipts at intervals of settleInterval.
func runPasses(t *testing.T, s *Service, n int) {
	t.Helper()
	start := time.Unix(1000, 0)
	for i := range n {
		s.now = func() time.Time { return start.Add(time.Duration(i) * settleInterval) }
		for len(s.queue) > 0 {
			s.add(t.Context(), <-s.queue)
		}
		s.settleAll(t.Context(), sidecarBillTimeout)
	}
}

func TestEntryPostsBillOfLostSidecar(t *testing.T) {
	f, s := newService(t)
	s.now = func() time.Time { return time.Unix(1000, 0) }
	delete(f.sidecars, "model-1")
	s.Add(receipt(7))
	runPasses(t, s, 4)
	if len(f.posted) != 0 {
		t.Fatalf("bill posted before sidecarBillTimeout: %v", f.posted)
	}
	runPasses(t, s, 30)
	if len(f.posted) != 1 || f.posted[0].Tokens != 7 || len(s.receipts) != 0 {
		t.Fatalf("posted %v, receipts %v", f.posted, s.receipts)
	}
}

func TestBilledReceiptIsNotPosted(t *testing.T) {
	f, s := newService(t)
	f.billed = true
	s.Add(receipt(7))
	runPasses(t, s, 30)
	if len(f.posted) != 0 || len(s.receipts) != 0 {
		t.Fatalf("posted %v, receipts %v", f.posted, s.receipts)
	}
}

func TestAbandonedHoldIsReleasedOnlyOnProof(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(*fakeDeps)
		// posted is the number of bills of 0 tokens, which release the hold.
		posted   int
		receipts int
	}{
		{"fenced at the sidecar", func(f *fakeDeps) { f.state = stateFenced }, 1, 0},
		{"ran without a known effect", func(f *fakeDeps) { f.state = stateUnresolved }, 1, 0},
		{"sidecar replaced", func(f *fakeDeps) {
			s := f.sidecars["model-1"]
			s.Incarnation = "model-1/2"
			f.sidecars["model-1"] = s
		}, 1, 0},
		{"billed meanwhile", func(f *fakeDeps) { f.settled = true }, 0, 0},
		{"still running", func(f *fakeDeps) { f.state = "running" }, 0, 1},
		{"sidecar unknown", func(f *fakeDeps) { delete(f.sidecars, "model-1") }, 0, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f, s := newService(t)
			test.prepare(f)
			s.Reconcile(receipt(7))
			runPasses(t, s, 30)
			if len(f.posted) != test.posted || len(s.receipts) != test.receipts {
				t.Fatalf("posted %v, receipts %v", f.posted, s.receipts)
			}
			if test.posted == 1 && f.posted[0].Tokens != 0 {
				t.Fatalf("billed %d tokens", f.posted[0].Tokens)
			}
		})
	}
}

func TestChecksOfAbandonedReceiptsBackOff(t *testing.T) {
	f, s := newService(t)
	f.state = "running"
	s.Reconcile(receipt(7))
	runPasses(t, s, 120)
	if f.inquiries > 12 {
		t.Fatalf("%d inquiries in two minutes, want at most 12", f.inquiries)
	}
}

// TestDroppedReceiptIsLogged checks that a receipt that is dropped because too many are
// unsettled is named in the log.
func TestDroppedReceiptIsLogged(t *testing.T) {
	_, s := newService(t)
	var lines bytes.Buffer
	s.log = hclog.New(&hclog.LoggerOptions{Output: &lines})
	s.receipts = make([]pending, capacity)
	dropped := receipt(7)
	dropped.Bill.RequestID = "dropped-request"
	s.Reconcile(dropped)
	s.add(t.Context(), <-s.queue)
	if len(s.receipts) != capacity || !strings.Contains(lines.String(), "dropped-request") {
		t.Errorf("%d receipts, log %q", len(s.receipts), lines.String())
	}
}

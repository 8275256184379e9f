package dispatch

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"

	"github.com/crocusline/crocusline/models/ledger"
	"github.com/crocusline/crocusline/models/placement"
	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/models/retry"
	"github.com/crocusline/crocusline/models/table"
	commonv1 "github.com/crocusline/crocusline/modules/wire/common/v1"
	peerv1 "github.com/crocusline/crocusline/modules/wire/peer/v1"
	"github.com/crocusline/crocusline/modules/wire/peer/v1/peerv1connect"
	registry "github.com/crocusline/crocusline/services/ledger"
	"github.com/crocusline/crocusline/services/refusalwire"
)

// generated are the tokens that the fake sidecars generate.
var generated = []string{"a", "b", "c", "d"}

// fakeSidecar runs requests with the failures that its fields set.
type fakeSidecar struct {
	peerv1connect.UnimplementedSidecarServiceHandler
	incarnation string
	// refuse is the error of each Run, if it is not nil.
	refuse error
	// breakAfter aborts the stream after that many tokens, if it is not 0.
	breakAfter int
	// hangAfter stops sending after that many tokens, if it is not 0.
	hangAfter int
	// abort aborts each Run that is not join-only before its first message.
	abort bool

	mu     sync.Mutex
	state  string
	runs   int
	fenced int
}

func (f *fakeSidecar) Run(ctx context.Context, req *connect.Request[peerv1.RunRequest], stream *connect.ServerStream[peerv1.RunResponse]) error {
	if f.refuse != nil {
		return refusalwire.Encode(f.refuse)
	}
	f.mu.Lock()
	abort := f.abort && !req.Msg.GetJoinOnly()
	if !abort {
		f.runs++
	}
	f.mu.Unlock()
	if abort {
		panic(http.ErrAbortHandler)
	}
	first := len(req.Msg.GetGenerated())
	for i := first; i < len(generated); i++ {
		if f.breakAfter > 0 && i == f.breakAfter {
			panic(http.ErrAbortHandler)
		}
		if f.hangAfter > 0 && i == f.hangAfter {
			<-ctx.Done()
			return ctx.Err()
		}
		chunk := &peerv1.Chunk{First: int64(i), Tokens: generated[i : i+1]}
		if err := stream.Send(&peerv1.RunResponse{Event: &peerv1.RunResponse_Chunk{Chunk: chunk}}); err != nil {
			return err
		}
	}
	return stream.Send(&peerv1.RunResponse{Event: &peerv1.RunResponse_Finished{Finished: &peerv1.Finished{
		Tokens: int64(len(generated)), RequestId: req.Msg.GetRequestId(), Hold: req.Msg.GetHold(),
		Usage: &commonv1.Usage{BilledTokens: 7},
	}}})
}

func (f *fakeSidecar) Inquire(_ context.Context, req *connect.Request[peerv1.InquireRequest]) (*connect.Response[peerv1.InquireResponse], error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.state
	if state == "" {
		state = "notSeen"
	}
	if state == "notSeen" && req.Msg.GetFence() {
		f.fenced++
		state = stateFenced
	}
	return connect.NewResponse(&peerv1.InquireResponse{State: state, Incarnation: f.incarnation}), nil
}

// fleet is a set of fake sidecars. It implements the dispatcher's dependencies and
// records their calls.
type fleet struct {
	t *testing.T
	// ctx is the caller's context. If it is nil, the test's context is used.
	ctx      context.Context
	order    []string
	sidecars map[string]Sidecar

	mu         sync.Mutex
	lastHold   uint64
	openHolds  map[uint64]bool
	attempts   int64
	voided     []int64
	reconciled []ledger.Hold
	failed     []string
	// registered is the result of Register. If it is nil, attempts are granted.
	registered *registry.RegistrationResult
}

func newFleet(t *testing.T, fakes ...*fakeSidecar) *fleet {
	f := &fleet{t: t, sidecars: map[string]Sidecar{}, openHolds: map[uint64]bool{}}
	for i, fake := range fakes {
		name := fmt.Sprintf("server-%d", i+1)
		fake.incarnation = name + "/1"
		mux := http.NewServeMux()
		mux.Handle(peerv1connect.NewSidecarServiceHandler(fake))
		server := httptest.NewServer(mux)
		t.Cleanup(server.Close)
		f.order = append(f.order, name)
		f.sidecars[name] = Sidecar{
			Server:      name,
			Incarnation: fake.incarnation,
			Client:      peerv1connect.NewSidecarServiceClient(server.Client(), server.URL),
		}
	}
	return f
}

func (f *fleet) dispatch(idempotent bool, sink Sink) (Response, error) {
	d := New("entry/1", WithLedger(f), WithDirectory(f), WithServerSelector(f), WithReceiptStore(f), WithCounters(f),
		WithRetryPolicy(NewSharedRetryBudget(retry.WithBackoff(time.Millisecond, time.Millisecond))))
	plan := Plan{
		Route:   table.Route{Pool: "pool", Idempotent: idempotent},
		Servers: f.order,
		Timeout: 10 * time.Second,
		MaxCost: 10,
	}
	ctx := f.ctx
	if ctx == nil {
		ctx = f.t.Context()
	}
	return d.Dispatch(ctx, Request{Workspace: "w", Kind: "k", IdempotencyKey: "key"}, plan, sink)
}

func (f *fleet) Reserve(context.Context, string, int64) (ledger.Hold, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastHold++
	f.openHolds[f.lastHold] = true
	return ledger.Hold{Holder: "entry/1", Sequence: f.lastHold, Tokens: 10}, nil
}

func (f *fleet) Release(_ string, hold ledger.Hold) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.openHolds[hold.Sequence] {
		f.t.Errorf("hold %d released twice", hold.Sequence)
	}
	delete(f.openHolds, hold.Sequence)
}

func (f *fleet) Register(_ context.Context, r registry.Registration) (registry.RegistrationResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.registered != nil {
		return *f.registered, nil
	}
	f.attempts++
	return registry.RegistrationResult{Granted: true, Attempt: f.attempts, Sidecar: r.Sidecar, Server: r.Server}, nil
}

func (f *fleet) Void(_ context.Context, _, _ string, attempt int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.voided = append(f.voided, attempt)
	return nil
}

func (f *fleet) Sidecar(server string) (Sidecar, bool) {
	s, ok := f.sidecars[server]
	return s, ok
}

func (f *fleet) Choose(_ string, r placement.Request) ([]string, error) {
	var servers []string
	for _, name := range f.order {
		if !contains(r.Exclude, name) {
			servers = append(servers, name)
		}
	}
	if len(servers) == 0 {
		return nil, refusal.New(refusal.NoServer, time.Second, "no server is left")
	}
	return servers, nil
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

func (f *fleet) ObserveLoad(string, string, *commonv1.Load) {}
func (f *fleet) RecordSuccess(string, string)               {}
func (f *fleet) RecordRetry(refusal.Reason)                 {}
func (f *fleet) Add(Receipt)                                {}

func (f *fleet) RecordFailure(_, server string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failed = append(f.failed, server)
}

func (f *fleet) Reconcile(r Receipt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reconciled = append(f.reconciled, r.Bill.Hold)
}

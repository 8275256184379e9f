package sidecar_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/crocusline/crocusline/models/placement"
	"github.com/crocusline/crocusline/models/rank"
	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/models/retry"
	"github.com/crocusline/crocusline/models/table"
	commonv1 "github.com/crocusline/crocusline/modules/wire/common/v1"
	"github.com/crocusline/crocusline/services/dispatch"
	"github.com/crocusline/crocusline/services/receipt"
	"github.com/crocusline/crocusline/standin/engine"
)

// fixedChooser tries the servers in the order given.
type fixedChooser []string

func (f fixedChooser) Choose(_ string, r placement.Request) ([]string, error) {
	left := slices.DeleteFunc(slices.Clone(f), func(s string) bool { return slices.Contains(r.Exclude, s) })
	if len(left) == 0 {
		return nil, refusal.New(refusal.NoServer, time.Second, "no server is left")
	}
	return left, nil
}

func (fixedChooser) ObserveLoad(string, string, *commonv1.Load) {}
func (fixedChooser) RecordFailure(string, string)               {}
func (fixedChooser) RecordSuccess(string, string)               {}

// noCounters counts nothing.
type noCounters struct{}

func (noCounters) RecordRetry(refusal.Reason) {}
func (noCounters) ReceiptDropped()            {}
func (noCounters) ReceiptsWritten(int)        {}

// entry is one entry process.
type entry struct {
	*dispatch.Dispatcher
	receipts *receipt.Service
	wire     *wire
	world    *world
	// stale, if set, is the only sidecar that the entry knows of.
	stale *dispatch.Sidecar
}

// kill ends an entry as a crash would. Its calls have to be cancelled as well.
func (e *entry) kill() { e.wire.cut(true) }

// Sidecar implements dispatch.Directory. A dead entry reaches none.
func (e *entry) Sidecar(name string) (dispatch.Sidecar, bool) {
	if e.wire.err("") != nil {
		return dispatch.Sidecar{}, false
	}
	if e.stale != nil {
		return *e.stale, true
	}
	return e.world.Sidecar(name)
}

func (w *world) entry(incarnation string, servers ...string) *entry {
	w.t.Helper()
	e := &entry{wire: &wire{Log: w.log}, world: w}
	c := w.ledgerOver(incarnation, e.wire)
	e.receipts = receipt.New(hclog.NewNullLogger(), c, e, noCounters{})
	if err := e.receipts.Start(context.Background(), nil); err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { w.close(e.receipts) })
	e.Dispatcher = dispatch.New(incarnation, dispatch.WithLedger(c), dispatch.WithDirectory(e),
		dispatch.WithServerSelector(fixedChooser(servers)), dispatch.WithRetryPolicy(dispatch.NewSharedRetryBudget(retry.WithRand(rand.New(rand.NewPCG(1, 1))))),
		dispatch.WithReceiptStore(e.receipts), dispatch.WithCounters(noCounters{}))
	return e
}

// sink is a caller that checks the order of its tokens.
type sink struct {
	mu     sync.Mutex
	first  int64
	tokens []string
	// onToken is called after each delivery with the number of tokens so far.
	onToken func(n int)
}

func (s *sink) Accepted(_, _ string, first int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.first, s.tokens = first, nil
	return nil
}

func (s *sink) Tokens(first int64, tokens []string) error {
	s.mu.Lock()
	want := s.first + int64(len(s.tokens))
	s.tokens = append(s.tokens, tokens...)
	n := len(s.tokens)
	s.mu.Unlock()
	if first != want {
		return fmt.Errorf("token %d delivered, want %d", first, want)
	}
	if s.onToken != nil {
		s.onToken(n)
	}
	return nil
}

// draft runs a request for model work and hands its receipt over, as the
// caller router does.
func (e *entry) draft(ctx context.Context, req dispatch.Request, max int, to *sink, servers ...string) (dispatch.Response, error) {
	req.Kind = "draft"
	return e.run(ctx, req, dispatch.Plan{
		Route:     table.Route{Pool: "drafting", Rank: rank.Normal, Idempotent: true, MaxTokens: max},
		Servers:   servers,
		MaxTokens: max,
		Timeout:   time.Minute,
		Weight:    1,
		MaxCost:   int64(max + len(engine.Tokenize(req.Prompt))),
	}, to)
}

// book runs a booking. retry says that it was sent before.
func (e *entry) book(ctx context.Context, workspace, key, body string, retry bool) (dispatch.Response, error) {
	req := dispatch.Request{Workspace: workspace, Kind: "booking", IdempotencyKey: key, Body: []byte(body), Retry: retry}
	return e.run(ctx, req, dispatch.Plan{
		Route:   table.Route{Pool: "booking", Price: price},
		Timeout: 10 * time.Second,
		Weight:  1,
		MaxCost: price,
	}, &sink{})
}

func (e *entry) run(ctx context.Context, req dispatch.Request, p dispatch.Plan, to *sink) (dispatch.Response, error) {
	answer, err := e.Dispatch(ctx, req, p, to)
	if err == nil && answer.Receipt != nil {
		e.receipts.Add(*answer.Receipt)
	}
	return answer, err
}

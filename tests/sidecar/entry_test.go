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

// fixedSelector selects the servers in the given order.
type fixedSelector []string

func (f fixedSelector) Choose(_ string, r placement.Request) ([]string, error) {
	candidates := slices.DeleteFunc(slices.Clone(f), func(s string) bool { return slices.Contains(r.Exclude, s) })
	if len(candidates) == 0 {
		return nil, refusal.New(refusal.NoServer, time.Second, "no server is left")
	}
	return candidates, nil
}

func (fixedSelector) ObserveLoad(string, string, *commonv1.Load) {}
func (fixedSelector) RecordFailure(string, string)               {}
func (fixedSelector) RecordSuccess(string, string)               {}

// discardCounters ignores all counts.
type discardCounters struct{}

func (discardCounters) RecordRetry(refusal.Reason) {}
func (discardCounters) ReceiptDropped()            {}
func (discardCounters) ReceiptsWritten(int)        {}

// entry represents one entry process.
type entry struct {
	*dispatch.Dispatcher
	receipts *receipt.Service
	logLink  *logLink
	env      *testEnv
	// staleSidecar, if set, is the sidecar that the entry finds under every name.
	staleSidecar *dispatch.Sidecar
}

// crash simulates a crash by disconnecting the entry from the log. The caller has to
// cancel the entry's calls as well.
func (e *entry) crash() { e.logLink.setDisconnected(true) }

// Sidecar implements dispatch.Directory. A crashed entry finds no sidecar.
func (e *entry) Sidecar(name string) (dispatch.Sidecar, bool) {
	if e.logLink.err("") != nil {
		return dispatch.Sidecar{}, false
	}
	if e.staleSidecar != nil {
		return *e.staleSidecar, true
	}
	return e.env.Sidecar(name)
}

func (env *testEnv) startEntry(incarnation string, servers ...string) *entry {
	env.t.Helper()
	e := &entry{logLink: &logLink{Log: env.log}, env: env}
	c := env.startLedgerWithLog(incarnation, e.logLink)
	e.receipts = receipt.New(hclog.NewNullLogger(), c, e, discardCounters{})
	if err := e.receipts.Start(context.Background(), nil); err != nil {
		env.t.Fatal(err)
	}
	env.t.Cleanup(func() { env.close(e.receipts) })
	e.Dispatcher = dispatch.New(incarnation, dispatch.WithLedger(c), dispatch.WithDirectory(e),
		dispatch.WithServerSelector(fixedSelector(servers)), dispatch.WithRetryPolicy(dispatch.NewSharedRetryBudget(retry.WithRand(rand.New(rand.NewPCG(1, 1))))),
		dispatch.WithReceiptStore(e.receipts), dispatch.WithCounters(discardCounters{}))
	return e
}

// tokenSink collects the tokens of an answer and checks their order.
type tokenSink struct {
	mu     sync.Mutex
	first  int64
	tokens []string
	// onToken, if set, is called after each delivery with the number of tokens so far.
	onToken func(n int)
}

func (s *tokenSink) Accepted(_, _ string, first int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.first, s.tokens = first, nil
	return nil
}

func (s *tokenSink) Tokens(first int64, tokens []string) error {
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

// draft dispatches a request to a model server and stores its receipt, as the caller
// router does.
func (e *entry) draft(ctx context.Context, req dispatch.Request, maxTokens int, sink *tokenSink, servers ...string) (dispatch.Response, error) {
	req.Kind = "draft"
	return e.run(ctx, req, dispatch.Plan{
		Route:     table.Route{Pool: "drafting", Rank: rank.Normal, Idempotent: true, MaxTokens: maxTokens},
		Servers:   servers,
		MaxTokens: maxTokens,
		Timeout:   time.Minute,
		Weight:    1,
		MaxCost:   int64(maxTokens + len(engine.Tokenize(req.Prompt))),
	}, sink)
}

// book dispatches a booking. retry reports whether it was sent before.
func (e *entry) book(ctx context.Context, workspace, key, body string, retry bool) (dispatch.Response, error) {
	req := dispatch.Request{Workspace: workspace, Kind: "booking", IdempotencyKey: key, Body: []byte(body), Retry: retry}
	return e.run(ctx, req, dispatch.Plan{
		Route:   table.Route{Pool: "booking", Price: bookingPrice},
		Timeout: 10 * time.Second,
		Weight:  1,
		MaxCost: bookingPrice,
	}, &tokenSink{})
}

func (e *entry) run(ctx context.Context, req dispatch.Request, p dispatch.Plan, sink *tokenSink) (dispatch.Response, error) {
	answer, err := e.Dispatch(ctx, req, p, sink)
	if err == nil && answer.Receipt != nil {
		e.receipts.Add(*answer.Receipt)
	}
	return answer, err
}

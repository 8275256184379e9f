// Package relay answers a caller's request from a backend server that it calls
// directly: it finds route and workspace, reserves tokens, chooses servers, sends
// the request, repeats it where that is allowed, and passes the answer on.
package relay

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"

	"github.com/crocusline/crocusline/models/balance"
	"github.com/crocusline/crocusline/models/call"
	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/models/retry"
	"github.com/crocusline/crocusline/models/route"
	"github.com/crocusline/crocusline/modules/exchange"
	"github.com/crocusline/crocusline/modules/metric"
	"github.com/crocusline/crocusline/services/prepaid"
)

// HeaderCodec translates between requests and the headers of servers.
type HeaderCodec interface {
	// Encode returns the headers with which a request goes to a server.
	Encode(r *call.Request, leg call.DispatchParams) http.Header
	// IsForeign says whether an answer belongs to another request.
	IsForeign(r *call.Request, h http.Header) bool
	// ClassifyResponse says what the head of a server's answer proves.
	ClassifyResponse(r *call.Request, resp *http.Response) call.ResponseClass
	// CopyResponseHeader copies the fields of a server's answer that callers get.
	CopyResponseHeader(to, from http.Header)
}

// Catalog holds the tables and the servers.
type Catalog interface {
	Table() *route.Table
	Age() time.Duration
	WithBalancer(pool string, f func(*balance.Balancer))
}

// Budget reserves prepaid tokens.
type Budget interface {
	Reserve(ctx context.Context, w route.Workspace, requestID string, tokens int64) (*prepaid.Hold, error)
	Balance(w route.Workspace) prepaid.Balance
}

// Defaults of the options.
const (
	// DefaultRetryWindow, DefaultRetryShare and DefaultRetryExtra keep repeats to a
	// fifth of the requests when four entries add theirs up.
	DefaultRetryWindow = 10 * time.Second
	DefaultRetryRatio  = 0.15
	DefaultRetryExtra  = 6
)

// Option changes a Service at construction.
type Option func(*Service)

// WithRetryBudget bounds the repeats at each pool in any window.
func WithRetryBudget(window time.Duration, share float64, extra int) Option {
	return func(s *Service) { s.retryWindow, s.retryRatio, s.retryExtra = window, share, extra }
}

// WithMetrics counts in the set.
func WithMetrics(set *metric.Set) Option { return func(s *Service) { s.metrics = set } }

// Service relays requests.
type Service struct {
	log         hclog.Logger
	messages    HeaderCodec
	catalog     Catalog
	budget      Budget
	client      *exchange.Client
	metrics     *metric.Set
	retryWindow time.Duration
	retryRatio  float64
	retryExtra  int

	mu           sync.Mutex
	retryBudgets map[string]*retry.WindowBudget
}

// New returns a service that calls servers through the client.
func New(log hclog.Logger, messages HeaderCodec, catalog Catalog, budget Budget, client *exchange.Client, opts ...Option) *Service {
	s := &Service{
		log: log.Named("relay"), messages: messages, catalog: catalog, budget: budget, client: client,
		metrics: metric.New(), retryWindow: DefaultRetryWindow, retryRatio: DefaultRetryRatio, retryExtra: DefaultRetryExtra,
		retryBudgets: map[string]*retry.WindowBudget{},
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// AbortedError says that an answer had begun and can't be completed: the caller's
// connection must be closed, so that it does not look complete.
type AbortedError struct {
	Reason refusal.Reason
}

// Error implements error.
func (e *AbortedError) Error() string { return "answer broken off: " + e.Reason.String() }

// Relay answers the request on w. It returns a refusal.Error if nothing was
// written, and an AbortedError if the answer broke off.
func (s *Service) Relay(ctx context.Context, w http.ResponseWriter, r *call.Request) error {
	j, err := s.admit(r)
	if err != nil {
		s.recordRefusal(r, nil, err)
		return err
	}
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	j.retryBudget.RecordRequest(time.Now())
	j.hold, err = s.reserve(ctx, j)
	if err != nil {
		s.recordRefusal(r, j, err)
		return err
	}
	err = j.run(ctx, w)
	j.hold.Settle(j.usedTokens())
	j.recordResult(err)
	return err
}

// admit finds the request's route and workspace.
func (s *Service) admit(r *call.Request) (*job, error) {
	table := s.catalog.Table()
	if table == nil {
		return nil, refusal.New(refusal.NotReady, notReadyRetryAfter, "this entry has no tables yet: try another one")
	}
	rt, err := table.Find(r.Host, r.Path)
	if err != nil {
		return nil, refusal.New(refusal.UnknownKind, 0, err.Error())
	}
	workspace, err := table.Authorize(rt, r.APIKey)
	if err != nil {
		return nil, refusal.New(refusal.Unauthenticated, 0, err.Error())
	}
	left := rt.Timeout
	if r.Timeout > 0 && (left == 0 || r.Timeout < left) {
		left = r.Timeout
	}
	pool := table.PoolFor(rt, r.ID)
	return &job{
		service: s, request: r, route: rt, pool: pool, workspace: workspace, tableVersion: table.Version,
		deadline: r.ArrivedAt.Add(left), retryBudget: s.retryBudgetFor(pool.Name),
		log: s.log.With("requestId", r.ID),
	}, nil
}

// reserve holds the tokens of model work.
func (s *Service) reserve(ctx context.Context, j *job) (*prepaid.Hold, error) {
	if j.pool.Engine == nil {
		return nil, nil
	}
	return s.budget.Reserve(ctx, j.workspace, j.request.ID, j.request.MaxTotalTokens())
}

func (s *Service) retryBudgetFor(pool string) *retry.WindowBudget {
	s.mu.Lock()
	defer s.mu.Unlock()
	w, known := s.retryBudgets[pool]
	if !known {
		w = retry.NewWindowBudget(s.retryWindow, s.retryRatio, s.retryExtra)
		s.retryBudgets[pool] = w
	}
	return w
}

// recordRefusal logs and counts a request that was recordRefusal before it was sent.
func (s *Service) recordRefusal(r *call.Request, j *job, err error) {
	e, ok := refusal.As(err)
	if !ok {
		s.log.Error("unexpected error", "requestId", r.ID, "error", err)
		return
	}
	s.metrics.Refused(e.Reason.String())
	pairs := []any{
		"requestId", r.ID, "reason", e.Reason, "outcome", e.Outcome, "retryAfter", e.RetryAfter,
		"host", r.Host, "path", r.Path, "tablesAge", s.catalog.Age().Round(time.Millisecond),
	}
	if j != nil {
		b := s.budget.Balance(j.workspace)
		pairs = append(pairs, "route", j.route.Name, "workspace", j.workspace.Name, "tablesVersion", j.tableVersion,
			"tokens", r.MaxTotalTokens(), "free", b.Free, "granted", b.Granted, "demand", int64(b.Demand), "unspent", b.Unspent, "accountsAge", b.Age.Round(time.Millisecond))
	}
	s.log.Info("request refused", pairs...)
}

// histogram returns the latency histogram of that name for a kind of request.
func (s *Service) histogram(name string, k route.Kind) *metrics.Histogram {
	return s.metrics.Histogram(name + `{kind="` + k.String() + `"}`)
}

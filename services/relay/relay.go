// Package relay forwards callers' requests directly to backend servers. It finds
// route and workspace, reserves tokens, chooses a server, sends the request, retries
// it where that is allowed, and passes on the response.
package relay

import (
	"cmp"
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/balance"
	"github.com/crocusline/crocusline/models/call"
	"github.com/crocusline/crocusline/models/gateway"
	"github.com/crocusline/crocusline/models/lineage"
	"github.com/crocusline/crocusline/models/notice"
	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/models/retry"
	"github.com/crocusline/crocusline/models/roster"
	"github.com/crocusline/crocusline/models/route"
	"github.com/crocusline/crocusline/modules/exchange"
	"github.com/crocusline/crocusline/modules/metric"
	"github.com/crocusline/crocusline/services/memory"
	"github.com/crocusline/crocusline/services/prepaid"
	"github.com/crocusline/crocusline/services/quarantine"
	"github.com/crocusline/crocusline/services/strain"
	"github.com/crocusline/crocusline/services/takeover"
)

// HeaderCodec translates between requests and the headers used by servers.
type HeaderCodec interface {
	// Encode returns the headers of a request to a server.
	Encode(r *call.Request, params call.DispatchParams) http.Header
	// OriginOf returns whose answer a response is.
	OriginOf(r *call.Request, h http.Header) call.Origin
	// ClassifyResponse returns what a response proves about the request, judging by
	// the status line and header.
	ClassifyResponse(r *call.Request, resp *http.Response) call.ResponseClass
	// Notice returns what the server announces about itself in the header of a response, and an error for
	// values that can't be decoded.
	Notice(resp *http.Response) (call.Notice, error)
	// AddedEventField reports whether servers add lines with this field to events.
	AddedEventField(field string) bool
	// CopyResponseHeader copies the response fields that are passed on to callers.
	CopyResponseHeader(to, from http.Header)
}

// Catalog provides the routing tables and the balancers of the server pools.
type Catalog interface {
	Table() *route.Table
	// Age returns the time since the tables were known to be the newest ones.
	Age() time.Duration
	// Current reports whether the tables can lack no route or API key.
	Current() bool
	// AwaitTables and AwaitServers wait for the next read of the tables or of the list of servers if this
	// process has not run for a while, and report whether they have waited.
	AwaitTables(ctx context.Context) bool
	AwaitServers(ctx context.Context) bool
	WithBalancer(pool string, f func(*balance.Balancer))
	// RecordNotice records what a server announces about itself, and reports whether that was new.
	RecordNotice(s roster.Server, r notice.Response) bool
	// Confirmed returns what shows that the process behind a connection that was opened at the given time is the
	// listed start of the server.
	Confirmed(s roster.Server, openedAt time.Time) roster.Evidence
	// RecordStart records the start that a server named when it was asked, and reports whether it is that of the server as
	// it was chosen.
	RecordStart(s roster.Server, askedAt time.Time, started int64) bool
}

// Reports calls servers.
type Reports interface {
	// Started returns when the server started, in ms since 1970 by its own clock.
	Started(ctx context.Context, s roster.Server, maxConns int) (int64, error)
}

// noReports is the Reports of a service without one.
type noReports struct{}

func (noReports) Started(context.Context, roster.Server, int) (int64, error) {
	return 0, errors.New("servers are not asked for their start")
}

// Budget reserves prepaid tokens.
type Budget interface {
	Reserve(ctx context.Context, w route.Workspace, requestID string, tokens int64) (*prepaid.Hold, error)
	Balance(w route.Workspace) prepaid.Balance
}

// Quarantine keeps prompts and requests from servers that crash each server that begins to answer
// them. Their subjects are the request itself and the segments of its prompt.
type Quarantine interface {
	// Blocked returns for how long requests with the subjects must not be sent, and whether
	// that is so.
	Blocked(subjects []string) (time.Duration, bool)
	// RecordAnswer records that a server answered a request with the subjects.
	RecordAnswer(subjects []string)
	// RecordBroken records that a server broke off the response to a request with the subjects
	// that it was about to answer.
	RecordBroken(server quarantine.Server, subjects []string)
}

// noQuarantine is the Quarantine of a service without one.
type noQuarantine struct{}

func (noQuarantine) Blocked([]string) (time.Duration, bool)   { return 0, false }
func (noQuarantine) RecordAnswer([]string)                    {}
func (noQuarantine) RecordBroken(quarantine.Server, []string) {}

// Lineage keeps the origins of streams.
type Lineage interface {
	// Begin records where a stream begins, before its first event is passed on. Callers may resume it for the given time.
	Begin(ctx context.Context, id lineage.ID, origin lineage.Origin, lifetime time.Duration)
	// Find returns the origin of a stream that a caller resumes, or an error if it is unknown.
	Find(ctx context.Context, id lineage.ID) (lineage.Origin, error)
}

// noLineage is the Lineage of a service without one. It knows of no stream.
type noLineage struct{}

func (noLineage) Begin(context.Context, lineage.ID, lineage.Origin, time.Duration) {}
func (noLineage) Find(context.Context, lineage.ID) (lineage.Origin, error) {
	return lineage.Origin{}, errors.New("origins of streams are not kept")
}

// Defaults of the options.
const (
	// DefaultRetryWindow, DefaultRetryRatio and DefaultRetryExtra limit the retries of
	// all gateways together.
	DefaultRetryWindow = 10 * time.Second
	DefaultRetryRatio  = 0.15
	DefaultRetryExtra  = 36
)

// Option changes a Service at construction.
type Option func(*Service)

// Fleet counts the gateways that share limits.
type Fleet interface {
	Count() gateway.Count
}

// WithFleet sets the gateways among which retries and connections are divided. Without
// one, the limits are those of this gateway alone.
func WithFleet(f Fleet) Option { return func(s *Service) { s.fleet = f } }

// WithRetryBudget limits the retries of all gateways at each pool within any window of
// time to the given ratio of the requests plus extra.
func WithRetryBudget(window time.Duration, ratio float64, extra int) Option {
	return func(s *Service) { s.retryWindow, s.retryRatio, s.retryExtra = window, ratio, extra }
}

// WithQuarantine sets the quarantine of prompts. Without one, all are sent.
func WithQuarantine(q Quarantine) Option { return func(s *Service) { s.quarantine = q } }

// WithLineage sets where the origins of streams are kept. Without one, callers can't resume streams.
func WithLineage(l Lineage) Option { return func(s *Service) { s.lineage = l } }

// WithReports sets how servers are asked for their start. Without one, only the list of servers confirms it.
func WithReports(r Reports) Option { return func(s *Service) { s.reports = r } }

// WithStrain sets what knows whether the gateway is short of its own resources. Without it, it never is.
func WithStrain(st *strain.Service) Option { return func(s *Service) { s.strain = st } }

// WithMetrics sets the metrics that the service updates.
func WithMetrics(set *metric.Set) Option { return func(s *Service) { s.metrics = set } }

// Service relays requests.
type Service struct {
	log         hclog.Logger
	codec       HeaderCodec
	catalog     Catalog
	budget      Budget
	client      *exchange.Client
	metrics     *metric.Set
	retryWindow time.Duration
	retryRatio  float64
	retryExtra  int
	fleet       Fleet
	quarantine  Quarantine
	lineage     Lineage
	reports     Reports
	takeover    *takeover.Service
	starts      *startCalls
	strain      *strain.Service
	memory      *memory.Service

	mu           sync.Mutex
	retryBudgets map[string]*retry.WindowBudget
}

// New returns a service that sends requests to servers with the client.
func New(log hclog.Logger, codec HeaderCodec, catalog Catalog, budget Budget, client *exchange.Client, opts ...Option) *Service {
	s := &Service{
		log: log.Named("relay"), codec: codec, catalog: catalog, budget: budget, client: client,
		metrics: metric.New(), retryWindow: DefaultRetryWindow, retryRatio: DefaultRetryRatio, retryExtra: DefaultRetryExtra,
		retryBudgets: map[string]*retry.WindowBudget{}, quarantine: noQuarantine{}, lineage: noLineage{}, reports: noReports{},
		starts: newStartCalls(), strain: strain.New(log), memory: memory.New(memory.DefaultLimit),
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// AbortedError means that a response was begun and cannot be completed. The caller's
// connection must be closed, so that the response does not look complete.
type AbortedError struct {
	Reason refusal.Reason
}

// Error implements error.
func (e *AbortedError) Error() string { return "response aborted: " + e.Reason.String() }

// Relay forwards the request and writes the response to w. It returns a
// *refusal.Error if nothing was written, and an *AbortedError if the response was
// aborted.
func (s *Service) Relay(ctx context.Context, w http.ResponseWriter, r *call.Request) error {
	s.countWait(s.catalog.AwaitTables(ctx))
	j, err := s.admit(r)
	if err != nil {
		s.recordRefusal(r, nil, err)
		return err
	}
	// Checked here too, so that no tokens are reserved.
	if err := j.checkSendable(); err != nil {
		s.recordRefusal(r, j, err)
		return err
	}
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	ctx, supersede := context.WithCancelCause(ctx)
	defer supersede(nil)
	if err := j.findOrigin(ctx); err != nil {
		s.recordRefusal(r, j, err)
		return err
	}
	j.beginAttempt(supersede)
	defer func() { _ = j.attempt.Close() }()
	j.endOthers(ctx)
	j.retryBudget.RecordRequest(time.Now())
	j.hold, err = s.reserve(ctx, j)
	if err != nil {
		s.recordRefusal(r, j, err)
		return err
	}
	defer j.releaseBuffers()
	// Deferred for the case of a panic, after which the request may have run.
	relayed := false
	defer func() {
		if !relayed {
			j.possibleRuns++
		}
		j.hold.Settle(j.usedTokens())
	}()
	err = j.run(ctx, w)
	relayed = true
	j.recordResult(err)
	return err
}

// viewsAwaited counts the waits for a newer view after the process has not run for a while.
const viewsAwaited = "crocusline_views_awaited_total"

func (s *Service) countWait(waited bool) {
	if waited {
		s.metrics.Counter(viewsAwaited).Inc()
	}
}

// admit finds the route and workspace of the request.
func (s *Service) admit(r *call.Request) (*job, error) {
	for {
		table := s.catalog.Table()
		if table == nil {
			return nil, refusal.New(refusal.NotReady, notReadyRetryAfter, "this entry has no tables yet: try another one")
		}
		rt, workspace, err := authorize(table, r)
		if err == nil {
			return s.newJob(r, table, rt, workspace), nil
		}
		// Callers treat an unknown route or API key as final, so it is answered only by the current table.
		if !s.catalog.Current() {
			return nil, refusal.New(refusal.NotReady, notReadyRetryAfter, err.Advice+", by tables that may be outdated: try another entry")
		}
		if s.catalog.Table() == table {
			return nil, err
		}
	}
}

// authorize finds the route and workspace of the request in the table, or returns the refusal.
func authorize(table *route.Table, r *call.Request) (route.Route, route.Workspace, *refusal.Error) {
	rt, err := table.Find(r.Host, r.Path)
	if err != nil {
		return rt, route.Workspace{}, refusal.New(refusal.UnknownKind, 0, err.Error())
	}
	workspace, err := table.Authorize(rt, r.APIKey)
	if err != nil {
		return rt, workspace, refusal.New(refusal.Unauthenticated, 0, err.Error())
	}
	return rt, workspace, nil
}

// newJob returns the job of an admitted request.
func (s *Service) newJob(r *call.Request, table *route.Table, rt route.Route, workspace route.Workspace) *job {
	timeout := rt.Timeout
	if r.Timeout > 0 && (timeout == 0 || r.Timeout < timeout) {
		timeout = r.Timeout
	}
	j := &job{
		service: s, request: r, table: table, route: rt, workspace: workspace,
		fingerprint: r.Fingerprint(cmp.Or(workspace.Name, r.APIKey)), deadline: r.ArrivedAt.Add(timeout),
		log: s.log.With("requestId", r.ID),
	}
	if rt.Kind.Streams() {
		j.LastEventID = r.LastEventID
	}
	j.usePool(table.PoolFor(rt, r.ID))
	return j
}

// reserve reserves the tokens of requests to model engines.
func (s *Service) reserve(ctx context.Context, j *job) (*prepaid.Hold, error) {
	if j.pool.Engine == nil {
		return nil, nil
	}
	return s.budget.Reserve(ctx, j.workspace, j.request.ID, j.request.MaxTotalTokens())
}

// share returns this gateway's share of a limit of all gateways.
func (s *Service) share(limit int) int {
	if s.fleet == nil {
		return limit
	}
	return s.fleet.Count().Divide(limit)
}

func (s *Service) retryBudgetFor(pool string) *retry.WindowBudget {
	s.mu.Lock()
	defer s.mu.Unlock()
	budget, exists := s.retryBudgets[pool]
	if !exists {
		budget = retry.NewWindowBudget(s.retryWindow, s.retryRatio, func() int { return s.share(s.retryExtra) })
		s.retryBudgets[pool] = budget
	}
	return budget
}

// recordRefusal logs and counts a request that was refused before it was sent.
func (s *Service) recordRefusal(r *call.Request, j *job, err error) {
	e, ok := refusal.As(err)
	if !ok {
		s.log.Error("unexpected error", "requestId", r.ID, "error", err)
		return
	}
	s.metrics.CountRefusal(e.Reason.String())
	var version int64
	if t := s.catalog.Table(); t != nil {
		version = t.Version
	}
	if j != nil {
		version = j.table.Version
	}
	pairs := []any{
		"requestId", r.ID, "reason", e.Reason, "outcome", e.Outcome, "retryAfter", e.RetryAfter,
		"host", r.Host, "path", r.Path, "tablesVersion", version, "tablesAge", s.catalog.Age().Round(time.Millisecond),
	}
	if j != nil {
		pairs = append(pairs, "route", j.route.Name, "workspace", j.workspace.Name)
		pairs = append(pairs, s.budget.Balance(j.workspace).Pairs(r.MaxTotalTokens())...)
	}
	s.log.Info("request refused", pairs...)
}

// histogram returns the latency histogram with the given name and kind.
func (s *Service) histogram(name string, k route.Kind) *metrics.Histogram {
	return s.metrics.Histogram(name + `{kind="` + k.String() + `"}`)
}

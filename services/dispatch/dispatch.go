// Package dispatch takes an accepted request to a backend server and brings
// its whole answer back: it pays from the budget, chooses servers, resumes
// idempotent work elsewhere and runs non-idempotent work at most once.
package dispatch

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"github.com/crocusline/crocusline/models/ledger"
	"github.com/crocusline/crocusline/models/placement"
	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/models/retry"
	"github.com/crocusline/crocusline/models/table"
	commonv1 "github.com/crocusline/crocusline/modules/wire/common/v1"
	"github.com/crocusline/crocusline/modules/wire/peer/v1/peerv1connect"
	registry "github.com/crocusline/crocusline/services/ledger"
)

// Ledger is what dispatch needs of the ledger. Errors of Reserve and Register
// are of type *refusal.Error.
type Ledger interface {
	// Reserve sets tokens of the workspace's budget aside for one request.
	Reserve(ctx context.Context, workspace string, tokens int64) (ledger.Hold, error)
	// Release takes a hold back whose request did not run.
	Release(workspace string, hold ledger.Hold)
	// Register registers an attempt, or returns the one that has the key.
	Register(ctx context.Context, r registry.Registration) (registry.RegistrationResult, error)
	// Void records that an attempt did not and will not run.
	Void(ctx context.Context, workspace, key string, attempt int64) error
}

// Sidecar is the process in front of a backend server.
type Sidecar struct {
	Server      string
	Incarnation string
	Client      peerv1connect.SidecarServiceClient
}

// Directory knows the sidecars that are members now.
type Directory interface {
	// Sidecar returns the current sidecar of a backend server.
	Sidecar(server string) (Sidecar, bool)
}

// ServerSelector orders a pool's servers for a request and learns from what comes of
// it.
type ServerSelector interface {
	// Choose returns the servers to try in order, or a *refusal.Error.
	Choose(pool string, r placement.Request) ([]string, error)
	ObserveLoad(pool, server string, load *commonv1.Load)
	RecordFailure(pool, server string)
	RecordSuccess(pool, server string)
}

// RetryPolicy decides whether a failed leg is followed by another.
type RetryPolicy interface {
	Decide(a retry.Attempt) retry.Decision
	RecordSuccess()
}

// ReceiptStore settles requests after their answer.
type ReceiptStore interface {
	// Add holds on to a receipt until its bill is in the shard's stream.
	Add(r Receipt)
	// Reconcile settles a hold whose request may have run at a sidecar, once
	// that is known.
	Reconcile(r Receipt)
}

// Counters are the dispatcher's metrics.
type Counters interface {
	RecordRetry(reason refusal.Reason)
}

// Dispatcher takes requests to backend servers.
type Dispatcher struct {
	entry     string
	log       hclog.Logger
	ledger    Ledger
	directory Directory
	chooser   ServerSelector
	retries   RetryPolicy
	receipts  ReceiptStore
	counters  Counters
	now       func() time.Time
}

// Option sets one part of a dispatcher.
type Option func(*Dispatcher)

// WithLedger sets where budgets and registrations are kept.
func WithLedger(l Ledger) Option { return func(d *Dispatcher) { d.ledger = l } }

// WithDirectory sets where sidecars are found.
func WithDirectory(dir Directory) Option { return func(d *Dispatcher) { d.directory = dir } }

// WithServerSelector sets how servers are chosen.
func WithServerSelector(c ServerSelector) Option { return func(d *Dispatcher) { d.chooser = c } }

// WithRetryPolicy sets the retry budget.
func WithRetryPolicy(r RetryPolicy) Option { return func(d *Dispatcher) { d.retries = r } }

// WithReceiptStore sets where receipts are kept.
func WithReceiptStore(r ReceiptStore) Option { return func(d *Dispatcher) { d.receipts = r } }

// WithCounters sets the metrics.
func WithCounters(c Counters) Option { return func(d *Dispatcher) { d.counters = c } }

// WithLogger sets the logger.
func WithLogger(log hclog.Logger) Option { return func(d *Dispatcher) { d.log = log } }

// New returns a dispatcher of the given entry incarnation.
func New(entry string, opts ...Option) *Dispatcher {
	d := &Dispatcher{entry: entry, log: hclog.NewNullLogger(), now: time.Now}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// Dispatch runs a request by its plan. It returns once the answer is whole, or
// with a *refusal.Error, or with a *SinkError when the caller is gone.
func (d *Dispatcher) Dispatch(ctx context.Context, req Request, p Plan, sink Sink) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, p.Timeout)
	defer cancel()
	if req.ID == "" {
		req.ID = uuid.Must(uuid.NewV7()).String()
	}
	j := &job{
		Dispatcher: d,
		req:        req,
		plan:       p,
		requestID:  req.ID,
		relay:      relay{sink: sink, from: req.FromToken},
	}
	if p.Route.Idempotent {
		return j.runIdempotent(ctx)
	}
	return j.runOnce(ctx)
}

// Plan is how the tables in force say that a request is to be run.
type Plan struct {
	Route table.Route
	// Servers are the pool's backend servers.
	Servers      []string
	TableVersion int64
	MaxTokens    int
	Timeout      time.Duration
	// Weight is the workspace's share among others.
	Weight int
	// MaxCost is the most that the request may cost, in tokens.
	MaxCost int64
}

// job is one request under way.
type job struct {
	*Dispatcher
	req       Request
	plan      Plan
	requestID string
	relay     relay
	// mayHaveRun says that a server was lost that may have run the request.
	mayHaveRun bool
}

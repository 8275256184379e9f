// Package dispatch runs an admitted request at a backend server and streams the
// response to the caller: it reserves tokens of the budget, selects servers,
// resumes idempotent work at another server after a failure and executes
// non-idempotent work at most once.
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
	"github.com/crocusline/crocusline/services/memory"
)

// Ledger reserves budget and registers attempts of non-idempotent work. Errors
// of Reserve and Register are of type *refusal.Error.
type Ledger interface {
	// Reserve reserves tokens of the workspace's budget for one request.
	Reserve(ctx context.Context, workspace string, tokens int64) (ledger.Hold, error)
	// Release returns the hold of a request that did not run.
	Release(workspace string, hold ledger.Hold)
	// Register registers an attempt, or returns the attempt that is already
	// registered under the key.
	Register(ctx context.Context, r registry.Registration) (registry.RegistrationResult, error)
	// Void records that an attempt did not and will not run.
	Void(ctx context.Context, workspace, key string, attempt int64) error
}

// Sidecar is a sidecar process and a client for it.
type Sidecar struct {
	Server      string
	Incarnation string
	Client      peerv1connect.SidecarServiceClient
}

// Directory looks up the sidecars that are currently registered.
type Directory interface {
	// Sidecar returns the current sidecar of a backend server.
	Sidecar(server string) (Sidecar, bool)
}

// ServerSelector orders a pool's servers for a request. The load and the outcomes
// reported to it influence later choices.
type ServerSelector interface {
	// Choose returns the servers to try in order, or a *refusal.Error.
	Choose(pool string, r placement.Request) ([]string, error)
	ObserveLoad(pool, server string, load *commonv1.Load)
	RecordFailure(pool, server string)
	RecordSuccess(pool, server string)
}

// RetryPolicy decides whether to retry after a failed sidecar call.
type RetryPolicy interface {
	Decide(a retry.Attempt) retry.Decision
	RecordSuccess()
}

// ReceiptStore settles requests after their response was delivered or lost.
type ReceiptStore interface {
	// Add keeps a receipt until its bill is in the shard's stream.
	Add(r Receipt)
	// Reconcile keeps the receipt of a request that may have run at a sidecar,
	// and settles its hold once the outcome is known.
	Reconcile(r Receipt)
}

// Counters are the dispatcher's metrics.
type Counters interface {
	RecordRetry(reason refusal.Reason)
}

// Dispatcher runs requests at backend servers.
type Dispatcher struct {
	entry     string
	log       hclog.Logger
	ledger    Ledger
	directory Directory
	selector  ServerSelector
	retries   RetryPolicy
	receipts  ReceiptStore
	counters  Counters
	now       func() time.Time
}

// Option configures a Dispatcher.
type Option func(*Dispatcher)

// WithLedger sets the ledger of budgets and registrations.
func WithLedger(l Ledger) Option { return func(d *Dispatcher) { d.ledger = l } }

// WithDirectory sets the directory of sidecars.
func WithDirectory(dir Directory) Option { return func(d *Dispatcher) { d.directory = dir } }

// WithServerSelector sets the selector of backend servers.
func WithServerSelector(s ServerSelector) Option { return func(d *Dispatcher) { d.selector = s } }

// WithRetryPolicy sets the retry policy.
func WithRetryPolicy(r RetryPolicy) Option { return func(d *Dispatcher) { d.retries = r } }

// WithReceiptStore sets the store of receipts.
func WithReceiptStore(r ReceiptStore) Option { return func(d *Dispatcher) { d.receipts = r } }

// WithCounters sets the metrics.
func WithCounters(c Counters) Option { return func(d *Dispatcher) { d.counters = c } }

// WithLogger sets the logger.
func WithLogger(log hclog.Logger) Option { return func(d *Dispatcher) { d.log = log } }

// New returns a dispatcher for the entry instance with the given incarnation.
func New(entry string, opts ...Option) *Dispatcher {
	d := &Dispatcher{entry: entry, log: hclog.NewNullLogger(), now: time.Now}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// Dispatch runs a request as planned. It returns when the response is complete.
// The error is a *refusal.Error, a *SinkError if the caller disconnected, or a *memory.ResponseError.
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
		relay:      relay{sink: sink, firstWanted: req.FromToken, response: memory.ResponseOf(ctx)},
	}
	if p.Route.Idempotent {
		return j.runIdempotent(ctx)
	}
	return j.runAtMostOnce(ctx)
}

// Plan is how to run a request according to the current tables.
type Plan struct {
	Route table.Route
	// Servers are the pool's backend servers.
	Servers      []string
	TableVersion int64
	MaxTokens    int
	Timeout      time.Duration
	// Weight is the workspace's weight in fair scheduling.
	Weight int
	// MaxCost is the maximum cost of the request, in tokens.
	MaxCost int64
}

// job is a request being dispatched.
type job struct {
	*Dispatcher
	req       Request
	plan      Plan
	requestID string
	relay     relay
	// mayHaveRun is set after a call failed whose server may have run the request.
	mayHaveRun bool
}

package cmd

import (
	"context"
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/integrii/flaggy"

	"github.com/crocusline/crocusline/kernel"
	admissionmodel "github.com/crocusline/crocusline/models/admission"
	memorymodel "github.com/crocusline/crocusline/models/memory"
	"github.com/crocusline/crocusline/models/placement"
	"github.com/crocusline/crocusline/models/retry"
	"github.com/crocusline/crocusline/modules/certificate"
	"github.com/crocusline/crocusline/modules/peer"
	"github.com/crocusline/crocusline/modules/setting"
	"github.com/crocusline/crocusline/modules/web"
	"github.com/crocusline/crocusline/modules/wire/peer/v1/peerv1connect"
	"github.com/crocusline/crocusline/routers/caller"
	"github.com/crocusline/crocusline/routers/operator"
	peerrouter "github.com/crocusline/crocusline/routers/peer"
	"github.com/crocusline/crocusline/services/admission"
	"github.com/crocusline/crocusline/services/dispatch"
	"github.com/crocusline/crocusline/services/membership"
	"github.com/crocusline/crocusline/services/memory"
	"github.com/crocusline/crocusline/services/pool"
	"github.com/crocusline/crocusline/services/receipt"
	"github.com/crocusline/crocusline/services/shard"
	"github.com/crocusline/crocusline/services/status"
)

// entryCommand runs an entry instance.
type entryCommand struct {
	settings string
}

func newEntryCommand() *entryCommand {
	return &entryCommand{}
}

func (c *entryCommand) subcommand() *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("entry")
	sub.Description = "Run an entry instance, which admits callers' requests and dispatches them."
	sub.String(&c.settings, "s", "settings", "settings file (YAML)")
	return sub
}

func (c *entryCommand) run(ctx context.Context, con console) error {
	if c.settings == "" {
		return usagef("--settings is missing: name the settings file")
	}
	p, err := newProcess(c.settings, con.err, setting.Entry)
	if err != nil {
		return err
	}
	if err := checkMemory(c.settings, p.settings); err != nil {
		return err
	}
	e, err := newEntry(p)
	if err != nil {
		return err
	}
	return p.run(ctx, e.services()...)
}

// checkMemory returns an error if an entry's memory is too small for a call of the largest size.
func checkMemory(file string, s *setting.Settings) error {
	limit := memorymodel.NewPlan(s.Instance.MemoryBytes).Large
	if need := memorymodel.CallBytes + memorymodel.CallCopies*int64(s.Caller.BodyBytes); need > limit {
		return &setting.Error{File: file, Key: "caller.bodyBytes", Problem: fmt.Sprintf(
			"a call of %d bytes needs %d bytes of memory, and instance.memoryBytes leaves %d to large calls", s.Caller.BodyBytes, need, limit)}
	}
	return nil
}

// entry holds the services of an entry instance.
type entry struct {
	*process
	pool       *pool.Service
	receipt    *receipt.Service
	shards     *shard.Host
	membership *membership.Service
	admission  *admission.Service
	dispatcher *dispatch.Dispatcher
	counters   *entryCounters
	memory     *memory.Service
	status     *status.Service
}

func newEntry(p *process) (*entry, error) {
	policy, err := placement.ParsePolicy(p.settings.Policy.Placement)
	if err != nil {
		return nil, err
	}
	e := &entry{process: p, counters: newEntryCounters()}
	e.memory = memory.New(p.settings.Instance.MemoryBytes, memory.WithMetrics(e.counters.metrics))
	debug.SetMemoryLimit(e.memory.Plan().Runtime)
	e.counters.metrics.Gauge(requestMemory, func() float64 { return float64(e.memory.Held()) })
	e.pool = pool.New(p.log, p.control, dispatch.LimitResponses(p.peers.HTTP()),
		placement.WithPolicy(policy),
		placement.WithLocation(p.member.FailureDomain, p.member.Region))
	e.receipt = receipt.New(p.log, p.ledger, e.pool, e.counters)
	e.admission = admission.New(p.control, admissionmodel.WithStreamLimit(p.settings.Caller.StreamsPerWorkspace))
	e.dispatcher = dispatch.New(p.member.Incarnation,
		dispatch.WithLogger(p.log.Named("dispatch")),
		dispatch.WithLedger(p.ledger),
		dispatch.WithDirectory(e.pool),
		dispatch.WithServerSelector(e.pool),
		dispatch.WithRetryPolicy(dispatch.NewSharedRetryBudget(
			retry.WithRetryRatio(p.settings.Policy.RetryBudget),
			retry.WithBurst(float64(p.settings.Policy.RetryBurst)))),
		dispatch.WithReceiptStore(e.receipt),
		dispatch.WithCounters(e.counters))
	e.shards = shard.New(p.member, p.platform, p.control, p.peers.HTTP(), e.shardOptions()...)
	p.ledger.SetLocalOwner(p.member.Address, e.shards)
	e.status = status.New(p.control, append(p.statusOptions(),
		status.WithCheck("callers", e.admission.Err),
		status.WithShards(e.shards.OwnedShards))...)
	e.membership = membership.New(p.log, p.control, p.platform, e.status,
		membership.WithInterval(p.settings.Platform.ListInterval))
	return e, nil
}

func (e *entry) shardOptions() []shard.Option {
	s := e.settings.Ledger
	return []shard.Option{
		shard.WithLogger(e.log.Named(shard.Name)),
		shard.WithShards(s.Shards),
		shard.WithAppendInterval(s.BatchInterval),
		shard.WithSchedule(e.checkpointSchedule()),
		shard.WithLeaseTimeout(s.LeaseTimeout),
		shard.WithRecaller(e.ledger),
	}
}

// services returns the services in the order in which they are started.
func (e *entry) services() []kernel.Service {
	return []kernel.Service{
		e.control,
		e.ledger,
		e.shards,
		e.membership,
		e.pool,
		e.receipt,
		e.status,
		&listener{name: "peerListener", listen: e.listenPeers},
		operator.New(e.log, e.settings.Operator.Listen, e.status, e.counters.metrics, operatorsLimited(e.counters.metrics)),
		&listener{name: "callerListener", listen: e.listenCallers, beforeClose: e.admission.Drain},
	}
}

func (e *entry) listenPeers() (closer, error) {
	mux := http.NewServeMux()
	mux.Handle(peerrouter.NewTableHandler(e.control))
	mux.Handle(peerv1connect.NewLedgerServiceHandler(e.shards))
	mux.Handle(operator.NewStatusHandler(e.status))
	return peer.NewServer(e.settings.Peer.Listen, e.identity, mux, peer.WithServerIdleTimeout(e.settings.Peer.IdleTimeout))
}

func (e *entry) listenCallers() (closer, error) {
	s := e.settings.Caller
	mux := http.NewServeMux()
	mux.Handle(caller.New(e.log.Named("caller"), e.admission, e.dispatcher, e.receipt, e.counters, s.BodyBytes,
		caller.WithMemory(e.memory), caller.WithBodyTimeout(s.BodyTimeout)))
	overTLS := s.CertFile != ""
	maxConnections := e.memory.Plan().MaxConnectionsOf(memorymodel.ConnectionBytes(s.HeaderBytes, overTLS), e.settings.Instance.Descriptors)
	opts := []web.Option{
		web.WithErrorLog(serverErrorLog(e.log)),
		web.WithoutHTTP2(),
		web.WithMaxConnections(func() int { return maxConnections }, e.counters.connectionsLimited.Inc),
		web.WithMaxHeaderFields(maxHeaderFields),
		web.WithBodyTimeout(s.BodyTimeout),
		web.WithMaxHeaderBytes(s.HeaderBytes),
		web.WithDrainTimeout(s.DrainTimeout),
		web.WithWriteTimeout(s.WriteTimeout),
	}
	if overTLS {
		reloader, err := certificate.NewReloader(s.CertFile, s.KeyFile)
		if err != nil {
			return nil, err
		}
		opts = append(opts, web.WithTLS(reloader.ServerConfig()))
	}
	return web.NewServer(s.Listen, mux, opts...)
}

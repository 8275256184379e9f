package cmd

import (
	"context"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/integrii/flaggy"

	"github.com/crocusline/crocusline/kernel"
	"github.com/crocusline/crocusline/modules/exchange"
	"github.com/crocusline/crocusline/modules/log"
	"github.com/crocusline/crocusline/modules/metric"
	"github.com/crocusline/crocusline/modules/web"
	"github.com/crocusline/crocusline/platform"
	"github.com/crocusline/crocusline/routers/front"
	"github.com/crocusline/crocusline/services/catalog"
	"github.com/crocusline/crocusline/services/prepaid"
	"github.com/crocusline/crocusline/services/relay"
)

const (
	// memoryShare of the process's memory is the collector's limit; the rest is for
	// stacks, sockets and what the collector has not returned.
	memoryShare = 0.7
	// leaveTime is how long an entry goes on taking connections after it reports
	// not to be ready: the platform takes it out after two questions a second apart.
	leaveTime = 2300 * time.Millisecond
	// graceReserve is kept of the grace for returning tokens and ending.
	graceReserve = 1200 * time.Millisecond
	// writeTimeout is how long a caller may take to read a part of an answer.
	writeTimeout = 5 * time.Second
	// pruneInterval is how often unused connections are looked for.
	pruneInterval = time.Second
	// defaultHeaderBytes bounds a request's head; the operators' limit is as large.
	defaultHeaderBytes = 16 << 10
	// retryPart of what the operators allow is used, so that errors of counting at
	// the edges of a window do not add up to a breach.
	retryPart = 0.75
	// retryEntries share the part of the retry budget that does not grow with the
	// requests; there are as many entries or more on each deployment.
	retryEntries = 6
)

// gatewayCommand runs an entry that calls backend servers directly, on the
// users' platform.
type gatewayCommand struct {
	settings string
	level    string
}

func newGatewayCommand() *gatewayCommand {
	return &gatewayCommand{level: "info"}
}

func (c *gatewayCommand) attach() *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("gateway")
	sub.Description = "Run an entry that calls backend servers directly, on the users' platform."
	sub.String(&c.settings, "s", "settings", "settings file of the platform (JSON); default: $"+platform.SettingsEnvVar)
	sub.String(&c.level, "l", "log-level", "trace, debug, info, warn or error")
	return sub
}

func (c *gatewayCommand) run(ctx context.Context, con console) error {
	if c.settings == "" {
		c.settings = con.env(platform.SettingsEnvVar)
	}
	if c.settings == "" {
		return usagef("--settings is missing: name the settings file, or set $%s", platform.SettingsEnvVar)
	}
	settings, err := platform.LoadSettings(c.settings)
	if err != nil {
		return err
	}
	ring := log.NewRing(con.out, log.DefaultLines)
	defer func() { _ = ring.Close() }()
	logger, err := log.New(ring, c.level)
	if err != nil {
		return err
	}
	g := newGateway(settings, logger, ring)
	g.file = c.settings
	return g.run(ctx)
}

// gateway holds the services of the process.
type gateway struct {
	file        string
	settings    *platform.Settings
	log         hclog.Logger
	incarnation string
	metrics     *metric.Set
	store       *platform.Store
	peers       *front.PeerClient
	client      *exchange.Client
	catalog     *catalog.Service
	prepaid     *prepaid.Service
	handler     *front.Handler
	readiness   *front.Readiness
}

func newGateway(s *platform.Settings, logger hclog.Logger, ring *log.Ring) *gateway {
	debug.SetMemoryLimit(int64(float64(s.Memory) * memoryShare))
	g := &gateway{
		settings: s, log: logger, metrics: metric.New(),
		incarnation: s.Instance + "/" + uuid.Must(uuid.NewV7()).String(),
	}
	g.store = platform.NewStore(s.Store, g.metrics)
	g.peers = front.NewPeerClient(others(s.Seeds, s.Listen.Peers))
	g.client = exchange.New()
	g.catalog = catalog.New(logger, g.store, platform.Codec{},
		catalog.WithFailureDomain(s.FailureDomain), catalog.WithPeers(g.peers))
	grants, reports := platform.Codec{}.BudgetTopics()
	g.prepaid = prepaid.New(logger, g.store, prepaid.Topics{Grants: grants, Reports: reports}, g.catalog, s.Instance,
		prepaid.WithPeers(g.peers, s.Listen.Peers), prepaid.WithMetrics(g.metrics))
	r := relay.New(logger, platform.HeaderCodec{}, g.catalog, g.prepaid, g.client, append(retries(s), relay.WithMetrics(g.metrics))...)
	g.handler = front.New(logger, platform.HeaderCodec{}, r, g.catalog)
	g.readiness = front.NewReadiness(g.handler, g.catalog.Ready, g.prepaid.Ready)
	g.metrics.Gauge("crocusline_log_lines_dropped", func() float64 { return float64(ring.Dropped()) })
	g.metrics.Gauge("crocusline_requests_open", func() float64 { return float64(g.handler.OpenRequests()) })
	g.metrics.Gauge("crocusline_connections_opened", func() float64 { return float64(g.client.Dialed()) })
	g.metrics.Gauge("crocusline_connections_reused", func() float64 { return float64(g.client.Reused()) })
	return g
}

// retries returns the entry's part of the retry budget that the operators allow.
func retries(s *platform.Settings) []relay.Option {
	b := s.Parameters
	if b.RetryRatio == 0 || b.RetryWindow == 0 {
		return nil
	}
	return []relay.Option{relay.WithRetryBudget(b.RetryWindow, b.RetryRatio*retryPart, int(b.RetryExtra*retryPart/retryEntries))}
}

func others(all []netip.AddrPort, own netip.AddrPort) []netip.AddrPort {
	var rest []netip.AddrPort
	for _, a := range all {
		if a != own {
			rest = append(rest, a)
		}
	}
	return rest
}

// services are in the order in which they start.
func (g *gateway) services() []kernel.Service {
	services := []kernel.Service{
		g.catalog,
		g.prepaid,
		&listener{name: "readinessListener", listen: g.listenReadiness},
	}
	if g.settings.Listen.Peers.IsValid() {
		services = append(services, &listener{name: "peerListener", listen: g.listenPeers})
	}
	return append(services, &listener{name: "callerListener", listen: g.listenCallers, before: g.leave})
}

// leave lets the platform move new connections elsewhere before this entry takes
// none.
func (g *gateway) leave() {
	g.handler.Drain()
	time.Sleep(leaveTime)
}

func (g *gateway) listenReadiness() (closer, error) {
	mux := http.NewServeMux()
	mux.Handle("GET "+platform.ReadinessPath, g.readiness)
	return web.NewServer(g.settings.Listen.Readiness, mux)
}

func (g *gateway) listenPeers() (closer, error) {
	mux := http.NewServeMux()
	mux.Handle("/peer/", front.NewPeerHandler(g.log, g.catalog, g.prepaid))
	mux.Handle("GET /metrics", g.metrics)
	return web.NewServer(g.settings.Listen.Peers, mux)
}

func (g *gateway) listenCallers() (closer, error) {
	return web.NewServer(g.settings.Listen.Callers, g.handler,
		web.WithHeaderBytes(defaultHeaderBytes),
		web.WithDrain(g.settings.Parameters.GracePeriod-leaveTime-graceReserve),
		web.WithWriteTimeout(writeTimeout))
}

func (g *gateway) run(ctx context.Context) error {
	defer g.reloadOnHangup()()
	k := kernel.New(g.log)
	if err := k.Add(g.services()...); err != nil {
		return err
	}
	if err := k.Start(context.WithoutCancel(ctx)); err != nil {
		return err
	}
	g.log.Info("process started", "incarnation", g.incarnation, "role", "gateway",
		"failureDomain", g.settings.FailureDomain, "memory", g.settings.Memory)
	g.prune(ctx)
	started := time.Now()
	g.log.Info("process draining", "open", g.handler.OpenRequests())
	err := k.Close()
	_ = g.client.Close()
	_ = g.peers.Close()
	_ = g.store.Close()
	g.log.Info("process ended", "took", time.Since(started))
	return err
}

// reloadOnHangup reads the settings again at each hang-up signal until it is
// stopped. The signal stays caught after that: by default it ends the process, also
// one that starts or drains.
func (g *gateway) reloadOnHangup() (stop func()) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ended := make(chan struct{})
	var done sync.WaitGroup
	done.Go(func() {
		for {
			select {
			case <-ended:
				return
			case <-hangups:
				g.reload()
			}
		}
	})
	return func() {
		close(ended)
		done.Wait()
	}
}

// prune looks for unused connections until the context ends.
func (g *gateway) prune(ctx context.Context) {
	prune := time.NewTicker(pruneInterval)
	defer prune.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-prune.C:
			g.client.Prune(now)
		}
	}
}

// reload reads the settings again. Only the memory limit can change while the
// process runs.
func (g *gateway) reload() {
	settings, err := platform.LoadSettings(g.file)
	if err != nil {
		g.log.Error("settings not reloaded", "file", g.file, "error", err)
		return
	}
	debug.SetMemoryLimit(int64(float64(settings.Memory) * memoryShare))
	g.log.Info("settings reloaded", "file", g.file, "memory", settings.Memory)
}

package cmd

import (
	"context"
	"fmt"
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
	"github.com/crocusline/crocusline/models/intake"
	"github.com/crocusline/crocusline/modules/exchange"
	"github.com/crocusline/crocusline/modules/log"
	"github.com/crocusline/crocusline/modules/metric"
	"github.com/crocusline/crocusline/modules/netmeter"
	"github.com/crocusline/crocusline/modules/schedlag"
	"github.com/crocusline/crocusline/modules/web"
	"github.com/crocusline/crocusline/platform"
	"github.com/crocusline/crocusline/routers/front"
	"github.com/crocusline/crocusline/services/catalog"
	"github.com/crocusline/crocusline/services/directory"
	"github.com/crocusline/crocusline/services/lineage"
	"github.com/crocusline/crocusline/services/memory"
	"github.com/crocusline/crocusline/services/notice"
	"github.com/crocusline/crocusline/services/prepaid"
	"github.com/crocusline/crocusline/services/quarantine"
	"github.com/crocusline/crocusline/services/relay"
	"github.com/crocusline/crocusline/services/strain"
	"github.com/crocusline/crocusline/services/takeover"
)

const (
	// drainPollInterval is how often a planned stop looks for open requests.
	drainPollInterval = 20 * time.Millisecond
	// writeTimeout is how long a caller may take to read a part of a response.
	writeTimeout = 5 * time.Second
	// bodyTimeout is how long a body may take to arrive that the handler doesn't limit itself.
	bodyTimeout = 5 * time.Second
	// pruneInterval is how often expired idle connections are closed.
	pruneInterval = time.Second
	// maxHeaderBytes limits a request's header; the operators' limit is the same.
	maxHeaderBytes = 16 << 10
	// maxHeaderFields limits the number of a header's fields. Callers and their proxies send some twenty.
	maxHeaderFields = 128
	// maxSmallHeaderBytes limits the header of a request of another gateway or of the platform.
	maxSmallHeaderBytes = 4 << 10
	// maxReadinessConnections limits the connections of the platform's readiness checks, which are made
	// once a second.
	maxReadinessConnections = 64
	// retryBudgetRatio is the share of the operators' retry budget that is used. The rest
	// covers errors in counting requests at the edges of a window.
	retryBudgetRatio = 0.75
)

// gatewayCommand runs a gateway that calls backend servers directly, on the users'
// platform.
type gatewayCommand struct {
	settings string
	logLevel string
}

func newGatewayCommand() *gatewayCommand {
	return &gatewayCommand{logLevel: "info"}
}

func (c *gatewayCommand) subcommand() *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("gateway")
	sub.Description = "Run a gateway that calls backend servers directly, on the users' platform."
	sub.String(&c.settings, "s", "settings", "settings file of the platform (JSON); default: $"+platform.SettingsEnvVar)
	sub.String(&c.logLevel, "l", "log-level", "trace, debug, info, warn or error")
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
	logWriter := log.NewAsyncWriter(con.out, log.DefaultBufferedLines)
	defer func() { _ = logWriter.Close() }()
	logger, err := log.New(logWriter, c.logLevel)
	if err != nil {
		return err
	}
	g := newGateway(settings, logger, logWriter)
	g.settingsFile = c.settings
	return g.run(ctx)
}

// gateway holds the services of the process.
type gateway struct {
	settingsFile string
	settings     *platform.Settings
	log          hclog.Logger
	incarnation  string
	metrics      *metric.Set
	memory       *memory.Service
	store        *platform.Store
	peers        *front.PeerClient
	client       *exchange.Client
	directory    *directory.Service
	catalog      *catalog.Service
	prepaid      *prepaid.Service
	quarantine   *quarantine.Service
	notices      *notice.Service
	lineage      *lineage.Service
	takeover     *takeover.Service
	relay        *relay.Service
	lag          *schedlag.Meter
	meter        *netmeter.Meter
	strain       *strain.Service
	handler      *front.Handler
	readiness    *front.Readiness
}

func newGateway(s *platform.Settings, logger hclog.Logger, logWriter *log.AsyncWriter) *gateway {
	g := &gateway{
		settings: s, log: logger, metrics: metric.New(),
		incarnation: s.Instance + "/" + uuid.Must(uuid.NewV7()).String(),
	}
	g.meter = netmeter.New()
	g.lag = schedlag.New(schedlag.WithOnPause(g.recordPause))
	g.strain = strain.New(logger, strain.WithBandwidth(s.Bandwidth), strain.WithMeter(g.meter), strain.WithProcessorDelay(g.lag.Delay),
		strain.WithLimits(int64(s.Descriptors), s.Memory), strain.WithMetrics(g.metrics))
	g.memory = memory.New(memory.DefaultLimit, memory.WithMetrics(g.metrics))
	g.setMemoryLimit(s.Memory)
	g.store = platform.NewStore(s.Store, g.metrics, platform.WithMeter(g.meter), platform.WithOnResponse(g.strain.RecordResponse))
	g.peers = front.NewPeerClient(without(s.Seeds, s.Listen.Peers), front.WithPeerMeter(g.meter))
	g.client = exchange.New(exchange.WithMeter(g.meter), exchange.WithOnReached(g.strain.RecordReached))
	catalogOptions := []catalog.Option{
		catalog.WithInstance(s.Instance), catalog.WithFailureDomain(s.FailureDomain), catalog.WithPeers(g.peers),
		catalog.WithColdTolerance(s.Parameters.ColdOver, s.Parameters.ColdSlack), catalog.WithEvacuationBound(s.Parameters.EvacuationBound),
		catalog.WithBounds(s.Parameters.TableBound, s.Parameters.DrainBound), catalog.WithHeartbeat(s.Heartbeat),
	}
	if s.ManyServers {
		catalogOptions = append(catalogOptions, catalog.WithSlowStart())
	}
	g.catalog = catalog.New(logger, g.store, platform.Codec{}, catalogOptions...)
	g.directory = directory.New(logger, g.store, platform.Codec{}.GatewaysTopic(), s.Instance, s.Capacity,
		directory.WithStart(prepaid.ClockReading(logger)), directory.WithAddress(s.Listen.Peers, s.FailureDomain),
		directory.WithRemoveTimeout(g.stopPlan().RemoveFor))
	grants, reports := platform.Codec{}.BudgetTopics()
	g.prepaid = prepaid.New(logger, g.store, prepaid.Topics{Grants: grants, Reports: reports}, g.catalog, s.Instance,
		prepaid.WithDirectory(g.directory), prepaid.WithPeers(g.peers, s.Listen.Peers), prepaid.WithMetrics(g.metrics),
		prepaid.WithReturnTimeout(g.stopPlan().ReturnFor))
	g.quarantine = quarantine.New(logger, g.store, platform.Codec{}.QuarantineTopic(), s.Instance, g.client)
	g.notices = notice.New(logger, g.store, platform.Codec{}.NoticesTopic(), s.Instance, g.catalog, g.directory)
	g.lineage = lineage.New(logger, g.store, platform.Codec{}.LineageTopic(), s.Instance,
		lineage.WithFleet(g.directory, g.peers), lineage.WithWritesPerSecond(s.StoreWrites), lineage.WithMetrics(g.metrics))
	g.takeover = takeover.New(logger, s.Listen.Peers, g.peers, g.lineage, g.metrics)
	g.relay = relay.New(logger, platform.HeaderCodec{}, g.catalog, g.prepaid, g.client,
		append(retryOptions(s), relay.WithMemory(g.memory), relay.WithFleet(g.directory), relay.WithQuarantine(g.quarantine),
			relay.WithLineage(g.lineage), relay.WithTakeover(g.takeover), relay.WithReports(platform.NewReports(g.client)), relay.WithMetrics(g.metrics), relay.WithStrain(g.strain))...)
	g.handler = front.New(logger, platform.HeaderCodec{}, g.relay, g.catalog, front.WithStrain(g.strain), front.WithMemory(g.memory))
	g.readiness = front.NewReadiness(g.handler, g.catalog.Ready, g.prepaid.Ready)
	g.metrics.Gauge("crocusline_log_lines_dropped", func() float64 { return float64(logWriter.Dropped()) })
	g.metrics.Gauge("crocusline_failure_domains_evacuated", func() float64 { return float64(len(g.catalog.Evacuated())) })
	g.metrics.Gauge("crocusline_requests_open", func() float64 { return float64(g.handler.OpenRequests()) })
	g.metrics.Gauge("crocusline_servers_cold", func() float64 { return float64(g.catalog.ColdServers()) })
	g.metrics.Gauge("crocusline_servers_starting", func() float64 { return float64(g.catalog.StartingServers()) })
	g.metrics.Gauge(requestMemory, func() float64 { return float64(g.memory.Held()) })
	g.metrics.Gauge("crocusline_connections_opened", func() float64 { return float64(g.client.Dialed()) })
	g.metrics.Gauge("crocusline_connections_reused", func() float64 { return float64(g.client.Reused()) })
	return g
}

const (
	// processPauses counts the pauses of the process, and pausedMilliseconds their time.
	processPauses      = "crocusline_process_pauses_total"
	pausedMilliseconds = "crocusline_process_paused_milliseconds_total"
)

// recordPause logs and counts a time in which the process did not run. What it observes right after that
// has waited as long, which a slow store or server would look like otherwise.
func (g *gateway) recordPause(p schedlag.Pause) {
	g.metrics.Counter(processPauses).Inc()
	g.metrics.Counter(pausedMilliseconds).Add(int((p.Delay + p.Suspended).Milliseconds()))
	g.log.Warn("process did not run", "delay", p.Delay.Round(time.Millisecond), "suspended", p.Suspended.Round(time.Millisecond))
}

// retryOptions returns the operators' retry budget of all gateways.
func retryOptions(s *platform.Settings) []relay.Option {
	p := s.Parameters
	if p.RetryRatio == 0 || p.RetryWindow == 0 {
		return nil
	}
	return []relay.Option{relay.WithRetryBudget(p.RetryWindow, p.RetryRatio*retryBudgetRatio, int(p.RetryExtra*retryBudgetRatio))}
}

// without returns the addresses other than own.
func without(addresses []netip.AddrPort, own netip.AddrPort) []netip.AddrPort {
	var peers []netip.AddrPort
	for _, a := range addresses {
		if a != own {
			peers = append(peers, a)
		}
	}
	return peers
}

// services returns the services in the order in which they are started.
func (g *gateway) services() []kernel.Service {
	services := []kernel.Service{
		g.strain,
		g.directory,
		g.catalog,
		g.prepaid,
		g.quarantine,
		g.notices,
		g.lineage,
		&listener{name: "readinessListener", listen: g.listenReadiness},
	}
	if g.settings.Listen.Peers.IsValid() {
		services = append(services, &listener{name: "peerListener", listen: g.listenPeers})
	}
	return append(services, &listener{name: "callerListener", listen: g.listenCallers, beforeClose: g.drain})
}

// drain fails the readiness check and waits until the platform has stopped sending new
// connections to this gateway and all requests have ended or were given up. Callers that come later
// are told to go elsewhere, which they would not be once the server shuts down.
func (g *gateway) drain() {
	start := time.Now()
	plan := g.stopPlan()
	g.handler.Drain(plan)
	time.Sleep(plan.AcceptFor)
	for g.handler.OpenRequests() > 0 && time.Since(start) < plan.GiveUpAfter {
		time.Sleep(drainPollInterval)
	}
}

func (g *gateway) stopPlan() intake.Stop { return intake.PlanStop(g.settings.Parameters.GracePeriod) }

func (g *gateway) listenReadiness() (closer, error) {
	mux := http.NewServeMux()
	mux.Handle("GET "+platform.ReadinessPath, g.readiness)
	return web.NewServer(g.settings.Listen.Readiness, mux, append(g.limits("readiness", func() int { return maxReadinessConnections }),
		web.WithMaxHeaderBytes(maxSmallHeaderBytes),
		web.WithDrainTimeout(g.stopPlan().DrainFor))...)
}

func (g *gateway) listenPeers() (closer, error) {
	mux := http.NewServeMux()
	mux.Handle("/peer/", front.NewPeerHandler(g.log, g.catalog, g.prepaid, g.lineage, g.takeover))
	mux.Handle("GET /metrics", g.metrics)
	limit := func() int { return g.memory.Plan().MaxPeerConnections(g.settings.Descriptors) }
	return web.NewServer(g.settings.Listen.Peers, mux, append(g.limits("peers", limit),
		web.WithMaxHeaderBytes(maxSmallHeaderBytes),
		web.WithMeter(g.meter),
		web.WithDrainTimeout(g.stopPlan().DrainFor))...)
}

func (g *gateway) listenCallers() (closer, error) {
	plan := g.stopPlan()
	limit := func() int { return g.memory.Plan().MaxConnections(g.settings.Descriptors) }
	return web.NewServer(g.settings.Listen.Callers, g.handler, append(g.limits("callers", limit),
		web.WithMaxHeaderBytes(maxHeaderBytes),
		web.WithDrainTimeout(plan.CloseAfter-plan.GiveUpAfter),
		web.WithMeter(g.meter),
		web.WithWriteTimeout(writeTimeout))...)
}

// connectionsLimited counts the connections that were closed or refused because of the limit of a listener.
const connectionsLimited = "crocusline_connections_limited_total{listener=%q}"

// requestMemory is the memory that requests in progress have reserved.
const requestMemory = "crocusline_request_memory_bytes"

// limits returns the options that bound the memory of a listener's connections, and the log of its errors.
func (g *gateway) limits(listener string, maxConnections func() int) []web.Option {
	counter := g.metrics.Counter(fmt.Sprintf(connectionsLimited, listener))
	return []web.Option{
		web.WithErrorLog(serverErrorLog(g.log)),
		web.WithMaxConnections(maxConnections, counter.Inc),
		web.WithoutHTTP2(),
		web.WithMaxHeaderFields(maxHeaderFields),
		web.WithBodyTimeout(bodyTimeout),
	}
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
	drainStart := time.Now()
	g.log.Info("process draining", "open", g.handler.OpenRequests())
	err := k.Close()
	_ = g.lag.Close()
	_ = g.client.Close()
	_ = g.peers.Close()
	_ = g.store.Close()
	g.log.Info("process ended", "took", time.Since(drainStart))
	return err
}

// reloadOnHangup reloads the settings on each SIGHUP until stop is called. The signal
// stays caught after that, since by default it terminates the process, also while it
// starts or drains.
func (g *gateway) reloadOnHangup() (stop func()) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	stopped := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() {
		for {
			select {
			case <-stopped:
				return
			case <-hangups:
				g.reload()
			}
		}
	})
	return func() {
		close(stopped)
		running.Wait()
	}
}

// prune closes expired idle connections until the context ends.
func (g *gateway) prune(ctx context.Context) {
	ticker := time.NewTicker(pruneInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			g.client.Prune(now)
		}
	}
}

// setMemoryLimit applies the memory limit of the settings in bytes, 0 if they have none.
func (g *gateway) setMemoryLimit(bytes int64) {
	g.strain.SetMemory(bytes)
	if bytes <= 0 {
		bytes = memory.DefaultLimit
	}
	g.memory.SetLimit(bytes)
	debug.SetMemoryLimit(g.memory.Plan().Runtime)
}

// reload reads the settings file and applies the memory limit, the only setting that can
// change while the process runs.
func (g *gateway) reload() {
	settings, err := platform.LoadSettings(g.settingsFile)
	if err != nil {
		g.log.Error("settings not reloaded", "file", g.settingsFile, "error", err)
		return
	}
	g.setMemoryLimit(settings.Memory)
	g.log.Info("settings reloaded", "file", g.settingsFile, "memory", settings.Memory)
}

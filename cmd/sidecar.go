package cmd

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/kernel"
	"github.com/crocusline/crocusline/models/fleet"
	"github.com/crocusline/crocusline/models/queue"
	"github.com/crocusline/crocusline/models/rank"
	runmodel "github.com/crocusline/crocusline/models/run"
	"github.com/crocusline/crocusline/modules/metric"
	"github.com/crocusline/crocusline/modules/peer"
	"github.com/crocusline/crocusline/modules/setting"
	commonv1 "github.com/crocusline/crocusline/modules/wire/common/v1"
	"github.com/crocusline/crocusline/routers/operator"
	peerrouter "github.com/crocusline/crocusline/routers/peer"
	"github.com/crocusline/crocusline/services/billing"
	"github.com/crocusline/crocusline/services/drain"
	"github.com/crocusline/crocusline/services/order"
	"github.com/crocusline/crocusline/services/runner"
	"github.com/crocusline/crocusline/services/server"
	"github.com/crocusline/crocusline/services/status"
)

// sidecarCommand runs a sidecar, the process in front of a backend server.
type sidecarCommand struct {
	settings string
}

func newSidecarCommand() *sidecarCommand {
	return &sidecarCommand{}
}

func (c *sidecarCommand) subcommand() *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("sidecar")
	sub.Description = "Run a sidecar, the process through which all requests to a backend server go."
	sub.String(&c.settings, "s", "settings", "settings file (YAML)")
	return sub
}

func (c *sidecarCommand) run(ctx context.Context, con console) error {
	if c.settings == "" {
		return usagef("--settings is missing: name the settings file")
	}
	p, err := newProcess(c.settings, con.err, setting.Sidecar)
	if err != nil {
		return err
	}
	s, err := newSidecar(p)
	if err != nil {
		return err
	}
	return p.run(ctx, s.services()...)
}

// sidecar holds the services of a sidecar.
type sidecar struct {
	*process
	billing *billing.Outbox
	runner  *runner.Runner
	drain   *drain.Drainer
	status  *status.Service
	// engine is nil if the backend server is a plain service.
	engine *server.Engine
}

func newSidecar(p *process) (*sidecar, error) {
	backend, err := newBackend(p.settings.Server)
	if err != nil {
		return nil, err
	}
	s := &sidecar{process: p, billing: billing.New()}
	s.engine, _ = backend.(*server.Engine)
	s.runner = runner.New(p.settings.Server.Name, p.member.Incarnation, server.Driver{Server: backend},
		s.runnerOptions()...)
	s.drain = drain.New()
	s.status = status.New(p.control, append(p.statusOptions(),
		status.WithLoad(s.loadMessage),
		status.WithWaitsFor(s.waitsFor))...)
	return s, nil
}

// newBackend returns the driver of the backend server in the settings.
func newBackend(s *setting.Server) (server.Server, error) {
	u, err := url.Parse(s.URL)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	address, err := netip.ParseAddrPort(u.Host)
	if err != nil {
		return nil, errors.Wrapf(err, "server.url %s", s.URL)
	}
	if s.Kind == "plain" {
		return server.NewPlainService(address), nil
	}
	return server.NewEngine(address), nil
}

// services returns the services in the order in which they are started.
func (s *sidecar) services() []kernel.Service {
	services := []kernel.Service{
		s.control,
		s.ledger,
		s.billing,
		s.runner,
		s.drain,
		s.status,
	}
	if s.engine != nil {
		services = append(services, order.New(s.engine))
	}
	metrics := metric.New()
	return append(services,
		&listener{name: "peerListener", listen: s.listenPeers, beforeClose: s.shutdown},
		operator.New(s.log, s.settings.Operator.Listen, s.status, metrics, operatorsLimited(metrics)),
	)
}

func (s *sidecar) listenPeers() (closer, error) {
	// The current state is applied first, so that no later state is overwritten by it.
	s.applyPlannedStop(s.control.State())
	s.control.Subscribe(s.applyPlannedStop)
	mux := http.NewServeMux()
	mux.Handle(peerrouter.NewSidecarHandler(s.runner, s.control).HTTPHandler())
	mux.Handle(peerrouter.NewTableHandler(s.control))
	mux.Handle(operator.NewStatusHandler(s.status))
	return peer.NewServer(s.settings.Peer.Listen, s.identity, mux, peer.WithServerIdleTimeout(s.settings.Peer.IdleTimeout))
}

// applyPlannedStop starts the drain when a stop of the server is planned, and ends it when
// the stop is ended.
func (s *sidecar) applyPlannedStop(state *fleet.State) {
	planned := state.Tables.HasPlannedStop(s.settings.Server.Name)
	if planned == s.drain.Draining() {
		return
	}
	s.log.Info("planned stop changed", "server", s.settings.Server.Name, "stopping", planned)
	if err := s.drain.SetPlannedStop(context.Background(), planned); err != nil {
		s.log.Error("drain failed", "error", err)
	}
}

// shutdown waits for running requests and unposted bills, up to the drain timeout.
func (s *sidecar) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), s.settings.Caller.DrainTimeout)
	defer cancel()
	if err := s.drain.Shutdown(ctx); err != nil {
		s.log.Warn("ended with work left", "error", err)
	}
}

func (s *sidecar) loadMessage() *commonv1.Load {
	return peerrouter.LoadMessage(s.runner.Load())
}

// waitsFor returns what a planned stop still waits for, one line per kind of work.
func (s *sidecar) waitsFor() []string {
	var lines []string
	waiting := s.drain.WaitsFor()
	for _, part := range []struct {
		count int
		unit  string
	}{
		{waiting.Requests, "requests queued or running"},
		{waiting.Subscriptions, "answers being read"},
		{waiting.Bills, "bills not in the ledger"},
	} {
		if part.count > 0 {
			lines = append(lines, fmt.Sprintf("%d %s", part.count, part.unit))
		}
	}
	return lines
}

func (s *sidecar) runnerOptions() []runner.Option {
	server, policy := s.settings.Server, s.settings.Policy
	limits := runmodel.DefaultLimits()
	limits.GracePeriod = server.Grace
	return []runner.Option{
		runner.WithSlots(server.Slots),
		runner.WithLimits(limits),
		runner.WithQueueOptions(
			queue.WithQueueLength(server.QueueLength),
			queue.WithFloor(rank.Normal, policy.Floors.Normal),
			queue.WithFloor(rank.Bulk, policy.Floors.Bulk)),
	}
}

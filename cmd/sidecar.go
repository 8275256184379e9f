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
	record "github.com/crocusline/crocusline/models/run"
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

// sidecarCommand runs the process beside a backend server.
type sidecarCommand struct {
	settings string
}

func newSidecarCommand() *sidecarCommand {
	return &sidecarCommand{}
}

func (c *sidecarCommand) attach() *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("sidecar")
	sub.Description = "Run the process beside a backend server, which is the only way to it."
	sub.String(&c.settings, "s", "settings", "settings file (YAML)")
	return sub
}

func (c *sidecarCommand) run(ctx context.Context, out console) error {
	if c.settings == "" {
		return usagef("--settings is missing: name the settings file")
	}
	p, err := newProcess(c.settings, out.err, setting.Sidecar)
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
	// engine is nil beside a plain service.
	engine *server.Engine
}

func newSidecar(p *process) (*sidecar, error) {
	backend, err := backend(p.settings.Server)
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

// backend returns the driver of the backend server that the settings name.
func backend(s *setting.Server) (server.Server, error) {
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

// services are in the order in which they start.
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
	return append(services,
		&listener{name: "peerListener", listen: s.listenPeers, before: s.finish},
		operator.New(s.log, s.settings.Operator.Listen, s.status, metric.New()),
	)
}

func (s *sidecar) listenPeers() (closer, error) {
	// In this order: the subscription's states are this one and later ones.
	s.followPlan(s.control.State())
	s.control.Subscribe(s.followPlan)
	mux := http.NewServeMux()
	mux.Handle(peerrouter.NewSidecarHandler(s.runner, s.control).HTTPHandler())
	mux.Handle(peerrouter.NewTableHandler(s.control))
	mux.Handle(operator.NewStatusHandler(s.status))
	return peer.NewServer(s.settings.Peer.Listen, s.identity, mux, peer.WithServerIdleTimeout(s.settings.Peer.IdleTimeout))
}

// followPlan drains the server while a stop of it is planned.
func (s *sidecar) followPlan(state *fleet.State) {
	stopping := state.Tables.HasPlannedStop(s.settings.Server.Name)
	if stopping == s.drain.Draining() {
		return
	}
	s.log.Info("planned stop changed", "server", s.settings.Server.Name, "stopping", stopping)
	if err := s.drain.SetPlannedStop(context.Background(), stopping); err != nil {
		s.log.Error("drain failed", "error", err)
	}
}

// finish waits for running requests and unposted bills before the process ends.
func (s *sidecar) finish() {
	ctx, cancel := context.WithTimeout(context.Background(), s.settings.Caller.DrainTimeout)
	defer cancel()
	if err := s.drain.Shutdown(ctx); err != nil {
		s.log.Warn("ended with work left", "error", err)
	}
}

func (s *sidecar) loadMessage() *commonv1.Load {
	return peerrouter.LoadMessage(s.runner.Load())
}

// waitsFor says in lines what a stop still waits for.
func (s *sidecar) waitsFor() []string {
	var lines []string
	waiting := s.drain.WaitsFor()
	for _, part := range []struct {
		count int
		what  string
	}{
		{waiting.Requests, "requests queued or running"},
		{waiting.Subscriptions, "answers being read"},
		{waiting.Bills, "bills not in the ledger"},
	} {
		if part.count > 0 {
			lines = append(lines, fmt.Sprintf("%d %s", part.count, part.what))
		}
	}
	return lines
}

func (s *sidecar) runnerOptions() []runner.Option {
	server, policy := s.settings.Server, s.settings.Policy
	limits := record.DefaultLimits()
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

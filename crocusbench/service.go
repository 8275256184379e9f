package main

import (
	"context"
	"net/netip"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/integrii/flaggy"

	"github.com/crocusline/crocusline/standin/control"
	"github.com/crocusline/crocusline/standin/service"
)

// serviceCommand serves a simulated plain service.
type serviceCommand struct {
	listen   netip.AddrPort
	slowness time.Duration
}

func newServiceCommand() *serviceCommand {
	return &serviceCommand{listen: anyLoopbackPort}
}

func (c *serviceCommand) flags() *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("service")
	sub.Description = "Serve a simulated plain service whose calls must not be repeated."
	sub.NetipAddrPort(&c.listen, "", "listen", "address to listen on; port 0 takes a free one")
	sub.Duration(&c.slowness, "", "slowness", "duration of a call")
	return sub
}

func (c *serviceCommand) run(ctx context.Context, log hclog.Logger) error {
	s := service.New(service.WithFaults(service.Faults{Slowness: control.Duration(c.slowness)}))
	return serve(ctx, log, c.listen, s.Handler())
}

package main

import (
	"context"
	"net/netip"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/integrii/flaggy"

	"github.com/crocusline/crocusline/standin/control"
	"github.com/crocusline/crocusline/standin/platform"
)

// platformCommand serves a simulated platform.
type platformCommand struct {
	listen           netip.AddrPort
	appendsPerSecond float64
	retainRecords    int
	retainFor        time.Duration
	slowness         time.Duration
	instanceLag      time.Duration
	seed             uint64
}

// Defaults of the simulated platform.
const (
	defaultAppendsPerSecond = 400
	defaultRetainRecords    = 100_000
	defaultInstanceLag      = 2 * time.Second
)

func newPlatformCommand() *platformCommand {
	return &platformCommand{
		listen:           anyLoopbackPort,
		appendsPerSecond: defaultAppendsPerSecond,
		retainRecords:    defaultRetainRecords,
		instanceLag:      defaultInstanceLag,
		seed:             1,
	}
}

func (c *platformCommand) flags() *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("platform")
	sub.Description = "Serve a simulated platform: its append-only log and its list of instances."
	sub.NetipAddrPort(&c.listen, "", "listen", "address to listen on; port 0 takes a free one")
	sub.Float64(&c.appendsPerSecond, "", "appends-per-second", "total append limit of all clients; 0 for none")
	sub.Int(&c.retainRecords, "", "retain-records", "records kept in each stream; 0 for all")
	sub.Duration(&c.retainFor, "", "retain-for", "retention period of records; 0 for no limit")
	sub.Duration(&c.slowness, "", "slowness", "delay added to each call")
	sub.Duration(&c.instanceLag, "", "instance-lag", "delay with which the list of instances shows changes")
	sub.UInt64(&c.seed, "", "seed", "seed of the random choice of lost responses")
	return sub
}

func (c *platformCommand) run(ctx context.Context, log hclog.Logger) error {
	faults := platform.Faults{
		AppendsPerSecond: c.appendsPerSecond,
		RetainRecords:    c.retainRecords,
		RetainFor:        control.Duration(c.retainFor),
		Slowness:         control.Duration(c.slowness),
		InstanceLag:      control.Duration(c.instanceLag),
	}
	store := platform.New(platform.WithFaults(faults), platform.WithSeed(c.seed))
	return serve(ctx, log, c.listen, store.Handler())
}

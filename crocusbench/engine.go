package main

import (
	"context"
	"net/netip"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/standin/control"
	"github.com/crocusline/crocusline/standin/engine"
)

// engineCommand serves a simulated model engine.
type engineCommand struct {
	listen        netip.AddrPort
	slots         int
	tokenInterval time.Duration
	prefillSpeed  int
	cacheTokens   int
	role          string
	loadLag       time.Duration
	cacheLag      time.Duration
	cacheGapShare float64
	ignoreFencing bool
}

// Defaults of the simulated engine.
const (
	defaultSlots         = 8
	defaultTokenInterval = 20 * time.Millisecond
	defaultPrefillSpeed  = 5000
	defaultCacheTokens   = 100_000
	defaultLoadLag       = 500 * time.Millisecond
	defaultCacheLag      = time.Second
	defaultCacheGapShare = 0.05
)

func newEngineCommand() *engineCommand {
	return &engineCommand{
		listen:        anyLoopbackPort,
		slots:         defaultSlots,
		tokenInterval: defaultTokenInterval,
		prefillSpeed:  defaultPrefillSpeed,
		cacheTokens:   defaultCacheTokens,
		role:          "mixed",
		loadLag:       defaultLoadLag,
		cacheLag:      defaultCacheLag,
		cacheGapShare: defaultCacheGapShare,
	}
}

func (c *engineCommand) flags() *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("engine")
	sub.Description = "Serve a simulated model engine."
	sub.NetipAddrPort(&c.listen, "", "listen", "address to listen on; port 0 takes a free one")
	sub.Int(&c.slots, "", "slots", "streams that generate concurrently")
	sub.Duration(&c.tokenInterval, "", "token-interval", "interval between two tokens of a stream")
	sub.Int(&c.prefillSpeed, "", "prefill-speed", "tokens prefilled per second and stream")
	sub.Int(&c.cacheTokens, "", "cache-tokens", "size of the prefix cache in tokens")
	sub.String(&c.role, "", "role", "initial role of the engine")
	sub.Duration(&c.loadLag, "", "load-lag", "age of the reported load")
	sub.Duration(&c.cacheLag, "", "cache-lag", "delay of published cache events")
	sub.Float64(&c.cacheGapShare, "", "cache-gap-share", "fraction of cache events that are lost, from 0 to 1")
	sub.Bool(&c.ignoreFencing, "", "ignore-fencing", "execute orders with outdated fencing numbers")
	return sub
}

func (c *engineCommand) run(ctx context.Context, log hclog.Logger) error {
	if c.slots < 1 || c.tokenInterval <= 0 || c.prefillSpeed < 1 || c.cacheTokens < 0 {
		return errors.New("slots, token interval and prefill speed must be greater than 0, and cache tokens must not be negative")
	}
	e := engine.New(
		engine.WithSlots(c.slots),
		engine.WithTokenInterval(c.tokenInterval),
		engine.WithPrefillSpeed(c.prefillSpeed),
		engine.WithCacheTokens(c.cacheTokens),
		engine.WithRole(c.role),
		engine.WithFaults(engine.Faults{
			LoadLag:       control.Duration(c.loadLag),
			CacheLag:      control.Duration(c.cacheLag),
			CacheGapShare: c.cacheGapShare,
			IgnoreFencing: c.ignoreFencing,
		}),
	)
	err := serve(ctx, log, c.listen, e.Handler())
	if closeErr := e.Close(); err == nil {
		err = closeErr
	}
	return err
}

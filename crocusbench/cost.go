package main

import (
	"context"
	"os"

	"github.com/hashicorp/go-hclog"
	"github.com/integrii/flaggy"

	"github.com/crocusline/crocusline/standin/cost"
)

// costCommand compares requests through an entry and a sidecar with requests sent
// directly to the engine.
type costCommand struct {
	bin string
	dir string
}

func newCostCommand() *costCommand {
	return &costCommand{bin: "bin", dir: "out/cost"}
}

func (c *costCommand) flags() *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("cost")
	sub.Description = "Compare the cost of requests and tokens through an entry and a sidecar with direct calls to the engine."
	sub.String(&c.bin, "", "bin", "directory of the crocusline and crocusbench binaries")
	sub.String(&c.dir, "", "dir", "directory for settings, certificates and logs")
	return sub
}

func (c *costCommand) run(ctx context.Context, _ hclog.Logger) error {
	return cost.Run(ctx, c.bin, c.dir, os.Stdout)
}

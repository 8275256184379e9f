package main

import (
	"context"

	"github.com/hashicorp/go-hclog"
	"github.com/integrii/flaggy"

	"github.com/crocusline/crocusline/standin/capacity"
)

// capacityCommand measures slopes and rewrites the capacity page.
type capacityCommand struct {
	bin  string
	dir  string
	page string
}

func newCapacityCommand() *capacityCommand {
	return &capacityCommand{bin: "bin", dir: "out/capacity", page: "docs/CAPACITY.md"}
}

func (c *capacityCommand) flags() *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("capacity")
	sub.Description = "Measure what each role costs, and write the figures into the capacity page."
	sub.String(&c.bin, "", "bin", "folder of the crocusline and crocusbench binaries")
	sub.String(&c.dir, "", "dir", "folder for settings, certificates and logs")
	sub.String(&c.page, "", "page", "page to rewrite")
	return sub
}

func (c *capacityCommand) run(ctx context.Context, _ hclog.Logger) error {
	return capacity.Run(ctx, c.bin, c.dir, c.page)
}

package main

import (
	"context"

	"github.com/hashicorp/go-hclog"
	"github.com/integrii/flaggy"

	"github.com/crocusline/crocusline/standin/capacity"
)

// capacityCommand measures the capacity of each role and updates the capacity page.
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
	sub.Description = "Measure the resource usage of each role and write the results to the capacity page."
	sub.String(&c.bin, "", "bin", "directory of the crocusline and crocusbench binaries")
	sub.String(&c.dir, "", "dir", "directory for settings, certificates and logs")
	sub.String(&c.page, "", "page", "page to update")
	return sub
}

func (c *capacityCommand) run(ctx context.Context, _ hclog.Logger) error {
	return capacity.Run(ctx, c.bin, c.dir, c.page)
}

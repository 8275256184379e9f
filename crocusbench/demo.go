package main

import (
	"context"
	"os"

	"github.com/hashicorp/go-hclog"
	"github.com/integrii/flaggy"

	"github.com/crocusline/crocusline/standin/demo"
)

// demoCommand runs the demonstration.
type demoCommand struct {
	bin      string
	examples string
	dir      string
}

func newDemoCommand() *demoCommand {
	return &demoCommand{bin: "bin", examples: "examples/demo", dir: "out/demo"}
}

func (c *demoCommand) flags() *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("demo")
	sub.Description = "Run a small fleet on loopback, kill an entry, and verify responses and bills."
	sub.String(&c.bin, "", "bin", "directory of the crocusline and crocusbench binaries")
	sub.String(&c.examples, "", "examples", "directory of settings, tables and request files")
	sub.String(&c.dir, "", "dir", "directory for certificates and logs")
	return sub
}

func (c *demoCommand) run(ctx context.Context, _ hclog.Logger) error {
	return demo.New(os.Stdout, c.bin, c.examples, c.dir).Run(ctx)
}

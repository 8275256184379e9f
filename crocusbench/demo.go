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
	sub.Description = "Run a small fleet on loopback, lose an entry, and check answers and bills."
	sub.String(&c.bin, "", "bin", "folder of the crocusline and crocusbench binaries")
	sub.String(&c.examples, "", "examples", "folder of settings, tables and work")
	sub.String(&c.dir, "", "dir", "folder for certificates and logs")
	return sub
}

func (c *demoCommand) run(ctx context.Context, _ hclog.Logger) error {
	return demo.New(os.Stdout, c.bin, c.examples, c.dir).Run(ctx)
}

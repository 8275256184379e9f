package cmd

import (
	"context"
	"fmt"
	"runtime"
	"runtime/debug"

	"github.com/integrii/flaggy"
)

// versionCommand prints what this binary was built from.
type versionCommand struct{}

func newVersionCommand() *versionCommand { return &versionCommand{} }

func (v *versionCommand) subcommand() *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("version")
	sub.Description = "Print what this binary was built from."
	return sub
}

func (v *versionCommand) run(_ context.Context, con console) error {
	release, revision := "unknown", "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		release = info.Main.Version
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				revision = s.Value
			}
		}
	}
	fmt.Fprintf(con.out, "crocusline %s (revision %s, %s)\n", release, revision, runtime.Version())
	return nil
}

package cmd

import (
	"context"
	"fmt"

	"github.com/integrii/flaggy"

	"github.com/crocusline/crocusline/models/table"
	"github.com/crocusline/crocusline/modules/setting"
)

// checkCommand validates settings and tables without starting a process.
type checkCommand struct {
	entries  []string
	sidecars []string
	tables   []string
}

func newCheckCommand() *checkCommand { return &checkCommand{} }

func (c *checkCommand) subcommand() *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("check")
	sub.Description = "Check settings and tables without starting or publishing anything."
	sub.StringSlice(&c.entries, "", "entry", "settings file of an entry; may be repeated")
	sub.StringSlice(&c.sidecars, "", "sidecar", "settings file of a sidecar; may be repeated")
	sub.StringSlice(&c.tables, "", "tables", "tables directory; may be repeated")
	sub.AdditionalHelpAppend = "\n  crocusline check --entry entry-1.yaml --sidecar model-1.yaml --tables ./tables"
	return sub
}

// run reports every invalid file, not only the first one.
func (c *checkCommand) run(_ context.Context, con console) error {
	if len(c.entries)+len(c.sidecars)+len(c.tables) == 0 {
		return usagef("nothing to check; give --entry, --sidecar or --tables")
	}
	invalid := 0
	report := func(name string, err error) {
		if err != nil {
			invalid++
			con.logf("%v", err)
			return
		}
		fmt.Fprintf(con.out, "%s: ok\n", name)
	}
	for _, file := range c.entries {
		settings, err := setting.Load(file, setting.Entry)
		if err == nil {
			err = checkMemory(file, settings)
		}
		report(file, err)
	}
	for _, file := range c.sidecars {
		_, err := setting.Load(file, setting.Sidecar)
		report(file, err)
	}
	for _, dir := range c.tables {
		_, err := table.Load(dir)
		report(dir, err)
	}
	if invalid > 0 {
		return usagef("%d of %d invalid", invalid, len(c.entries)+len(c.sidecars)+len(c.tables))
	}
	return nil
}

// Command crocusbench runs simulations of the systems around crocusline, and the
// load, capacity and cost tools. It isn't part of the release.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/integrii/flaggy"
	"github.com/pkg/errors"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// command is a subcommand. Its fields are set from its flags when the command line is
// parsed.
type command interface {
	// flags returns the subcommand definition with flags bound to the command.
	flags() *flaggy.Subcommand
	// run executes the command until it completes or the context ends.
	run(ctx context.Context, log hclog.Logger) error
}

func main() {
	log := hclog.New(&hclog.LoggerOptions{Name: "crocusbench", Output: os.Stdout})
	chosen, err := parse(os.Args[1:])
	if err != nil {
		log.Error("bad command line", "error", err)
		os.Exit(exitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	err = chosen.run(ctx, log)
	stop()
	if err != nil {
		log.Error("command failed", "error", err)
		os.Exit(exitFailed)
	}
}

// parse returns the command selected by the arguments, with its flags set.
func parse(args []string) (command, error) {
	parser := flaggy.NewParser("crocusbench")
	parser.Description = "Simulations of the systems around crocusline, and the load tool."
	parser.DisableShowVersionWithVersion()
	commands := []command{newPlatformCommand(), newEngineCommand(), newServiceCommand(), newDemoCommand(), newLoadCommand(), newCostCommand()}
	subcommands := make([]*flaggy.Subcommand, len(commands))
	for i, c := range commands {
		subcommands[i] = c.flags()
		parser.AttachSubcommand(subcommands[i], 1)
	}
	if err := parser.ParseArgs(args); err != nil {
		return nil, errors.WithStack(err)
	}
	for i, sub := range subcommands {
		if sub.Used {
			return commands[i], nil
		}
	}
	return nil, errors.New("no command: use platform, engine, service, demo, load or cost, or --help")
}

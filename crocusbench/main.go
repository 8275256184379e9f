// Command crocusbench holds the stand-ins and the load tool. It is not shipped.
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

// command is one subcommand. Its flags are bound when it is made.
type command interface {
	// flags returns the subcommand with its flags.
	flags() *flaggy.Subcommand
	// run runs the command until it is done or the context ends.
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

// parse returns the command that the arguments name, with its flags set.
func parse(args []string) (command, error) {
	parser := flaggy.NewParser("crocusbench")
	parser.Description = "Stand-ins for what surrounds crocusline, and the load tool."
	parser.DisableShowVersionWithVersion()
	commands := []command{newPlatformCommand(), newEngineCommand(), newServiceCommand(), newDemoCommand(), newLoadCommand(), newCapacityCommand(), newCostCommand()}
	used := make([]*flaggy.Subcommand, len(commands))
	for i, c := range commands {
		used[i] = c.flags()
		parser.AttachSubcommand(used[i], 1)
	}
	if err := parser.ParseArgs(args); err != nil {
		return nil, errors.WithStack(err)
	}
	for i, sub := range used {
		if sub.Used {
			return commands[i], nil
		}
	}
	return nil, errors.New("no command: use platform, engine, service, demo, load, capacity or cost, or --help")
}

// Package cmd implements the command line. Each command has its own file.
package cmd

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"
)

// command is one subcommand of crocusline.
type command interface {
	// subcommand returns the command's parser, with its flags bound to fields.
	subcommand() *flaggy.Subcommand
	// run runs the command until it has finished or the context ends. An *ExitError
	// sets the exit code.
	run(ctx context.Context, con console) error
}

// commands returns all commands in the order in which the help lists them.
func commands() []command {
	return []command{
		newEntryCommand(),
		newGatewayCommand(),
		newSidecarCommand(),
		newSubmitCommand(),
		newPublishCommand(),
		newTopUpCommand(),
		newStopCommand(),
		newStatusCommand(),
		newTopCommand(),
		newCheckCommand(),
		newCertsCommand(),
		newVersionCommand(),
	}
}

// console holds a command's standard streams and environment.
type console struct {
	in  io.Reader
	out io.Writer
	err io.Writer
	// env returns the value of an environment variable, or "".
	env func(string) string
}

// logf writes one line to standard error.
func (c console) logf(format string, args ...any) {
	fmt.Fprintf(c.err, format+"\n", args...)
}

const overview = `
  A request:         crocusline submit --entry http://10.0.0.7:7101 --workspace clinics --kind answerDriver "Where do I unload?"
  New tables:        crocusline publish --platform http://10.0.0.2:7000 ./tables
  Prepaid tokens:    crocusline topup --platform http://10.0.0.2:7000 --id invoice-4711 clinics 500000
  A planned stop:    crocusline stop --platform http://10.0.0.2:7000 --operator http://10.0.0.7:7103 model-2
  Fleet status:      crocusline status --operator http://10.0.0.7:7103
  Shell completion:  crocusline completion bash

  Exit codes: 0 done, 1 failed, 2 usage or settings, 3 refused: come back later,
  4 not run, 5 unknown whether it ran.`

// Main runs the command given by the arguments and returns its exit code.
func Main(args []string) int {
	con := console{in: os.Stdin, out: os.Stdout, err: os.Stderr, env: os.Getenv}
	return int(run(args, con, commands()))
}

func run(args []string, con console, all []command) ExitCode {
	selected, err := parse(args, all)
	if err != nil {
		con.logf("crocusline: %v", err)
		return Usage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := selected.run(ctx, con); err != nil {
		con.logf("crocusline: %v", err)
		return exitCodeFor(err)
	}
	return Succeeded
}

// parse returns the command given by the arguments, with its flags set. For --help and
// for unknown flags flaggy exits the process itself.
func parse(args []string, all []command) (command, error) {
	parser := flaggy.NewParser("crocusline")
	parser.Description = "Route requests to backend servers and bill them to prepaid token budgets."
	parser.AdditionalHelpAppend = overview
	parser.DisableShowVersionWithVersion()
	subs := make([]*flaggy.Subcommand, len(all))
	for i, c := range all {
		subs[i] = c.subcommand()
		parser.AttachSubcommand(subs[i], 1)
	}
	if err := parser.ParseArgs(args); err != nil {
		return nil, errors.WithStack(err)
	}
	for i, sub := range subs {
		if sub.Used {
			return all[i], nil
		}
	}
	return nil, errors.New("no command given; run crocusline --help for a list")
}

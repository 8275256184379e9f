// Package cmd is the command line: one file a command.
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
	// attach returns the subcommand with its flags bound.
	attach() *flaggy.Subcommand
	// run runs the command until it is done or the context ends. An *ExitError
	// chooses the exit code.
	run(ctx context.Context, con console) error
}

// commands returns all commands in the order of the help.
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

// console is where a command reads and writes.
type console struct {
	in  io.Reader
	out io.Writer
	err io.Writer
	// env returns an environment variable, or "".
	env func(string) string
}

// notef writes one line beside the command's output.
func (c console) notef(format string, args ...any) {
	fmt.Fprintf(c.err, format+"\n", args...)
}

const overview = `
  A request:         crocusline submit --entry http://10.0.0.7:7101 --workspace clinics --kind answerDriver "Where do I unload?"
  New tables:        crocusline publish --platform http://10.0.0.2:7000 ./tables
  Prepaid tokens:    crocusline topup --platform http://10.0.0.2:7000 --id invoice-4711 clinics 500000
  A planned stop:    crocusline stop --platform http://10.0.0.2:7000 --operator http://10.0.0.7:7103 model-2
  What goes on:      crocusline status --operator http://10.0.0.7:7103
  Shell completion:  crocusline completion bash

  Exit codes: 0 done, 1 failed, 2 usage or settings, 3 refused: come back later,
  4 not run, 5 unknown whether it ran.`

// Main runs the command that the arguments name and returns its exit code.
func Main(args []string) int {
	con := console{in: os.Stdin, out: os.Stdout, err: os.Stderr, env: os.Getenv}
	return int(run(args, con, commands()))
}

func run(args []string, con console, all []command) ExitCode {
	chosen, err := parse(args, all)
	if err != nil {
		con.notef("crocusline: %v", err)
		return Usage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := chosen.run(ctx, con); err != nil {
		con.notef("crocusline: %v", err)
		return codeOf(err)
	}
	return Succeeded
}

// parse returns the command that the arguments name, with its flags set. The
// library itself ends the process for --help and for flags that it doesn't know.
func parse(args []string, all []command) (command, error) {
	parser := flaggy.NewParser("crocusline")
	parser.Description = "Route requests for prepaid token budgets to backend servers."
	parser.AdditionalHelpAppend = overview
	parser.DisableShowVersionWithVersion()
	subs := make([]*flaggy.Subcommand, len(all))
	for i, c := range all {
		subs[i] = c.attach()
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
	return nil, errors.New("no command; crocusline --help lists them")
}

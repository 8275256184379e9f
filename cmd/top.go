package cmd

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"github.com/integrii/flaggy"

	"github.com/crocusline/crocusline/modules/wire/operator/v1/operatorv1connect"
)

// clearScreen moves a terminal's cursor to its first line and clears the rest.
const clearScreen = "\x1b[H\x1b[2J"

// topCommand prints the fleet's status at regular intervals.
type topCommand struct {
	operatorFlags
	interval time.Duration
	count    int
}

func newTopCommand() *topCommand { return &topCommand{interval: 2 * time.Second} }

func (t *topCommand) subcommand() *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("top")
	sub.Description = "Show the output of the status command at regular intervals, until interrupted."
	t.addOperatorFlags(sub)
	sub.Duration(&t.interval, "i", "interval", "time between two refreshes")
	sub.Int(&t.count, "n", "count", "number of refreshes; 0 means until interrupted")
	return sub
}

func (t *topCommand) run(ctx context.Context, con console) error {
	clients, err := t.clients(con)
	if err != nil {
		return err
	}
	if len(clients) == 0 {
		return usagef("no operator listener; give --operator http://ADDRESS:PORT or set %s", operatorEnvVar)
	}
	if t.interval <= 0 {
		return usagef("--interval must be above 0s")
	}
	for n := 1; ; n++ {
		t.refresh(ctx, con, clients)
		if n == t.count {
			return nil
		}
		select {
		case <-time.After(t.interval):
		case <-ctx.Done():
			return nil
		}
	}
}

// refresh writes one screen in a single write, so that it does not flicker. It prints an
// error instead of the status if no process responds.
func (t *topCommand) refresh(ctx context.Context, con console, clients []operatorv1connect.StatusServiceClient) {
	var screen bytes.Buffer
	fmt.Fprintf(&screen, "%s%s  ", clearScreen, time.Now().Format(time.TimeOnly))
	resp, err := fetchFleet(ctx, clients)
	if err == nil {
		err = writeFleet(&screen, resp)
	}
	if err != nil {
		fmt.Fprintf(&screen, "%v\n", err)
	}
	_, _ = screen.WriteTo(con.out)
}

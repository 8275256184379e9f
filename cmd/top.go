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

// topCommand shows the fleet's state again and again.
type topCommand struct {
	operatorFlags
	interval time.Duration
	count    int
}

func newTopCommand() *topCommand { return &topCommand{interval: 2 * time.Second} }

func (t *topCommand) attach() *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("top")
	sub.Description = "Show what status shows, again and again, until interrupted."
	t.operatorFlags.attach(sub)
	sub.Duration(&t.interval, "i", "interval", "time between two looks")
	sub.Int(&t.count, "n", "count", "number of looks; 0 goes on until interrupted")
	return sub
}

func (t *topCommand) run(ctx context.Context, con console) error {
	clients, err := t.clients(con)
	if err != nil {
		return err
	}
	if len(clients) == 0 {
		return usagef("no operator listener; give --operator http://ADDRESS:PORT or set %s", operatorVariable)
	}
	if t.interval <= 0 {
		return usagef("--interval must be above 0s")
	}
	for look := 1; ; look++ {
		t.show(ctx, con, clients)
		if look == t.count {
			return nil
		}
		select {
		case <-time.After(t.interval):
		case <-ctx.Done():
			return nil
		}
	}
}

// show writes one screen at once, so that it does not flicker. A failed look
// says so and the next one tries again.
func (t *topCommand) show(ctx context.Context, con console, clients []operatorv1connect.StatusServiceClient) {
	var screen bytes.Buffer
	fmt.Fprintf(&screen, "%s%s  ", clearScreen, time.Now().Format(time.TimeOnly))
	resp, err := askFleet(ctx, clients)
	if err == nil {
		err = writeFleet(&screen, resp)
	}
	if err != nil {
		fmt.Fprintf(&screen, "%v\n", err)
	}
	_, _ = screen.WriteTo(con.out)
}

package cmd

import (
	"context"
	"fmt"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	operatorv1 "github.com/crocusline/crocusline/modules/wire/operator/v1"
	"github.com/crocusline/crocusline/modules/wire/operator/v1/operatorv1connect"
)

// pollInterval is the interval between two status requests while a command waits.
const pollInterval = 500 * time.Millisecond

// fetchFleet returns the fleet's status from the first process that responds.
func fetchFleet(ctx context.Context, clients []operatorv1connect.StatusServiceClient) (*operatorv1.FleetResponse, error) {
	err := errors.New("no operator listener is given")
	for _, client := range clients {
		var resp *connect.Response[operatorv1.FleetResponse]
		resp, err = client.Fleet(ctx, connect.NewRequest(&operatorv1.FleetRequest{}))
		if err == nil {
			return resp.Msg, nil
		}
	}
	return nil, errors.WithMessage(err, "ask for the fleet's state")
}

// waitForVersion waits until all instances use the version, and logs the progress.
func waitForVersion(ctx context.Context, con console, clients []operatorv1connect.StatusServiceClient, version int64) error {
	start := time.Now()
	last := ""
	for {
		line, done := "no instance responds", false
		if resp, err := fetchFleet(ctx, clients); err == nil {
			line, done = versionProgress(resp, version)
		}
		if line != last {
			con.logf("%s", line)
			last = line
		}
		if done {
			fmt.Fprintf(con.out, "version %d is in force everywhere after %s\n", version, time.Since(start).Round(time.Millisecond))
			return nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return errors.Errorf("version %d is published, but not yet in force everywhere: %s", version, last)
		}
	}
}

// versionProgress describes in one line which instances use the version, and reports
// whether all do.
func versionProgress(resp *operatorv1.FleetResponse, version int64) (string, bool) {
	updated := 0
	var behind []string
	for _, i := range resp.GetInstances() {
		if i.GetTableVersion() >= version {
			updated++
			continue
		}
		behind = append(behind, fmt.Sprintf("%s has %d", i.GetName(), i.GetTableVersion()))
	}
	all := len(resp.GetInstances()) + len(resp.GetUnreachable())
	line := fmt.Sprintf("version %d is in force at %d of %d instances", version, updated, all)
	if len(behind) > 0 {
		line += "; behind: " + strings.Join(behind, ", ")
	}
	if len(resp.GetUnreachable()) > 0 {
		line += "; no answer from: " + strings.Join(resp.GetUnreachable(), ", ")
	}
	return line, updated == all
}

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

// progressPoll is how often the fleet is asked while a command waits.
const progressPoll = 500 * time.Millisecond

// askFleet asks the processes in turn until one answers.
func askFleet(ctx context.Context, clients []operatorv1connect.StatusServiceClient) (*operatorv1.FleetResponse, error) {
	err := errors.New("no operator listener given")
	for _, client := range clients {
		var resp *connect.Response[operatorv1.FleetResponse]
		resp, err = client.Fleet(ctx, connect.NewRequest(&operatorv1.FleetRequest{}))
		if err == nil {
			return resp.Msg, nil
		}
	}
	return nil, errors.WithMessage(err, "ask for the fleet's state")
}

// waitInForce waits until all instances that answer have the version, and shows
// how many do.
func waitInForce(ctx context.Context, con console, clients []operatorv1connect.StatusServiceClient, version int64) error {
	begin := time.Now()
	last := ""
	for {
		line, done := "no instance answers", false
		if resp, err := askFleet(ctx, clients); err == nil {
			line, done = inForce(resp, version)
		}
		if line != last {
			con.notef("%s", line)
			last = line
		}
		if done {
			fmt.Fprintf(con.out, "version %d is in force everywhere after %s\n", version, time.Since(begin).Round(time.Millisecond))
			return nil
		}
		select {
		case <-time.After(progressPoll):
		case <-ctx.Done():
			return errors.Errorf("version %d is published, but not yet in force everywhere: %s", version, last)
		}
	}
}

// inForce says in one line which instances have the version, and whether all do.
func inForce(resp *operatorv1.FleetResponse, version int64) (string, bool) {
	have := 0
	var behind []string
	for _, i := range resp.GetInstances() {
		if i.GetTableVersion() >= version {
			have++
			continue
		}
		behind = append(behind, fmt.Sprintf("%s has %d", i.GetName(), i.GetTableVersion()))
	}
	all := len(resp.GetInstances()) + len(resp.GetUnreachable())
	line := fmt.Sprintf("version %d is in force at %d of %d instances", version, have, all)
	if len(behind) > 0 {
		line += "; behind: " + strings.Join(behind, ", ")
	}
	if len(resp.GetUnreachable()) > 0 {
		line += "; no answer from: " + strings.Join(resp.GetUnreachable(), ", ")
	}
	return line, have == all
}

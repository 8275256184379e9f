package cmd

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/fleet"
	operatorv1 "github.com/crocusline/crocusline/modules/wire/operator/v1"
	"github.com/crocusline/crocusline/modules/wire/operator/v1/operatorv1connect"
)

// stopCommand plans the stop of a backend server, or ends a planned stop.
type stopCommand struct {
	platformFlags
	operatorFlags
	server string
	id     string
	end    bool
	wait   time.Duration
}

func newStopCommand() *stopCommand {
	return &stopCommand{platformFlags: newPlatformFlags(), wait: 10 * time.Minute}
}

func (s *stopCommand) subcommand() *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("stop")
	sub.Description = "Plan the stop of a backend server and wait until it can be stopped safely."
	sub.AddPositionalValue(&s.server, "server", 1, true, "name of the backend server in the pools")
	s.addPlatformFlags(sub)
	s.addOperatorFlags(sub)
	sub.String(&s.id, "", "id", "id of the change; give the same id to repeat a change whose outcome is unknown")
	sub.Bool(&s.end, "", "end", "end the stop and put the server back into service")
	sub.Duration(&s.wait, "", "wait", "how long to wait until the stop is safe; 0 only plans the stop")
	sub.AdditionalHelpAppend = `
  The server gets no new requests from now on; running requests are completed.
  The command prints what it waits for, and exits when the server can be stopped.

  crocusline stop -p http://10.0.0.2:7000 -o http://10.0.0.7:7103 model-2
  crocusline stop -p http://10.0.0.2:7000 --end model-2`
	return sub
}

func (s *stopCommand) run(ctx context.Context, con console) error {
	clients, err := s.clients(con)
	if err != nil {
		return err
	}
	if len(clients) == 0 && !s.end && s.wait > 0 {
		return usagef("give --operator, to learn when the stop is safe, or --wait 0s to only plan it")
	}
	id, err := changeID(s.id)
	if err != nil {
		return err
	}
	version, err := s.publishChange(ctx, con, id)
	if err != nil || s.end || s.wait == 0 {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, s.wait)
	defer cancel()
	return s.waitUntilSafe(ctx, con, clients, version)
}

// publishChange publishes the change and returns the first table version that contains it.
func (s *stopCommand) publishChange(ctx context.Context, con console, id string) (int64, error) {
	session, err := s.openSession(ctx, con)
	if err != nil {
		return 0, err
	}
	defer session.close()
	con.logf("id=%s", id)
	if !session.state.Tables.HasServer(s.server) {
		return 0, usagef("no pool names the backend server %q", s.server)
	}
	var event fleet.Event = fleet.PlanStop{ID: id, By: s.publisher(), Server: s.server}
	if s.end {
		event = fleet.EndStop{ID: id, By: s.publisher(), Server: s.server}
	}
	result, err := session.publish(ctx, event)
	if err != nil {
		return 0, err
	}
	switch r := result.(type) {
	case fleet.Applied:
		fmt.Fprintf(con.out, "%s of %s published as version %d\n", s.action(), s.server, r.Version)
		return r.Version, nil
	case fleet.Ignored:
		if r.Cause != fleet.AlreadyDone && r.Cause != fleet.Duplicate {
			return 0, errors.New(r.Detail)
		}
		con.logf("%s", r.Detail)
		return session.control.State().Tables.Stops[s.server].Version, nil
	default:
		return 0, errors.Errorf("unexpected result %T", result)
	}
}

func (s *stopCommand) action() string {
	if s.end {
		return "end of the stop"
	}
	return "stop"
}

// waitUntilSafe waits until the server's sidecar has finished all work and bills.
func (s *stopCommand) waitUntilSafe(ctx context.Context, con console, clients []operatorv1connect.StatusServiceClient, version int64) error {
	last := ""
	for {
		pending := []string{"an answer from an operator listener"}
		if resp, err := fetchFleet(ctx, clients); err == nil {
			pending = s.pendingSteps(resp, version)
		}
		if len(pending) == 0 {
			fmt.Fprintf(con.out, "safe: %s runs nothing and gets no new work\n", s.server)
			return nil
		}
		if line := strings.Join(pending, "; "); line != last {
			con.logf("waiting for %s", line)
			last = line
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return errors.Errorf("the stop of %s is planned, but not safe yet: waiting for %s", s.server, last)
		}
	}
}

// pendingSteps returns what must still happen before the stop is safe.
func (s *stopCommand) pendingSteps(resp *operatorv1.FleetResponse, version int64) []string {
	for _, i := range resp.GetInstances() {
		if i.GetServer() != s.server {
			continue
		}
		switch {
		case i.GetTableVersion() < version:
			return []string{fmt.Sprintf("%s to take up version %d", i.GetName(), version)}
		case !i.GetLoad().GetDraining():
			return []string{i.GetName() + " to refuse new work"}
		default:
			return i.GetWaitsFor()
		}
	}
	return []string{"an answer from the sidecar of " + s.server}
}

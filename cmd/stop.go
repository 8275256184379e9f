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

// stopCommand plans the stop of a backend server, or ends one.
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

func (s *stopCommand) attach() *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("stop")
	sub.Description = "Plan the stop of a backend server and wait until it is safe."
	sub.AddPositionalValue(&s.server, "server", 1, true, "backend server, as the pools name it")
	s.platformFlags.attach(sub)
	s.operatorFlags.attach(sub)
	sub.String(&s.id, "", "id", "id of the change; give the same one to repeat a change whose end is unknown")
	sub.Bool(&s.end, "", "end", "take the server back into service")
	sub.Duration(&s.wait, "", "wait", "how long to wait until the stop is safe; 0 only plans it")
	sub.AdditionalHelpAppend = `
  The server gets no new work from now on; what runs goes to its end. The
  command ends once the server may be stopped, and says what it waits for.

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
		return usagef("give --operator, whose answer says when the stop is safe, or --wait 0s to only plan it")
	}
	id, err := newID(s.id)
	if err != nil {
		return err
	}
	version, err := s.change(ctx, con, id)
	if err != nil || s.end || s.wait == 0 {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, s.wait)
	defer cancel()
	return s.waitSafe(ctx, con, clients, version)
}

// change publishes the change and returns the version in which it is in force.
func (s *stopCommand) change(ctx context.Context, con console, id string) (int64, error) {
	session, err := s.open(ctx, con)
	if err != nil {
		return 0, err
	}
	defer session.end()
	con.notef("id=%s", id)
	if !session.state.Tables.HasServer(s.server) {
		return 0, usagef("no pool names the backend server %q", s.server)
	}
	var event fleet.Event = fleet.PlanStop{ID: id, By: s.operator(), Server: s.server}
	if s.end {
		event = fleet.EndStop{ID: id, By: s.operator(), Server: s.server}
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
		con.notef("%s", r.Detail)
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

// waitSafe waits until the server's sidecar has nothing left to wait for.
func (s *stopCommand) waitSafe(ctx context.Context, con console, clients []operatorv1connect.StatusServiceClient, version int64) error {
	last := ""
	for {
		waits := []string{"an answer from an operator listener"}
		if resp, err := askFleet(ctx, clients); err == nil {
			waits = s.waitsFor(resp, version)
		}
		if len(waits) == 0 {
			fmt.Fprintf(con.out, "safe: %s runs nothing and gets no new work\n", s.server)
			return nil
		}
		if line := strings.Join(waits, "; "); line != last {
			con.notef("waiting for %s", line)
			last = line
		}
		select {
		case <-time.After(progressPoll):
		case <-ctx.Done():
			return errors.Errorf("the stop of %s is planned, but not safe yet: waiting for %s", s.server, last)
		}
	}
}

// waitsFor returns what stands between the plan and a safe stop.
func (s *stopCommand) waitsFor(resp *operatorv1.FleetResponse, version int64) []string {
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

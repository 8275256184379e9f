package cmd

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/fleet"
	"github.com/crocusline/crocusline/models/table"
)

// currentVersion as the base means the version that is published when the command runs.
const currentVersion = -1

// publishCommand publishes a new version of the tables.
type publishCommand struct {
	platformFlags
	operatorFlags
	dir  string
	id   string
	base int64
	wait time.Duration
}

func newPublishCommand() *publishCommand {
	return &publishCommand{platformFlags: newPlatformFlags(), base: currentVersion, wait: 15 * time.Second}
}

func (p *publishCommand) subcommand() *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("publish")
	sub.Description = "Publish the tables of a directory: routes, pools and workspaces."
	sub.AddPositionalValue(&p.dir, "directory", 1, true, "directory with routes.yaml, pools.yaml and workspaces.yaml")
	p.addPlatformFlags(sub)
	p.addOperatorFlags(sub)
	sub.Int64(&p.base, "", "base", "published version that the tables are based on; -1 means the one published now")
	sub.String(&p.id, "", "id", "id of the publication; give the same id to repeat a publication whose outcome is unknown")
	sub.Duration(&p.wait, "", "wait", "how long to wait until all instances use the version")
	sub.AdditionalHelpAppend = `
  The publication takes effect only if no other one was made on the same base
  before; otherwise the command fails and prints that one. With --operator the
  command waits until all instances use the new version.

  crocusline publish -p http://10.0.0.2:7000 -o http://10.0.0.7:7103 ./tables
  crocusline publish -p http://10.0.0.2:7000 --base 41 ./tables`
	return sub
}

func (p *publishCommand) run(ctx context.Context, con console) error {
	tables, err := table.Load(p.dir)
	if err != nil {
		return err
	}
	id, err := changeID(p.id)
	if err != nil {
		return err
	}
	s, err := p.openSession(ctx, con)
	if err != nil {
		return err
	}
	defer s.close()
	con.logf("id=%s base=%d", id, s.state.Tables.Published)
	if done, found := s.state.FindPublication(id); found {
		fmt.Fprintf(con.out, "publication %s took effect before, as version %d\n", id, done.Version)
		return p.waitForInstances(ctx, con, done.Version)
	}
	if p.base != currentVersion && p.base != s.state.Tables.Published {
		return conflictError(s.state, p.base)
	}
	delta := table.Diff(s.state.Tables, tables)
	if delta.IsEmpty() {
		fmt.Fprintf(con.out, "nothing to change; version %d is in force\n", s.state.Version())
		return nil
	}
	result, err := s.publish(ctx, fleet.Publish{ID: id, By: p.publisher(), Delta: delta})
	if err != nil {
		return err
	}
	switch r := result.(type) {
	case fleet.Applied:
		fmt.Fprintf(con.out, "published version %d: %s\n", r.Version, summary(delta))
		return p.waitForInstances(ctx, con, r.Version)
	case fleet.Ignored:
		if done, found := s.control.State().FindPublication(id); found {
			fmt.Fprintf(con.out, "publication %s took effect as version %d\n", id, done.Version)
			return p.waitForInstances(ctx, con, done.Version)
		}
		return conflictError(s.control.State(), delta.Base)
	default:
		return errors.Errorf("unexpected result %T", result)
	}
}

// conflictError returns the error for a base that is not the published version. It names
// the publication that was made on that base, if the history still has it.
func conflictError(state *fleet.State, base int64) error {
	now := state.Tables.Published
	for _, p := range state.History {
		if p.Server == "" && p.Base == base {
			return errors.Errorf("not published: %s published version %d on base %d at %s (id %s); version %d is published now. "+
				"Compare your tables with it and publish again",
				p.By, p.Version, base, p.Time.UTC().Format(time.RFC3339), p.ID, now)
		}
	}
	return errors.Errorf("not published: base %d is not the published version, which is %d. "+
		"Compare your tables with it and publish again", base, now)
}

// summary describes how many entries of each table change.
func summary(d table.Delta) string {
	var parts []string
	for _, part := range []struct {
		count int
		unit  string
	}{
		{len(d.Routes), "routes set"},
		{len(d.DropRoutes), "routes removed"},
		{len(d.Pools), "pools set"},
		{len(d.DropPools), "pools removed"},
		{len(d.Workspaces), "workspaces set"},
		{len(d.DropWorkspaces), "workspaces removed"},
	} {
		if part.count > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", part.count, part.unit))
		}
	}
	return strings.Join(parts, ", ")
}

// waitForInstances waits until all instances use the version, if operator listeners are
// given.
func (p *publishCommand) waitForInstances(ctx context.Context, con console, version int64) error {
	clients, err := p.clients(con)
	if err != nil {
		return err
	}
	if len(clients) == 0 {
		con.logf("give --operator to see which instances have version %d", version)
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, p.wait)
	defer cancel()
	return waitForVersion(ctx, con, clients, version)
}

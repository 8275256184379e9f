package cmd

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"

	commonv1 "github.com/crocusline/crocusline/modules/wire/common/v1"
	operatorv1 "github.com/crocusline/crocusline/modules/wire/operator/v1"
	peerv1 "github.com/crocusline/crocusline/modules/wire/peer/v1"
)

// statusCommand prints the fleet's status.
type statusCommand struct {
	operatorFlags
	json bool
}

func newStatusCommand() *statusCommand { return &statusCommand{} }

func (s *statusCommand) subcommand() *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("status")
	sub.Description = "Show instances with their table versions, pools, budgets and shard owners."
	s.addOperatorFlags(sub)
	sub.Bool(&s.json, "j", "json", "print JSON")
	sub.AdditionalHelpAppend = "\n  crocusline status -o http://10.0.0.7:7103 --json | jq .budgets"
	return sub
}

func (s *statusCommand) run(ctx context.Context, con console) error {
	clients, err := s.clients(con)
	if err != nil {
		return err
	}
	if len(clients) == 0 {
		return usagef("no operator listener; give --operator http://ADDRESS:PORT or set %s", operatorEnvVar)
	}
	resp, err := fetchFleet(ctx, clients)
	if err != nil {
		return err
	}
	if s.json {
		data, err := protojson.MarshalOptions{Multiline: true, EmitUnpopulated: true}.Marshal(resp)
		if err != nil {
			return errors.WithStack(err)
		}
		fmt.Fprintf(con.out, "%s\n", data)
		return nil
	}
	return writeFleet(con.out, resp)
}

// writeFleet writes the fleet's status as text tables.
func writeFleet(out io.Writer, resp *operatorv1.FleetResponse) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "tables version %d\n", resp.GetTableVersion())
	writeInstances(w, resp.GetInstances())
	for _, name := range resp.GetUnreachable() {
		fmt.Fprintf(w, "%s\tno answer\n", name)
	}
	writePools(w, resp.GetPools())
	writeBudgets(w, resp.GetBudgets())
	if len(resp.GetShards()) > 0 {
		fmt.Fprintf(w, "\nSHARD\tOWNER\tEPOCH\n")
	}
	for _, shard := range resp.GetShards() {
		fmt.Fprintf(w, "%d\t%s\t%d\n", shard.GetShard(), shard.GetOwner(), shard.GetEpoch())
	}
	for _, problem := range resp.GetProblems() {
		fmt.Fprintf(w, "\nproblem: %s\n", problem)
	}
	return errors.WithStack(w.Flush())
}

func writeInstances(w io.Writer, instances []*operatorv1.StatusResponse) {
	fmt.Fprintf(w, "\nINSTANCE\tROLE\tREGION\tFAILURE DOMAIN\tADDRESS\tVERSION\tREADY\tLOG\tWAITS FOR\n")
	for _, i := range instances {
		ready := "yes"
		if !i.GetReady() {
			ready = "no: " + strings.Join(i.GetNotReady(), "; ")
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\t%s\n", i.GetName(), i.GetRole(), i.GetRegion(), i.GetFailureDomain(),
			i.GetAddress(), i.GetTableVersion(), ready, choose(i.GetLogReachable(), "reached", "away"),
			strings.Join(i.GetWaitsFor(), "; "))
	}
}

func writePools(w io.Writer, pools []*operatorv1.PoolStatus) {
	fmt.Fprintf(w, "\nPOOL\tSERVER\tSTATE\tRUNNING\tSLOTS\tQUEUED BY RANK\n")
	for _, pool := range pools {
		for _, server := range pool.GetServers() {
			load := server.GetLoad()
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%s\n", pool.GetName(), server.GetName(), serverState(server),
				load.GetRunning(), load.GetSlots(), queued(load))
		}
	}
}

func serverState(s *operatorv1.ServerStatus) string {
	switch {
	case s.GetDraining() && !s.GetReachable():
		return "draining, no answer"
	case s.GetDraining():
		return "draining"
	case !s.GetReachable():
		return "no answer"
	default:
		return "in service"
	}
}

func queued(load *commonv1.Load) string {
	var parts []string
	for _, n := range load.GetQueued() {
		parts = append(parts, strconv.Itoa(int(n)))
	}
	return strings.Join(parts, "/")
}

func writeBudgets(w io.Writer, budgets []*peerv1.Budget) {
	fmt.Fprintf(w, "\nWORKSPACE\tTOPPED UP\tSETTLED\tOUTSTANDING\tFREE\tBILLS\n")
	for _, b := range budgets {
		free := b.GetToppedUp() - b.GetSettled() - b.GetOutstanding()
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\n", b.GetWorkspace(), b.GetToppedUp(), b.GetSettled(),
			b.GetOutstanding(), free, b.GetBills())
	}
}

func choose(condition bool, ifTrue, ifFalse string) string {
	if condition {
		return ifTrue
	}
	return ifFalse
}

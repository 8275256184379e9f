package cmd

import (
	"testing"

	commonv1 "github.com/crocusline/crocusline/modules/wire/common/v1"
	operatorv1 "github.com/crocusline/crocusline/modules/wire/operator/v1"
	peerv1 "github.com/crocusline/crocusline/modules/wire/peer/v1"
)

func loadOf(draining bool) *commonv1.Load {
	return &commonv1.Load{Draining: draining, Queued: []int32{1, 2, 3}}
}

func TestStatusShowsTheFleet(t *testing.T) {
	resp := sidecarStatus(2, true, "1 request running")
	resp.TableVersion = 2
	resp.Instances[0].LogReachable = true
	resp.Unreachable = []string{"entry-9/1"}
	resp.Pools = []*operatorv1.PoolStatus{{Name: "drafting", Servers: []*operatorv1.ServerStatus{
		{Name: "model-2", Draining: true, Reachable: true, Load: loadOf(true)}, {Name: "model-3"},
	}}}
	resp.Budgets = []*peerv1.Budget{{Workspace: "clinics", ToppedUp: 100, Settled: 30, Outstanding: 20, Bills: 3}}
	resp.Shards = []*operatorv1.ShardStatus{{Shard: 3, Owner: "entry-1/1", Epoch: 7}}
	resp.Problems = []string{"read the budgets: unreachable"}
	ops := serveFleet(t, resp)
	execute(t, "status", "-o", ops).want(t, Succeeded, "tables version 2", "entry-9/1", "draining", "1/2/3", "no answer",
		"clinics    100        30       20           50    3", "3      entry-1/1  7", "problem: read the budgets", "reached  1 request running")
	execute(t, "status", "-o", ops, "--json").want(t, Succeeded, `"toppedUp"`, `"tableVersion"`)
	execute(t, "status").want(t, Usage, "no operator listener")
	execute(t, "status", "-o", "http://127.0.0.1:9").want(t, Failed, "ask for the fleet's state")
}

func TestTopRefreshes(t *testing.T) {
	first, second := sidecarStatus(2, true), sidecarStatus(3, false)
	first.TableVersion, second.TableVersion = 2, 3
	ops := serveFleet(t, first, second)
	execute(t, "top", "-o", ops, "-i", "1ms", "-n", "2").want(t, Succeeded, "tables version 2", "tables version 3", "away", clearScreen)
	execute(t, "top", "-o", "http://127.0.0.1:9", "-n", "1").want(t, Succeeded, "ask for the fleet's state")
	execute(t, "top").want(t, Usage, "no operator listener")
}

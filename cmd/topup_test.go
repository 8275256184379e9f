package cmd

import (
	"testing"

	commonv1 "github.com/crocusline/crocusline/modules/wire/common/v1"
	operatorv1 "github.com/crocusline/crocusline/modules/wire/operator/v1"
	peerv1 "github.com/crocusline/crocusline/modules/wire/peer/v1"
	"github.com/crocusline/crocusline/standin/platform"
)

func loadOf(drains bool) *commonv1.Load {
	return &commonv1.Load{Draining: drains, Queued: []int32{1, 2, 3}}
}

func TestTopUpCountsOnce(t *testing.T) {
	store, url := servePlatform(t)
	execute(t, "publish", "-p", url, demoTables).want(t, Succeeded)
	store.SetFaults(platform.Faults{LoseNextAnswers: 1})
	execute(t, "topup", "-p", url, "--shards", "4", "--id", "invoice-1", "clinics", "500_000").
		want(t, Succeeded, "added 500000 tokens to clinics", "500000 topped up, 0 settled, 0 outstanding, 500000 free")
	execute(t, "topup", "-p", url, "--shards", "4", "--id", "invoice-1", "clinics", "500_000").
		want(t, Succeeded, "nothing added", "500000 topped up")
	execute(t, "topup", "-p", url, "--shards", "4", "--id", "invoice-2", "clinics", "1").
		want(t, Succeeded, "500001 topped up")
}

func TestTopUpRefusesWhatMakesNoSense(t *testing.T) {
	_, url := servePlatform(t)
	execute(t, "publish", "-p", url, demoTables).want(t, Succeeded)
	execute(t, "topup", "-p", url, "--shards", "4", "clinic", "5").want(t, Usage, `no workspace "clinic"`)
	execute(t, "topup", "-p", url, "--shards", "4", "--unlisted", "clinic", "5").want(t, Succeeded, "added 5 tokens")
	execute(t, "topup", "-p", url, "clinics", "5").want(t, Usage, "give --shards")
	execute(t, "topup", "-p", url, "--shards", "4", "clinics", "0").want(t, Usage, "not a number of tokens")
}

func TestStatusShowsTheFleet(t *testing.T) {
	resp := draining(2, true, "1 request running")
	resp.TableVersion = 2
	resp.Unreachable = []string{"entry-9/1"}
	resp.Pools = []*operatorv1.PoolStatus{{Name: "drafting", Servers: []*operatorv1.ServerStatus{
		{Name: "model-2", Draining: true, Reachable: true, Load: loadOf(true)}, {Name: "model-3"},
	}}}
	resp.Budgets = []*peerv1.Budget{{Workspace: "clinics", ToppedUp: 100, Settled: 30, Outstanding: 20, Bills: 3}}
	resp.Shards = []*operatorv1.ShardStatus{{Shard: 3, Owner: "entry-1/1", Epoch: 7}}
	resp.Problems = []string{"read the budgets: away"}
	ops := serveFleet(t, resp)
	execute(t, "status", "-o", ops).want(t, Succeeded, "tables version 2", "entry-9/1", "draining", "1/2/3", "no answer",
		"clinics    100        30       20           50    3", "3      entry-1/1  7", "problem: read the budgets")
	execute(t, "status", "-o", ops, "--json").want(t, Succeeded, `"toppedUp"`, `"tableVersion"`)
	execute(t, "status").want(t, Usage, "no operator listener")
	execute(t, "status", "-o", "http://127.0.0.1:9").want(t, Failed, "ask for the fleet's state")
}

package cmd

import (
	"testing"

	"github.com/crocusline/crocusline/standin/platform"
)

func TestTopUpIsAppliedOnce(t *testing.T) {
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

func TestTopUpRejectsInvalidArguments(t *testing.T) {
	_, url := servePlatform(t)
	execute(t, "publish", "-p", url, demoTables).want(t, Succeeded)
	execute(t, "topup", "-p", url, "--shards", "4", "clinic", "5").want(t, Usage, `no workspace "clinic"`)
	execute(t, "topup", "-p", url, "--shards", "4", "--unlisted", "clinic", "5").want(t, Succeeded, "added 5 tokens")
	execute(t, "topup", "-p", url, "clinics", "5").want(t, Usage, "give --shards")
	execute(t, "topup", "-p", url, "--shards", "4", "clinics", "0").want(t, Usage, "not a number of tokens")
}

package cmd

import (
	"context"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/crocusline/crocusline/models/fleet"
	"github.com/crocusline/crocusline/modules/metric"
	operatorv1 "github.com/crocusline/crocusline/modules/wire/operator/v1"
	"github.com/crocusline/crocusline/routers/operator"
	"github.com/crocusline/crocusline/services/control"
	"github.com/crocusline/crocusline/standin/platform"
)

func TestPublishOnBase(t *testing.T) {
	_, url := servePlatform(t)
	execute(t, "publish", "-p", url, "--by", "anna", "--id", "first", demoTables).
		want(t, Succeeded, "published version 1", "5 routes set, 2 pools set, 2 workspaces set")
	execute(t, "publish", "-p", url, "--id", "first", demoTables).want(t, Succeeded, "took effect before, as version 1")
	execute(t, "publish", "-p", url, demoTables).want(t, Succeeded, "nothing to change; version 1")
	changed := copyTables(t, "maxTokens: 200", "maxTokens: 300")
	execute(t, "publish", "-p", url, "--base", "0", changed).
		want(t, Failed, "not published: anna published version 1 on base 0", "id first")
	execute(t, "publish", "-p", url, "--base", "1", changed).want(t, Succeeded, "published version 2: 1 routes set\n")
}

func TestConcurrentPublications(t *testing.T) {
	_, url := servePlatform(t)
	execute(t, "publish", "-p", url, demoTables).want(t, Succeeded)
	dirs := []string{copyTables(t, "maxTokens: 200", "maxTokens: 300"), copyTables(t, "maxTokens: 200", "maxTokens: 400")}
	results := make([]result, len(dirs))
	var wg sync.WaitGroup
	for i, dir := range dirs {
		wg.Go(func() {
			results[i] = execute(t, "publish", "-p", url, "--base", "1", "--by", "racer", dir)
		})
	}
	wg.Wait()
	winner := 0
	if results[0].code != Succeeded {
		winner = 1
	}
	results[winner].want(t, Succeeded, "published version 2")
	results[1-winner].want(t, Failed, "not published: racer published version 2 on base 1")
}

func TestPublishWithLostResponses(t *testing.T) {
	store, url := servePlatform(t)
	store.SetFaults(platform.Faults{LoseNextAnswers: 2})
	execute(t, "publish", "-p", url, demoTables).want(t, Succeeded, "published version 1")
}

func TestPublishWithUnreachablePlatform(t *testing.T) {
	store, url := servePlatform(t)
	store.SetFaults(platform.Faults{Outage: true})
	execute(t, "publish", "-p", url, "--timeout", "300ms", demoTables).want(t, Failed, "nothing was changed")
	execute(t, "publish", demoTables).want(t, Usage, "no platform")
	execute(t, "publish", "-p", "10.0.0.1", demoTables).want(t, Usage, "is not a URL")
	execute(t, "publish", "-p", url, copyTables(t, "20s", "20")).want(t, Usage, "routes.yaml:")
}

// fakeFleet returns the next response at each call of Fleet, and repeats the last one.
type fakeFleet struct {
	mu        sync.Mutex
	responses []*operatorv1.FleetResponse
	calls     int
}

func (f *fakeFleet) Status() *operatorv1.StatusResponse { return &operatorv1.StatusResponse{} }
func (f *fakeFleet) NotReady() []string                 { return nil }

func (f *fakeFleet) Fleet(context.Context) *operatorv1.FleetResponse {
	f.mu.Lock()
	defer f.mu.Unlock()
	resp := f.responses[min(f.calls, len(f.responses)-1)]
	f.calls++
	return resp
}

// serveFleet starts an operator listener with the responses and returns its URL.
func serveFleet(t *testing.T, responses ...*operatorv1.FleetResponse) string {
	t.Helper()
	server := httptest.NewServer(operator.NewHandler(&fakeFleet{responses: responses}, metric.New()))
	t.Cleanup(server.Close)
	return server.URL
}

// fleetWithVersions returns the status of instances a, b and so on with the table versions.
func fleetWithVersions(versions ...int64) *operatorv1.FleetResponse {
	resp := &operatorv1.FleetResponse{}
	for i, v := range versions {
		name := string(rune('a' + i))
		resp.Instances = append(resp.Instances, &operatorv1.StatusResponse{Name: name, TableVersion: v})
	}
	return resp
}

func TestPublishShowsProgressOfInstances(t *testing.T) {
	_, url := servePlatform(t)
	outdated := fleetWithVersions(1, 0)
	outdated.Unreachable = []string{"c/1"}
	ops := serveFleet(t, outdated, fleetWithVersions(1, 1, 1))
	execute(t, "publish", "-p", url, "-o", ops, demoTables).
		want(t, Succeeded, "in force at 1 of 3 instances; behind: b has 0; no answer from: c/1", "at 3 of 3", "in force everywhere")

	stuck := serveFleet(t, fleetWithVersions(2, 1))
	changed := copyTables(t, "maxTokens: 200", "maxTokens: 300")
	execute(t, "publish", "-p", url, "-o", stuck, "--wait", "100ms", changed).
		want(t, Failed, "published version 2", "not yet in force everywhere: version 2 is in force at 1 of 2")
}

// sidecarStatus returns the status of the sidecar of model-2.
func sidecarStatus(version int64, draining bool, waits ...string) *operatorv1.FleetResponse {
	resp := fleetWithVersions(version)
	resp.Instances[0].Server = "model-2"
	resp.Instances[0].WaitsFor = waits
	resp.Instances[0].Load = loadOf(draining)
	return resp
}

func TestStopReturnsWhenSafe(t *testing.T) {
	store, url := servePlatform(t)
	execute(t, "publish", "-p", url, demoTables).want(t, Succeeded)
	ops := serveFleet(t, fleetWithVersions(2), sidecarStatus(1, false), sidecarStatus(2, false), sidecarStatus(2, true, "1 request running"), sidecarStatus(2, true))
	execute(t, "stop", "-p", url, "-o", ops, "--by", "anna", "model-2").want(t, Succeeded,
		"stop of model-2 published as version 2", "an answer from the sidecar of model-2",
		"to take up version 2", "to refuse new work", "waiting for 1 request running", "safe: model-2")

	never := serveFleet(t, sidecarStatus(2, true, "1 request running"))
	execute(t, "stop", "-p", url, "-o", never, "--wait", "100ms", "model-2").
		want(t, Failed, "planned by anna", "not safe yet: waiting for 1 request running")
	execute(t, "stop", "-p", url, "--end", "model-2").want(t, Succeeded, "end of the stop of model-2 published as version 3")
	execute(t, "stop", "-p", url, "model-2").want(t, Usage, "give --operator")
	execute(t, "stop", "-p", url, "--wait", "0s", "model-9").want(t, Usage, `no pool names the backend server "model-9"`)

	c := control.New(hclog.NewNullLogger(), store.LogFor("test"), fleet.Member{Incarnation: "test"}, control.AsObserver())
	if err := c.Start(t.Context(), nil); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	state, err := c.CatchUp(ctx)
	if err != nil || state.Tables.HasPlannedStop("model-2") || len(state.Members) != 0 {
		t.Fatalf("state %+v, %v", state, err)
	}
}

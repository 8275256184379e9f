package table_test

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/crocusline/crocusline/models/rank"
	"github.com/crocusline/crocusline/models/table"
	"github.com/crocusline/crocusline/modules/codec"
	"github.com/crocusline/crocusline/modules/setting"
	_ "github.com/crocusline/crocusline/tests/fixedseed"
)

const (
	routesYAML = `routes:
  draftReport:
    pool: drafting
    rank: normal
    idempotent: true
    maxTokens: 400
    timeout: 60s
  confirmDelivery:
    pool: dispatch
    rank: urgent
    price: 20
    timeout: 5s
`
	poolsYAML = `pools:
  drafting:
    kind: model
    servers: [model-1, model-2]
  dispatch:
    kind: plain
    servers: [dispatch-1]
`
)

func writeTables(t *testing.T, routes, pools, workspaces string) string {
	t.Helper()
	dir := t.TempDir()
	for name, text := range map[string]string{
		table.RoutesFile: routes, table.PoolsFile: pools, table.WorkspacesFile: workspaces,
	} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

func workspacesYAML() string {
	return fmt.Sprintf("workspaces:\n  mackay:\n    tokens: [%s]\n", table.HashToken("secret"))
}

func TestLoad(t *testing.T) {
	tables, err := table.Load(writeTables(t, routesYAML, poolsYAML, workspacesYAML()))
	if err != nil {
		t.Fatal(err)
	}
	route := tables.Routes["confirmDelivery"]
	if route.Rank != rank.Urgent || route.Timeout != 5*time.Second || route.Idempotent || route.QueueShare() != table.DefaultQueueShare {
		t.Fatalf("route %+v", route)
	}
	workspace := tables.Workspaces["mackay"]
	if !workspace.HasToken("secret") || workspace.HasToken("other") || workspace.EffectiveWeight() != 1 {
		t.Fatalf("workspace %+v", workspace)
	}
}

func TestLoadErrorHasFileAndLine(t *testing.T) {
	cases := []struct{ name, table, old, replacement, want string }{
		{"unknown pool", "routes", "pool: drafting", "pool: draughting", `routes.yaml:3: routes[draftReport].pool: no pool is named "draughting"`},
		{"unknown key", "routes", "maxTokens", "maxTokenz", "routes.yaml:6: routes[draftReport].maxTokenz: unknown key"},
		{"unknown rank", "routes", "urgent", "asap", `routes.yaml:10: routes[confirmDelivery].rank: unknown rank "asap"`},
		{"model work without bound", "routes", "maxTokens: 400", "maxTokens: 0", "routes.yaml:6: routes[draftReport].maxTokens: model work"},
		{"call without price", "routes", "    price: 20\n", "", "routes.yaml:8: routes[confirmDelivery].price: a plain call"},
		{"no timeout", "routes", "    timeout: 5s\n", "", "routes.yaml:8: routes[confirmDelivery].timeout: 0s must be above 0"},
		{"unknown kind", "pools", "kind: plain", "kind: plane", `pools.yaml:6: pools[dispatch].kind: unknown kind "plane"`},
		{"server twice", "pools", "model-2", "model-1", `pools.yaml:4: pools[drafting].servers[1]: "model-1" is listed twice`},
		{"two kinds of server", "pools", "dispatch-1", "model-1", "pools.yaml:4: pools[drafting].servers[0]"},
		{"two roles", "pools", "servers: [model-1, model-2]\n", "servers: [model-1, model-2]\n    role: prefill\n  other:\n    kind: model\n    servers: [model-2]\n    role: decode\n", `pools.yaml:8: pools[other].servers[0]: "model-2" has role prefill in another pool`},
		{"role of a service", "pools", "kind: plain\n", "kind: plain\n    role: decode\n", "pools.yaml:5: pools[dispatch]: only a pool of kind model"},
		{"no server", "pools", "[dispatch-1]", "[]", "pools.yaml:7: pools[dispatch].servers"},
		{"plain token", "workspaces", table.HashToken("secret"), "secret", `workspaces.yaml:3: workspaces[mackay].tokens[0]: "secret" is not a SHA-256`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			texts := map[string]string{"routes": routesYAML, "pools": poolsYAML, "workspaces": workspacesYAML()}
			texts[c.table] = strings.Replace(texts[c.table], c.old, c.replacement, 1)
			_, err := table.Load(writeTables(t, texts["routes"], texts["pools"], texts["workspaces"]))
			var problem *setting.Error
			if !errors.As(err, &problem) {
				t.Fatalf("got %v", err)
			}
			if got := filepath.Base(problem.File) + strings.TrimPrefix(problem.Error(), problem.File); !strings.HasPrefix(got, c.want) {
				t.Errorf("got  %s\nwant %s", got, c.want)
			}
		})
	}
}

func TestSharedTokenIsRejected(t *testing.T) {
	both := workspacesYAML() + strings.TrimPrefix(strings.Replace(workspacesYAML(), "mackay", "cairns", 1), "workspaces:\n")
	_, err := table.Load(writeTables(t, routesYAML, poolsYAML, both))
	if err == nil || !strings.Contains(err.Error(), "also a token of workspace") {
		t.Fatalf("got %v", err)
	}
}

// drawTables draws tables, which are not necessarily valid.
func drawTables(t *rapid.T, label string) *table.Tables {
	name := rapid.SampledFrom([]string{"a", "b", "c", "d"})
	tables := table.New()
	for _, n := range rapid.SliceOfN(name, 0, 4).Draw(t, label+" routes") {
		tables.Routes[n] = table.Route{Pool: name.Draw(t, label+" pool"), Timeout: time.Second}
	}
	for _, n := range rapid.SliceOfN(name, 0, 4).Draw(t, label+" pools") {
		tables.Pools[n] = table.Pool{Servers: rapid.SliceOfN(name, 1, 2).Draw(t, label+" servers")}
	}
	for _, n := range rapid.SliceOfN(name, 0, 4).Draw(t, label+" workspaces") {
		tables.Workspaces[n] = table.Workspace{Weight: rapid.IntRange(0, 3).Draw(t, label+" weight")}
	}
	return tables
}

func TestApplyOfDiffGivesWantedTables(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		published, wanted := drawTables(t, "published"), drawTables(t, "wanted")
		published.Version, published.Published = 9, 7
		data, err := codec.Marshal(table.Diff(published, wanted))
		if err != nil {
			t.Fatal(err)
		}
		var delta table.Delta
		if err := codec.Unmarshal(data, &delta); err != nil {
			t.Fatal(err)
		}
		got, err := published.Apply(delta)
		if err != nil {
			t.Fatal(err)
		}
		wanted.Version, wanted.Published = 10, 10
		if !reflect.DeepEqual(got, wanted) {
			t.Fatalf("got %+v, want %+v", got, wanted)
		}
		if again := table.Diff(got, wanted); !again.IsEmpty() {
			t.Fatalf("a second diff contains %+v", again)
		}
	})
}

func TestPublicationKeepsPlannedStops(t *testing.T) {
	tables, err := table.Load(writeTables(t, routesYAML, poolsYAML, workspacesYAML()))
	if err != nil {
		t.Fatal(err)
	}
	stopped := tables.WithPlannedStop("model-1", table.Stop{ID: "s1"})
	if tables.HasPlannedStop("model-1") || !stopped.HasPlannedStop("model-1") || stopped.Version != 1 {
		t.Fatal("the stop is not only in the new version")
	}
	wanted := *tables
	wanted.Workspaces = nil
	next, err := stopped.Apply(table.Diff(tables, &wanted))
	if err != nil {
		t.Fatal(err)
	}
	if !next.HasPlannedStop("model-1") || next.Version != 2 || next.Published != 2 {
		t.Fatalf("got %+v", next)
	}
	if next.WithoutPlannedStop("model-1").HasPlannedStop("model-1") {
		t.Fatal("the stop is still planned")
	}
}

package route_test

import (
	"fmt"
	"testing"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/route"
)

func newTable() *route.Table {
	return route.New(route.Contents{
		Routes: []route.Route{
			{Name: "outer", Host: "a.example", Prefix: "/a/"},
			{Name: "inner", Host: "a.example", Prefix: "/a/b/", Public: true},
		},
		Pools:      map[string]route.Pool{"p": {Name: "p"}, "q": {Name: "q"}},
		Workspaces: map[string]route.Workspace{"w": {Name: "w"}},
		Keys:       map[string]string{"k": "w"},
	})
}

func ExampleTable_Find() {
	table := route.New(route.Contents{Routes: []route.Route{
		{Name: "reports", Host: "ice.example", Prefix: "/reports/"},
		{Name: "drafts", Host: "ice.example", Prefix: "/reports/drafts/"},
	}})
	r, _ := table.Find("ice.example", "/reports/drafts/7")
	fmt.Println(r.Name)
	_, err := table.Find("ice.example", "/stock/")
	fmt.Println(err)
	// Output:
	// drafts
	// no route for host "ice.example" and path "/stock/"
}

func TestFind(t *testing.T) {
	table := newTable()
	for path, want := range map[string]string{"/a/": "outer", "/a/bc": "outer", "/a/b/": "inner", "/a/b/c": "inner", "/b/": ""} {
		r, err := table.Find("A.example:80", path)
		if r.Name != want || (err != nil) != (want == "") {
			t.Errorf("%s: got %q and %v, want %q", path, r.Name, err, want)
		}
	}
	var missing *route.NotFoundError
	if _, err := table.Find("b.example", "/a/"); !errors.As(err, &missing) {
		t.Errorf("got %v", err)
	}
}

func TestAuthorize(t *testing.T) {
	table := newTable()
	private, public := table.Routes[0], table.Routes[1]
	if w, err := table.Authorize(private, "k"); err != nil || w.Name != "w" {
		t.Errorf("got %+v and %v", w, err)
	}
	var bad *route.KeyError
	if _, err := table.Authorize(private, ""); !errors.As(err, &bad) || !bad.Missing {
		t.Errorf("got %v", err)
	}
	if _, err := table.Authorize(private, "x"); !errors.As(err, &bad) || bad.Missing {
		t.Errorf("got %v", err)
	}
	if w, err := table.Authorize(public, "x"); err != nil || w.Name != "" {
		t.Errorf("got %+v and %v", w, err)
	}
}

func TestPoolFor(t *testing.T) {
	table := newTable()
	r := route.Route{Pools: []route.WeightedPool{{Pool: "p", Weight: 90}, {Pool: "q", Weight: 10}}}
	count := map[string]int{}
	for i := range 2000 {
		count[table.PoolFor(r, fmt.Sprint(i)).Name]++
	}
	if count["q"] < 120 || count["q"] > 280 {
		t.Errorf("pool with a tenth of the weight got %d of 2000 requests, want 120 to 280", count["q"])
	}
	if got := table.PoolFor(route.Route{}, "1"); got.Name != "" {
		t.Errorf("got %+v", got)
	}
}

package relay_test

import (
	"net/http"
	"testing"

	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/models/route"
	"github.com/crocusline/crocusline/standin/site"
)

// TestRefusedByReplacedTable guards against requests that are refused for good by a table which was replaced before it was
// confirmed to be current, as happens if the process stands still in between.
func TestRefusedByReplacedTable(t *testing.T) {
	for name, change := range map[string]func(c *route.Contents){
		"new route": func(c *route.Contents) { c.Routes = nil }, "new key": func(c *route.Contents) { c.Keys = nil },
	} {
		env := newTestEnv(t, nil, site.NewServer("s1", 0))
		env.catalog.next = env.catalog.table
		contents := env.catalog.table.Contents
		contents.Version--
		change(&contents)
		env.catalog.table = route.New(contents)
		if resp, err := env.send(t.Context(), "/once/a"); err != nil || resp.Code != http.StatusOK {
			t.Errorf("%s: got status %d and %v", name, resp.Code, err)
		}
	}
}

// TestRefusals checks the refusals that precede any send. Outdated tables must not have a
// request refused for good.
func TestRefusals(t *testing.T) {
	env := newTestEnv(t, nil, site.NewServer("s1", 0))
	for _, tt := range []struct {
		path     string
		key      string
		outdated bool
		reason   refusal.Reason
		retry    bool
	}{
		{"/nowhere/", "secret", false, refusal.UnknownKind, false},
		{"/once/a", "wrong", false, refusal.Unauthenticated, false},
		{"/nowhere/", "secret", true, refusal.NotReady, true},
		{"/once/a", "wrong", true, refusal.NotReady, true},
	} {
		env.catalog.outdated = tt.outdated
		_, err := env.send(t.Context(), tt.path, "Authorization", "Token "+tt.key)
		if e, ok := refusal.As(err); !ok || e.Reason != tt.reason || (e.RetryAfter > 0) != tt.retry || env.arrived() != 0 {
			t.Errorf("%s with outdated %t: got %v, want %s", tt.path, tt.outdated, err, tt.reason)
		}
	}
}

package admission_test

import (
	"testing"
	"time"

	"github.com/crocusline/crocusline/models/fleet"
	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/models/table"
	"github.com/crocusline/crocusline/services/admission"
)

// changingControl is a control stream whose state changes.
type changingControl struct{ state *fleet.State }

func (c *changingControl) State() *fleet.State { return c.state }

// publishTokens publishes the tokens of a workspace, after the version.
func (c *changingControl) publishTokens(t *testing.T, id string, tokens ...string) {
	t.Helper()
	var hashes []string
	for _, token := range tokens {
		hashes = append(hashes, table.HashToken(token))
	}
	before := c.state.Tables.Version
	c.state, _ = c.state.Apply(before, time.Unix(0, 0), fleet.Publish{ID: id, Delta: table.Delta{
		Base: before, Workspaces: map[string]table.Workspace{"clinics": {Tokens: hashes}},
	}})
	if c.state.Tables.Version == before {
		t.Fatal("the tables were not published")
	}
}

// TestAuthenticate guards against a token that is looked for in tables that are no longer in force, and against a refusal for
// good by an entry that has no tables yet.
func TestAuthenticate(t *testing.T) {
	c := &changingControl{state: fleet.New()}
	s := admission.New(c)
	check := func(when string, want map[string]bool) {
		t.Helper()
		for token, valid := range want {
			err := s.Authenticate(token)
			if e, refused := refusal.As(err); refused == valid || refused && (e.Reason != refusal.Unauthenticated || e.RetryAfter != 0) {
				t.Errorf("%s, token %q: %v", when, token, err)
			}
		}
	}
	check("without tables", map[string]bool{"": true, "first": true})
	c.publishTokens(t, "p1", "first")
	check("with the first tables", map[string]bool{"": false, "first": true, "second": false})
	c.publishTokens(t, "p2", "first", "second")
	check("with two tokens", map[string]bool{"first": true, "second": true})
	c.publishTokens(t, "p3", "second")
	check("after a token was taken away", map[string]bool{"first": false, "second": true})
}

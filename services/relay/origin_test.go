package relay_test

import (
	"net/http"
	"testing"

	"github.com/crocusline/crocusline/models/roster"
	"github.com/crocusline/crocusline/standin/site"
)

// setVersions gives the servers their versions, in order.
func (env *testEnv) setVersions(versions ...string) {
	var list []roster.Server
	for i, s := range env.servers {
		list = append(list, roster.Server{ID: s.ID, Address: s.Address(), Slots: 8, FailureDomain: "far", Version: versions[i]})
	}
	// The first two are chosen first.
	list[0].FailureDomain, list[1].FailureDomain = "near", "near"
	env.catalog.balancers["models"].SetServers(list, 100_000)
}

// TestStreamResumedAtAnotherVersion guards against a stream that goes on, within one response, at a server of another
// software version than the one that began it.
func TestStreamResumedAtAnotherVersion(t *testing.T) {
	tests := []struct {
		name     string
		versions []string
		// server is the one that continues the stream, or -1.
		server int
	}{
		{"another version only", []string{"v1", "v2"}, -1},
		{"the same version too", []string{"v1", "v2", "v1"}, 2},
		{"unknown versions", []string{"", "", ""}, -1},
		{"another unknown version", []string{"v1", ""}, -1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			servers := []*site.Server{site.NewServer("s1", 10, site.AbortResponse)}
			for _, id := range []string{"s2", "s3"}[:len(tt.versions)-1] {
				servers = append(servers, site.NewServer(id, 10))
			}
			env := newTestEnv(t, nil, servers...)
			env.setVersions(tt.versions...)
			status, body, err := env.sendOverConnection("/draft/a")
			want := events(1, 5)
			if tt.server >= 0 {
				want = events(1, 10)
			}
			if status != http.StatusOK || body != want || (err == nil) != (tt.server >= 0) {
				t.Errorf("got status %d, %q and %v", status, body, err)
			}
			for i, s := range env.servers[1:] {
				if ran := len(s.Requests()) > 0; ran != (i+1 == tt.server) {
					t.Errorf("server %s of version %q got requests: %t", s.ID, tt.versions[i+1], ran)
				}
			}
		})
	}
}

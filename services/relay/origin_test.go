package relay_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/lineage"
	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/models/roster"
	"github.com/crocusline/crocusline/services/relay"
	"github.com/crocusline/crocusline/standin/site"
)

// fakeLineage holds origins, and what was recorded.
type fakeLineage struct {
	origins  map[lineage.ID]lineage.Origin
	recorded []lineage.Origin
}

// newFakeLineage returns a lineage that knows of a stream of the workspace that began at the version.
func newFakeLineage(requestID, version string) *fakeLineage {
	return &fakeLineage{origins: map[lineage.ID]lineage.Origin{
		lineage.NewID("clinics", requestID): {Pool: "models", Version: version},
	}}
}

func (l *fakeLineage) Begin(_ context.Context, id lineage.ID, o lineage.Origin, _ time.Duration) {
	l.origins[id] = o
	l.recorded = append(l.recorded, o)
}

func (l *fakeLineage) Find(_ context.Context, id lineage.ID) (lineage.Origin, error) {
	o, exists := l.origins[id]
	if !exists {
		return o, errors.New("no record")
	}
	return o, nil
}

// setVersions gives the servers their versions, in order.
func (env *testEnv) setVersions(versions ...string) {
	var list []roster.Server
	for i, s := range env.servers {
		list = append(list, roster.Server{ID: s.ID, Address: s.Address(), Slots: 8, FailureDomain: "far", Version: versions[i], Started: 17})
	}
	// The first two are chosen first.
	list[0].FailureDomain, list[1].FailureDomain = "near", "near"
	env.catalog.balancers["models"].SetServers(list, 100_000)
}

// TestStreamResumedAtAnotherVersion guards against a stream that goes on, within one response, at a
// server of another software version than the one that began it.
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

// TestStreamTakenUpAtAnotherVersion guards against a stream that a caller takes up and that goes on at a
// server of another software version, or of an unknown one.
func TestStreamTakenUpAtAnotherVersion(t *testing.T) {
	tests := []struct {
		name     string
		versions []string
		header   []string
		server   int
		reason   refusal.Reason
	}{
		{"the version that began it", []string{"v2", "v1"}, []string{"Resumes", "began"}, 1, 0},
		{"version gone", []string{"v2", "v3"}, []string{"Resumes", "began"}, -1, refusal.VersionGone},
		{"version unknown", []string{"", "v2"}, []string{"Resumes", "began"}, -1, refusal.VersionGone},
		{"no record", []string{"v1", "v1"}, []string{"Resumes", "other"}, -1, refusal.OriginUnknown},
		{"not named", []string{"v1", "v1"}, nil, -1, refusal.OriginUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			env := newTestEnv(t, []relay.Option{relay.WithLineage(newFakeLineage("began", "v1"))}, site.NewServer("s1", 10), site.NewServer("s2", 10))
			env.setVersions(tt.versions...)
			resp, err := env.send(t.Context(), "/draft/a", append([]string{"Last-Event-Id", "4"}, tt.header...)...)
			e, refused := refusal.As(err)
			if refused != (tt.server < 0) || (refused && (e.Reason != tt.reason || e.Outcome != refusal.NotRun)) {
				t.Errorf("got %v", err)
			}
			if want := events(5, 10); !refused && resp.Body.String() != want {
				t.Errorf("got %q, want %q", resp.Body.String(), want)
			}
			for i, s := range env.servers {
				if got := len(s.Requests()) > 0; got != (i == tt.server) {
					t.Errorf("server %s of version %q got requests: %t", s.ID, tt.versions[i], got)
				}
			}
		})
	}
}

// fakeReports holds the starts that servers name.
type fakeReports map[string]int64

func (r fakeReports) Started(_ context.Context, s roster.Server, _ int) (int64, error) {
	started, exists := r[s.ID]
	if !exists {
		return 0, errors.New("no report")
	}
	return started, nil
}

// TestServerStartedAgainAsAnotherVersion guards against streams that begin at, or go on at, a server
// that has started again under its id as another version, before the list shows it.
func TestServerStartedAgainAsAnotherVersion(t *testing.T) {
	const listed, later = 17, 18
	tests := []struct {
		name    string
		reports fakeReports
		// taken is whether the caller takes up a stream, events the number of events that it gets.
		taken  bool
		events int
	}{
		{"both confirmed", fakeReports{"s1": listed, "s2": listed}, false, 10},
		{"began at a later start", fakeReports{"s1": later, "s2": listed}, false, 5},
		{"began at an unknown start", fakeReports{"s2": listed}, false, 5},
		{"goes on at a later start", fakeReports{"s1": listed, "s2": later}, false, 5},
		{"goes on at an unknown start", fakeReports{"s1": listed}, false, 5},
		{"taken up at a confirmed start", fakeReports{"s1": listed, "s2": listed}, true, 6},
		{"taken up at later starts", fakeReports{"s1": later, "s2": later}, true, 0},
		{"taken up at unknown starts", nil, true, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			first := site.AbortResponse
			if tt.taken {
				first = site.Serve
			}
			opts := []relay.Option{relay.WithReports(tt.reports), relay.WithLineage(newFakeLineage("began", "v1"))}
			env := newTestEnv(t, opts, site.NewServer("s1", 10, first), site.NewServer("s2", 10))
			env.catalog.restarted = true
			env.setVersions("v1", "v1")
			if tt.taken {
				resp, err := env.send(t.Context(), "/draft/a", "Last-Event-Id", "4", "Resumes", "began")
				if got := strings.Count(resp.Body.String(), "\n\n"); got != tt.events || (err == nil) != (tt.events > 0) {
					t.Errorf("got %q and %v, want %d events", resp.Body.String(), err, tt.events)
				}
				return
			}
			status, body, err := env.sendOverConnection("/draft/a")
			if status != http.StatusOK || body != events(1, tt.events) || (err == nil) != (tt.events == 10) {
				t.Errorf("got status %d, %q and %v, want %d events", status, body, err, tt.events)
			}
		})
	}
}

// TestOriginRecorded checks that the version of the server that sent the first event is recorded before
// the event is passed on, once for each stream.
func TestOriginRecorded(t *testing.T) {
	l := newFakeLineage("other", "v0")
	env := newTestEnv(t, []relay.Option{relay.WithLineage(l)}, site.NewServer("s1", 10, site.Reset), site.NewServer("s2", 10))
	env.setVersions("v1", "v2")
	if _, err := env.send(t.Context(), "/draft/a"); err != nil {
		t.Fatal(err)
	}
	if len(l.recorded) != 1 || l.recorded[0] != (lineage.Origin{Pool: "models", Version: "v2"}) {
		t.Errorf("recorded %+v, want v2 of models", l.recorded)
	}
	if _, err := env.send(t.Context(), "/draft/a", "Last-Event-Id", "4", "Resumes", "r1", "Request-Id", "r2"); err != nil {
		t.Fatal(err)
	}
	if _, err := env.send(t.Context(), "/plan/a", "Request-Id", "r3"); err != nil && !strings.Contains(err.Error(), "aborted") {
		t.Fatal(err)
	}
	if len(l.recorded) != 1 {
		t.Errorf("recorded %+v, want nothing for a stream that goes on or can't be resumed", l.recorded)
	}
}

package relay_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/crocusline/crocusline/models/roster"
	"github.com/crocusline/crocusline/services/relay"
	"github.com/crocusline/crocusline/standin/site"
)

// TestResponseCutShort guards against responses that end early, in the head or in the body, with an
// orderly close of the connection, and that callers get as whole: at each byte, in each framing.
func TestResponseCutShort(t *testing.T) {
	for path, pool := range map[string]string{"/once/a": "plain", "/plan/a": "models"} {
		for _, r := range site.CutResponses(pool == "models") {
			t.Run(path+" "+r.Name, func(t *testing.T) {
				server, err := site.NewCutServer()
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = server.Close() }()
				env := newTestEnv(t, nil, site.NewServer("unused", 4))
				env.catalog.balancers[pool].SetServers([]roster.Server{{ID: "cut", Address: server.Address(), Slots: 64}}, 0)
				end := len(r.Text)
				if !r.Framed {
					// Without framing, only a response without any body shows that it was cut.
					end = r.Head + 1
				}
				var wrong []string
				for n := range end {
					server.Respond(r.Text[:n])
					status, body, err := env.sendOverConnection(path)
					if status == http.StatusOK && err == nil {
						wrong = append(wrong, fmt.Sprintf("%d: %q", n, body))
					}
				}
				if len(wrong) > 0 {
					t.Errorf("%d of %d cuts were answered as whole: %s", len(wrong), end, strings.Join(wrong[:min(3, len(wrong))], ", "))
				}
				server.Respond(r.Text)
				if status, body, err := env.sendOverConnection(path); status != http.StatusOK || err != nil {
					t.Errorf("the whole response: status %d, %q, %v", status, body, err)
				}
			})
		}
	}
}

// TestUnframedStreamEndsBetweenEvents guards against streams without framing whose server ended between
// two events, and that callers get as complete, and against complete ones that are cut.
func TestUnframedStreamEndsBetweenEvents(t *testing.T) {
	const (
		events = 4
		// running is the start that the second server names when it is asked, and another that of a later one.
		running, another = 17, 18
	)
	tests := []struct {
		name, path    string
		first, second site.Behaviour
		usage         string
		complete      bool
		events, sends int
		// started is the start of the second server when it has ended the stream, or 0 if it doesn't answer.
		started int64
	}{
		{"stopped, resumed", "/draft/a", site.StopUnframed, site.Serve, "100,40", true, events, 2, running},
		{"complete, confirmed", "/draft/a", site.ServeUnframed, site.Serve, "100,40", true, events, 2, running},
		{"complete, confirmed without framing", "/draft/a", site.ServeUnframed, site.EndUnframed, "100,40", true, events, 2, running},
		{"stopped, the next one crashed too", "/draft/a", site.StopUnframed, site.EndUnframed, "100,40", false, events / 2, 2, 0},
		{"stopped, the next one started again", "/draft/a", site.StopUnframed, site.EndUnframed, "100,40", false, events / 2, 2, another},
		{"stopped, resumed from the first event", "/draft/a", site.StopUnframed, site.RestartUnframed, "100,40", false, events / 2, 2, running},
		{"broken off, no further event", "/draft/a", site.AbortResponse, site.EndUnframed, "100,40", false, events / 2, 2, running},
		{"complete by its tokens", "/draft/a", site.ServeUnframed, site.Serve, "100,4", true, events, 1, running},
		{"stopped, no server for the rest", "/draft/a", site.StopUnframed, site.Shed, "100,40", false, events / 2, 2, running},
		{"can't be resumed", "/plan/a", site.ServeUnframed, site.Serve, "100,40", true, events, 1, running},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			reports := fakeReports{}
			if tt.started != 0 {
				reports["s2"] = tt.started
			}
			env := newTestEnv(t, []relay.Option{relay.WithReports(reports)}, site.NewServer("s1", events, tt.first), site.NewServer("s2", events, tt.second))
			env.setVersions("v1", "v1")
			var want strings.Builder
			for id := range tt.events {
				want.WriteString(site.Event(id + 1))
			}
			env.usage = tt.usage
			status, body, err := env.sendOverConnection(tt.path)
			if status != http.StatusOK || body != want.String() || (err == nil) != tt.complete {
				t.Errorf("got status %d, %q and %v, want %d events", status, body, err, tt.events)
			}
			if n := env.arrived(); n != tt.sends {
				t.Errorf("%d requests reached servers, want %d", n, tt.sends)
			}
		})
	}
}

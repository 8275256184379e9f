package relay_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/crocusline/crocusline/models/roster"
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

package front_test

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/crocusline/crocusline/models/lineage"
	"github.com/crocusline/crocusline/models/prepaid"
	"github.com/crocusline/crocusline/routers/front"
	"github.com/crocusline/crocusline/services/catalog"
	"github.com/crocusline/crocusline/standin/site"
)

// TestEndOfPeerResponse guards against responses of other gateways that are cut, reset or none, and that pass for what a
// peer knows, has lent or has done: at each byte, with and without a length.
func TestEndOfPeerResponse(t *testing.T) {
	server, err := site.NewCutServer()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	peer := server.Address()
	c := front.NewPeerClient([]netip.AddrPort{peer})
	defer func() { _ = c.Close() }()
	var id lineage.ID
	calls := map[string]struct {
		body string
		call func() error
	}{
		"snapshot": {"{}", func() error { _, err := c.Snapshot(t.Context(), 0, catalog.Known{}); return err }},
		"loan": {`{"tokens":12,"free":3,"granted":40}`, func() error {
			_, err := c.Borrow(t.Context(), peer, prepaid.Loan{Workspace: "w", Tokens: 12})
			return err
		}},
		"return":    {"{}", func() error { return c.Return(t.Context(), peer, "w", 12) }},
		"origin":    {`{"participant":false}`, func() error { _, err := c.Origin(t.Context(), peer, id); return err }},
		"supersede": {"{}", func() error { _, err := c.Supersede(t.Context(), peer, id, peer); return err }},
	}
	for name, tt := range calls {
		for _, framed := range []bool{true, false} {
			fields := "Connection: close\r\n"
			if framed {
				fields += fmt.Sprintf("Content-Length: %d\r\n", len(tt.body))
			}
			try := func(response string) error {
				server.Respond(response)
				return tt.call()
			}
			whole := "HTTP/1.1 200 OK\r\n" + fields + "\r\n" + tt.body
			if err := try(whole); err != nil {
				t.Errorf("%s, framed %t: %v", name, framed, err)
			}
			for _, status := range []string{"000 ", "101 Switching Protocols", "202 Accepted", "700 "} {
				if try("HTTP/1.1 "+status+"\r\n"+fields+"\r\n"+tt.body) == nil {
					t.Errorf("%s, framed %t: status %s passed for done", name, framed, status[:3])
				}
			}
			for n := range len(whole) {
				for _, reset := range []bool{false, true} {
					server.SetEnd(false, reset)
					if try(whole[:n]) == nil {
						t.Errorf("%s, framed %t, reset %t: %d of %d bytes passed for the whole", name, framed, reset, n, len(whole))
					}
				}
			}
			server.SetEnd(false, false)
		}
	}
}

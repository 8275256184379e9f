package relay_test

import (
	"net/http"
	"strconv"
	"testing"

	"github.com/crocusline/crocusline/models/roster"
	"github.com/crocusline/crocusline/standin/site"
)

// TestBytesAfterTheLastEvent guards against complete streams that are cut, or passed on without their last bytes, because
// something follows their last event that is no event, and against callers that get a part of an event.
func TestBytesAfterTheLastEvent(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: x\r\nInstance-Id: cut\r\nContent-Type: text/event-stream\r\n"
	events := site.Event(1) + site.Event(2)
	tests := []struct {
		rest             string
		framed, unframed bool
	}{
		{"", true, true},
		{"\n", true, true},
		{"\r\n", true, true},
		{"\n\n", true, true},
		{":\n\n", true, true},
		{": comment", true, false},
		{"data: more\n", false, false},
		{"id: 3", false, false},
	}
	server, err := site.NewCutServer()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	env := newTestEnv(t, nil, site.NewServer("unused", 4))
	env.catalog.balancers["models"].SetServers([]roster.Server{{ID: "cut", Address: server.Address(), Slots: 64}}, 0)
	for _, tt := range tests {
		text := events + tt.rest
		for _, framed := range []bool{true, false} {
			// The server closes each connection, and without saying so a later request could meet that.
			complete, field := tt.unframed, "Connection: close\r\n"
			if framed {
				complete, field = tt.framed, field+"Content-Length: "+strconv.Itoa(len(text))+"\r\n"
			}
			server.Respond(head + field + "\r\n" + text)
			status, body, err := env.sendOverConnection("/plan/a")
			want := events
			if complete {
				want = text
			}
			if status != http.StatusOK || body != want || (err == nil) != complete {
				t.Errorf("framed %t, %q: got status %d, %q and %v, want %q, complete %t", framed, tt.rest, status, body, err, want, complete)
			}
		}
	}
}

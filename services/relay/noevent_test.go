package relay_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"

	"github.com/crocusline/crocusline/models/roster"
	"github.com/crocusline/crocusline/standin/site"
)

// TestBytesOfNoEvent guards against lines that are no field of an event stream, such as the head of another
// response, and that reach the caller behind the last event.
func TestBytesOfNoEvent(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: x\r\nInstance-Id: cut\r\nContent-Type: text/event-stream\r\n"
	const failure = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
	events := site.Event(1) + site.Event(2) + site.Event(3)
	server, err := site.NewCutServer()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	env := newTestEnv(t, nil, site.NewServer("unused", 4))
	list := []roster.Server{{ID: "cut", Address: server.Address(), Slots: 64, Version: "v1", Started: 17}}
	env.catalog.balancers["models"].SetServers(list, 0)
	for _, path := range []string{"/plan/a", "/draft/a"} {
		for _, rest := range []string{failure, "id: 4\n" + failure, "id: 4\r\ndata: x\r\n" + failure, "garbage\n\n", "id 4\n\n", " id: 4\n\n"} {
			for _, framed := range []bool{true, false} {
				// The server closes each connection, and without saying so a later request could meet that.
				text, field := events+rest, "Connection: close\r\n"
				if framed {
					field += "Content-Length: " + strconv.Itoa(len(text)) + "\r\n"
				}
				t.Run(fmt.Sprintf("%s %q framed %t", path, rest, framed), func(t *testing.T) {
					server.Respond(head + field + "\r\n" + text)
					status, body, err := env.sendOverConnection(path)
					if status != http.StatusOK || body != events || err == nil {
						t.Errorf("got status %d, %q and %v, want the events and an error", status, body, err)
					}
				})
			}
		}
	}
}

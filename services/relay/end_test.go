package relay_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/models/roster"
	"github.com/crocusline/crocusline/standin/site"
)

// respond starts a server that answers each request with the text, and returns its address.
func respond(t *testing.T, text string, early, reset bool) netip.AddrPort {
	t.Helper()
	server, err := site.NewCutServer()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	server.Respond(text)
	server.SetEnd(early, reset)
	return server.Address()
}

// framings returns a response with the body in each framing. A body of "" is that of a response to HEAD.
func framings(status, fields, body string) map[string]string {
	head := "HTTP/1.1 " + status + "\r\nConnection: close\r\nRequest-Id: r1\r\nResponse-Seal: x\r\nInstance-Id: s1\r\n" + fields
	texts := map[string]string{"none": head + "\r\n" + body}
	if body != "" {
		texts["length"] = fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
		texts["chunks"] = fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body)
	}
	return texts
}

// TestEndOfRelayedResponse guards against callers that get a part of a response as the whole, or no response though it
// has arrived: for each kind of response and framing, with the request written or not, and each end of the connection.
func TestEndOfRelayedResponse(t *testing.T) {
	const longBody, repetitions = 2 << 20, 5
	kinds := []struct{ name, path, method, status, fields, body string }{
		{"plain", "/once/a", http.MethodPost, "200 OK", "", "answer"},
		{"error", "/once/a", http.MethodPost, "500 Failed", "", "failure"},
		{"stream", "/plan/a", http.MethodPost, "200 OK", "Content-Type: text/event-stream\r\n", site.Event(1) + site.Event(2)},
		{"resumable stream", "/draft/a", http.MethodPost, "200 OK", "Content-Type: text/event-stream\r\n", site.Event(1) + site.Event(2)},
		{"large", "/once/a", http.MethodPost, "200 OK", "", strings.Repeat("x", 600<<10)},
		{"HEAD", "/once/a", http.MethodHead, "200 OK", "", ""},
	}
	for _, kind := range kinds {
		for framing, text := range framings(kind.status, kind.fields, kind.body) {
			for _, size := range []int{100, longBody} {
				for bits := range 4 {
					early, reset := bits&1 > 0, bits&2 > 0
					t.Run(fmt.Sprintf("%s/%s/%d bytes, early %t, reset %t", kind.name, framing, size, early, reset), func(t *testing.T) {
						address := respond(t, text, early, reset)
						// Whether the write or the read receives the error of a reset is a race.
						for range repetitions {
							env := newTestEnv(t, nil, site.NewServer("unused", 4))
							// Two events have all tokens.
							env.method, env.body, env.usage = kind.method, make([]byte, size), "100,8"
							for _, b := range env.catalog.balancers {
								b.SetServers([]roster.Server{{ID: "s1", Address: address, Slots: 64}}, 100_000)
							}
							_, body, err := env.sendOverConnection(kind.path)
							got := err == nil
							switch headOnly := kind.body == ""; {
							case got && body != kind.body:
								t.Errorf("%d of %d bytes passed for complete", len(body), len(kind.body))
							case got && reset && framing == "none" && !headOnly:
								t.Error("a response that was reset passed for complete")
							case !got && !reset:
								t.Errorf("got %q and %v, want the response", body[:min(100, len(body))], err)
							}
						}
					})
				}
			}
		}
	}
}

// TestNoResponse guards against requests that run twice or whose callers get a false answer, as the first server sends
// what is no response, or an error response without framing of which only the head arrives.
func TestNoResponse(t *testing.T) {
	for _, path := range []string{"/once/a", "/lookup/a", "/plan/a", "/draft/a"} {
		fields, body := "", "body"
		if path == "/plan/a" || path == "/draft/a" {
			fields, body = "Content-Type: text/event-stream\r\n", site.Event(1)
		}
		texts := map[string]string{}
		for _, status := range []string{"000 ", "099 ", "101 Switching Protocols", "600 ", "999 "} {
			for framing, text := range framings(status, fields, body) {
				texts[status[:3]+" "+framing] = text
			}
		}
		for _, status := range []string{"200 OK", "400 Rejected", "500 Failed"} {
			texts[status+", head only"] = framings(status, fields, "")["none"]
		}
		for name, text := range texts {
			t.Run(name+path, func(t *testing.T) {
				second := site.NewServer("s2", 4)
				env := newTestEnv(t, nil, second)
				first := roster.Server{ID: "s1", Address: respond(t, text, false, false), Slots: 64, FailureDomain: "near", Version: "v1"}
				for _, b := range env.catalog.balancers {
					b.SetServers([]roster.Server{first, {ID: "s2", Address: second.Address(), Slots: 64, FailureDomain: "far", Version: "v1"}}, 100_000)
				}
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				resp, err := env.send(ctx, path)
				if repeatable := path == "/lookup/a" || path == "/draft/a"; repeatable {
					if err != nil || resp.Code != http.StatusOK || env.ran() != 1 {
						t.Errorf("got status %d and %v after %d runs, want the answer of the second server", resp.Code, err, env.ran())
					}
					return
				}
				if e, ok := refusal.As(err); !ok || e.Outcome != refusal.Unknown || env.ran() != 0 {
					t.Errorf("got status %d and %v after %d runs elsewhere, want an unknown outcome", resp.Code, err, env.ran())
				}
			})
		}
	}
}

// TestLengthOfResponseWithoutBody guards against responses without a body that state a length of 0 in place of that of the
// body which another request would get.
func TestLengthOfResponseWithoutBody(t *testing.T) {
	tests := []struct{ method, status, fields, length string }{
		{http.MethodHead, "200 OK", "Content-Length: 7\r\n", "7"},
		{http.MethodHead, "200 OK", "", ""},
		{http.MethodHead, "200 OK", "Transfer-Encoding: chunked\r\n", ""},
		{http.MethodPost, "204 No Content", "", ""},
		{http.MethodPost, "304 Not Modified", "Content-Length: 7\r\n", "7"},
		{http.MethodPost, "200 OK", "Content-Length: 0\r\n", "0"},
	}
	for _, tt := range tests {
		env := newTestEnv(t, nil, site.NewServer("unused", 4))
		env.method = tt.method
		address := respond(t, framings(tt.status, tt.fields, "")["none"], false, false)
		env.catalog.balancers["plain"].SetServers([]roster.Server{{ID: "s1", Address: address, Slots: 64}}, 0)
		resp, err := env.send(t.Context(), "/once/a")
		if err != nil || resp.Header().Get("Content-Length") != tt.length || strconv.Itoa(resp.Code) != tt.status[:3] {
			t.Errorf("%s, %s, %q: got status %d, length %q and %v", tt.method, tt.status, tt.fields, resp.Code, resp.Header().Get("Content-Length"), err)
		}
	}
}

package front_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/crocusline/crocusline/models/intake"
)

// TestLateBodyPassedOnByAPlannedStop guards against requests whose body ends after a planned stop takes
// no more, and that are passed on nevertheless.
func TestLateBodyPassedOnByAPlannedStop(t *testing.T) {
	const soon, late = 20 * time.Millisecond, time.Hour
	tests := []struct {
		name   string
		plan   intake.Stop
		status int
	}{
		{"taken", intake.Stop{AcceptFor: late, GiveUpAfter: late}, http.StatusOK},
		{"no longer taken", intake.Stop{AcceptFor: soon, GiveUpAfter: late}, http.StatusServiceUnavailable},
		{"given up", intake.Stop{AcceptFor: late, GiveUpAfter: soon}, http.StatusServiceUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			fake := &fakeRelay{response: "answer"}
			h, server := serve(t, fake)
			conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			if _, err := io.WriteString(conn, "POST /a HTTP/1.1\r\nHost: a\r\nRequest-Id: r1\r\nContent-Length: 4\r\n\r\nbo"); err != nil {
				t.Fatal(err)
			}
			for h.OpenRequests() == 0 {
				time.Sleep(time.Millisecond)
			}
			h.Drain(tt.plan)
			time.Sleep(5 * soon)
			if _, err := io.WriteString(conn, "dy"); err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			if resp.StatusCode != tt.status || (fake.got != nil) != (tt.status == http.StatusOK) {
				t.Errorf("got status %d, passed on: %t, want %d", resp.StatusCode, fake.got != nil, tt.status)
			}
			if tt.status != http.StatusOK && !resp.Close {
				t.Error("the connection stays open")
			}
		})
	}
}

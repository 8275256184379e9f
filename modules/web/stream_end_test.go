package web_test

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/crocusline/crocusline/modules/web"
)

// TestStreamEndsAfterTheWriteTimeout guards against responses whose end comes later than the write
// timeout after their last part, or whose first part does, and that are cut.
func TestStreamEndsAfterTheWriteTimeout(t *testing.T) {
	const timeout = 50 * time.Millisecond
	tests := []struct {
		name    string
		handler http.HandlerFunc
		body    string
	}{
		{"stream", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "event")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(4 * timeout)
		}, "event"},
		{"pause between events", func(w http.ResponseWriter, _ *http.Request) {
			for range 2 {
				_, _ = io.WriteString(w, "event")
				_ = http.NewResponseController(w).Flush()
				time.Sleep(4 * timeout)
			}
		}, "eventevent"},
		{"no body", func(w http.ResponseWriter, _ *http.Request) {
			_ = http.NewResponseController(w).Flush()
			time.Sleep(4 * timeout)
		}, ""},
		{"status after the head of another response", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusEarlyHints)
			time.Sleep(4 * timeout)
			w.WriteHeader(http.StatusOK)
		}, ""},
	}
	for _, tt := range tests {
		for _, version := range []int{1, 2} {
			t.Run(fmt.Sprintf("%s, HTTP/%d", tt.name, version), func(t *testing.T) {
				s, err := web.NewServer(netip.MustParseAddrPort("127.0.0.1:0"), tt.handler, web.WithWriteTimeout(timeout))
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = s.Close() }()
				protocols := new(http.Protocols)
				protocols.SetHTTP1(version == 1)
				protocols.SetUnencryptedHTTP2(version == 2)
				client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
				defer client.CloseIdleConnections()
				for range 2 {
					req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+s.Address().String(), http.NoBody)
					if err != nil {
						t.Fatal(err)
					}
					resp, err := client.Do(req)
					if err != nil {
						t.Fatal(err)
					}
					body, err := io.ReadAll(resp.Body)
					_ = resp.Body.Close()
					if err != nil || string(body) != tt.body {
						t.Errorf("got %q and %v, want %q", body, err, tt.body)
					}
				}
			})
		}
	}
}

package peer_test

import (
	"io"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/crocusline/crocusline/modules/peer"
)

// The connection of a response stream that is still being read must not be closed by
// the sweeps of unused connections.
func TestSweepKeepsOpenStreams(t *testing.T) {
	_, dir := newAuthority(t)
	id := newIdentity(t, dir)
	const chunks = 20
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for range chunks {
			_, _ = io.WriteString(w, "x")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(10 * time.Millisecond)
		}
	})
	server, err := peer.NewServer(netip.MustParseAddrPort("127.0.0.1:0"), id, handler)
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	client := peer.NewClient(id, peer.WithSweepInterval(5*time.Millisecond))
	defer client.Close()
	if got := read(t, client, server); len(got) != chunks {
		t.Fatalf("got %d of %d chunks", len(got), chunks)
	}
}

func TestSweepClosesUnusedConnections(t *testing.T) {
	_, dir := newAuthority(t)
	id := newIdentity(t, dir)
	server := serve(t, id)
	client := peer.NewClient(id, peer.WithSweepInterval(time.Millisecond))
	defer client.Close()
	for range 3 {
		if got := read(t, client, server); got != "hello" {
			t.Fatalf("got %q", got)
		}
		for client.Connections() > 0 {
			time.Sleep(time.Millisecond)
		}
	}
}

func read(t *testing.T, client *peer.Client, server *peer.Server) string {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, peer.URL(server.Address()), nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := client.HTTP().Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}

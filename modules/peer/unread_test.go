package peer_test

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/crocusline/crocusline/modules/peer"
)

// TestUnreadResponses guards against responses that nobody reads, as their callers don't, which take memory, or stop other
// responses of the same peer.
func TestUnreadResponses(t *testing.T) {
	const (
		responses = 100
		// maxUnread is what a process holds of a response that is not read.
		maxUnread = 64 << 10
	)
	var sent atomic.Int64
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/endless" {
			_, _ = io.WriteString(w, "hello")
			return
		}
		for part := make([]byte, 1000); r.Context().Err() == nil; {
			n, err := w.Write(part)
			if err != nil {
				return
			}
			sent.Add(int64(n))
		}
	})
	_, dir := newAuthority(t)
	id := newIdentity(t, dir)
	server, err := peer.NewServer(netip.MustParseAddrPort("127.0.0.1:0"), id, handler)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	client := peer.NewClient(id)
	defer func() { _ = client.Close() }()
	fetch := func(ctx context.Context, path string) (*http.Response, error) {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, peer.URL(server.Address())+path, http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		return client.HTTP().Do(req)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	for range responses {
		resp, err := fetch(ctx, "/endless")
		if err != nil {
			t.Fatalf("after %d bytes that are not read: %v", sent.Load(), err)
		}
		defer func() { _ = resp.Body.Close() }()
	}
	// The server sends as long as it may.
	for before := int64(-1); before != sent.Load(); time.Sleep(200 * time.Millisecond) {
		before = sent.Load()
	}
	if got := sent.Load(); got > responses*maxUnread {
		t.Errorf("%d bytes of %d responses are held", got, responses)
	}
	resp, err := fetch(ctx, "/hello")
	if err != nil {
		t.Fatalf("another response of the same peer: %v", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if text, err := io.ReadAll(resp.Body); err != nil || string(text) != "hello" {
		t.Errorf("got %q and %v", text, err)
	}
}

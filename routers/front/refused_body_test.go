package front_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"

	"github.com/crocusline/crocusline/routers/front"
	"github.com/crocusline/crocusline/services/memory"
	"github.com/crocusline/crocusline/services/strain"
)

// TestTooLargeBodyFillsLink guards against a body that is refused unread by its stated length, and counts as one that the
// link carries: a single request would have the gateway refuse all bodies until the link could have carried that length,
// and be unready meanwhile.
func TestTooLargeBodyFillsLink(t *testing.T) {
	st := strain.New(hclog.NewNullLogger(), strain.WithBandwidth(1.25e6))
	h, server := serve(t, &fakeRelay{response: "answer"}, front.WithStrain(st))
	if resp := exchangeRaw(t, server, "Content-Length: 4000000000\r\n\r\nbo"); resp.status != http.StatusRequestEntityTooLarge || !resp.close {
		t.Errorf("got status %d, closed %t", resp.status, resp.close)
	}
	if !front.NewReadiness(h).Ready() {
		t.Error("not ready")
	}
	if resp, err := post(t, server, strings.Repeat("x", 9_000)); err != nil || resp.status != http.StatusOK {
		t.Errorf("next body: got status %d and %v", resp.status, err)
	}
}

// TestBodyWithoutMemoryFillsLink guards against a body that is refused unread for lack of memory, and counts as one that
// the link carries: others would be refused although nothing was read.
func TestBodyWithoutMemoryFillsLink(t *testing.T) {
	st := strain.New(hclog.NewNullLogger(), strain.WithBandwidth(1.25e6))
	_, server := serve(t, &fakeRelay{response: "answer"}, front.WithStrain(st), front.WithMemory(memory.New(2<<20)))
	if resp := exchangeRaw(t, server, "Content-Length: 4000000\r\n\r\nbo"); resp.status != http.StatusServiceUnavailable || !resp.close {
		t.Errorf("got status %d, closed %t", resp.status, resp.close)
	}
	if resp, err := post(t, server, strings.Repeat("x", 9_000)); err != nil || resp.status != http.StatusOK {
		t.Errorf("next body: got status %d and %v", resp.status, err)
	}
}

// TestReservationOfRefusedRequest guards against a request that is refused before its body and keeps its memory.
func TestReservationOfRefusedRequest(t *testing.T) {
	st := strain.New(hclog.NewNullLogger(), strain.WithBandwidth(10_000))
	m := memory.New(64 << 20)
	_, server := serve(t, &fakeRelay{response: "answer"}, front.WithStrain(st), front.WithMemory(m))
	if resp, err := post(t, server, strings.Repeat("x", 9_000)); err != nil || resp.status != http.StatusOK {
		t.Errorf("first body: got status %d and %v", resp.status, err)
	}
	if resp := exchangeRaw(t, server, "Content-Length: 9000\r\n\r\nbo"); resp.status != http.StatusServiceUnavailable {
		t.Errorf("second body: got status %d", resp.status)
	}
	// Waits for the handlers.
	server.Close()
	if held := m.Held(); held != 0 {
		t.Errorf("%d bytes are held", held)
	}
}

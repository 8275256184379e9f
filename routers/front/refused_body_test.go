package front_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"

	"github.com/crocusline/crocusline/routers/front"
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

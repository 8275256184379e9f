package front_test

import (
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/crocusline/crocusline/modules/exchange"
	"github.com/crocusline/crocusline/routers/front"
	"github.com/crocusline/crocusline/services/strain"
)

// TestCutOffGatewayTakesNoRequests guards against a gateway that accepts requests while it reaches no server, and against
// one that accepts none after that. It closes connections after two failed polls, so that callers go to another one.
func TestCutOffGatewayTakesNoRequests(t *testing.T) {
	st := strain.New(hclog.NewNullLogger(), strain.WithBandwidth(1.25e6))
	fake := &fakeRelay{response: "answer"}
	h, server := serve(t, fake, front.WithStrain(st))
	readiness := front.NewReadiness(h)
	address := func(n byte) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 80)
	}
	if !readiness.Ready() {
		t.Error("not ready before the first request")
	}
	blamed := 0
	// The attempts have had the usual time.
	began := time.Now().Add(-exchange.DefaultDialTimeout)
	for n := range byte(5) {
		if st.RecordTimeout(address(n), began) {
			blamed++
		}
	}
	if blamed != 1 || readiness.Ready() {
		t.Errorf("%d of 5 failures count against servers, ready %t", blamed, readiness.Ready())
	}
	if readiness.Ready() {
		t.Error("ready at the second poll")
	}
	body := strings.Repeat("x", 9_000)
	if resp, err := post(t, server, body); err != nil || resp.status != http.StatusOK || !resp.close {
		t.Errorf("first request: got status %d, closed %t, and %v, want it to find out", resp.status, resp.close, err)
	}
	fake.got = nil
	resp, err := post(t, server, body)
	if err != nil || resp.status != http.StatusServiceUnavailable || resp.header.Get("Retry-After") == "" || !resp.close || fake.got != nil {
		t.Errorf("second request: got status %d with %v, closed %t, relayed %t, and %v", resp.status, resp.header, resp.close, fake.got != nil, err)
	}
	st.RecordReached(address(0))
	if resp, err := post(t, server, body); err != nil || resp.status != http.StatusOK || resp.close || !readiness.Ready() {
		t.Errorf("after a success: got status %d, closed %t, and %v, ready %t", resp.status, resp.close, err, readiness.Ready())
	}
}

package faults_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/crocusline/crocusline/standin/site"
)

// evacuationBound is the bound on how soon an evacuation must be in force. It is shorter than the rest of the stop in
// which the test evacuates a failure domain.
const evacuationBound = 2 * time.Second

// requestCount returns how many requests with ids of the prefix the servers got.
func requestCount(prefix string, servers ...*site.Server) int {
	n := 0
	for _, s := range servers {
		for _, r := range s.Requests() {
			if strings.HasPrefix(r.ID, prefix) {
				n++
			}
		}
	}
	return n
}

// TestDomainEvacuatedWhileStopped guards against a gateway that stood still and sends requests to a failure domain which
// was evacuated meanwhile, longer ago than the operators' bound, that forgets this when it is killed, and that doesn't
// use the servers again. Only the bound of evacuations is set, so that no other one makes requests wait.
func TestDomainEvacuatedWhileStopped(t *testing.T) {
	f := newFleet(t, buildBinary(t), 1, serverCount)
	g := f.gateways[0]
	f.kill(g)
	setParameters(t, g, map[string]any{"evacuate_ms": evacuationBound.Milliseconds()})
	// All servers but the first are in the gateway's failure domain z, and are preferred.
	f.store.Put("keyed.servers", f.servers[0].ID, fmt.Appendf(nil,
		`{"service":"s","address":%q,"zone":"y","version":%q,"max_concurrency":64,"state":"ready","warmup_left_ms":0,"sequence":%d,"born":%d}`,
		f.serverProxies[0].address().String(), defaultVersion, f.serverSequence.Add(1), startTime(0)))
	f.startAll("with the bound of evacuations")
	g.storeProxy.setMode(delay)
	conns := dialAll(t, g, stoppedRequests)
	time.Sleep(settleTime)
	evacuate := func(domain string, value []byte) func() {
		return func() { f.store.Put("keyed.op", "evacuate/"+domain, value) }
	}
	statuses := sendWhileStopped(t, g, conns, "stopped", unlimitedKey, evacuate("z", []byte("{}")))
	if late := requestCount("stopped", f.servers[1:]...); late > 0 || statuses[http.StatusOK] == 0 {
		t.Errorf("%d requests were sent to a failure domain evacuated %s before, the bound is %s; responses by status: %v", late, 2*stopTime/3, evacuationBound, statuses)
	}
	f.kill(g)
	f.startAll("while a failure domain is evacuated")
	conns = dialAll(t, g, stoppedRequests)
	statuses = sendWhileStopped(t, g, conns, "started", unlimitedKey, evacuate("y", []byte("{}")))
	if sent := requestCount("started", f.servers...); sent > 0 || statuses[http.StatusServiceUnavailable] != stoppedRequests {
		t.Errorf("%d requests were sent while all servers are evacuated; responses by status: %v", sent, statuses)
	}
	evacuate("z", nil)()
	time.Sleep(evacuationBound)
	conns = dialAll(t, g, stoppedRequests)
	statuses = sendWhileStopped(t, g, conns, "withdrawn", unlimitedKey, func() {})
	if requestCount("withdrawn", f.servers[1:]...) == 0 {
		t.Errorf("no requests were sent to the failure domain after the withdrawal; responses by status: %v", statuses)
	}
}

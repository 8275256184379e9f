package faults_test

import (
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/crocusline/crocusline/modules/exchange"
	"github.com/crocusline/crocusline/standin/site"
)

const (
	// maxEndlessBytes is what all sends of one request may read of endless responses, with
	// what the sockets hold.
	maxEndlessBytes = 64 << 20
	// maxMemoryGrowth is by how much the memory of a gateway may grow meanwhile, and
	// maxEndlessTime the longest time until the caller gets a response.
	maxMemoryGrowth = 24 << 20
	maxEndlessTime  = 2500 * time.Millisecond
	// settleTime is longer than a change of the servers takes to reach a gateway.
	settleTime = 500 * time.Millisecond
)

// TestEndlessResponses checks that a gateway gives up responses without end: the caller gets
// a status that leaves open whether the request ran, the memory of the process stays flat,
// and other requests are served meanwhile.
func TestEndlessResponses(t *testing.T) {
	f := newFleet(t, buildBinary(t), 1, 1)
	requireService(t, f, "before the endless responses")
	g := f.gateways[0]
	client := exchange.New()
	defer func() { _ = client.Close() }()
	for _, r := range site.EndlessResponses() {
		t.Run(r.Name, func(t *testing.T) {
			s, err := site.NewEndlessServer(r)
			if err != nil {
				t.Fatal(err)
			}
			before := g.memory(t)
			f.putServer(endlessServerID, s.Address(), "ready")
			f.setServerState(0, "")
			time.Sleep(settleTime)
			for i, kind := range []string{"once", "lookup", "plan"} {
				start := time.Now()
				o := send(client, g, fmt.Sprintf("endless-%s-%d", r.Name, i), kind)
				if took := time.Since(start); took > maxEndlessTime {
					t.Errorf("%s: got status %d after %s", kind, o.status, took)
				}
				if o.status == http.StatusOK || o.guaranteesNotRun() {
					t.Errorf("%s: got status %d, want one that leaves open whether the request ran", kind, o.status)
				}
			}
			f.setServerState(0, "ready")
			f.putServer(endlessServerID, netip.AddrPort{}, "")
			requireService(t, f, "after "+r.Name)
			if err := s.Close(); err != nil {
				t.Error(err)
			}
			if sent := s.Sent(); sent == 0 || sent > maxEndlessBytes {
				t.Errorf("%d bytes were read, want some and at most %d", sent, maxEndlessBytes)
			}
			if grown := g.memory(t) - before; grown > maxMemoryGrowth {
				t.Errorf("memory grew by %d bytes", grown)
			}
		})
	}
}

// endlessServerID is the identifier of the server that sends endless responses.
const endlessServerID = "endless"

// memory returns the largest resident size of the gateway's process so far in bytes.
func (g *gateway) memory(t *testing.T) int64 {
	t.Helper()
	g.mu.Lock()
	defer g.mu.Unlock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmHWM:" {
			kB, err := strconv.ParseInt(fields[1], 10, 64)
			if err != nil {
				t.Fatal(err)
			}
			return kB << 10
		}
	}
	t.Fatal("the process has no resident size")
	return 0
}

package faults_test

import (
	"context"
	"math/rand/v2"
	"syscall"
	"testing"
	"time"

	"github.com/crocusline/crocusline/standin/site"
)

// refusingBehaviours end many requests with a refusal, true or not, or without a response.
var refusingBehaviours = []site.Behaviour{
	site.Shed, site.Serve, site.Shed, site.FailAsRefused, site.Serve, site.Misdirect, site.Reset, site.Serve, site.FailAsRefused, site.Serve,
}

// stalledPrepaidTokens is a prepaid budget that no request exceeds, and stalledClientCount the number of clients, most of which
// wait for a stalled gateway.
const (
	stalledPrepaidTokens = 10_000_000
	stalledClientCount   = 32
)

// TestRefusalsOfStalledGateways guards against requests that ran and whose callers were told that they had not, when gateways
// stand still for up to 1.2 s at random moments while servers refuse or break off many requests.
func TestRefusalsOfStalledGateways(t *testing.T) {
	f := newFleetOfVersions(t, buildBinary(t), 2, make([]string, serverCount), stalledPrepaidTokens)
	requireService(t, f, "before the faults")
	c := &loadGenerator{fleet: f}
	ctx, cancel := context.WithCancel(t.Context())
	c.start(ctx, stalledClientCount, *firstSeed)
	r := rand.New(rand.NewPCG(*firstSeed, 0))
	for end := time.Now().Add(*faultDuration); time.Now().Before(end); {
		for _, s := range f.servers {
			first := r.IntN(len(refusingBehaviours))
			s.Behave(append(append([]site.Behaviour{}, refusingBehaviours[first:]...), refusingBehaviours...)...)
		}
		g := f.gateways[r.IntN(len(f.gateways))]
		g.signal(syscall.SIGSTOP)
		if r.IntN(2) == 0 {
			// Connections to a server break while the process stands still.
			f.serverProxies[r.IntN(serverCount)].resetOpen()
		}
		time.Sleep(time.Duration(r.Int64N(int64(1200 * time.Millisecond))))
		g.signal(syscall.SIGCONT)
	}
	cancel()
	c.workers.Wait()
	for _, problem := range c.violations() {
		t.Error(problem)
	}
	refused := 0
	for _, o := range c.outcomes {
		if o.guaranteesNotRun() {
			refused++
		}
	}
	if refused == 0 {
		t.Error("no request was refused")
	}
	t.Logf("%d requests, %d refused", len(c.outcomes), refused)
}

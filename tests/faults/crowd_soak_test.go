package faults_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/crocusline/crocusline/standin/crowd"
)

const (
	// raisedMemory is the limit that a changed setting gives a gateway for a while.
	raisedMemory = lowMemory * 5 / 4
	// crowdShare is the share of a crowd's callers that come at once in a soak, in which crowds overlap.
	crowdShare = 3
	// maxCrowds is the number of crowds that overlap at most, for each gateway.
	maxCrowds = 2
	// maxCrowdPause is the longest time between two events of a soak.
	maxCrowdPause = 600 * time.Millisecond
)

// soakCrowds returns the crowds of a soak: those of TestGatewayCrowds and TestHeldRequests, and pipelined requests.
func soakCrowds() []gatewayCrowd {
	crowds := append([]gatewayCrowd(nil), gatewayCrowds...)
	for _, h := range heldRequests {
		crowds = append(crowds, gatewayCrowd{crowd.Crowd{Name: h.name, Callers: h.callers, Write: func(w io.Writer, caller int, complete bool) error {
			return h.write(w, requestHead(caller), complete)
		}}, callers})
	}
	return append(crowds, gatewayCrowd{crowd.Crowd{Name: "headers of many fields after a request", Callers: fieldCallers, Write: func(w io.Writer, caller int, _ bool) error {
		first := strings.Replace(requestHead(caller), "POST", "GET", 1) + "\r\n\r\n"
		_, err := io.WriteString(w, first+requestHead(caller, crowd.ShortFields(heldHeaderBytes)))
		return err
	}}, callers})
}

// TestCrowdSeeds runs gateways under load while crowds, hang-up signals with other memory limits, restarts and outages of
// the store come in series and overlap, by seeds. It guards against gateways that take more memory than their settings
// allow, that violate a promise to ordinary callers, or that don't serve them afterwards.
func TestCrowdSeeds(t *testing.T) {
	binary := buildBinary(t)
	for i := range uint64(*seedCount) {
		t.Run(fmt.Sprintf("seed-%d", *firstSeed+i), func(t *testing.T) { runCrowdSeed(t, binary, *firstSeed+i) })
	}
}

func runCrowdSeed(t *testing.T, binary string, seed uint64) {
	f := newFleetOfVersions(t, binary, 0, make([]string, serverCount), floodBudget)
	f.memory = lowMemory
	f.addGateways(*gatewayCount, func(int) float64 { return 0.8 })
	requireService(t, f, "before the crowds")
	ordinary := &loadGenerator{fleet: f}
	ctx, cancel := context.WithCancel(t.Context())
	ordinary.start(ctx, clientCount, seed)
	watch := watchMemory(ctx, f)
	r := rand.New(rand.NewPCG(seed, 0))
	places := make(chan struct{}, maxCrowds*len(f.gateways))
	var crowds sync.WaitGroup
	var names []string
	for end := time.Now().Add(*faultDuration); time.Now().Before(end); {
		g := f.gateways[r.IntN(len(f.gateways))]
		all := soakCrowds()
		switch c := all[r.IntN(len(all))]; r.IntN(6) {
		case 0:
			go f.restart(g, syscall.SIGTERM)
		case 1:
			f.restart(g, syscall.SIGKILL)
		case 2:
			f.setMemory(g, []int64{lowMemory, raisedMemory}[r.IntN(2)])
		case 3:
			g.storeProxy.setMode([]proxyMode{forward, proxyMode(r.IntN(int(modeCount)))}[r.IntN(2)])
		default:
			c.Callers /= crowdShare
			names = append(names, c.Name)
			crowds.Go(func() {
				places <- struct{}{}
				c.Run(c.listener(g))
				<-places
			})
		}
		time.Sleep(time.Duration(r.Int64N(int64(maxCrowdPause))))
	}
	crowds.Wait()
	clearFaults(f)
	cancel()
	ordinary.workers.Wait()
	peak := watch.stop()
	t.Logf("%d MB resident at most, %d ordinary requests, crowds: %s", peak>>20, len(ordinary.outcomes), strings.Join(names, ", "))
	if peak > raisedMemory {
		t.Errorf("a gateway took %d MB of memory, its settings allow %d MB at most", peak>>20, raisedMemory>>20)
	}
	requireService(t, f, "after the crowds")
	for _, problem := range ordinary.violations() {
		t.Error(problem)
	}
}

// setMemory changes the memory limit in the gateway's settings and tells the process.
func (f *fleet) setMemory(g *gateway, limit int64) {
	f.Helper()
	settings, err := os.ReadFile(g.settingsFile)
	if err != nil {
		f.Fatal(err)
	}
	for _, other := range []int64{lowMemory, raisedMemory} {
		settings = bytes.Replace(settings, fmt.Appendf(nil, `"memory_mb":%d`, other>>20), fmt.Appendf(nil, `"memory_mb":%d`, limit>>20), 1)
	}
	if err := os.WriteFile(g.settingsFile, settings, 0o600); err != nil {
		f.Fatal(err)
	}
	if !g.isStarting() {
		g.signal(syscall.SIGHUP)
	}
}

// memoryWatch samples the resident size of the gateways' processes.
type memoryWatch struct {
	ended   chan struct{}
	running sync.WaitGroup
	peak    int64
}

func watchMemory(ctx context.Context, f *fleet) *memoryWatch {
	w := &memoryWatch{ended: make(chan struct{})}
	w.running.Go(func() {
		for ctx.Err() == nil {
			for _, g := range f.gateways {
				// A process that has just ended has no size.
				if peak, err := g.process().PeakBytes(); err == nil {
					w.peak = max(w.peak, peak)
				}
			}
			select {
			case <-w.ended:
				return
			case <-time.After(sampleInterval):
			}
		}
	})
	return w
}

// stop returns the largest resident size of a process.
func (w *memoryWatch) stop() int64 {
	close(w.ended)
	w.running.Wait()
	return w.peak
}

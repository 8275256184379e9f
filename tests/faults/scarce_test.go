package faults_test

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/crocusline/crocusline/modules/exchange"
	"github.com/crocusline/crocusline/standin/site"
	"github.com/crocusline/crocusline/tests/knownred"
)

var (
	gatewayBinary  = flag.String("binary", "", "gateway binary to run; default: build it")
	modelServers   = flag.Int("servers", 18, "number of model servers; a sixth as many plain servers are added")
	shareFactor    = flag.Float64("shares", 1, "factor on the processor shares, below 1 for gateways as busy as under a larger load")
	gatewayClients = flag.Int("clients", 24, "number of clients for each gateway of a small fleet, and a quarter as many of a large one")
	excludedFaults = flag.String("without", "", "faults not to inject, separated by commas")
)

const (
	// minScarceGateways is the least number of gateways.
	minScarceGateways = 4
	// minScarceDuration is the least duration of the faults, in which nearly all are injected.
	minScarceDuration = 10 * time.Second
	// shownBreaks is the number of breaks of a rule that are printed.
	shownBreaks = 10
	// scarceInterval is the longest time between two faults of a fleet of minScarceGateways.
	scarceInterval = 500 * time.Millisecond
	// lateTime is how long a request may be on its way to a server after all clients have ended.
	lateTime = 2 * time.Second
)

// TestScarceProcessor runs gateways that have a small share of a processor under overlapping faults,
// and checks what ran against what the callers were told.
func TestScarceProcessor(t *testing.T) {
	binary := *gatewayBinary
	if binary == "" {
		binary = buildBinary(t)
	}
	for i := range uint64(*seedCount) {
		t.Run(fmt.Sprintf("seed-%d", *firstSeed+i), func(t *testing.T) { runScarce(t, binary, *firstSeed+i) })
	}
}

func runScarce(t *testing.T, binary string, seed uint64) {
	f := newScarceFleet(t, binary, max(minScarceGateways, *gatewayCount), *modelServers)
	f.requireAnswers()
	f.throttle(seed)
	c := &scarceClients{fleet: f, attempts: map[string]*attempt{}}
	ctx, cancel := context.WithCancel(t.Context())
	c.start(ctx, clientCountOf(len(f.gateways)), seed)
	f.injectFaults(rand.New(rand.NewPCG(seed, 1<<32)))
	cancel()
	c.workers.Wait()
	f.store.SetFault(site.NoFault)
	time.Sleep(lateTime)
	result := c.check()
	t.Log("seed", seed, "-", result.summary())
	var problems []string
	for _, rule := range rules {
		found := slices.Sorted(maps.Values(result.found[rule]))
		for _, text := range found[:min(shownBreaks, len(found))] {
			problems = append(problems, rule+" "+text)
		}
	}
	if len(problems) > 0 {
		f.saveLogs()
	}
	knownred.Report(t, strings.Join(problems, "\n"))
}

// injectFaults injects faults for the duration, the more the larger the fleet is.
func (f *scarceFleet) injectFaults(r *rand.Rand) {
	excluded := strings.Split(*excludedFaults, ",")
	var faults []scarceFault
	for _, fault := range scarceFaults {
		for range fault.weight {
			if !slices.Contains(excluded, fault.name) {
				faults = append(faults, fault)
			}
		}
	}
	r.Shuffle(len(faults), func(i, j int) { faults[i], faults[j] = faults[j], faults[i] })
	interval := scarceInterval * minScarceGateways / time.Duration(len(f.gateways))
	end := time.Now().Add(max(minScarceDuration, *faultDuration))
	for n := 0; time.Now().Before(end); n++ {
		fault := faults[n%len(faults)]
		if fault.fleetWide && r.IntN(len(f.gateways)) >= minScarceGateways {
			continue
		}
		f.Logf("%.3f %s", time.Since(f.began).Seconds(), fault.name)
		fault.inject(f, r)
		time.Sleep(time.Duration(r.Int64N(int64(interval))))
	}
}

// requireAnswers waits until each gateway answers.
func (f *scarceFleet) requireAnswers() {
	client := exchange.New()
	defer func() { _ = client.Close() }()
	end := time.Now().Add(2 * recoveryTimeout)
	for _, g := range f.gateways {
		for n := 0; ; n++ {
			if o := send(client, g, fmt.Sprintf("probe-%s-%d", g.name, n), "lookup"); o.status == 200 {
				break
			} else if time.Now().After(end) {
				f.Fatalf("%s does not serve: status %d, body %q", g.name, o.status, o.body)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// saveLogs saves the logs of the gateways so far.
func (f *scarceFleet) saveLogs() {
	for _, g := range f.gateways {
		text, err := os.ReadFile(g.logFile.Name())
		if err != nil {
			f.Error(err)
		}
		saveLog(f.T, g.name, text)
	}
}

// clientCountOf returns the number of clients of a fleet.
func clientCountOf(gateways int) int {
	small := min(gateways, 2*minScarceGateways)
	return *gatewayClients*small + *gatewayClients*(gateways-small)/4
}

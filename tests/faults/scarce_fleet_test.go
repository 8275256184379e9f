package faults_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/crocusline/crocusline/standin/site"
)

const (
	// quotaPeriod is the time in which a process runs for its share.
	quotaPeriod = 100 * time.Millisecond
	// minShare and maxShare bound the processor shares of the settings.
	minShare, maxShare = 0.144, 0.8
	// inTouchTime is for how long a gateway must have run undisturbed to be in touch.
	inTouchTime = 3 * time.Second
	// plainPool is the pool of servers that serve no streams, one for plainEvery servers.
	plainPool  = "p"
	plainEvery = 6
	// scarceTimeout is the time that requests have.
	scarceTimeout = 8 * time.Second
	// heartbeatDelay is the longest time after which a server that started writes its entry.
	heartbeatDelay = 1200 * time.Millisecond
	// expiryTime is the time after which the entry of a server that doesn't write is removed.
	expiryTime = 3 * heartbeatDelay
)

// span is a time in which a gateway or the store was disturbed.
type span struct {
	from, to time.Time
	cause    string
}

// scarceFleet is a fleet whose gateways have little processor time.
type scarceFleet struct {
	*fleet
	servers []*scarceServer
	began   time.Time

	mu sync.Mutex
	// spans are the disturbances by gateway, and under "store" those of the store.
	spans map[string][]span
	// heldUntil is until when a gateway stands still.
	heldUntil map[string]time.Time
	// writableAt is when servers reach the store again, and sequence the number of their last record.
	writableAt time.Time
	sequence   int
	// storeBackAt is when the last fault of the store ends.
	storeBackAt time.Time
	background  sync.WaitGroup
	stopped     chan struct{}
}

func newScarceFleet(t *testing.T, binary string, gateways, servers int) *scarceFleet {
	t.Helper()
	t.Setenv("GOMAXPROCS", "1")
	f := &scarceFleet{
		fleet: newFleetOfVersions(t, binary, 0, nil, 0), began: time.Now(),
		spans: map[string][]span{}, heldUntil: map[string]time.Time{}, stopped: make(chan struct{}),
	}
	paces := []time.Duration{20 * time.Millisecond, 60 * time.Millisecond, 150 * time.Millisecond, 250 * time.Millisecond}
	for i := range servers + servers/plainEvery {
		pool := "s"
		if i >= servers {
			pool = plainPool
		}
		s := newScarceServer(t, pool, fmt.Sprintf("%s%d", pool, i), soakVersions[i%2], paces[i%len(paces)])
		f.servers = append(f.servers, s)
		f.register(s)
	}
	f.publishRoutes()
	f.addGateways(gateways, func(int) float64 { return minShare + rand.Float64()*(maxShare-minShare) })
	t.Cleanup(func() {
		close(f.stopped)
		f.background.Wait()
	})
	return f
}

// publishRoutes writes the routing configuration.
func (f *scarceFleet) publishRoutes() {
	f.configVersion++
	route := func(prefix, kind, pool string, resumable bool) map[string]any {
		return map[string]any{
			"name": prefix, "host": host, "path_prefix": "/" + prefix + "/", "type": kind, "timeout_ms": scarceTimeout.Milliseconds(), "goal_ms": 500,
			"max_attempts": 2, "service": pool, "resumable": resumable, "gap_goal_ms": 500,
		}
	}
	data, err := json.Marshal(map[string]any{
		"version": f.configVersion,
		"routes": []any{
			route("once", "non_idempotent", "s", false), route("lookup", "idempotent", "s", false), route("draft", "streaming", "s", true),
			route("plan", "streaming", "s", false), route(plainPool+"/once", "non_idempotent", plainPool, false), route(plainPool+"/lookup", "idempotent", plainPool, false),
		},
		"services": []any{
			map[string]any{"name": "s", "max_conns": 400, "engine": map[string]any{"max_concurrency": scarceConcurrency, "kv_tokens": 100_000, "stride": tokensPerEvent}},
			map[string]any{"name": plainPool, "max_conns": 400},
		},
		"tenants": []any{map[string]any{"name": "clinics", "api_keys": []string{apiKey}}, map[string]any{"name": "mills", "api_keys": []string{unlimitedKey}}},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.store.Put("keyed.op", "config", data)
}

// register writes the entry of a server.
func (f *scarceFleet) register(s *scarceServer) {
	f.mu.Lock()
	f.sequence++
	sequence := f.sequence
	f.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = append(s.history, event{time.Now(), fmt.Sprintf("%s.%d (%s) listed as %q", s.id, s.start, s.version, s.state)})
	if s.state == "" {
		f.store.Put("keyed.servers", s.id, nil)
		return
	}
	f.store.Put("keyed.servers", s.id, fmt.Appendf(nil,
		`{"service":%q,"address":%q,"zone":"z","version":%q,"max_concurrency":%d,"state":%q,"warmup_left_ms":0,"sequence":%d,"born":%d}`,
		s.pool, s.listener.Addr().(*net.TCPAddr).AddrPort().String(), s.version, scarceConcurrency, s.state, sequence, startTime(s.start)))
}

// registerLater writes the entry after the time, once servers reach the store.
func (f *scarceFleet) registerLater(s *scarceServer, after time.Duration) {
	f.background.Go(func() {
		for {
			select {
			case <-f.stopped:
				return
			case <-time.After(after):
			}
			f.mu.Lock()
			after = time.Until(f.writableAt)
			f.mu.Unlock()
			if after <= 0 {
				f.register(s)
				return
			}
		}
	})
}

// disturb notes a disturbance of the time, and disturbSince one that began earlier and ends now.
func (f *scarceFleet) disturb(name, cause string, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.spans[name] = append(f.spans[name], span{now, now.Add(d), cause})
}

func (f *scarceFleet) disturbSince(name, cause string, from time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.spans[name] = append(f.spans[name], span{from, time.Now(), cause})
}

// disturbed returns a disturbance of the gateway or store between the times, or "".
func (f *scarceFleet) disturbed(name string, from, to time.Time) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.spans[name] {
		if s.from.Before(to) && s.to.After(from) {
			return fmt.Sprintf("%s %s from %.3f to %.3f", name, s.cause, s.from.Sub(f.began).Seconds(), s.to.Sub(f.began).Seconds())
		}
	}
	return ""
}

// throttle lets each gateway run for its share of each period, with the phases spread.
func (f *scarceFleet) throttle(seed uint64) {
	for i, g := range f.gateways {
		r := rand.New(rand.NewPCG(seed, uint64(i)))
		share := (minShare + r.Float64()*(maxShare-minShare)) * *shareFactor
		phase := quotaPeriod * time.Duration(i) / time.Duration(len(f.gateways))
		f.background.Go(func() {
			for n := 0; ; n++ {
				period := f.began.Add(phase + time.Duration(n)*quotaPeriod)
				if time.Since(period) > quotaPeriod {
					continue
				}
				time.Sleep(time.Until(period))
				select {
				case <-f.stopped:
					g.signal(syscall.SIGCONT)
					return
				default:
				}
				if f.held(g) {
					continue
				}
				g.signal(syscall.SIGCONT)
				time.Sleep(time.Until(period.Add(time.Duration(share * float64(quotaPeriod)))))
				g.signal(syscall.SIGSTOP)
			}
		})
	}
}

func (f *scarceFleet) held(g *gateway) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Now().Before(f.heldUntil[g.name])
}

// maxDrainHold limits how long a gateway stands still that is being replaced, so that it can exit within exitTimeout.
const maxDrainHold = 500 * time.Millisecond

// hold makes a gateway stand still.
func (f *scarceFleet) hold(g *gateway, d time.Duration) {
	if g.restartMu.TryLock() {
		g.restartMu.Unlock()
	} else {
		d = min(d, maxDrainHold)
	}
	f.disturb(g.name, "stopped", d)
	f.mu.Lock()
	f.heldUntil[g.name] = latest(f.heldUntil[g.name], time.Now().Add(d))
	f.mu.Unlock()
	g.signal(syscall.SIGSTOP)
}

// restartGateway ends a gateway with the signal and starts it again.
func (f *scarceFleet) restartGateway(g *gateway, s syscall.Signal) {
	from := time.Now()
	f.background.Go(func() {
		f.restart(g, s)
		f.disturbSince(g.name, s.String(), from)
	})
}

// scarceFault injects one fault. Its name can be excluded.
type scarceFault struct {
	name   string
	weight int
	// fleetWide faults are as frequent in a large fleet as in a small one.
	fleetWide bool
	inject    func(f *scarceFleet, r *rand.Rand)
}

// faultyGateway returns a gateway of the half that faults concern. The others stay in touch.
func (f *scarceFleet) faultyGateway(r *rand.Rand) *gateway {
	return f.gateways[r.IntN(len(f.gateways)/2)]
}

func (f *scarceFleet) anyGateway(r *rand.Rand) *gateway { return f.gateways[r.IntN(len(f.gateways))] }

func (f *scarceFleet) anyServer(r *rand.Rand) *scarceServer { return f.servers[r.IntN(len(f.servers))] }

// between returns a random time between the bounds in ms.
func between(r *rand.Rand, low, high int) time.Duration {
	return time.Duration(low+r.IntN(high-low)) * time.Millisecond
}

// cutServers keeps servers from writing their entries for a time.
func (f *scarceFleet) cutServers(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writableAt = latest(f.writableAt, time.Now().Add(d))
}

// failStore makes the store fail for a time, in which servers can't write their entries.
func (f *scarceFleet) failStore(fault site.Fault, d time.Duration) {
	f.disturb("store", fmt.Sprintf("fault %d", fault), d)
	f.cutServers(d)
	f.mu.Lock()
	f.storeBackAt = latest(f.storeBackAt, time.Now().Add(d))
	f.mu.Unlock()
	f.store.SetFault(fault)
	time.AfterFunc(d, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if !time.Now().Before(f.storeBackAt) {
			f.store.SetFault(site.NoFault)
		}
	})
}

// returnFromCopy returns the store to its last copy, after which all write their records again.
func (f *scarceFleet) returnFromCopy() {
	if f.copiedAt.IsZero() || time.Since(f.copiedAt) > maxCopyAge {
		f.copyStore()
		return
	}
	f.disturb("store", "returned from a copy", time.Second)
	f.store.Restore()
	f.publishRoutes()
	for _, s := range f.servers {
		f.registerLater(s, between(rand.New(rand.NewPCG(1, uint64(f.eras))), 0, 1000))
	}
	f.eras++
}

// release restarts servers one after the other as another version.
func (f *scarceFleet) release(r *rand.Rand) {
	version, first := soakVersions[r.IntN(len(soakVersions))], r.IntN(len(f.servers))
	count, entry, down := 1+r.IntN(len(f.servers)/4), between(r, 0, int(heartbeatDelay.Milliseconds())), between(r, 1, 300)
	f.background.Go(func() {
		for i := range count {
			s := f.servers[(first+i)%len(f.servers)]
			s.restart(version, down)
			f.registerLater(s, entry)
			time.Sleep(quotaPeriod)
		}
	})
}

// behaviourFault is the fault of some servers that behave so for a while.
func behaviourFault(name string, b scarceBehaviour) scarceFault {
	return scarceFault{name, 1, false, func(f *scarceFleet, r *rand.Rand) {
		for range 1 + r.IntN(3) {
			f.anyServer(r).behave(b, between(r, 500, 3000))
		}
	}}
}

var scarceFaults = []scarceFault{
	{"release", 2, true, func(f *scarceFleet, r *rand.Rand) { f.release(r) }},
	{"release-unlisted", 2, true, func(f *scarceFleet, r *rand.Rand) {
		f.failStore(site.Unavailable, between(r, 1000, 8000))
		f.release(r)
	}},
	{"release-cut", 3, true, func(f *scarceFleet, r *rand.Rand) {
		f.cutServers(between(r, 1000, int(expiryTime.Milliseconds())))
		f.release(r)
	}},
	{"silence", 4, false, func(f *scarceFleet, r *rand.Rand) { f.anyServer(r).silence(between(r, 200, 4000)) }},
	behaviourFault("shed", shedRequests), behaviourFault("fail", failSealed), behaviourFault("abort", abortResponses),
	behaviourFault("drop", dropRequests), behaviourFault("repeat", repeatRefusals), behaviourFault("repeat-unnamed", repeatUnnamed),

	{"early", 3, true, func(f *scarceFleet, r *rand.Rand) {
		for range len(f.servers) / 2 {
			s := f.anyServer(r)
			s.behave(answerEarly, between(r, 2000, 5000))
			pause, silence := between(r, 300, 1500), between(r, 200, 4000)
			time.AfterFunc(pause, func() { s.silence(silence) })
		}
	}},
	behaviourFault("repeat-events", repeatEvents),
	{"reset", 2, false, func(f *scarceFleet, r *rand.Rand) { f.anyServer(r).reset() }},
	{"leave", 1, false, func(f *scarceFleet, r *rand.Rand) {
		s := f.anyServer(r)
		s.mu.Lock()
		s.state = []string{"ready", "draining", ""}[r.IntN(3)]
		s.mu.Unlock()
		f.registerLater(s, 0)
		time.AfterFunc(2*time.Second, func() {
			s.mu.Lock()
			s.state = "ready"
			s.mu.Unlock()
			f.registerLater(s, 0)
		})
	}},
	{"store", 2, true, func(f *scarceFleet, r *rand.Rand) {
		f.failStore([]site.Fault{site.Unavailable, site.Unresponsive, site.DropResponses}[r.IntN(3)], between(r, 200, 4000))
	}},
	{"copy", 1, true, func(f *scarceFleet, _ *rand.Rand) { f.returnFromCopy() }},
	{"cut", 3, false, func(f *scarceFleet, r *rand.Rand) {
		g, d := f.faultyGateway(r), between(r, 200, 4000)
		f.disturb(g.name, "cut off from the store", d)
		g.storeProxy.setMode([]proxyMode{delay, reset, stall, stallReplies}[r.IntN(4)])
		time.AfterFunc(d, func() { g.storeProxy.setMode(forward) })
	}},
	{"stop", 4, false, func(f *scarceFleet, r *rand.Rand) { f.hold(f.faultyGateway(r), between(r, 200, 5000)) }},
	{"kill", 1, false, func(f *scarceFleet, r *rand.Rand) { f.restartGateway(f.faultyGateway(r), syscall.SIGKILL) }},
	{"term", 1, false, func(f *scarceFleet, r *rand.Rand) { f.restartGateway(f.faultyGateway(r), syscall.SIGTERM) }},
}

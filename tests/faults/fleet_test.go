package faults_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/crocusline/crocusline/standin/site"
)

const (
	// gracePeriodSeconds is the time between SIGTERM and SIGKILL.
	gracePeriodSeconds = 4
	// gatewayMemory is the memory of a gateway in bytes, by its settings.
	gatewayMemory = 134 << 20
	// startupTime is the time within which a process installs its signal handlers.
	startupTime = 200 * time.Millisecond
	// exitTimeout bounds the time from SIGTERM until a process exits.
	exitTimeout = (gracePeriodSeconds + 2) * time.Second
	// defaultVersion is the version in the entry of a server whose events name none.
	defaultVersion = "v1"
)

// gateway is a gateway process that reaches the store through its own proxy.
type gateway struct {
	name          string
	callerAddress netip.AddrPort
	readyAddress  netip.AddrPort
	peerAddress   netip.AddrPort
	settingsFile  string
	logFile       *os.File
	storeProxy    *proxy

	// restartMu is held while the process is replaced.
	restartMu sync.Mutex

	mu  sync.Mutex
	cmd *exec.Cmd
	// killed is whether the current process got SIGKILL from killAll.
	killed    bool
	startedAt time.Time
	exited    chan struct{}
}

// fleet holds the gateways, the store and the servers of one run.
type fleet struct {
	*testing.T
	binary        string
	store         *site.Store
	storeAddress  netip.AddrPort
	gateways      []*gateway
	servers       []*site.Server
	serverProxies []*proxy
	configVersion int
	prepaidTokens int64
	// addedKeys are the API keys that were added to those of the tenant without a budget.
	addedKeys []string
	// faultyPools are pools beside that of the servers.
	faultyPools []string
	// serverStates are the states last written, by server, and serverStarts how often each has
	// started. serverSequence is the number of the last record.
	serverStates []string
	// versions are those that the events of the servers may name.
	versions       []string
	serverStarts   []int
	serverSequence atomic.Int64
	// silent holds the servers that started again and have not written that, and when they do.
	silent map[int]time.Time
	// copiedAt is when the store was copied last, or the zero value.
	copiedAt time.Time
	// eras is how often the store returned from a copy.
	eras int
	// memory is the memory of the gateways that are added, by their settings.
	memory int64
}

// freeAddresses returns n distinct addresses without a listener. All are bound before the
// first is released, so that none is returned twice. They are on a loopback address of
// their own, so that no connection of another process gets one of the ports meanwhile.
func freeAddresses(t *testing.T, n int) []netip.AddrPort {
	t.Helper()
	own := netip.AddrFrom4([4]byte{127, byte(1 + rand.IntN(250)), byte(1 + rand.IntN(250)), byte(1 + rand.IntN(250))})
	addresses := make([]netip.AddrPort, n)
	for i := range addresses {
		l, err := net.Listen("tcp", netip.AddrPortFrom(own, 0).String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = l.Close() }()
		addresses[i] = l.Addr().(*net.TCPAddr).AddrPort()
	}
	return addresses
}

func parseAddress(url string) netip.AddrPort {
	return netip.MustParseAddrPort(strings.TrimPrefix(url, "http://"))
}

// newFleet starts a fleet and stops it at the end of the test.
func newFleet(t *testing.T, binary string, gateways, servers int) *fleet {
	t.Helper()
	return newFleetOfVersions(t, binary, gateways, make([]string, servers), soakPrepaidTokens)
}

// newFleetOfVersions starts a fleet with a server of each version. Without prepaid tokens, no budget
// limits the requests.
func newFleetOfVersions(t *testing.T, binary string, gateways int, versions []string, prepaidTokens int64) *fleet {
	t.Helper()
	servers := len(versions)
	f := &fleet{T: t, binary: binary, store: site.NewStore(), prepaidTokens: prepaidTokens, versions: versions, memory: gatewayMemory, serverStates: make([]string, servers), serverStarts: make([]int, servers)}
	web := httptest.NewServer(f.store)
	f.storeAddress = parseAddress(web.URL)
	t.Cleanup(func() {
		web.CloseClientConnections()
		web.Close()
	})
	for i, version := range versions {
		s := site.NewServer(fmt.Sprintf("s%d", i), eventsPerStream)
		s.SetVersion(version)
		t.Cleanup(s.Close)
		f.servers = append(f.servers, s)
		f.serverProxies = append(f.serverProxies, newProxy(t, s.Address()))
		f.setServerState(i, "ready")
	}
	f.publish()
	f.addGateways(gateways, func(i int) float64 { return cpuShare(i, gateways) })
	return f
}

// addGateways starts gateways with the processor shares, and stops them at the end of the test.
func (f *fleet) addGateways(gateways int, cpuShare func(i int) float64) {
	f.Helper()
	dir := f.TempDir()
	var seeds []string
	const listeners = 3
	stores := make([]*proxy, gateways)
	for i := range stores {
		stores[i] = newProxy(f.T, f.storeAddress)
	}
	free := freeAddresses(f.T, listeners*gateways)
	for i := range gateways {
		own := free[listeners*i:]
		g := &gateway{name: fmt.Sprintf("front-%d", i), callerAddress: own[0], readyAddress: own[1], peerAddress: own[2], storeProxy: stores[i]}
		seeds = append(seeds, g.peerAddress.String())
		g.settingsFile = filepath.Join(dir, g.name+".json")
		writeSettings(f.T, g, seeds, cpuShare(i), f.memory)
		f.gateways = append(f.gateways, g)
	}
	for _, g := range f.gateways {
		f.start(g)
		f.Cleanup(func() { g.terminate(f.T) })
	}
}

// cpuShare returns the processor share of a gateway. The last one of the fleet is too weak
// to hold tokens for others, and borrows.
func cpuShare(index, gateways int) float64 {
	if index == gateways-1 {
		return 0.144
	}
	return 0.8
}

func writeSettings(t *testing.T, g *gateway, seeds []string, cpuShare float64, memory int64) {
	t.Helper()
	data, err := json.Marshal(map[string]any{
		"node_name": g.name, "zone": "z", "region": "r",
		"bind":       map[string]string{"front": g.callerAddress.String(), "ready": g.readyAddress.String(), "control": g.peerAddress.String()},
		"seed_addrs": seeds, "limits": map[string]any{"cpu_share": cpuShare, "memory_mb": memory >> 20, "max_fds": 4100},
		"parameters": map[string]any{"grace_s": gracePeriodSeconds, "budget_ratio": 0.2, "budget_window_s": 10, "budget_extra": 60},
		"platform":   map[string]any{"address": g.storeProxy.address().String(), "writes_per_s": 800, "reads_per_s": 2000},
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(g.settingsFile, data, 0o600); err != nil {
		t.Fatal(err)
	}
	if g.logFile, err = os.Create(filepath.Join(t.TempDir(), g.name+".log")); err != nil {
		t.Fatal(err)
	}
}

// publish writes the next version of the routing configuration, with the current
// prepaid budget.
func (f *fleet) publish() {
	f.configVersion++
	route := func(prefix, kind, pool string, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": prefix, "host": host, "path_prefix": "/" + prefix + "/", "type": kind, "timeout_ms": 2000, "goal_ms": 300,
			"max_attempts": attempts, "service": pool, "resumable": resumable, "gap_goal_ms": 500,
		}
	}
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "max_conns": 400, "engine": map[string]any{"max_concurrency": 64, "kv_tokens": 100_000, "stride": tokensPerEvent}}
	}
	// It has all paths that no other route has.
	rootRoute := route("root", "non_idempotent", "s", 2, false)
	rootRoute["path_prefix"] = "/"
	unlimited := map[string]any{"name": "mills", "api_keys": append([]string{unlimitedKey}, f.addedKeys...)}
	tenant := map[string]any{"name": "clinics", "api_keys": []string{apiKey}}
	if f.prepaidTokens > 0 {
		tenant["prepaid"] = f.prepaidTokens
	}
	routes := []any{
		route("once", "non_idempotent", "s", 2, false), route("lookup", "idempotent", "s", 2, false),
		route("draft", "streaming", "s", 2, true), route("plan", "streaming", "s", 2, false),
		rootRoute,
	}
	services := []any{service("s")}
	for _, pool := range f.faultyPools {
		routes = append(routes, route(pool+"/once", "non_idempotent", pool, 2, false), route(pool+"/lookup", "idempotent", pool, 2, false),
			route(pool+"/draft", "streaming", pool, 2, true))
		services = append(services, service(pool))
	}
	data, err := json.Marshal(map[string]any{
		"version": f.configVersion, "routes": routes, "services": services, "tenants": []any{tenant, unlimited},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.store.Put("keyed.op", "config", data)
}

// setServerState writes the registry entry of a server. An empty state removes it.
func (f *fleet) setServerState(i int, state string) {
	f.serverStates[i] = state
	f.servers[i].SetStarted(startTime(f.serverStarts[i]))
	version := f.servers[i].Version()
	if version == "" {
		version = defaultVersion
	}
	f.putServerStart("s", f.servers[i].ID, f.serverProxies[i].address(), state, version, f.serverStarts[i])
}

// restartServer makes a server ready, as another incarnation without anything that it said of
// itself before.
func (f *fleet) restartServer(i int) {
	f.servers[i].SetDraining("")
	f.servers[i].SetLimit("")
	f.servers[i].Behave()
	f.serverStarts[i]++
	f.setServerState(i, "ready")
	f.servers[i].RejectAll(false, "")
}

// restartServerAs starts a server again under its identifier and address as another version of its
// software. Its connections break, and it serves once its entry is written.
func (f *fleet) restartServerAs(i int, version string) {
	f.servers[i].RejectAll(true, "")
	f.serverProxies[i].resetOpen()
	f.servers[i].SetVersion(version)
	f.restartServer(i)
}

// putServer writes the registry entry of the first start of the server with the identifier, or
// removes it.
func (f *fleet) putServer(id string, address netip.AddrPort, state string) {
	f.putServerStart("s", id, address, state, defaultVersion, 0)
}

// startTime returns the time of the given start of a server, in ms since 1970.
func startTime(start int) int64 { return 1_700_000_000_000 + int64(start) }

func (f *fleet) putServerStart(pool, id string, address netip.AddrPort, state, version string, start int) {
	if state == "" {
		f.store.Put("keyed.servers", id, nil)
		return
	}
	f.store.Put("keyed.servers", id, fmt.Appendf(nil,
		`{"service":%q,"address":%q,"zone":"z","version":%q,"max_concurrency":64,"state":%q,"warmup_left_ms":0,"sequence":%d,"born":%d}`,
		pool, address.String(), version, state, f.serverSequence.Add(1), startTime(start)))
}

// copyStore copies the store's contents.
func (f *fleet) copyStore() {
	f.store.Copy()
	f.copiedAt = time.Now()
}

// restoreStore makes the store unavailable for the time and returns it to the last copy.
// The operator and the servers write their records again.
func (f *fleet) restoreStore(unavailable time.Duration) {
	f.store.SetFault(site.Unavailable)
	time.Sleep(unavailable)
	f.store.Restore()
	f.eras++
	f.store.SetFault(site.NoFault)
	f.publish()
	for i, state := range f.serverStates {
		f.setServerState(i, state)
	}
}

func (f *fleet) start(g *gateway) {
	g.mu.Lock()
	defer g.mu.Unlock()
	cmd := exec.Command(f.binary, "gateway", "--log-level", "debug", "--settings", g.settingsFile)
	cmd.Stdout, cmd.Stderr = g.logFile, g.logFile
	if err := cmd.Start(); err != nil {
		f.Errorf("start %s: %v", g.name, err)
		return
	}
	exited := make(chan struct{})
	g.cmd, g.exited, g.startedAt, g.killed = cmd, exited, time.Now(), false
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
}

// awaitRestart waits until no restart is in progress.
func (g *gateway) awaitRestart() {
	g.restartMu.Lock()
	defer g.restartMu.Unlock()
}

// signal sends a signal to the current process.
func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cmd != nil {
		// The error of a process that has exited is ignored.
		_ = g.cmd.Process.Signal(s)
	}
}

// signalLater returns a function that sends a signal to the process that runs now.
func (g *gateway) signalLater(s syscall.Signal) func() {
	g.mu.Lock()
	defer g.mu.Unlock()
	process := g.cmd.Process
	return func() { _ = process.Signal(s) }
}

// waitExit reports whether the process exits within the timeout.
func (g *gateway) waitExit(timeout time.Duration) bool {
	g.mu.Lock()
	exited := g.exited
	g.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(timeout):
		return false
	}
}

// isStarting reports whether the process may not have installed its signal handlers
// yet.
func (g *gateway) isStarting() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Since(g.startedAt) < startupTime
}

// exitCode returns the exit code. The process must have exited.
func (g *gateway) exitCode() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cmd.ProcessState.ExitCode()
}

// terminate kills the process, and saves its log if the test failed.
func (g *gateway) terminate(t *testing.T) {
	g.signal(syscall.SIGKILL)
	if !g.waitExit(exitTimeout) {
		t.Errorf("%s did not exit after SIGKILL", g.name)
	}
	if t.Failed() {
		text, err := os.ReadFile(g.logFile.Name())
		if err != nil {
			t.Error(err)
		}
		saveLog(t, g.name, text)
	}
	_ = g.logFile.Close()
}

// borrowCount returns how often gateways borrowed tokens from each other so far. It
// shows whether the run exercised borrowing.
func (f *fleet) borrowCount() int {
	f.Helper()
	sum := 0
	for _, g := range f.gateways {
		text, err := os.ReadFile(g.logFile.Name())
		if err != nil {
			f.Error(err)
		}
		sum += strings.Count(string(text), `event="tokens borrowed"`)
	}
	return sum
}

// saveLog writes a log to the directory named by FAULT_LOGS, if it is set.
func saveLog(t *testing.T, name string, text []byte) {
	t.Helper()
	dir := os.Getenv("FAULT_LOGS")
	if dir == "" {
		return
	}
	file := filepath.Join(dir, strings.ReplaceAll(t.Name(), "/", "-")+"-"+name+".log")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Error(err)
	}
}

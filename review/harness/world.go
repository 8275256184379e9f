//go:build review

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	program      = "target/crocusline"
	host         = "ficu95.example"
	pool         = "crocus-pool"
	apiKey       = "n2ctnfzs989anu6wsjnb"
	gatewayCount = 4
	seedCount    = 3
	serverCount  = 18
	// tokensPerEvent is the number of output tokens of an event.
	tokensPerEvent = 4
	startTimeout   = 15 * time.Second
)

// errNotRun means that the case couldn't run.
var errNotRun = errors.New("the case could not run")

// gateway is a process of the project.
type gateway struct {
	name         string
	front, ready string
	control      string
	settings     string
	log          *os.File
	// out is whether the platform sends the gateway no new connections.
	out atomic.Bool
	cmd *exec.Cmd
}

// outcome is a request as its client saw it.
type outcome struct {
	id, route string
	sent      time.Time
	ended     time.Time
	status    int
	seal      string
	body      string
	complete  bool
}

// world holds all parts of a case.
type world struct {
	start    time.Time
	trouble  bool
	dir      string
	store    *store
	servers  []*server
	gateways []*gateway
	record   *os.File
	stopped  context.Context
	stop     context.CancelFunc
	sequence atomic.Int64
	// prepaid is the tenant's total, promptTokens the prompt of each request.
	prepaid      int64
	promptTokens int64

	mu       sync.Mutex
	arrivals []arrival
	outcomes []outcome
	clients  sync.WaitGroup
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f s  %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) arrived(a arrival) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arrivals = append(w.arrivals, a)
}

// newWorld starts store, servers and gateways.
func newWorld(recordFile string, prepare func(*world)) (*world, error) {
	w := &world{start: time.Now(), trouble: os.Getenv("TROUBLE") != "0", store: newStore(), prepaid: 500_000_000, promptTokens: 1460}
	prepare(w)
	w.stopped, w.stop = context.WithCancel(context.Background())
	var err error
	if w.record, err = os.Create(recordFile); err != nil {
		return w, err
	}
	if _, err := os.Stat(program); err != nil {
		return w, err
	}
	if w.dir, err = os.MkdirTemp("", "review"); err != nil {
		return w, err
	}
	for i := range serverCount {
		s, err := newServer(w, fmt.Sprintf("i-%02d", i))
		if err != nil {
			return w, err
		}
		w.servers = append(w.servers, s)
		go s.beat(w.stopped)
	}
	w.publish()
	if err := w.startGateways(); err != nil {
		return w, err
	}
	return w, w.awaitReady()
}

// publish writes the operator's configuration.
func (w *world) publish() {
	route := func(prefix string, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": "r-" + prefix, "host": host, "path_prefix": "/" + prefix + "/", "type": "streaming", "timeout_ms": 10000,
			"goal_ms": 1000, "priority": 0, "service": pool, "max_attempts": attempts, "public": false, "sticky": true,
			"resumable": resumable, "gap_goal_ms": 500,
		}
	}
	root := map[string]any{
		"name": "r-root", "host": host, "path_prefix": "/", "type": "non_idempotent", "timeout_ms": 1500, "goal_ms": 100,
		"priority": 2, "service": pool, "max_attempts": 1, "public": false,
	}
	data, _ := json.Marshal(map[string]any{
		"version": 7,
		"routes":  []any{route("dossier", 2, true), route("quote", 1, false), route("phototag", 2, true), root},
		"services": []any{map[string]any{
			"name": pool, "health_path": "/health", "max_conns": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{"max_concurrency": 64, "kv_tokens": 440787, "stride": tokensPerEvent},
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
		"tenants": []any{map[string]any{"name": "hule930", "api_keys": []string{apiKey}, "prepaid": w.prepaid}},
	})
	w.store.put("keyed.op", "config", data)
}

// freeAddresses returns addresses of free ports. All are bound before the first is released, on
// a loopback address of their own, so that nothing else gets one of the ports meanwhile.
func freeAddresses(n int) ([]string, error) {
	own := fmt.Sprintf("127.%d.%d.%d:0", 1+rand.IntN(250), 1+rand.IntN(250), 1+rand.IntN(250))
	var addresses []string
	for range n {
		l, err := net.Listen("tcp", own)
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}

// startGateways starts all gateways.
func (w *world) startGateways() error {
	free, err := freeAddresses(3 * gatewayCount)
	if err != nil {
		return err
	}
	var seeds []string
	for i := range seedCount {
		seeds = append(seeds, free[3*i+2])
	}
	for i := range gatewayCount {
		g := &gateway{name: fmt.Sprintf("front-%d", i), front: free[3*i], ready: free[3*i+1], control: free[3*i+2]}
		if err := w.startGateway(g, seeds); err != nil {
			return err
		}
	}
	return nil
}

// startGateway starts a gateway with the settings of a small deployment.
func (w *world) startGateway(g *gateway, seeds []string) error {
	address, err := w.store.listen(g.name)
	if err != nil {
		return err
	}
	settings, _ := json.Marshal(map[string]any{
		"node_name": g.name, "role": "entry", "machine_class": "front", "serves": []string{"front", "control"},
		"ip": "127.0.0.1", "zone": "za-a", "region": "sk-central", "zones": map[string]string{"za-a": "sk-central"},
		"bind":       map[string]string{"front": g.front, "ready": g.ready, "control": g.control},
		"seed_addrs": seeds, "bootstrap": true, "heartbeat_ms": 1200,
		"limits": map[string]any{"cpu_share": 0.304, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"parameters": map[string]any{
			"reuse_after_s": 2, "stable_window_ms": 3000, "ack_ms": 4000, "drain_ms": 2000, "grace_s": 8, "config_ms": 2000,
			"downgrade_ms": 250, "budget_ratio": 0.2, "budget_window_s": 10, "budget_extra": 54, "recover_s": 12,
		},
		"platform": map[string]any{"address": address, "form": "log", "writes_per_s": 800, "reads_per_s": 2000},
	})
	file := filepath.Join(w.dir, g.name+".json")
	if err := os.WriteFile(file, settings, 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(w.dir, g.name+".log"))
	if err != nil {
		return err
	}
	g.settings, g.log = file, log
	if err := w.run(g); err != nil {
		return err
	}
	w.gateways = append(w.gateways, g)
	return nil
}

// run starts the gateway's process.
func (w *world) run(g *gateway) error {
	g.cmd = exec.Command(program, "gateway")
	g.cmd.Env = []string{"CROCUSLINE_BOOT=" + g.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	g.cmd.Stdout, g.cmd.Stderr = g.log, g.log
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	w.note("%s is started", g.name)
	return g.cmd.Start()
}

// awaitReady waits until all gateways are ready.
func (w *world) awaitReady() error {
	deadline := time.Now().Add(startTimeout)
	for _, g := range w.gateways {
		for {
			resp, err := http.Get("http://" + g.ready + "/api/readiness")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", g.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
		w.note("%s is ready", g.name)
	}
	return nil
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	w.stop()
	for _, g := range w.gateways {
		_ = g.cmd.Process.Kill()
		_ = g.cmd.Wait()
	}
	for _, s := range w.servers {
		s.stop()
	}
	w.store.close()
	if w.dir != "" && os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(w.dir)
	}
	if w.record != nil {
		_ = w.record.Close()
	}
}

// send sends requests on the route at the interval until the end, over all gateways in turn.
func (w *world) send(route string, interval time.Duration, end time.Time) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}, Timeout: 12 * time.Second}
	w.clients.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for n := 0; time.Now().Before(end); n++ {
			<-ticker.C
			w.clients.Go(func() { w.request(client, w.gateways[n%gatewayCount], route) })
		}
	})
}

// request sends one request and records its outcome.
func (w *world) request(client *http.Client, g *gateway, route string) {
	n := w.sequence.Add(1)
	o := outcome{id: fmt.Sprintf("%016x", n), route: route, sent: time.Now()}
	req, _ := http.NewRequest(http.MethodPost, "http://"+g.front+"/"+route+"/2f", strings.NewReader("prompt "+o.id))
	req.Host = host
	req.Header.Set("Request-Id", o.id)
	req.Header.Set("Authorization", "Token "+apiKey)
	req.Header.Set("Deadline-Ms", "10000")
	req.Header.Set("Model", "m")
	req.Header.Set("Token-Usage", fmt.Sprintf("%d,%d", w.promptTokens, tokensPerEvent*eventCount))
	req.Header.Set("Prompt-Prefix", fmt.Sprintf("5c1e%04x:800,91bd%04x:410,%x:%d", n%40, n%40, n, w.promptTokens-1210))
	resp, err := client.Do(req)
	if err == nil {
		body, readErr := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		o.status, o.seal, o.body, o.complete = resp.StatusCode, resp.Header.Get("Response-Seal"), string(body), readErr == nil
	}
	o.ended = time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.outcomes = append(w.outcomes, o)
}

// summary writes what was sent, answered and run to the record.
func (w *world) summary() {
	w.clients.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	runs := map[string][]string{}
	for _, a := range w.arrivals {
		text := fmt.Sprintf("%s at %.3f", a.server, a.at.Sub(w.start).Seconds())
		if !a.ran {
			text += " (421)"
		}
		runs[a.id] = append(runs[a.id], text)
	}
	_, _ = fmt.Fprintf(w.record, "\n%d requests; for each: id, route, sent, ended, status, seal, events, whether the body was complete, arrivals\n", len(w.outcomes))
	for _, o := range w.outcomes {
		_, _ = fmt.Fprintf(w.record, "%s %s %.3f %.3f %d %s %d complete=%t [%s]\n", o.id, o.route, o.sent.Sub(w.start).Seconds(),
			o.ended.Sub(w.start).Seconds(), o.status, o.seal, strings.Count(o.body, "\n\n"), o.complete, strings.Join(runs[o.id], ", "))
	}
}

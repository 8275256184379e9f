//go:build review2

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// gateway is a process of the deploy file's role.
type gateway struct {
	name, front, ready, control string
	dir                         string
	seeds                       []string
	store                       string
	zone, ip                    string
	command                     *exec.Cmd
	ended                       chan struct{}
	log                         *os.File
	started                     func(*os.Process)
}

// roleCommand returns the words of the deploy file's run line.
func roleCommand() ([]string, error) {
	data, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			return strings.Fields(strings.Trim(rest, `"`)), nil
		}
	}
	return nil, fmt.Errorf("deploy/system.toml has no run line")
}

// freeAddress returns an address with a free port. Each gateway has a loopback address of its own, so that no outgoing
// connection takes the port before the gateway listens.
func freeAddress(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// newGateways returns gateways that are not started. Their zones take turns.
func newGateways(dir, store string, n int, started func(*os.Process)) ([]*gateway, error) {
	zones := []string{"za-a", "za-b", "za-c"}
	var all []*gateway
	var seeds []string
	// Cases that run beside each other have other addresses.
	network := fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(250))
	for i := range n {
		g := &gateway{name: fmt.Sprintf("front-%d", i+1), dir: dir, started: started, store: store, zone: zones[i%len(zones)], ip: fmt.Sprintf("%s.%d", network, i+1)}
		for _, target := range []*string{&g.front, &g.ready, &g.control} {
			address, err := freeAddress(g.ip)
			if err != nil {
				return nil, err
			}
			*target = address
		}
		if len(seeds) < 3 {
			seeds = append(seeds, g.control)
		}
		all = append(all, g)
	}
	for _, g := range all {
		g.seeds = seeds
	}
	return all, nil
}

// settings are those of PROTOCOL's example with the figures of the site kolplat.
func (g *gateway) settings(first bool) map[string]any {
	return map[string]any{
		"node_name": g.name, "role": "entry", "machine_class": "front", "serves": []string{"front", "control"},
		"ip": g.ip, "zone": g.zone, "region": "sk-central",
		"zones":      map[string]string{"za-a": "sk-central", "za-b": "sk-central", "za-c": "sk-central"},
		"bind":       map[string]string{"front": g.front, "ready": g.ready, "control": g.control},
		"port_range": []int{7340, 7355}, "seed_addrs": g.seeds, "bootstrap": first, "in_tolerance": false,
		"limits":   map[string]any{"cpu_share": 0.304, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entry": "virtual_ip", "heartbeat_ms": 1200,
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"},
		"fault_tolerance": map[string]any{"machines": 1, "zones": 0, "regions": 0},
		"parameters": map[string]any{
			"seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8,
			"loss_slack_ms": 200, "config_ms": 2000, "downgrade_ms": 250, "stretch_max_ms": 5000, "strict_revoke": false, "revoke_ms": 5000,
			"budget_ratio": 0.2, "budget_window_s": 10, "budget_extra": 54, "recover_s": 12, "pass_ms": 120, "retry_after_s": 10, "settle_ms": 1500,
		},
		"platform": map[string]any{
			"address": g.store, "form": "log", "writes_per_s": 800, "reads_per_s": 2000, "parts": 12, "append_ms": 2.0, "part_mb_per_s": 20.0,
			"read_mb_per_s": 80.0, "record_bytes": 262144, "call_bytes": 2097152, "keep_s": 20, "part_mb": 200, "ttl_min_ms": 1000,
		},
	}
}

// start starts the process. first is whether the whole system starts for the first time.
func (g *gateway) start(first bool) error {
	data, err := json.Marshal(g.settings(first))
	if err != nil {
		return err
	}
	file := filepath.Join(g.dir, g.name+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return err
	}
	words, err := roleCommand()
	if err != nil {
		return err
	}
	if g.log == nil {
		if g.log, err = os.Create(filepath.Join(g.dir, g.name+".log")); err != nil {
			return err
		}
	}
	g.command = exec.Command(words[0], words[1:]...)
	g.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + g.dir, "CROCUSLINE_BOOT=" + file}
	g.command.Stdout, g.command.Stderr = g.log, g.log
	// The process ends with this one.
	g.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.command.Start(); err != nil {
		return err
	}
	g.started(g.command.Process)
	command, ended := g.command, make(chan struct{})
	g.ended = ended
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	return nil
}

func (g *gateway) signal(s syscall.Signal) { _ = g.command.Process.Signal(s) }

// kill kills the process and waits for its end.
func (g *gateway) kill() {
	if g.command == nil || g.command.Process == nil {
		return
	}
	g.signal(syscall.SIGKILL)
	<-g.ended
}

// awaitReady waits until the readiness check responds 200.
func (g *gateway) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if status, _ := get("http://" + g.ready + "/api/readiness"); status == 200 {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", g.name, limit)
}

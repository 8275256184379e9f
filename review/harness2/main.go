//go:build review2

// Command case plays one case of the review: the gateways run as processes of their own, with the deploy file's command, and
// everything around them is a stand-in within this process. It exits with 1 if the rule was broken, 0 if it held, and 2 if
// the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"sync"
	"syscall"
	"time"
)

func init() { runtime.LockOSThread() }

// environment is what a case uses.
type environment struct {
	trouble  bool
	dir      string
	store    *store
	servers  []*server
	gateways []*gateway
	// halves has the answers without a length that server processes have sent half of.
	halves chan half

	mu     sync.Mutex
	record *os.File
	start  time.Time
	// children are the processes that were started. Those that have ended are skipped.
	children []*os.Process
}

// started records a process, which ends with the case.
func (e *environment) started(p *os.Process) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.children = append(e.children, p)
}

// endOnSignal ends the processes of the case if the case itself is told to end.
func (e *environment) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		e.killChildren()
		_ = os.RemoveAll(e.dir)
		os.Exit(2)
	}()
}

func (e *environment) killChildren() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.children {
		// A process that was waited for isn't signalled any more.
		_ = p.Kill()
	}
}

// note writes a line to the record.
func (e *environment) note(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fmt.Fprintf(e.record, "%8.3f s  %s\n", time.Since(e.start).Seconds(), fmt.Sprintf(format, args...))
}

func (e *environment) close() {
	for _, g := range e.gateways {
		g.kill()
	}
	e.killChildren()
	for _, s := range e.servers {
		s.close()
	}
	if e.store != nil {
		_ = e.store.server.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(e.dir)
	}
	_ = e.record.Close()
}

// addServers starts servers and lists them.
func (e *environment) addServers(service string, engine bool, n int) error {
	zones := []string{"za-a", "za-b", "za-c"}
	for i := range n {
		s, err := newServer(e.store, fmt.Sprintf("i-%s-%d", service, i+1), service, zones[i%len(zones)], engine)
		if err != nil {
			return err
		}
		e.servers = append(e.servers, s)
	}
	return nil
}

// startGateways starts n gateways and waits until they are ready.
func (e *environment) startGateways(n int) error {
	var err error
	if e.gateways, err = newGateways(e.dir, e.store.addr, n, e.started); err != nil {
		return err
	}
	for _, g := range e.gateways {
		if err := g.start(true); err != nil {
			return err
		}
	}
	for _, g := range e.gateways {
		if err := g.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// cases returns whether the rule was broken, with what was seen.
var cases = map[string]func(*environment) (bool, string, error){
	"crash":   playCrash,
	"cut":     playCut,
	"reports": playReports,
}

func main() {
	if len(os.Args) == 3 && os.Args[1] == "server" {
		os.Exit(serveProcess(os.Args[2]))
	}
	os.Exit(play())
}

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: case NAME RECORD")
		return 2
	}
	record, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	dir, err := os.MkdirTemp("", "case-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	e := &environment{trouble: os.Getenv("TROUBLE") != "0", dir: dir, record: record, start: time.Now(), halves: make(chan half, 1000)}
	defer e.close()
	e.endOnSignal()
	if e.store, err = newStore(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	broken, seen, err := cases[os.Args[1]](e)
	if err != nil {
		e.note("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		return 2
	}
	verdict, code := "the rule held", 0
	if broken {
		verdict, code = "the rule was broken", 1
	}
	e.note("%s: %s", verdict, seen)
	fmt.Printf("%s: %s\n", verdict, seen)
	return code
}

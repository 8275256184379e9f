package faults_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/crocusline/crocusline/standin/site"
)

const (
	// resumingClientCount is the number of clients that take broken streams up, and maxTries the
	// number of attempts that each makes at a stream.
	resumingClientCount = 6
	maxTries            = 6
	// maxRetryPause is the longest pause before a further attempt.
	maxRetryPause = 300 * time.Millisecond
	// maxSilence is the longest time for which a server that started again can't write its entry.
	maxSilence = 3500 * time.Millisecond
	// soakPause is the pause between the events of their streams.
	soakPause = 30 * time.Millisecond
)

// soakVersions are the software versions of the servers.
var soakVersions = []string{"v1", "v1.1", "v2"}

// resumingClients runs concurrent clients that take broken streams up at other gateways.
type resumingClients struct {
	fleet   *fleet
	mu      sync.Mutex
	streams []*clientStream
	workers sync.WaitGroup
}

func (c *resumingClients) start(ctx context.Context, n int, seed uint64) {
	for i := range n {
		c.workers.Go(func() {
			r := rand.New(rand.NewPCG(seed, uint64(clientCount+i)))
			for k := 0; ctx.Err() == nil; k++ {
				s := &clientStream{name: fmt.Sprintf("r%d-%d", i, k), body: site.PacedBody}
				c.run(s, r)
				c.mu.Lock()
				c.streams = append(c.streams, s)
				c.mu.Unlock()
			}
		})
	}
}

// run begins a stream and takes it up until it is complete or the attempts are used up.
func (c *resumingClients) run(s *clientStream, r *rand.Rand) {
	at := r.IntN(len(c.fleet.gateways))
	for n := range maxTries {
		if n > 0 {
			time.Sleep(time.Duration(r.Int64N(int64(maxRetryPause))))
			at += 1 + r.IntN(max(1, len(c.fleet.gateways)-1))
		}
		o := s.send(context.Background(), c.fleet.gateways[at%len(c.fleet.gateways)])
		final := o.status >= http.StatusBadRequest && o.status < http.StatusInternalServerError && !o.guaranteesNotRun()
		if s.complete() || final {
			return
		}
	}
}

// violations compares each answer, and each stream over all its answers, with the servers' events.
func (c *resumingClients) violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var problems []string
	for _, s := range c.streams {
		if problem := s.violation(); problem != "" {
			problems = append(problems, problem)
		}
		for _, o := range s.outcomes {
			ran := 0
			for _, server := range c.fleet.servers {
				ran += server.ExecutionCount(o.id)
			}
			if ran > 0 && o.guaranteesNotRun() {
				problems = append(problems, fmt.Sprintf("%s got status %d, but was executed %d times", o.id, o.status, ran))
			}
			if problem := o.violation(c.fleet.versions); problem != "" {
				problems = append(problems, problem)
			}
		}
	}
	return problems
}

// summary returns how many streams broke off and went on.
func (c *resumingClients) summary() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	began, taken, wentOn := 0, 0, 0
	for _, s := range c.streams {
		if s.events() > 0 {
			began++
		}
		broke := false
		for _, o := range s.outcomes {
			broke = broke || o.after > 0
		}
		if broke {
			taken++
			if s.complete() {
				wentOn++
			}
		}
	}
	return fmt.Sprintf("%d of %d streams began, %d were taken up, %d of these went on to their end", began, len(c.streams), taken, wentOn)
}

// injectVersionFault kills all gateways at once, or starts a server again as another version, which
// writes its entry at once or some time later.
func injectVersionFault(f *fleet, r *rand.Rand) {
	f.registerServers(time.Now())
	switch r.IntN(12) {
	case 0, 1:
		f.killAll()
	case 2, 3:
		f.restartServerAs(r.IntN(serverCount), soakVersions[r.IntN(len(soakVersions))])
	case 4, 5:
		registersAt := time.Now().Add(time.Duration(r.Int64N(int64(maxSilence))))
		f.restartServerSilently(r.IntN(serverCount), soakVersions[r.IntN(len(soakVersions))], registersAt)
	}
}

// restartServerSilently starts a server again under its identifier and address as another version. It
// writes its entry at the given time, unless another fault makes it do so before.
func (f *fleet) restartServerSilently(i int, version string, registersAt time.Time) {
	f.servers[i].RejectAll(true, "")
	f.serverProxies[i].resetOpen()
	f.servers[i].SetVersion(version)
	f.serverStarts[i]++
	f.servers[i].SetStarted(startTime(f.serverStarts[i]))
	f.servers[i].RejectAll(false, "")
	if f.silent == nil {
		f.silent = map[int]time.Time{}
	}
	f.silent[i] = registersAt
}

// registerServers writes the entries of the servers whose time has come.
func (f *fleet) registerServers(now time.Time) {
	for i, registersAt := range f.silent {
		if now.After(registersAt) {
			delete(f.silent, i)
			f.setServerState(i, f.serverStates[i])
		}
	}
}

// killAll kills all gateways at once, also those that are being stopped, and starts them again.
func (f *fleet) killAll() {
	for _, g := range f.gateways {
		g.kill()
	}
	for _, g := range f.gateways {
		f.startKilled(g)
	}
}

// kill sends SIGKILL and notes that.
func (g *gateway) kill() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.killed = true
	// The error of a process that has exited is ignored.
	_ = g.cmd.Process.Kill()
}

// startKilled starts a gateway again after killAll, unless another restart has done so.
func (f *fleet) startKilled(g *gateway) {
	g.restartMu.Lock()
	defer g.restartMu.Unlock()
	if !g.wasKilled() {
		return
	}
	if !g.waitExit(exitTimeout) {
		f.Errorf("%s did not exit after SIGKILL", g.name)
	}
	f.start(g)
}

// wasKilled reports whether the current process got SIGKILL from killAll.
func (g *gateway) wasKilled() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.killed
}

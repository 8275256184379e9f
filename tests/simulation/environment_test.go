package simulation

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/crocusline/crocusline/coordination/fence"
	"github.com/crocusline/crocusline/models/run"
	"github.com/crocusline/crocusline/modules/platform/platformtest"
	"github.com/crocusline/crocusline/services/ledger"
)

const (
	shards   = 2
	entries  = 3
	sidecars = 3
	// faultsEnd is the time after which no requests are sent, settleTime the time
	// after that within which all bills and holds must be settled.
	faultsEnd  = 22 * time.Second
	settleTime = 38 * time.Second
)

// environment holds the log, all processes, and the record of requests and
// executions of a run.
type environment struct {
	t      *testing.T
	seed   uint64
	log    *platformtest.Log
	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	mu         sync.Mutex
	logDelay   time.Duration
	startCount map[string]int
	random     *rand.Rand
	entries    []*entry
	sidecars   []*sidecar
	// sidecarsByIncarnation includes the killed sidecars.
	sidecarsByIncarnation map[string]*sidecar
	// suspects are the entry incarnations to be fenced and closed.
	suspects map[string]*process
	owners   []*owner
	clients  []*ledger.Client
	killed   map[string]bool
	requests []*request
	// executions counts the executions at servers, by request and attempt.
	executions map[string]map[int64]int
}

func newEnvironment(t *testing.T, seed uint64) *environment {
	env := newEmptyEnvironment(t, seed)
	for i := range entries {
		env.entries = append(env.entries, env.startEntry(fmt.Sprint("entry", i)))
	}
	for i := range sidecars {
		env.setSidecar(i, env.startSidecar(fmt.Sprint("sidecar", i), 0))
	}
	for i := range 2 {
		env.owners = append(env.owners, env.startOwner(fmt.Sprint("owner", i)))
	}
	return env
}

// newEmptyEnvironment returns an environment with a log and no processes.
func newEmptyEnvironment(t *testing.T, seed uint64) *environment {
	env := &environment{
		t:                     t,
		seed:                  seed,
		log:                   platformtest.New(),
		startCount:            map[string]int{},
		random:                rand.New(rand.NewPCG(seed, 1)),
		sidecarsByIncarnation: map[string]*sidecar{},
		suspects:              map[string]*process{},
		killed:                map[string]bool{},
		executions:            map[string]map[int64]int{},
	}
	env.ctx, env.cancel = context.WithCancel(context.Background())
	return env
}

// newProcess returns the next incarnation of a process, with its own random sources.
func (env *environment) newProcess(name string) *process {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.startCount[name]++
	p := &process{
		name:        name,
		incarnation: fmt.Sprintf("%s/%d", name, env.startCount[name]),
		env:         env,
		random:      map[string]*rand.Rand{},
	}
	p.ctx, p.kill = context.WithCancel(env.ctx)
	return p
}

func (env *environment) startClient(p *process, opts ...ledger.Option) *ledger.Client {
	// Spreads the processes' start times, and with them their timers.
	time.Sleep(p.drawDuration("start", time.Microsecond, 10*time.Millisecond))
	c := ledger.New(p.incarnation, p, append([]ledger.Option{
		ledger.WithShards(shards),
		ledger.WithSchedule(fence.CheckpointSchedule{Records: 200, Interval: 20 * time.Second}),
	}, opts...)...)
	if err := c.Start(p.ctx, nil); err != nil {
		env.t.Error(err)
	}
	env.mu.Lock()
	defer env.mu.Unlock()
	env.clients = append(env.clients, c)
	return c
}

func (env *environment) currentLogDelay() time.Duration {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.logDelay
}

func (env *environment) setSidecar(i int, s *sidecar) {
	env.mu.Lock()
	defer env.mu.Unlock()
	if i == len(env.sidecars) {
		env.sidecars = append(env.sidecars, nil)
	}
	env.sidecars[i] = s
	env.sidecarsByIncarnation[s.incarnation] = s
}

func (env *environment) drawSidecar(p *process, r *request) *sidecar {
	i := p.drawInt(r.name, sidecars)
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.sidecars[i]
}

func (env *environment) sidecar(incarnation string) *sidecar {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.sidecarsByIncarnation[incarnation]
}

func (env *environment) allSidecars() []*sidecar {
	env.mu.Lock()
	defer env.mu.Unlock()
	return append([]*sidecar(nil), env.sidecars...)
}

func (env *environment) entry(i int) *entry {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.entries[i]
}

// recordExecution records that a server executed a request.
func (env *environment) recordExecution(req run.Request) {
	env.mu.Lock()
	defer env.mu.Unlock()
	name := requestName(req.Workspace, req.Key, req.ID)
	if env.executions[name] == nil {
		env.executions[name] = map[int64]int{}
	}
	env.executions[name][req.Attempt]++
}

// requestName returns the name under which bills identify a request.
func requestName(workspace, key, id string) string {
	if key != "" {
		return workspace + " key:" + key
	}
	return workspace + " request:" + id
}

// shutDown stops all processes and waits for their goroutines.
func (env *environment) shutDown() {
	env.cancel()
	for _, c := range env.clients {
		if err := c.Close(); err != nil {
			env.t.Error(err)
		}
	}
	for _, o := range env.owners {
		o.close()
	}
	env.tasks.Wait()
}

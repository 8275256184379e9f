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
	// faultsEnd is when the last fault is over, and quiet when all that is owed
	// has to be settled after that.
	faultsEnd = 22 * time.Second
	quiet     = 38 * time.Second
)

// world is all processes, the log, and what really happened.
type world struct {
	t      *testing.T
	seed   uint64
	log    *platformtest.Log
	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	mu       sync.Mutex
	slow     time.Duration
	lives    map[string]int
	random   *rand.Rand
	entries  []*entry
	sidecars []*sidecar
	// known has every sidecar incarnation, closing the entries to be closed.
	known    map[string]*sidecar
	suspects map[string]*process
	owners   []*owner
	clients  []*ledger.Client
	died     map[string]bool
	requests []*request
	// runs counts the effects at the servers, by request and attempt.
	runs map[string]map[int64]int
}

func newWorld(t *testing.T, seed uint64) *world {
	w := emptyWorld(t, seed)
	for i := range entries {
		w.entries = append(w.entries, w.startEntry(fmt.Sprint("entry", i)))
	}
	for i := range sidecars {
		w.addSidecar(i, w.startSidecar(fmt.Sprint("sidecar", i), 0))
	}
	for i := range 2 {
		w.owners = append(w.owners, w.startOwner(fmt.Sprint("owner", i)))
	}
	return w
}

// emptyWorld has a log and no processes.
func emptyWorld(t *testing.T, seed uint64) *world {
	w := &world{
		t:        t,
		seed:     seed,
		log:      platformtest.New(),
		lives:    map[string]int{},
		random:   rand.New(rand.NewPCG(seed, 1)),
		known:    map[string]*sidecar{},
		suspects: map[string]*process{},
		died:     map[string]bool{},
		runs:     map[string]map[int64]int{},
	}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	return w
}

// start returns the next incarnation of a process, with randomness of its own.
func (w *world) start(name string) *process {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lives[name]++
	p := &process{
		name:        name,
		incarnation: fmt.Sprintf("%s/%d", name, w.lives[name]),
		world:       w,
		random:      map[string]*rand.Rand{},
	}
	p.ctx, p.kill = context.WithCancel(w.ctx)
	return p
}

func (w *world) client(p *process, opts ...ledger.Option) *ledger.Client {
	// Processes do not start, nor later tick, at one instant.
	time.Sleep(p.between("start", time.Microsecond, 10*time.Millisecond))
	c := ledger.New(p.incarnation, p, append([]ledger.Option{
		ledger.WithShards(shards),
		ledger.WithSchedule(fence.CheckpointSchedule{Records: 200, Interval: 20 * time.Second}),
	}, opts...)...)
	if err := c.Start(p.ctx, nil); err != nil {
		w.t.Error(err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.clients = append(w.clients, c)
	return c
}

func (w *world) slowness() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.slow
}

func (w *world) addSidecar(i int, s *sidecar) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if i == len(w.sidecars) {
		w.sidecars = append(w.sidecars, nil)
	}
	w.sidecars[i] = s
	w.known[s.incarnation] = s
}

func (w *world) anySidecar(p *process, r *request) *sidecar {
	i := p.draw(r.name, sidecars)
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sidecars[i]
}

func (w *world) sidecar(incarnation string) *sidecar {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.known[incarnation]
}

func (w *world) allSidecars() []*sidecar {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*sidecar(nil), w.sidecars...)
}

func (w *world) entry(i int) *entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.entries[i]
}

// ran notes an effect at a server.
func (w *world) ran(req run.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	name := nameOf(req.Workspace, req.Key, req.ID)
	if w.runs[name] == nil {
		w.runs[name] = map[int64]int{}
	}
	w.runs[name][req.Attempt]++
}

// nameOf names a request as bills do.
func nameOf(workspace, key, id string) string {
	if key != "" {
		return workspace + " key:" + key
	}
	return workspace + " request:" + id
}

// stop ends all processes and waits for them.
func (w *world) stop() {
	w.cancel()
	for _, c := range w.clients {
		if err := c.Close(); err != nil {
			w.t.Error(err)
		}
	}
	for _, o := range w.owners {
		o.close()
	}
	w.tasks.Wait()
}

package simulation

import (
	"fmt"
	"sync"
	"time"

	model "github.com/crocusline/crocusline/models/ledger"
)

var workspaces = []string{"clinic", "depot", "store", "lathe"}

// request is one caller's request, with all its calls.
type request struct {
	workspace  string
	key        string
	idempotent bool
	maxTokens  int
	deadline   time.Time
	// patience is how long the caller waits for one call.
	patience time.Duration

	mu      sync.Mutex
	name    string
	ids     int
	replies []reply
}

// nextID returns the id of the next call. Without a key each is by itself.
func (r *request) nextID() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ids++
	return fmt.Sprintf("%s-%d", r.name, r.ids)
}

func (r *request) end(got reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replies = append(r.replies, got)
}

// drive sends requests until the faults end.
func (w *world) drive() {
	caller := w.start("caller")
	begin := time.Now()
	for i := 0; time.Since(begin) < faultsEnd; i++ {
		sleep(w.ctx, caller.between("at", 20*time.Millisecond, 400*time.Millisecond))
		r := &request{
			workspace:  workspaces[caller.draw("what", len(workspaces))],
			idempotent: caller.draw("what", 10) < 6,
			maxTokens:  20 + caller.draw("what", 200),
			deadline:   time.Now().Add(time.Duration(10+20*caller.draw("what", 2)) * time.Second),
			patience:   time.Duration(5+20*caller.draw("what", 2)) * time.Second,
			name:       fmt.Sprint("r", i),
		}
		if !r.idempotent || caller.draw("what", 2) == 0 {
			r.key = fmt.Sprint("k", i)
		}
		w.requests = append(w.requests, r)
		calls, tries, first := 1, 1, caller.draw("what", entries)
		if r.key != "" {
			calls, tries = 1+caller.draw("what", 2), 1+caller.draw("what", 4)
		}
		for c := range calls {
			w.tasks.Go(func() {
				sleep(w.ctx, time.Duration(c)*caller.between(fmt.Sprint(r.name, c), time.Microsecond, 3*time.Millisecond))
				w.call(r, first+c, tries)
			})
		}
	}
}

// call calls one entry after another until there is an answer.
func (w *world) call(r *request, first, tries int) {
	for i := range tries {
		got := make(chan reply, 1)
		e := w.entry((first + i) % entries)
		w.tasks.Go(func() { got <- e.serve(r) })
		timeout := time.NewTimer(r.patience)
		select {
		case a := <-got:
			r.end(a)
			if a.kind == answered {
				timeout.Stop()
				return
			}
		case <-timeout.C:
			r.end(reply{kind: broken})
			w.tasks.Go(func() { <-got })
		}
		timeout.Stop()
		sleep(w.ctx, time.Duration(1+i)*200*time.Millisecond)
	}
}

// topUp tops budgets up, each by two operators with the same id.
func (w *world) topUp() {
	for i := range 5 {
		for _, name := range []string{"operatorA", "operatorB"} {
			p := w.start(name)
			c := w.client(p)
			w.tasks.Go(func() {
				sleep(w.ctx, p.between("at", 0, 300*time.Millisecond))
				for j, workspace := range workspaces {
					tokens := int64(500 * (j + 1))
					entry := model.TopUp{ID: fmt.Sprint("invoice", i), Workspace: workspace, Tokens: tokens}
					post(p, c, c.ShardOf(workspace), entry)
				}
				p.kill()
			})
		}
		sleep(w.ctx, 5*time.Second)
	}
}

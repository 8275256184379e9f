package simulation

import (
	"fmt"
	"sync"
	"time"

	model "github.com/crocusline/crocusline/models/ledger"
)

var workspaces = []string{"clinic", "depot", "store", "lathe"}

// request is one caller's request with the replies to all of its calls.
type request struct {
	workspace  string
	key        string
	idempotent bool
	maxTokens  int
	deadline   time.Time
	// callTimeout is the time for which the caller waits for a reply to one call.
	callTimeout time.Duration

	mu      sync.Mutex
	name    string
	calls   int
	replies []reply
}

// nextID returns the id of the next call. Calls without an idempotency key are
// independent of each other.
func (r *request) nextID() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls++
	return fmt.Sprintf("%s-%d", r.name, r.calls)
}

func (r *request) addReply(got reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replies = append(r.replies, got)
}

// sendRequests sends requests until faultsEnd.
func (env *environment) sendRequests() {
	caller := env.newProcess("caller")
	begin := time.Now()
	for i := 0; time.Since(begin) < faultsEnd; i++ {
		sleep(env.ctx, caller.drawDuration("at", 20*time.Millisecond, 400*time.Millisecond))
		r := &request{
			workspace:   workspaces[caller.drawInt("what", len(workspaces))],
			idempotent:  caller.drawInt("what", 10) < 6,
			maxTokens:   20 + caller.drawInt("what", 200),
			deadline:    time.Now().Add(time.Duration(10+20*caller.drawInt("what", 2)) * time.Second),
			callTimeout: time.Duration(5+20*caller.drawInt("what", 2)) * time.Second,
			name:        fmt.Sprint("r", i),
		}
		if !r.idempotent || caller.drawInt("what", 2) == 0 {
			r.key = fmt.Sprint("k", i)
		}
		env.requests = append(env.requests, r)
		calls, attempts, first := 1, 1, caller.drawInt("what", entries)
		if r.key != "" {
			calls, attempts = 1+caller.drawInt("what", 2), 1+caller.drawInt("what", 4)
		}
		for c := range calls {
			env.tasks.Go(func() {
				sleep(env.ctx, time.Duration(c)*caller.drawDuration(fmt.Sprint(r.name, c), time.Microsecond, 3*time.Millisecond))
				env.callEntries(r, first+c, attempts)
			})
		}
	}
}

// callEntries calls one entry after another until one answers.
func (env *environment) callEntries(r *request, first, attempts int) {
	for i := range attempts {
		replies := make(chan reply, 1)
		e := env.entry((first + i) % entries)
		env.tasks.Go(func() { replies <- e.serve(r) })
		timeout := time.NewTimer(r.callTimeout)
		select {
		case a := <-replies:
			r.addReply(a)
			if a.kind == answered {
				timeout.Stop()
				return
			}
		case <-timeout.C:
			r.addReply(reply{kind: interrupted})
			env.tasks.Go(func() { <-replies })
		}
		timeout.Stop()
		sleep(env.ctx, time.Duration(1+i)*200*time.Millisecond)
	}
}

// topUpBudgets tops up all budgets five times. Two operators post each top-up with
// the same id, so that it must be applied once.
func (env *environment) topUpBudgets() {
	for i := range 5 {
		for _, name := range []string{"operatorA", "operatorB"} {
			p := env.newProcess(name)
			c := env.startClient(p)
			env.tasks.Go(func() {
				sleep(env.ctx, p.drawDuration("at", 0, 300*time.Millisecond))
				for j, workspace := range workspaces {
					tokens := int64(500 * (j + 1))
					entry := model.TopUp{ID: fmt.Sprint("invoice", i), Workspace: workspace, Tokens: tokens}
					post(p, c, c.ShardOf(workspace), entry)
				}
				p.kill()
			})
		}
		sleep(env.ctx, 5*time.Second)
	}
}

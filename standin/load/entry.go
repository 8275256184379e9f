package load

import (
	"fmt"
	"time"

	"github.com/crocusline/crocusline/models/admission"
	"github.com/crocusline/crocusline/models/placement"
	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/models/retry"
)

// entry takes callers' requests and tries them at servers.
type entry struct {
	run    *run
	domain string
	gate   *admission.Gate
	budget *retry.Budget
	places map[string]*placement.Selector
}

func (r *run) newEntry(i int) *entry {
	w := r.workload
	e := &entry{run: r, domain: w.Domains[i%len(w.Domains)], places: map[string]*placement.Selector{}}
	var gate []admission.Option
	if !w.Policy.Gate {
		gate = append(gate, admission.WithAcceptMultiplier(0))
	}
	e.gate = admission.New(gate...)
	budget := []retry.Option{retry.WithRand(r.random("retry", i))}
	if !w.Policy.RetryBudget {
		budget = append(budget, retry.WithoutBudget())
	}
	e.budget = retry.New(budget...)
	for p := range w.Pools {
		pool := &w.Pools[p]
		place := placement.New(
			placement.WithPolicy(w.Policy.Placement),
			placement.WithLocation(e.domain, region),
			placement.WithRand(r.random("placement/"+pool.Name, i)))
		place.SetServers(r.serversOf(pool))
		e.places[pool.Name] = place
	}
	return e
}

func (e *entry) place(s *server) *placement.Selector { return e.places[s.pool.Name] }

// submit takes a caller's request.
func (e *entry) submit(r *request) {
	err := e.gate.Admit(e.run.now, r.flow())
	r.decided = e.run.now
	if refused, ok := refusal.As(err); ok {
		r.end(refused)
		return
	}
	e.run.result.passed++
	e.dispatch(r)
}

// dispatch tries the request at the next server.
func (e *entry) dispatch(r *request) {
	place := e.places[r.stream.Pool]
	c, err := place.Choose(e.run.now, placement.Request{Prompt: r.prompt, Rank: r.stream.Rank, Exclude: r.tried})
	for _, name := range c.Probe {
		e.probe(place, e.run.servers[name])
	}
	r.decided = e.run.now
	if refused, ok := refusal.As(err); ok {
		e.close(r, refused)
		return
	}
	s := e.run.servers[c.Servers[0]]
	r.tries++
	e.run.result.dispatched++
	a := &attempt{
		id: fmt.Sprintf("%s/%d", r.id, e.run.result.dispatched), request: r, entry: e, server: s, base: r.served,
	}
	e.run.after(e.run.workload.Hop, func() { e.arrive(a) })
}

// arrive is the attempt's arrival at its server.
func (e *entry) arrive(a *attempt) {
	s := a.server
	if s.lost {
		e.run.after(e.run.workload.Detect, func() {
			e.place(s).RecordFailure(e.run.now, s.name)
			e.decide(a, lostBefore, refusal.New(refusal.ServerFailed, retry.DefaultMaxInterval, "the server is out of reach"))
		})
		return
	}
	err := s.offer(a)
	e.observe(s)
	if refused, ok := refusal.As(err); ok {
		e.refused(a, refused)
		return
	}
	e.run.after(e.run.workload.Hop, func() { e.gate.RecordAccepted(e.run.now, a.request.flow()) })
}

// observe brings the server's present load to the entry, late.
func (e *entry) observe(s *server) {
	load := s.queue.Load(e.run.now)
	e.run.after(e.run.workload.Hop+s.pool.LoadLag, func() {
		e.place(s).ObserveLoad(e.run.now, s.name, load)
	})
}

// refused brings the sidecar's refusal back.
func (e *entry) refused(a *attempt, err *refusal.Error) {
	a.request.decided = e.run.now
	e.run.after(e.run.workload.Hop, func() {
		e.gate.RecordRefused(e.run.now, a.request.flow(), err.RetryAfter)
		e.failed(a, broken, err)
	})
}

// failed takes in that an attempt broke while it ran.
func (e *entry) failed(a *attempt, how failure, err *refusal.Error) {
	if a.request.stream.Idempotent {
		// What was relayed counts: the next attempt goes on from there.
		a.request.served = a.base + a.served
	}
	e.decide(a, how, err)
}

// failure says how an attempt ended without a whole answer.
type failure int

const (
	// broken attempts reached a server that is still there.
	broken failure = iota
	// lostBefore and lostAfter attempts met the loss of the server before or
	// after it took them in.
	lostBefore
	lostAfter
)

// decide tries the request again or ends it.
func (e *entry) decide(a *attempt, how failure, err *refusal.Error) {
	r := a.request
	left := time.Hour
	if !r.deadline.IsZero() {
		left = r.deadline.Sub(e.run.now)
	}
	v := e.budget.Decide(retry.Attempt{
		Idempotent: r.stream.Idempotent, Dispatched: how != lostBefore, ServerLost: how != broken, Err: err, Attempts: r.tries, TimeLeft: left,
	})
	if !v.Retry {
		e.close(r, v.Err)
		return
	}
	e.run.result.retried++
	r.tried = append(r.tried, a.server.name)
	e.run.after(v.Delay, func() { e.dispatch(r) })
}

// finished takes in that an attempt gave the whole answer.
func (e *entry) finished(a *attempt) {
	e.observe(a.server)
	e.run.after(e.run.workload.Hop, func() {
		e.budget.RecordSuccess()
		e.place(a.server).RecordSuccess(e.run.now, a.server.name)
		e.close(a.request, nil)
	})
}

func (e *entry) close(r *request, err *refusal.Error) {
	e.gate.Release(r.workspace)
	r.end(err)
}

// probe asks a failed server whether it is back.
func (e *entry) probe(place *placement.Selector, s *server) {
	wait := 2 * e.run.workload.Hop
	if s.lost {
		wait = e.run.workload.Detect
	}
	lost := s.lost
	e.run.after(wait, func() {
		if lost {
			place.RecordFailure(e.run.now, s.name)
		} else {
			place.RecordSuccess(e.run.now, s.name)
		}
	})
}

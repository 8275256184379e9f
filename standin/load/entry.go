package load

import (
	"fmt"
	"time"

	"github.com/crocusline/crocusline/models/admission"
	"github.com/crocusline/crocusline/models/placement"
	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/models/retry"
)

// entry is an entry instance: it admits callers' requests and dispatches them to
// servers.
type entry struct {
	run         *run
	domain      string
	gate        *admission.Gate
	retryBudget *retry.Budget
	selectors   map[string]*placement.Selector
}

func (r *run) newEntry(i int) *entry {
	w := r.workload
	e := &entry{run: r, domain: w.Domains[i%len(w.Domains)], selectors: map[string]*placement.Selector{}}
	var gateOptions []admission.Option
	if !w.Policy.Gate {
		gateOptions = append(gateOptions, admission.WithAcceptMultiplier(0))
	}
	e.gate = admission.New(gateOptions...)
	retryOptions := []retry.Option{retry.WithRand(r.random("retry", i))}
	if !w.Policy.RetryBudget {
		retryOptions = append(retryOptions, retry.WithoutBudget())
	}
	e.retryBudget = retry.New(retryOptions...)
	for p := range w.Pools {
		pool := &w.Pools[p]
		selector := placement.New(
			placement.WithPolicy(w.Policy.Placement),
			placement.WithLocation(e.domain, region),
			placement.WithRand(r.random("placement/"+pool.Name, i)))
		selector.SetServers(r.serversOf(pool))
		e.selectors[pool.Name] = selector
	}
	return e
}

func (e *entry) selector(s *server) *placement.Selector { return e.selectors[s.pool.Name] }

// submit admits or refuses a caller's request.
func (e *entry) submit(r *request) {
	err := e.gate.Admit(e.run.now, r.admissionRequest())
	r.decidedAt = e.run.now
	if refused, ok := refusal.As(err); ok {
		r.finish(refused)
		return
	}
	e.run.result.admitted++
	e.dispatch(r)
}

// dispatch sends the request to the next server that placement selects.
func (e *entry) dispatch(r *request) {
	selector := e.selectors[r.stream.Pool]
	c, err := selector.Choose(e.run.now, placement.Request{Prompt: r.prompt, Rank: r.stream.Rank, Exclude: r.triedServers})
	for _, name := range c.Probe {
		e.probe(selector, e.run.servers[name])
	}
	r.decidedAt = e.run.now
	if refused, ok := refusal.As(err); ok {
		e.finish(r, refused)
		return
	}
	s := e.run.servers[c.Servers[0]]
	r.attempts++
	e.run.result.dispatched++
	a := &attempt{
		id: fmt.Sprintf("%s/%d", r.id, e.run.result.dispatched), request: r, entry: e, server: s, resumedFrom: r.received,
	}
	e.run.after(e.run.workload.Hop, func() { e.deliver(a) })
}

// deliver enqueues the attempt at its server, or reports the server's loss after
// the detection time.
func (e *entry) deliver(a *attempt) {
	s := a.server
	if s.down {
		e.run.after(e.run.workload.Detect, func() {
			e.selector(s).RecordFailure(e.run.now, s.name)
			e.retryOrFail(a, lostBeforeDelivery, refusal.New(refusal.ServerFailed, retry.DefaultMaxInterval, "the server is out of reach"))
		})
		return
	}
	err := s.enqueue(a)
	e.reportLoad(s)
	if refused, ok := refusal.As(err); ok {
		e.handleRefusal(a, refused)
		return
	}
	e.run.after(e.run.workload.Hop, func() { e.gate.RecordAccepted(e.run.now, a.request.admissionRequest()) })
}

// reportLoad passes the server's current load to the entry's placement, delayed by
// the hop and the pool's load lag.
func (e *entry) reportLoad(s *server) {
	load := s.queue.Load(e.run.now)
	e.run.after(e.run.workload.Hop+s.pool.LoadLag, func() {
		e.selector(s).ObserveLoad(e.run.now, s.name, load)
	})
}

// handleRefusal processes a sidecar's refusal after the hop back to the entry.
func (e *entry) handleRefusal(a *attempt, err *refusal.Error) {
	a.request.decidedAt = e.run.now
	e.run.after(e.run.workload.Hop, func() {
		e.gate.RecordRefused(e.run.now, a.request.admissionRequest(), err.RetryAfter)
		e.handleFailure(a, callFailed, err)
	})
}

// handleFailure processes an attempt that was refused, aborted or lost.
func (e *entry) handleFailure(a *attempt, kind failureKind, err *refusal.Error) {
	if a.request.stream.Idempotent {
		// The next attempt continues after the tokens that were relayed.
		a.request.received = a.resumedFrom + a.generated
	}
	e.retryOrFail(a, kind, err)
}

// failureKind describes how an attempt ended without a complete response.
type failureKind int

const (
	// callFailed means that the server was reached and is still running.
	callFailed failureKind = iota
	// lostBeforeDelivery and lostAfterDelivery mean that the server was lost before
	// or after it accepted the attempt.
	lostBeforeDelivery
	lostAfterDelivery
)

// retryOrFail retries the request if the retry policy allows it, and otherwise
// ends it with the error.
func (e *entry) retryOrFail(a *attempt, kind failureKind, err *refusal.Error) {
	r := a.request
	timeLeft := time.Hour
	if !r.deadline.IsZero() {
		timeLeft = r.deadline.Sub(e.run.now)
	}
	decision := e.retryBudget.Decide(retry.Attempt{
		Idempotent: r.stream.Idempotent, Dispatched: kind != lostBeforeDelivery, ServerLost: kind != callFailed, Err: err, Attempts: r.attempts, TimeLeft: timeLeft,
	})
	if !decision.Retry {
		e.finish(r, decision.Err)
		return
	}
	e.run.result.retried++
	r.triedServers = append(r.triedServers, a.server.name)
	e.run.after(decision.Delay, func() { e.dispatch(r) })
}

// handleCompletion processes an attempt that generated the complete response.
func (e *entry) handleCompletion(a *attempt) {
	e.reportLoad(a.server)
	e.run.after(e.run.workload.Hop, func() {
		e.retryBudget.RecordSuccess()
		e.selector(a.server).RecordSuccess(e.run.now, a.server.name)
		e.finish(a.request, nil)
	})
}

func (e *entry) finish(r *request, err *refusal.Error) {
	e.gate.Release(r.workspace)
	r.finish(err)
}

// probe checks whether a failed server is available again.
func (e *entry) probe(selector *placement.Selector, s *server) {
	wait := 2 * e.run.workload.Hop
	if s.down {
		wait = e.run.workload.Detect
	}
	lost := s.down
	e.run.after(wait, func() {
		if lost {
			selector.RecordFailure(e.run.now, s.name)
		} else {
			selector.RecordSuccess(e.run.now, s.name)
		}
	})
}

package load

import (
	"slices"
	"time"
)

// engine simulates a model engine with continuous batching: each step processes a
// limited number of prompt tokens and generates one token for every running
// request whose prompt is complete.
type engine struct {
	pool    *Pool
	cache   *cache
	running []*attempt
}

// attempt is one dispatch of a request to one server.
type attempt struct {
	id      string
	request *request
	entry   *entry
	server  *server
	// resumedFrom is the number of response tokens from earlier attempts.
	resumedFrom int
	generated   int
	prefillLeft int
	// cacheCounted is set once the attempt is counted in the cache hit rate.
	cacheCounted bool
	// willFail makes the attempt end with an error instead of its first token.
	willFail bool
}

func (a *attempt) promptTokens() int { return a.request.promptTokens() + a.resumedFrom }

func (a *attempt) remaining() int { return a.request.outputTokens - a.resumedFrom - a.generated }

// start adds an attempt to the batch and returns how many tokens of its shared
// prefix are in the prefix cache.
func (e *engine) start(a *attempt) int {
	e.running = append(e.running, a)
	r := a.request
	prefixHit := min(e.cache.get(r.prefix), r.stream.PrefixTokens)
	ownHit := e.cache.get(r.id)
	a.prefillLeft = max(a.promptTokens()+a.generated-prefixHit-ownHit, 1)
	return prefixHit
}

// stop removes an attempt from the batch and keeps its tokens in the cache.
func (e *engine) stop(a *attempt) {
	e.running = slices.DeleteFunc(e.running, func(o *attempt) bool { return o == a })
	e.cachePrompt(a)
}

// cachePrompt caches the tokens of an attempt whose prompt is complete.
func (e *engine) cachePrompt(a *attempt) {
	if a.prefillLeft > 0 {
		return
	}
	e.cache.put(a.request.prefix, a.request.stream.PrefixTokens)
	e.cache.put(a.request.id, a.promptTokens()+a.generated-a.request.stream.PrefixTokens)
}

// planStep distributes the prompt tokens of the next step, more urgent requests
// first, and returns the duration of the step.
func (e *engine) planStep() (prefill map[*attempt]int, duration time.Duration) {
	slices.SortStableFunc(e.running, func(a, b *attempt) int {
		return int(a.request.stream.Rank) - int(b.request.stream.Rank)
	})
	budget := e.pool.PrefillStep
	prefill = make(map[*attempt]int)
	for _, a := range e.running {
		n := min(a.prefillLeft, budget)
		prefill[a] = n
		budget -= n
	}
	total := e.pool.PrefillStep - budget
	duration = e.pool.Step + time.Duration(len(e.running))*e.pool.StepPerStream +
		time.Duration(total)*e.pool.PrefillTime
	return prefill, duration
}

// advance completes a step for one attempt and reports whether it generated a
// token.
func (e *engine) advance(a *attempt, prefilled int) bool {
	if a.prefillLeft > 0 {
		a.prefillLeft -= prefilled
		if e.pool.PrefillStep == 0 {
			a.prefillLeft = 0
		}
		if a.prefillLeft > 0 {
			return false
		}
		e.cachePrompt(a)
	}
	a.generated++
	return true
}

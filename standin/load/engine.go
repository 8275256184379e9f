package load

import (
	"slices"
	"time"
)

// engine is a fake of a model engine that batches continuously: each step lets
// every running stream go on by a token or reads a part of the prompts.
type engine struct {
	pool    *Pool
	cache   *cache
	running []*attempt
}

// attempt is one try of a request at one server.
type attempt struct {
	id      string
	request *request
	entry   *entry
	server  *server
	// base is how many tokens of the answer earlier attempts gave.
	base    int
	served  int
	prefill int
	// looked says whether the prefix cache was counted for the hit rate.
	looked bool
	// failing attempts end with an error instead of their first token.
	failing bool
}

func (a *attempt) promptTokens() int { return a.request.promptTokens() + a.base }

func (a *attempt) left() int { return a.request.output - a.base - a.served }

// start puts an attempt into the batch and returns how many tokens of its
// prompt the prefix cache held.
func (e *engine) start(a *attempt) int {
	e.running = append(e.running, a)
	r := a.request
	hit := min(e.cache.lookUp(r.prefix), r.stream.PrefixTokens)
	own := e.cache.lookUp(r.id)
	a.prefill = max(a.promptTokens()+a.served-hit-own, 1)
	return hit
}

// stop takes an attempt out of the batch and keeps its tokens in the cache.
func (e *engine) stop(a *attempt) {
	e.running = slices.DeleteFunc(e.running, func(o *attempt) bool { return o == a })
	e.store(a)
}

func (e *engine) store(a *attempt) {
	if a.prefill > 0 {
		return
	}
	e.cache.store(a.request.prefix, a.request.stream.PrefixTokens)
	e.cache.store(a.request.id, a.promptTokens()+a.served-a.request.stream.PrefixTokens)
}

// plan shares out the prompt tokens that the next step reads, more urgent
// requests first, and returns how long the step takes.
func (e *engine) plan() (reads map[*attempt]int, took time.Duration) {
	slices.SortStableFunc(e.running, func(a, b *attempt) int {
		return int(a.request.stream.Rank) - int(b.request.stream.Rank)
	})
	budget := e.pool.PrefillStep
	reads = make(map[*attempt]int)
	for _, a := range e.running {
		n := min(a.prefill, budget)
		reads[a] = n
		budget -= n
	}
	read := e.pool.PrefillStep - budget
	took = e.pool.Step + time.Duration(len(e.running))*e.pool.StepPerStream +
		time.Duration(read)*e.pool.PrefillTime
	return reads, took
}

// advance ends a step for one attempt and says whether it gave a token.
func (e *engine) advance(a *attempt, read int) bool {
	if a.prefill > 0 {
		a.prefill -= read
		if e.pool.PrefillStep == 0 {
			a.prefill = 0
		}
		if a.prefill > 0 {
			return false
		}
		e.store(a)
	}
	a.served++
	return true
}

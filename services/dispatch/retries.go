package dispatch

import (
	"math/rand/v2"
	"sync"

	"github.com/crocusline/crocusline/models/retry"
)

// SharedRetries is the retry budget of one entry, shared by its requests.
type SharedRetries struct {
	mu     sync.Mutex
	budget *retry.Budget
}

// NewRetries returns a full retry budget.
func NewRetries(opts ...retry.Option) *SharedRetries {
	seeded := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	opts = append([]retry.Option{retry.WithRand(seeded)}, opts...)
	return &SharedRetries{budget: retry.New(opts...)}
}

// Decide implements Retries.
func (r *SharedRetries) Decide(a retry.Attempt) retry.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.Decide(a)
}

// Succeeded implements Retries.
func (r *SharedRetries) Succeeded() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.RecordSuccess()
}

package dispatch

import (
	"math/rand/v2"
	"sync"

	"github.com/crocusline/crocusline/models/retry"
)

// SharedRetryBudget is a RetryPolicy with one retry budget for all requests of an
// entry instance.
type SharedRetryBudget struct {
	mu     sync.Mutex
	budget *retry.Budget
}

// NewSharedRetryBudget returns a full retry budget.
func NewSharedRetryBudget(opts ...retry.Option) *SharedRetryBudget {
	seeded := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	opts = append([]retry.Option{retry.WithRand(seeded)}, opts...)
	return &SharedRetryBudget{budget: retry.New(opts...)}
}

// Decide implements RetryPolicy.
func (r *SharedRetryBudget) Decide(a retry.Attempt) retry.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.Decide(a)
}

// RecordSuccess implements RetryPolicy.
func (r *SharedRetryBudget) RecordSuccess() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.RecordSuccess()
}

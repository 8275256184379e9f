package balance

import "github.com/crocusline/crocusline/models/estimate"

// DiscardEstimates returns the balancer to the constants of a pool without observations, so that
// replays can compare learned estimates with constants.
func (b *Balancer) DiscardEstimates() {
	prior := plainPrior
	if b.cacheTokens > 0 {
		prior = enginePrior
	}
	b.latency = estimate.New(prior)
	for _, s := range b.servers {
		s.latency = estimate.Server{}
	}
}

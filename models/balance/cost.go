package balance

import (
	"math"
	"time"

	"github.com/crocusline/crocusline/models/call"
	"github.com/crocusline/crocusline/models/estimate"
)

// enginePrior and plainPrior are the estimates for a pool without observations.
var (
	// enginePrior is the data sheet of one engine. A running request delays the first few
	// decoding steps, which take longer in a larger batch.
	enginePrior = estimate.Prior{Idle: 24 * time.Millisecond, TokensPerMs: 37.9, PerRunning: time.Millisecond}
	// plainPrior is the usual service time of a call to a plain service, according to the
	// data sheets of both deployments.
	plainPrior = estimate.Prior{Idle: 40 * time.Millisecond}
)

// Costs used to compare servers, expressed as time that a caller waits.
const (
	// crossDomainCost weights the price and latency of traffic between failure
	// domains.
	crossDomainCost = 10 * time.Millisecond
	// failureCost is the time lost by a failed attempt: a timeout and a retry.
	failureCost = 700 * time.Millisecond
	// confirmCredit is the latency that a request may lose for the news of whether a server still
	// names its limit.
	confirmCredit = 50 * time.Millisecond
	// latencyFloorShare is the share of the request's goal below which predictions
	// are considered almost equal. The rest of the goal is a reserve for delays that this
	// gateway cannot observe.
	latencyFloorShare = 0.4
	// latencyShare is the share of a prediction below that floor that still counts. It is
	// small, so that cached tokens decide between servers with and without them, and the
	// faster or less late one is chosen among others.
	latencyShare = 0.05
	// delayDecay is the time constant with which an observed delay decays. It is
	// about the time in which an engine completes the work that caused the delay.
	delayDecay = 600 * time.Millisecond
)

// predict returns the expected time to the first event and the number of cached
// prompt tokens.
func (b *Balancer) predict(now time.Time, s *server, r Request, preferred bool) (time.Duration, int64) {
	load, cached := b.load(s, r, preferred)
	predicted := b.latency.Latency(&s.latency, load)
	if b.cacheTokens > 0 {
		predicted += s.backlog(now)
	}
	return predicted, cached
}

// load returns what the server does before the first event of the request, as far as this
// gateway knows, and the number of cached prompt tokens.
func (b *Balancer) load(s *server, r Request, preferred bool) (estimate.Load, int64) {
	if b.cacheTokens == 0 {
		return estimate.Load{Rounds: 1 + float64(s.running)/float64(max(1, s.Slots))}, 0
	}
	cached := s.cache.prefixTokens(r.Segments)
	if preferred {
		cached = max(cached, sharedTokens(r.Segments))
	}
	return s.promptLoad(r, cached), cached
}

func (s *server) promptLoad(r Request, cached int64) estimate.Load {
	return estimate.Load{
		Rounds: 1, Tokens: float64(uncachedTokens(r, cached) + s.pendingTokens), Running: float64(s.running),
	}
}

// uncachedTokens returns the number of prompt tokens that the server has to process.
func uncachedTokens(r Request, cached int64) int64 {
	return r.PromptTokens - min(cached, r.PromptTokens)
}

// backlog estimates the work at a server that other gateways sent, from how late
// first events were recently or are now.
func (s *server) backlog(now time.Time) time.Duration {
	backlog := time.Duration(float64(s.delay) * math.Exp(-now.Sub(s.delayedAt).Seconds()/delayDecay.Seconds()))
	for _, p := range s.unread {
		backlog = max(backlog, now.Sub(p.firstEventDue))
	}
	return backlog
}

// penalty returns the cost of a server beyond its predicted latency: recent
// failures, traffic between failure domains, and suspension.
func (b *Balancer) penalty(now time.Time, s *server, r Request) time.Duration {
	cost := time.Duration(s.failureRate * float64(failureCost))
	if s.FailureDomain != b.domain {
		cost += crossDomainCost
	}
	if _, unconfirmed := b.board.Limits(now, s.Server); unconfirmed {
		cost -= confirmCredit
	}
	switch {
	case s.suspension == 0:
	case s.avoided(now, r):
		cost += time.Minute
	default:
		// One request at a time tests the server, with the failure penalty waived.
		// Other requests use it only if every other server costs a minute more.
		cost -= time.Duration(s.failureRate * float64(failureCost))
	}
	return cost
}

// latencyCost returns the cost of a predicted latency. Below the floor most of it is left out.
func latencyCost(r Request, predicted time.Duration) time.Duration {
	return max(predicted, latencyFloor(r)) + time.Duration(float64(predicted)*latencyShare)
}

// latencyFloor returns the predicted latency below which servers are considered
// almost equally fast, so that cached tokens decide.
func latencyFloor(r Request) time.Duration {
	return time.Duration(float64(r.Goal) * latencyFloorShare)
}

// recomputeCost returns the engine time that processing uncached shared segments
// takes away from other requests.
func (b *Balancer) recomputeCost(s *server, r Request, cached int64) time.Duration {
	if b.cacheTokens == 0 {
		return 0
	}
	missing := max(0, sharedTokens(r.Segments)-cached)
	return time.Duration(float64(missing) / b.latency.TokensPerMs(&s.latency) * float64(time.Millisecond))
}

// sharedTokens returns the size of all segments but the last, which is specific to
// the request.
func sharedTokens(segments []call.PrefixSegment) int64 {
	var sum int64
	for i := 0; i+1 < len(segments); i++ {
		sum += segments[i].Tokens
	}
	return sum
}

package queue

import "time"

// learning is the weight of the newest observation in the running means.
const learning = 0.1

// estimator learns how much of the permitted output requests of one kind
// generate, and how long they run per token.
type estimator struct {
	// fraction is generated tokens per permitted token.
	fraction float64
	// pace is run time per token of prompt and output.
	pace float64
	seen bool
}

// learn takes in a request that finished.
func (e *estimator) learn(it *item, ran time.Duration) {
	tokens := float64(it.PromptTokens + it.served)
	if tokens <= 0 {
		return
	}
	fraction := e.fraction
	if it.MaxTokens > 0 {
		fraction = float64(it.served) / float64(it.MaxTokens)
	}
	pace := float64(ran) / tokens
	if !e.seen {
		e.fraction, e.pace, e.seen = fraction, pace, true
		return
	}
	e.fraction += learning * (fraction - e.fraction)
	e.pace += learning * (pace - e.pace)
}

func (q *Queue) estimator(kind string) *estimator {
	e := q.estimators[kind]
	if e == nil {
		e = &estimator{fraction: 1, pace: float64(q.tokenTime)}
		q.estimators[kind] = e
	}
	return e
}

// cost is the expected total of tokens of a request.
func (q *Queue) cost(it *item) float64 {
	output := it.expect.fraction * float64(it.MaxTokens)
	return float64(it.PromptTokens) + max(output, float64(it.served))
}

// duration is the expected total run time of a request.
func (q *Queue) duration(it *item) time.Duration {
	return time.Duration(q.cost(it) * it.expect.pace)
}

// remaining is the expected run time that a request has left.
func (q *Queue) remaining(now time.Time, it *item) time.Duration {
	left := q.duration(it) - it.elapsed
	if it.running {
		left -= now.Sub(it.started)
	}
	return max(left, 0)
}

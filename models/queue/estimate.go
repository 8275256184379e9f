package queue

import "time"

// sampleWeight is the weight of the newest sample in the moving averages.
const sampleWeight = 0.1

// estimator estimates, for one kind of request, which fraction of the permitted
// output is generated and the run time per token.
type estimator struct {
	// outputFraction is the number of generated tokens per permitted token.
	outputFraction float64
	// timePerToken is the run time per token of prompt and output.
	timePerToken float64
	hasSamples   bool
}

// update adds a finished request to the averages.
func (e *estimator) update(it *item, ran time.Duration) {
	tokens := float64(it.PromptTokens + it.generated)
	if tokens <= 0 {
		return
	}
	fraction := e.outputFraction
	if it.MaxTokens > 0 {
		fraction = float64(it.generated) / float64(it.MaxTokens)
	}
	timePerToken := float64(ran) / tokens
	if !e.hasSamples {
		e.outputFraction, e.timePerToken, e.hasSamples = fraction, timePerToken, true
		return
	}
	e.outputFraction += sampleWeight * (fraction - e.outputFraction)
	e.timePerToken += sampleWeight * (timePerToken - e.timePerToken)
}

func (q *Queue) estimator(kind string) *estimator {
	e := q.estimators[kind]
	if e == nil {
		e = &estimator{outputFraction: 1, timePerToken: float64(q.timePerToken)}
		q.estimators[kind] = e
	}
	return e
}

// cost returns the expected number of prompt and output tokens of a request.
func (q *Queue) cost(it *item) float64 {
	output := it.estimator.outputFraction * float64(it.MaxTokens)
	return float64(it.PromptTokens) + max(output, float64(it.generated))
}

// expectedRunTime returns the expected total run time of a request.
func (q *Queue) expectedRunTime(it *item) time.Duration {
	return time.Duration(q.cost(it) * it.estimator.timePerToken)
}

// remaining returns the expected remaining run time of a request.
func (q *Queue) remaining(now time.Time, it *item) time.Duration {
	left := q.expectedRunTime(it) - it.elapsed
	if it.running {
		left -= now.Sub(it.started)
	}
	return max(left, 0)
}

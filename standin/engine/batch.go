package engine

import (
	"cmp"
	"slices"
	"time"
)

// finishReason says why a stream ended.
type finishReason string

const (
	finishNone  finishReason = ""
	finishStop  finishReason = "stop"
	finishAbort finishReason = "abort"
)

// stream is one request in the engine.
type stream struct {
	id       string
	prompt   string
	priority int
	arrival  int64
	// tokens are the prompt's and the answer's so far.
	tokens  []string
	sampler *sampler
	// promptTokens is how many of tokens are the prompt's.
	promptTokens int
	// startToken is the first token of the answer to generate here.
	startToken int
	// totalTokens is the length of the whole answer.
	totalTokens int
	// prefillLeft is how many tokens are still to be read. Below 0: not known
	// before the stream has a slot.
	prefillLeft int
	// preempted counts how often the stream lost its slot.
	preempted int
	finish    finishReason
	// progress has room for one signal that the stream went on.
	progress chan struct{}
}

const prefillUnknown = -1

func newStream(id, prompt string, generated []string, maxTokens, priority int) *stream {
	s := &stream{
		id:          id,
		prompt:      prompt,
		priority:    priority,
		sampler:     newSampler(prompt),
		startToken:  len(generated),
		totalTokens: completionLength(prompt, maxTokens),
		prefillLeft: prefillUnknown,
		progress:    make(chan struct{}, 1),
	}
	s.tokens = Tokenize(prompt)
	s.promptTokens = len(s.tokens)
	for _, token := range generated {
		s.sampler.update(token)
		s.tokens = append(s.tokens, token)
	}
	return s
}

// completionTokens is the length of the answer so far, with what was given.
func (s *stream) completionTokens() int {
	return len(s.tokens) - s.promptTokens
}

// generatedTokens is how many tokens were generatedTokens here.
func (s *stream) generatedTokens() int {
	return s.completionTokens() - s.startToken
}

func (s *stream) notifyProgress() {
	select {
	case s.progress <- struct{}{}:
	default:
	}
}

// compare orders streams for slots: urgent first, then by arrival.
func (s *stream) compare(other *stream) int {
	if s.priority != other.priority {
		return cmp.Compare(s.priority, other.priority)
	}
	return cmp.Compare(s.arrival, other.arrival)
}

// batch is the continuous batch: a fixed number of slots, each of which makes
// one token a step, and the streams that wait for a slot.
type batch struct {
	slots       int
	prefillStep int
	cache       *prefixCache
	arrivals    int64
	running     []*stream
	waiting     []*stream
}

// enqueue queues a stream.
func (b *batch) enqueue(s *stream) {
	b.arrivals++
	s.arrival = b.arrivals
	at, _ := slices.BinarySearchFunc(b.waiting, s, (*stream).compare)
	b.waiting = slices.Insert(b.waiting, at, s)
}

// remove takes a stream out of the batch.
func (b *batch) remove(s *stream) {
	same := func(other *stream) bool { return other == s }
	b.running = slices.DeleteFunc(b.running, same)
	b.waiting = slices.DeleteFunc(b.waiting, same)
}

// find returns the stream of a request, or nil.
func (b *batch) find(id string) *stream {
	for _, s := range slices.Concat(b.running, b.waiting) {
		if s.id == id {
			return s
		}
	}
	return nil
}

func (b *batch) idle() bool {
	return len(b.running)+len(b.waiting) == 0
}

// step gives out the slots and lets each running stream go on by one token.
func (b *batch) step(now time.Time) {
	b.admit()
	for _, s := range slices.Clone(b.running) {
		b.advance(now, s)
	}
}

// admit fills the slots with the most urgent streams. A running stream is
// preempted only by one of a more urgent priority.
func (b *batch) admit() {
	for len(b.waiting) > 0 {
		first := b.waiting[0]
		if len(b.running) >= b.slots && !b.preempt(first.priority) {
			return
		}
		b.waiting = slices.DeleteFunc(b.waiting, func(s *stream) bool { return s == first })
		b.running = append(b.running, first)
		first.prefillLeft = max(0, len(first.tokens)-b.cache.cached(first.tokens))
	}
}

// preempt pauses the least urgent running stream, if it is less urgent than
// the priority.
func (b *batch) preempt(priority int) bool {
	if len(b.running) == 0 {
		return false
	}
	last := slices.MaxFunc(b.running, (*stream).compare)
	if last.priority <= priority {
		return false
	}
	b.remove(last)
	last.preempted++
	at, _ := slices.BinarySearchFunc(b.waiting, last, (*stream).compare)
	b.waiting = slices.Insert(b.waiting, at, last)
	return true
}

// advance lets a running stream read a step's worth of its prompt or generate
// one token.
func (b *batch) advance(now time.Time, s *stream) {
	if s.prefillLeft > 0 {
		s.prefillLeft -= b.prefillStep
		if s.prefillLeft > 0 {
			return
		}
		b.cache.store(now, s.tokens)
	}
	if s.completionTokens() < s.totalTokens {
		s.tokens = append(s.tokens, s.sampler.next())
	}
	if s.completionTokens() >= s.totalTokens {
		b.finishStream(now, s, finishStop)
	}
	s.notifyProgress()
}

// finishStream takes a stream out of the batch and keeps its tokens in the cache.
func (b *batch) finishStream(now time.Time, s *stream, reason finishReason) {
	if s.finish != finishNone {
		return
	}
	b.remove(s)
	s.finish = reason
	b.cache.store(now, s.tokens)
	s.notifyProgress()
}

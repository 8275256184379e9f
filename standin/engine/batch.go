package engine

import (
	"cmp"
	"slices"
	"time"
)

// finishReason is why a stream ended, in the words of the completions API.
type finishReason string

const (
	finishNone  finishReason = ""
	finishStop  finishReason = "stop"
	finishAbort finishReason = "abort"
)

// stream is the generation of the response to one request.
type stream struct {
	id       string
	prompt   string
	priority int
	arrival  int64
	// tokens are the tokens of the prompt and of the response so far.
	tokens  []string
	sampler *sampler
	// promptTokens is the number of leading tokens that belong to the prompt.
	promptTokens int
	// startToken is the position in the response of the first token generated
	// here. The tokens before it are part of the request.
	startToken int
	// totalTokens is the length of the complete response.
	totalTokens int
	// prefillLeft is how many tokens are still to be prefilled, or
	// prefillUnknown until the stream gets a slot.
	prefillLeft int
	// preempted counts how often the stream was preempted.
	preempted int
	finish    finishReason
	// progress is signalled when the stream has new tokens or has ended. It
	// buffers one signal.
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

// completionTokens returns the length of the response so far, including the
// tokens that are part of the request.
func (s *stream) completionTokens() int {
	return len(s.tokens) - s.promptTokens
}

// generatedTokens returns how many tokens this engine generated.
func (s *stream) generatedTokens() int {
	return s.completionTokens() - s.startToken
}

func (s *stream) notifyProgress() {
	select {
	case s.progress <- struct{}{}:
	default:
	}
}

// compare orders streams by priority, most urgent first, and then by arrival.
func (s *stream) compare(other *stream) int {
	if s.priority != other.priority {
		return cmp.Compare(s.priority, other.priority)
	}
	return cmp.Compare(s.arrival, other.arrival)
}

// batch implements continuous batching: a fixed number of slots, each of which
// generates one token per step, and a queue of streams waiting for a slot.
type batch struct {
	slots       int
	prefillStep int
	cache       *prefixCache
	arrivals    int64
	running     []*stream
	waiting     []*stream
}

// enqueue adds a stream to the queue.
func (b *batch) enqueue(s *stream) {
	b.arrivals++
	s.arrival = b.arrivals
	at, _ := slices.BinarySearchFunc(b.waiting, s, (*stream).compare)
	b.waiting = slices.Insert(b.waiting, at, s)
}

// remove removes a stream from its slot or from the queue.
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

// step assigns the free slots and advances each running stream.
func (b *batch) step(now time.Time) {
	b.admit()
	for _, s := range slices.Clone(b.running) {
		b.advance(now, s)
	}
}

// admit assigns slots to the most urgent waiting streams. A running stream is
// preempted only by a stream of more urgent priority, not by an earlier one of
// the same priority.
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

// preempt moves the least urgent running stream back to the queue if it is less
// urgent than priority, and reports whether it did.
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

// advance prefills one step of a stream's tokens, or generates its next token.
// The step that completes the prefill also generates a token.
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

// finishStream removes a stream from the batch and stores its tokens in the cache.
// It has no effect on a stream that has already ended.
func (b *batch) finishStream(now time.Time, s *stream, reason finishReason) {
	if s.finish != finishNone {
		return
	}
	b.remove(s)
	s.finish = reason
	b.cache.store(now, s.tokens)
	s.notifyProgress()
}

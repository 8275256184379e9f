// Package engine simulates a model engine for tests. It implements continuous
// batching over a fixed number of slots, priorities with preemption, a prompt
// prefix cache of limited size, and a record of the executed requests. Its
// responses are a deterministic function of the prompt; see Completion.
package engine

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Defaults of the options.
const (
	defaultSlots         = 8
	defaultTokenInterval = 20 * time.Millisecond
	// defaultPrefillSpeed is in tokens per second per stream.
	defaultPrefillSpeed = 5000
	// defaultCacheTokens is the size of the prefix cache in tokens.
	defaultCacheTokens = 100_000
)

// Engine is a simulated model engine.
type Engine struct {
	now           func() time.Time
	tokenInterval time.Duration
	prefillSpeed  int
	initialFaults Faults

	mu                   sync.Mutex
	faults               Faults
	batch                *batch
	runs                 []*requestRun
	loadHistory          []Load
	orders               []OrderRecord
	highestFencingNumber int64
	role                 string
	models               []string

	workSignal chan struct{}
	stop       chan struct{}
	wg         sync.WaitGroup
}

// Option configures an Engine.
type Option func(*Engine)

// WithSlots sets how many streams generate concurrently.
func WithSlots(slots int) Option {
	return func(e *Engine) { e.batch.slots = slots }
}

// WithTokenInterval sets the interval between two tokens of a stream.
func WithTokenInterval(d time.Duration) Option {
	return func(e *Engine) { e.tokenInterval = d }
}

// WithPrefillSpeed sets how many tokens are prefilled per second and stream.
func WithPrefillSpeed(tokensPerSecond int) Option {
	return func(e *Engine) { e.prefillSpeed = tokensPerSecond }
}

// WithCacheTokens sets the size of the prefix cache in tokens.
func WithCacheTokens(tokens int) Option {
	return func(e *Engine) { e.batch.cache = newPrefixCache(tokens) }
}

// WithFaults sets the initial faults.
func WithFaults(f Faults) Option {
	return func(e *Engine) { e.initialFaults = f }
}

// WithRole sets the engine's initial role.
func WithRole(role string) Option {
	return func(e *Engine) { e.role = role }
}

// New creates and starts an engine.
func New(options ...Option) *Engine {
	e := &Engine{
		now:           time.Now,
		tokenInterval: defaultTokenInterval,
		prefillSpeed:  defaultPrefillSpeed,
		batch:         &batch{slots: defaultSlots, cache: newPrefixCache(defaultCacheTokens)},
		role:          "mixed",
		models:        []string{},
		workSignal:    make(chan struct{}, 1),
		stop:          make(chan struct{}),
	}
	for _, option := range options {
		option(e)
	}
	e.faults = e.initialFaults
	e.recordLoad()
	e.wg.Go(e.generate)
	return e
}

// Close stops the engine and aborts its streams.
func (e *Engine) Close() error {
	close(e.stop)
	e.wg.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range slices.Concat(e.batch.running, e.batch.waiting) {
		e.batch.finishStream(e.now(), s, finishAbort)
	}
	return nil
}

// generate advances the batch by one step per token interval while it has streams.
func (e *Engine) generate() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	<-timer.C
	for {
		interval, busy := e.nextStep()
		if busy {
			timer.Reset(interval)
			select {
			case <-timer.C:
				e.step()
			case <-e.stop:
				return
			}
			continue
		}
		select {
		case <-e.workSignal:
		case <-e.stop:
			return
		}
	}
}

// nextStep returns the time to the next step and whether a step is due: the batch
// has streams and isn't frozen.
func (e *Engine) nextStep() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.interval(), !e.batch.idle() && !e.faults.Freeze
}

func (e *Engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Freeze {
		return
	}
	perStep := float64(e.prefillSpeed) * e.interval().Seconds()
	e.batch.prefillStep = max(1, int(perStep))
	e.batch.step(e.now())
	e.recordLoad()
}

// signalWork makes generate check for work again.
func (e *Engine) signalWork() {
	select {
	case e.workSignal <- struct{}{}:
	default:
	}
}

// RequestRecord describes a request that the engine accepted.
type RequestRecord struct {
	RequestID string `json:"requestId"`
	// PromptHash is the xxhash of the prompt in hexadecimal.
	PromptHash   string `json:"promptHash"`
	PromptTokens int    `json:"promptTokens"`
	// StartToken is the position in the response of the first token generated
	// here.
	StartToken int `json:"startToken"`
	// Tokens is the number of tokens generated here.
	Tokens    int  `json:"tokens"`
	Finished  bool `json:"finished"`
	Cancelled bool `json:"cancelled"`
	Priority  int  `json:"priority"`
	// Preempted counts how often the request was preempted.
	Preempted int       `json:"preempted"`
	Began     time.Time `json:"began"`
}

// requestRun is a request that the engine accepted.
type requestRun struct {
	stream *stream
	began  time.Time
}

// PromptHash returns the xxhash of a prompt in hexadecimal.
func PromptHash(prompt string) string {
	return strconv.FormatUint(xxhash.Sum64String(prompt), 16)
}

// Requests returns all requests that the engine accepted, in order of arrival.
func (e *Engine) Requests() []RequestRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]RequestRecord, 0, len(e.runs))
	for _, r := range e.runs {
		s := r.stream
		list = append(list, RequestRecord{
			RequestID:    s.id,
			PromptHash:   PromptHash(s.prompt),
			PromptTokens: s.promptTokens,
			StartToken:   s.startToken,
			Tokens:       s.generatedTokens(),
			Finished:     s.finish == finishStop,
			Cancelled:    s.finish == finishAbort,
			Priority:     s.priority,
			Preempted:    s.preempted,
			Began:        r.began,
		})
	}
	return list
}

// start records and queues a stream.
func (e *Engine) start(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs = append(e.runs, &requestRun{stream: s, began: e.now()})
	e.batch.enqueue(s)
	e.recordLoad()
	e.signalWork()
}

// cancel aborts a stream unless it has ended.
func (e *Engine) cancel(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch.finishStream(e.now(), s, finishAbort)
	e.recordLoad()
}

// Cancel aborts the stream of a request and reports whether there was one.
func (e *Engine) Cancel(requestID string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.batch.find(requestID)
	if s == nil {
		return false
	}
	e.batch.finishStream(e.now(), s, finishAbort)
	e.recordLoad()
	return true
}

// tokensFrom returns the tokens of the response from a position on, and the finish
// reason if the stream has ended.
func (e *Engine) tokensFrom(s *stream, position int) ([]string, finishReason) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(s.tokens[s.promptTokens+position:]), s.finish
}

// errUnknownRequest is returned for a request id that the engine never accepted.
var errUnknownRequest = errors.New("no such request")

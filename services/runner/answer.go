package runner

import (
	"sync"

	"github.com/crocusline/crocusline/models/refusal"
)

// answer holds the tokens of a run generated so far. One job appends to it; any
// number of subscriptions read it by position, each at its own speed.
type answer struct {
	mu     sync.Mutex
	tokens []string
	writer *job
	ended  bool
	err    *refusal.Error
	// changed is closed and replaced whenever the answer changes.
	changed chan struct{}
}

func newAnswer(generated []string) *answer {
	return &answer{tokens: append([]string(nil), generated...), changed: make(chan struct{})}
}

// write appends a token if j is the writer. Otherwise it returns false.
func (a *answer) write(j *job, token string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.writer != j {
		return false
	}
	a.tokens = append(a.tokens, token)
	a.notify()
	return true
}

// setWriter makes j the only writer and returns the tokens so far.
func (a *answer) setWriter(j *job) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.writer = j
	return a.tokens[:len(a.tokens):len(a.tokens)]
}

// end ends the answer. It is complete if err is nil. Further calls have no effect.
func (a *answer) end(err *refusal.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return
	}
	a.ended = true
	a.err = err
	a.writer = nil
	a.notify()
}

func (a *answer) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// tokensFrom returns the tokens from position first on, whether the answer has
// ended and with which error, and a channel that is closed on the next change.
func (a *answer) tokensFrom(first int) (tokens []string, ended bool, err *refusal.Error, changed <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if first < len(a.tokens) {
		tokens = a.tokens[first:len(a.tokens):len(a.tokens)]
	}
	return tokens, a.ended, a.err, a.changed
}

func (a *answer) length() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.tokens)
}

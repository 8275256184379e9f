package engine

import (
	"time"

	"github.com/crocusline/crocusline/standin/control"
)

// Faults are the failures to simulate. The zero value simulates none.
type Faults struct {
	// TokenInterval overrides the engine's token interval unless it is 0.
	TokenInterval control.Duration `json:"tokenInterval"`
	// Freeze pauses all generation. Connections stay open.
	Freeze bool `json:"freeze"`
	// FailNext is how many of the next requests fail before execution.
	FailNext int `json:"failNext"`
	// BreakNext is how many of the next requests have their connection closed
	// after BreakAfter tokens.
	BreakNext  int `json:"breakNext"`
	BreakAfter int `json:"breakAfter"`
	// LoadLag is the age of the reported load.
	LoadLag control.Duration `json:"loadLag"`
	// CacheLag is the delay with which cache events are published.
	CacheLag control.Duration `json:"cacheLag"`
	// CacheGapShare is the fraction of cache events, from 0 to 1, that are lost.
	CacheGapShare float64 `json:"cacheGapShare"`
	// IgnoreFencing makes the engine execute orders with outdated fencing numbers.
	IgnoreFencing bool `json:"ignoreFencing"`
}

// Faults returns the current faults.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// SetFaults replaces the current faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	e.signalWork()
}

// FaultState implements control.Target.
func (e *Engine) FaultState() any {
	return e.Faults()
}

// MergeFaults implements control.Target.
func (e *Engine) MergeFaults(data []byte) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.faults
	if err := control.Decode(data, &f); err != nil {
		return err
	}
	e.faults = f
	e.signalWork()
	return nil
}

// ResetFaults implements control.Target.
func (e *Engine) ResetFaults() {
	e.SetFaults(e.initialFaults)
}

// consumeFailure reports whether a new request is to fail, and decrements FailNext.
func (e *Engine) consumeFailure() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.FailNext == 0 {
		return false
	}
	e.faults.FailNext--
	return true
}

// noBreak is returned by consumeBreak when the connection is to stay open.
const noBreak = -1

// consumeBreak returns the number of tokens after which the connection of a new
// request is to be closed, or noBreak, and decrements BreakNext.
func (e *Engine) consumeBreak() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.BreakNext == 0 {
		return noBreak
	}
	e.faults.BreakNext--
	return e.faults.BreakAfter
}

// interval returns the current interval between two tokens of a stream.
func (e *Engine) interval() time.Duration {
	if e.faults.TokenInterval > 0 {
		return time.Duration(e.faults.TokenInterval)
	}
	return e.tokenInterval
}

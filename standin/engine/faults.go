package engine

import (
	"time"

	"github.com/crocusline/crocusline/standin/control"
)

// Faults are the failures of an engine. The zero value is a sound engine.
type Faults struct {
	// TokenInterval replaces the engine's own. 0 leaves it.
	TokenInterval control.Duration `json:"tokenInterval"`
	// Freeze stops all generation while connections stay open.
	Freeze bool `json:"freeze"`
	// FailNext is how many of the next requests are answered with an error
	// before they run.
	FailNext int `json:"failNext"`
	// BreakNext is how many of the next streams lose their connection after
	// BreakAfter tokens.
	BreakNext  int `json:"breakNext"`
	BreakAfter int `json:"breakAfter"`
	// LoadLag is how late the load is reported.
	LoadLag control.Duration `json:"loadLag"`
	// CacheLag is how late cache events are published.
	CacheLag control.Duration `json:"cacheLag"`
	// CacheGapShare is the share of cache events, from 0 to 1, that are lost.
	CacheGapShare float64 `json:"cacheGapShare"`
	// IgnoreFencing makes the engine carry out orders with old fencing numbers.
	IgnoreFencing bool `json:"ignoreFencing"`
}

// Faults returns the faults in force.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// SetFaults replaces the faults in force.
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

// consumeFailure reports whether the request that begins now is to fail.
func (e *Engine) consumeFailure() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.FailNext == 0 {
		return false
	}
	e.faults.FailNext--
	return true
}

// noBreak is the break point of a stream that keeps its connection.
const noBreak = -1

// consumeBreak returns after how many tokens the stream that begins now loses its
// connection.
func (e *Engine) consumeBreak() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.BreakNext == 0 {
		return noBreak
	}
	e.faults.BreakNext--
	return e.faults.BreakAfter
}

// interval is the time between two tokens of a stream.
func (e *Engine) interval() time.Duration {
	if e.faults.TokenInterval > 0 {
		return time.Duration(e.faults.TokenInterval)
	}
	return e.tokenInterval
}

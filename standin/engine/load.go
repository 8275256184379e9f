package engine

import (
	"slices"
	"time"
)

// Load is the engine's state at a time.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
	// CacheTokens is how many tokens the prefix cache holds.
	CacheTokens int       `json:"cacheTokens"`
	Role        string    `json:"role"`
	Models      []string  `json:"models"`
	Time        time.Time `json:"time"`
}

// maxLoads bounds the history of the load.
const maxLoads = 4096

// sample records the load for later reports.
func (e *Engine) sample() {
	e.loads = append(e.loads, Load{
		Running:     len(e.batch.running),
		Waiting:     len(e.batch.waiting),
		Slots:       e.batch.slots,
		CacheTokens: e.batch.cache.recent.Len() * BlockTokens,
		Role:        e.role,
		Models:      slices.Clone(e.models),
		Time:        e.now(),
	})
	if len(e.loads) > maxLoads {
		e.loads = slices.Delete(e.loads, 0, maxLoads/2)
	}
}

// Load returns the load as the engine reports it, late by Faults.LoadLag.
func (e *Engine) Load() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	latest := e.now().Add(-time.Duration(e.faults.LoadLag))
	for _, load := range slices.Backward(e.loads) {
		if !load.Time.After(latest) {
			return load
		}
	}
	return e.loads[0]
}

// CacheEvents returns the cache events of higher sequence, late and with gaps
// as the faults say.
func (e *Engine) CacheEvents(after int64) []CacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	latest := e.now().Add(-time.Duration(e.faults.CacheLag))
	return e.batch.cache.eventsAfter(after, latest, e.faults.CacheGapShare)
}

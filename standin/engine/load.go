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

// recordLoad records the load for later reports.
func (e *Engine) recordLoad() {
	e.loadHistory = append(e.loadHistory, Load{
		Running:     len(e.batch.running),
		Waiting:     len(e.batch.waiting),
		Slots:       e.batch.slots,
		CacheTokens: e.batch.cache.lru.Len() * BlockTokens,
		Role:        e.role,
		Models:      slices.Clone(e.models),
		Time:        e.now(),
	})
	if len(e.loadHistory) > maxLoads {
		e.loadHistory = slices.Delete(e.loadHistory, 0, maxLoads/2)
	}
}

// Load returns the load as the engine reports it, late by Faults.LoadLag.
func (e *Engine) Load() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	latest := e.now().Add(-time.Duration(e.faults.LoadLag))
	for _, load := range slices.Backward(e.loadHistory) {
		if !load.Time.After(latest) {
			return load
		}
	}
	return e.loadHistory[0]
}

// CacheEvents returns the cache events of higher sequence, late and with gaps
// as the faults say.
func (e *Engine) CacheEvents(after int64) []CacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	latest := e.now().Add(-time.Duration(e.faults.CacheLag))
	return e.batch.cache.eventsAfter(after, latest, e.faults.CacheGapShare)
}

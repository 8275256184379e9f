package engine

import (
	"slices"
	"time"
)

// Load is the engine's load at a point in time.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
	// CacheTokens is the number of tokens in the prefix cache.
	CacheTokens int       `json:"cacheTokens"`
	Role        string    `json:"role"`
	Models      []string  `json:"models"`
	Time        time.Time `json:"time"`
}

// maxLoads is the maximum length of the load history.
const maxLoads = 4096

// recordLoad appends the current load to the history.
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

// Load returns the load as of Faults.LoadLag ago, or the oldest recorded one.
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

// CacheEvents returns the cache events with a sequence above after, delayed by
// Faults.CacheLag and with the losses of Faults.CacheGapShare.
func (e *Engine) CacheEvents(after int64) []CacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	latest := e.now().Add(-time.Duration(e.faults.CacheLag))
	return e.batch.cache.eventsAfter(after, latest, e.faults.CacheGapShare)
}

package balance

import (
	"time"

	"github.com/crocusline/crocusline/models/call"
)

// cacheShare is the share of a server's cache that is assumed to hold parts sent by
// this gateway. The rest holds other gateways' parts and running requests.
const cacheShare = 0.5

// cache models the prompt parts that a server has cached, keyed by their id and
// evicted least recently used first.
type cache struct {
	capacity int64
	size     int64
	parts    map[string]cachedPart
}

type cachedPart struct {
	tokens   int64
	lastUsed time.Time
}

func newCache(tokens int64) *cache {
	return &cache{capacity: int64(float64(tokens) * cacheShare), parts: map[string]cachedPart{}}
}

// prefixTokens returns the number of tokens in the leading parts that are cached.
func (c *cache) prefixTokens(parts []call.PrefixSegment) int64 {
	var sum int64
	for _, p := range parts {
		if _, ok := c.parts[p.ID]; !ok {
			break
		}
		sum += p.Tokens
	}
	return sum
}

// add records that the parts were cached, and evicts the least recently used parts
// beyond the capacity.
func (c *cache) add(now time.Time, parts []call.PrefixSegment) {
	for _, p := range parts {
		if old, ok := c.parts[p.ID]; ok {
			c.size -= old.tokens
		}
		c.parts[p.ID] = cachedPart{tokens: p.Tokens, lastUsed: now}
		c.size += p.Tokens
	}
	for c.size > c.capacity && len(c.parts) > 0 {
		c.evictOldest()
	}
}

func (c *cache) evictOldest() {
	oldest := ""
	for id, p := range c.parts {
		if oldest == "" || p.lastUsed.Before(c.parts[oldest].lastUsed) {
			oldest = id
		}
	}
	c.size -= c.parts[oldest].tokens
	delete(c.parts, oldest)
}

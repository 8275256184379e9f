package balance

import (
	"time"

	"github.com/crocusline/crocusline/models/call"
)

// cacheShare is the share of a server's cache that is assumed to hold segments sent
// by this gateway. The rest holds other gateways' segments and running requests.
const cacheShare = 0.5

// cache models the prompt segments that a server has cached, keyed by their id and
// evicted least recently used first.
type cache struct {
	capacity int64
	size     int64
	segments map[string]cachedSegment
}

type cachedSegment struct {
	tokens   int64
	lastUsed time.Time
}

func newCache(tokens int64) *cache {
	return &cache{capacity: int64(float64(tokens) * cacheShare), segments: map[string]cachedSegment{}}
}

// prefixTokens returns the number of tokens in the leading segments that are cached.
func (c *cache) prefixTokens(segments []call.PrefixSegment) int64 {
	var sum int64
	for _, p := range segments {
		if _, ok := c.segments[p.ID]; !ok {
			break
		}
		sum += p.Tokens
	}
	return sum
}

// add records that the segments were cached, and evicts the least recently used
// segments beyond the capacity.
func (c *cache) add(now time.Time, segments []call.PrefixSegment) {
	for _, p := range segments {
		if old, ok := c.segments[p.ID]; ok {
			c.size -= old.tokens
		}
		c.segments[p.ID] = cachedSegment{tokens: p.Tokens, lastUsed: now}
		c.size += p.Tokens
	}
	for c.size > c.capacity && len(c.segments) > 0 {
		c.evictOldest()
	}
}

func (c *cache) evictOldest() {
	oldest := ""
	for id, p := range c.segments {
		if oldest == "" || p.lastUsed.Before(c.segments[oldest].lastUsed) {
			oldest = id
		}
	}
	c.size -= c.segments[oldest].tokens
	delete(c.segments, oldest)
}

package balance

import (
	"time"

	"github.com/crocusline/crocusline/models/call"
)

// cacheShare is the part of a server's memory that is believed to hold parts
// sent from here; the rest is other entries' parts and running requests.
const cacheShare = 0.5

// cache is what a server is believed to have read: parts by their id, the least
// recently used yielding.
type cache struct {
	room  int64
	held  int64
	parts map[string]cachedPart
}

type cachedPart struct {
	tokens int64
	used   time.Time
}

func newCache(memory int64) *cache {
	return &cache{room: int64(float64(memory) * cacheShare), parts: map[string]cachedPart{}}
}

// shared returns the tokens of the leading parts that are cached.
func (c *cache) shared(parts []call.PrefixSegment) int64 {
	var sum int64
	for _, p := range parts {
		if _, held := c.parts[p.ID]; !held {
			break
		}
		sum += p.Tokens
	}
	return sum
}

// add notes that the parts were read.
func (c *cache) add(now time.Time, parts []call.PrefixSegment) {
	for _, p := range parts {
		if old, held := c.parts[p.ID]; held {
			c.held -= old.tokens
		}
		c.parts[p.ID] = cachedPart{tokens: p.Tokens, used: now}
		c.held += p.Tokens
	}
	for c.held > c.room && len(c.parts) > 0 {
		c.dropOldest()
	}
}

func (c *cache) dropOldest() {
	oldest := ""
	for id, p := range c.parts {
		if oldest == "" || p.used.Before(c.parts[oldest].used) {
			oldest = id
		}
	}
	c.held -= c.parts[oldest].tokens
	delete(c.parts, oldest)
}

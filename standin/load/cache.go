package load

import "container/list"

// cache is a prefix cache with least-recently-used eviction. An entry is a shared
// prefix or the rest of one request's tokens.
type cache struct {
	capacity   int
	usedTokens int
	lru        *list.List
	entries    map[string]*list.Element
}

type cacheEntry struct {
	key    string
	tokens int
}

func newCache(tokens int) *cache {
	return &cache{capacity: tokens, lru: list.New(), entries: map[string]*list.Element{}}
}

// get returns the number of tokens cached under the key.
func (c *cache) get(key string) int {
	e := c.entries[key]
	if e == nil {
		return 0
	}
	c.lru.MoveToFront(e)
	cached, _ := e.Value.(*cacheEntry)
	return cached.tokens
}

// put stores tokens under a key and replaces an existing entry.
func (c *cache) put(key string, tokens int) {
	if e := c.entries[key]; e != nil {
		c.remove(e)
	}
	if tokens <= 0 || tokens > c.capacity {
		return
	}
	for c.usedTokens+tokens > c.capacity {
		c.remove(c.lru.Back())
	}
	c.entries[key] = c.lru.PushFront(&cacheEntry{key: key, tokens: tokens})
	c.usedTokens += tokens
}

func (c *cache) remove(e *list.Element) {
	entry, _ := c.lru.Remove(e).(*cacheEntry)
	delete(c.entries, entry.key)
	c.usedTokens -= entry.tokens
}

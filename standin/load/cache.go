package load

import "container/list"

// cache is a prefix cache that drops the least recently used entries. An entry
// is a shared prefix or the rest of one request's tokens.
type cache struct {
	capacity int
	held     int
	recent   *list.List
	entries  map[string]*list.Element
}

type cached struct {
	key    string
	tokens int
}

func newCache(tokens int) *cache {
	return &cache{capacity: tokens, recent: list.New(), entries: map[string]*list.Element{}}
}

// lookUp returns how many tokens the cache holds under the key.
func (c *cache) lookUp(key string) int {
	e := c.entries[key]
	if e == nil {
		return 0
	}
	c.recent.MoveToFront(e)
	held, _ := e.Value.(*cached)
	return held.tokens
}

// store puts tokens under a key, in place of what was there.
func (c *cache) store(key string, tokens int) {
	if e := c.entries[key]; e != nil {
		c.drop(e)
	}
	if tokens <= 0 || tokens > c.capacity {
		return
	}
	for c.held+tokens > c.capacity {
		c.drop(c.recent.Back())
	}
	c.entries[key] = c.recent.PushFront(&cached{key: key, tokens: tokens})
	c.held += tokens
}

func (c *cache) drop(e *list.Element) {
	held, _ := c.recent.Remove(e).(*cached)
	delete(c.entries, held.key)
	c.held -= held.tokens
}

package engine

import (
	"container/list"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// BlockTokens is the number of tokens in a block of the prefix cache.
const BlockTokens = 16

// BlockHashes returns the hashes of the full blocks of a token sequence. Each hash
// covers all tokens from the start of the sequence to the end of its block.
func BlockHashes(tokens []string) []string {
	digest := xxhash.New()
	var blocks []string
	for i, token := range tokens {
		_, _ = digest.WriteString(token)
		_, _ = digest.WriteString("\x00")
		if (i+1)%BlockTokens == 0 {
			blocks = append(blocks, strconv.FormatUint(digest.Sum64(), 16))
		}
	}
	return blocks
}

// CacheEvent reports that a block was added to or removed from the prefix cache.
type CacheEvent struct {
	// Sequence numbers the events of an engine from 1. A gap means that an event
	// was lost.
	Sequence int64 `json:"sequence"`
	// Action is "stored" or "removed".
	Action string    `json:"action"`
	Block  string    `json:"block"`
	Time   time.Time `json:"time"`
}

// maxCacheEvents is the maximum number of events retained for readers.
const maxCacheEvents = 65_536

// prefixCache is an LRU cache of blocks.
type prefixCache struct {
	capacity int
	lru      *list.List
	blocks   map[string]*list.Element
	events   []CacheEvent
	sequence int64
}

func newPrefixCache(tokens int) *prefixCache {
	return &prefixCache{
		capacity: tokens / BlockTokens,
		lru:      list.New(),
		blocks:   map[string]*list.Element{},
	}
}

// cached returns how many leading tokens of the sequence are cached, in full
// blocks, and marks these blocks as recently used.
func (c *prefixCache) cached(tokens []string) int {
	count := 0
	for _, block := range BlockHashes(tokens) {
		element, ok := c.blocks[block]
		if !ok {
			break
		}
		c.lru.MoveToFront(element)
		count += BlockTokens
	}
	return count
}

// store adds the full blocks of a sequence to the cache.
func (c *prefixCache) store(now time.Time, tokens []string) {
	for _, block := range BlockHashes(tokens) {
		if element, ok := c.blocks[block]; ok {
			c.lru.MoveToFront(element)
			continue
		}
		if c.capacity == 0 {
			return
		}
		if c.lru.Len() >= c.capacity {
			c.evict(now)
		}
		c.blocks[block] = c.lru.PushFront(block)
		c.publish(now, "stored", block)
	}
}

func (c *prefixCache) evict(now time.Time) {
	oldest := c.lru.Back()
	block, _ := c.lru.Remove(oldest).(string)
	delete(c.blocks, block)
	c.publish(now, "removed", block)
}

func (c *prefixCache) publish(now time.Time, action, block string) {
	c.sequence++
	c.events = append(c.events, CacheEvent{Sequence: c.sequence, Action: action, Block: block, Time: now})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

// eventsAfter returns the events with a higher sequence that aren't newer than
// latest, without those that are lost. Whether an event is lost depends only on
// its sequence, so that it is lost for every reader.
func (c *prefixCache) eventsAfter(sequence int64, latest time.Time, lostShare float64) []CacheEvent {
	events := []CacheEvent{}
	for _, event := range c.events {
		if event.Sequence <= sequence || event.Time.After(latest) || isDropped(event.Sequence, lostShare) {
			continue
		}
		events = append(events, event)
	}
	return events
}

func isDropped(sequence int64, share float64) bool {
	draw := xxhash.Sum64String(strconv.FormatInt(sequence, 10)) % 10_000
	return float64(draw) < share*10_000
}

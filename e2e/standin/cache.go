package standin

import (
	"container/list"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// CacheBlockBytes is the size of a prompt block in the prefix cache.
	CacheBlockBytes = 256
	// maxCacheEvents limits the number of retained events.
	maxCacheEvents = 4096
	// droppedEventPeriod is the period at which events are dropped: of this many
	// events, one is never reported.
	droppedEventPeriod = 16
)

// CacheEvent reports the storage or eviction of a prefix block.
type CacheEvent struct {
	Seq uint64 `json:"seq"`
	// Kind is "stored" or "evicted".
	Kind string `json:"kind"`
	// Block is the hexadecimal hash of the prompt up to the end of the block.
	Block string `json:"block"`

	at time.Time
}

// CacheEvents is the response to GET /cache/events.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
}

// PrefixBlocks returns the hashes of a prompt's full blocks. Each hash covers the
// prompt from its start.
func PrefixBlocks(prompt string) []string {
	var blocks []string
	for end := CacheBlockBytes; end <= len(prompt); end += CacheBlockBytes {
		blocks = append(blocks, strconv.FormatUint(xxhash.Sum64String(prompt[:end]), 16))
	}
	return blocks
}

// prefixCache is an LRU cache of prefix blocks.
type prefixCache struct {
	mu       sync.Mutex
	capacity int
	blocks   map[string]*list.Element
	lru      *list.List
	seq      uint64
	events   []CacheEvent
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, blocks: map[string]*list.Element{}, lru: list.New()}
}

// access stores the prompt's blocks and returns the length in bytes of the prefix
// that was cached before.
func (c *prefixCache) access(prompt string, now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	hitBytes, contiguous := 0, true
	for _, block := range PrefixBlocks(prompt) {
		element, ok := c.blocks[block]
		contiguous = contiguous && ok
		if contiguous {
			hitBytes += CacheBlockBytes
		}
		if ok {
			c.lru.MoveToFront(element)
			continue
		}
		c.store(block, now)
	}
	return hitBytes
}

func (c *prefixCache) store(block string, now time.Time) {
	if c.capacity <= 0 {
		return
	}
	for c.lru.Len() >= c.capacity {
		oldest := c.lru.Remove(c.lru.Back()).(string)
		delete(c.blocks, oldest)
		c.recordEvent("evicted", oldest, now)
	}
	c.blocks[block] = c.lru.PushFront(block)
	c.recordEvent("stored", block, now)
}

func (c *prefixCache) recordEvent(kind, block string, now time.Time) {
	c.seq++
	if c.seq%droppedEventPeriod == 0 {
		return
	}
	c.events = append(c.events, CacheEvent{Seq: c.seq, Kind: kind, Block: block, at: now})
	if len(c.events) > maxCacheEvents {
		c.events = append([]CacheEvent(nil), c.events[maxCacheEvents/2:]...)
	}
}

// eventsSince returns the events after seq that are at least lag old.
func (c *prefixCache) eventsSince(seq uint64, now time.Time, lag time.Duration) CacheEvents {
	c.mu.Lock()
	defer c.mu.Unlock()
	response := CacheEvents{Events: []CacheEvent{}}
	for _, event := range c.events {
		if event.Seq > seq && !event.at.After(now.Add(-lag)) {
			response.Events = append(response.Events, event)
		}
	}
	return response
}

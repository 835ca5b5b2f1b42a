// Package placement selects the engines that a prompt may be sent to, so that
// prompt parts shared by many requests are prefilled on few engines and reused from
// their prefix caches. It is meant for workloads with long common prefixes on engines
// whose caches hold only some of them. It does no I/O and reads no clock.
package placement

import (
	"container/list"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Part is a consecutive segment of a prompt.
type Part struct {
	ID     uint64
	Tokens int
}

// Prompt is the ordered list of a prompt's parts. The last part is specific to the
// request or its session; the preceding parts are shared.
type Prompt []Part

// Tokens returns the length of the prompt in tokens.
func (p Prompt) Tokens() int {
	total := 0
	for _, part := range p {
		total += part.Tokens
	}
	return total
}

// SharedTokens returns the length of all parts but the last in tokens.
func (p Prompt) SharedTokens() int {
	if len(p) == 0 {
		return 0
	}
	return p[:len(p)-1].Tokens()
}

// SharedKey returns a hash of the sequence of shared parts.
func (p Prompt) SharedKey() uint64 {
	if len(p) == 0 {
		return 0
	}
	key := uint64(0)
	for _, part := range p[:len(p)-1] {
		key = chainHash(key, part.ID)
	}
	return key
}

// chainHash combines the hash of the preceding parts with a part's identifier.
func chainHash(prefix, id uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], prefix)
	binary.LittleEndian.PutUint64(buf[8:], id)
	return xxhash.Sum64(buf[:])
}

// Cache estimates which prompt parts an engine's cache holds, from the prompts that
// the engine was sent. It evicts the least recently used parts.
type Cache struct {
	// capacity and used are in tokens.
	capacity int
	used     int
	// order lists the parts, least recently used first.
	order *list.List
	// entries maps the ID of a part to its element in order.
	entries map[uint64]*list.Element
}

// NewCache returns an empty cache with a capacity in tokens.
func NewCache(capacity int) *Cache {
	return &Cache{capacity: capacity, order: list.New(), entries: make(map[uint64]*list.Element)}
}

// CachedTokens returns the number of tokens in the longest cached prefix of a
// prompt.
func (c *Cache) CachedTokens(p Prompt) int {
	tokens := 0
	for _, part := range p {
		if _, ok := c.entries[part.ID]; !ok {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// Add records that a prompt was sent to the engine. Parts from the first one on that the
// cache can't hold are left out: an engine does not cache them, and they would displace all
// others.
func (c *Cache) Add(p Prompt) {
	for _, part := range p {
		if !c.canHold(part) {
			break
		}
		c.touch(part)
	}
	for c.used > c.capacity {
		c.evict()
	}
}

// Tokens returns the number of tokens in all cached parts.
func (c *Cache) Tokens() int { return c.used }

// HasRoom reports whether a prompt without cached parts can be added without evicting
// any part.
func (c *Cache) HasRoom(p Prompt) bool { return p.Tokens() <= c.capacity-c.used }

// canHold reports whether an empty cache holds the part.
func (c *Cache) canHold(part Part) bool { return part.Tokens >= 0 && part.Tokens <= c.capacity }

func (c *Cache) touch(part Part) {
	if element, ok := c.entries[part.ID]; ok {
		c.order.MoveToBack(element)
		return
	}
	c.entries[part.ID] = c.order.PushBack(part)
	c.used += part.Tokens
}

// Restore adds the parts that the engine reports as cached. They are evicted before
// the parts of prompts that it was sent in the meantime.
func (c *Cache) Restore(parts []Part) {
	for _, part := range parts {
		_, known := c.entries[part.ID]
		if known || part.Tokens < 0 || part.Tokens > c.capacity-c.used {
			continue
		}
		c.entries[part.ID] = c.order.PushFront(part)
		c.used += part.Tokens
	}
}

func (c *Cache) evict() {
	oldest := c.order.Front()
	part := c.order.Remove(oldest).(Part)
	delete(c.entries, part.ID)
	c.used -= part.Tokens
}

// Package placement decides which engines a prompt may go to, so that parts
// shared by many prompts are prefilled on few engines and found again. It
// answers the pattern of many requests with long common prefixes over engines
// whose caches hold only some of them. It has no I/O and no clock.
package placement

import (
	"container/list"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Part is one part of a prompt.
type Part struct {
	ID     uint64
	Tokens int
}

// Prompt is the parts of a prompt in order. The last part is the request's or
// its session's own; the parts before it are shared.
type Prompt []Part

// Tokens returns the length of the prompt.
func (p Prompt) Tokens() int {
	total := 0
	for _, part := range p {
		total += part.Tokens
	}
	return total
}

// SharedTokens returns the length of all parts but the last.
func (p Prompt) SharedTokens() int {
	if len(p) == 0 {
		return 0
	}
	return p[:len(p)-1].Tokens()
}

// SharedKey identifies the shared parts together.
func (p Prompt) SharedKey() uint64 {
	if len(p) == 0 {
		return 0
	}
	key := uint64(0)
	for _, part := range p[:len(p)-1] {
		key = chain(key, part.ID)
	}
	return key
}

// chain identifies a part behind the parts before it.
func chain(before, id uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], before)
	binary.LittleEndian.PutUint64(buf[8:], id)
	return xxhash.Sum64(buf[:])
}

// Cache estimates which prompt parts an engine keeps, from what it was sent. The
// least recently used parts yield.
type Cache struct {
	capacity int
	used     int
	order    *list.List
	entries  map[uint64]*list.Element
}

// NewCache returns an empty cache of capacity tokens.
func NewCache(capacity int) *Cache {
	return &Cache{capacity: capacity, order: list.New(), entries: make(map[uint64]*list.Element)}
}

// CachedTokens returns the tokens of the leading parts that are kept.
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

// Add notes that the engine was sent a prompt.
func (c *Cache) Add(p Prompt) {
	for _, part := range p {
		c.touch(part)
	}
	for c.used > c.capacity {
		c.evict()
	}
}

// Tokens returns the tokens of all parts that are kept.
func (c *Cache) Tokens() int { return c.used }

// HasRoom reports whether a prompt of which nothing is kept displaces no part.
func (c *Cache) HasRoom(p Prompt) bool { return c.used+p.Tokens() <= c.capacity }

func (c *Cache) touch(part Part) {
	if element, ok := c.entries[part.ID]; ok {
		c.order.MoveToBack(element)
		return
	}
	c.entries[part.ID] = c.order.PushBack(part)
	c.used += part.Tokens
}

// Restore notes what the engine says that it keeps. These parts yield before
// those of prompts that it was sent meanwhile.
func (c *Cache) Restore(parts []Part) {
	for _, part := range parts {
		_, known := c.entries[part.ID]
		if known || c.used+part.Tokens > c.capacity {
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

package claim

import (
	"container/list"
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Defaults of ResponseCacheConfig.
const (
	DefaultMaxResponses     = 4096
	DefaultMaxResponseBytes = 16 << 20
	DefaultMaxBodyBytes     = 1 << 20
	DefaultResponseTTL      = 10 * time.Minute
)

// ResponseState is what the cache knows of an attempt's response.
type ResponseState int

// Response states.
const (
	// ResponseUnknown means that the cache has no entry for the attempt, or that
	// the outcome of its dispatch is unknown.
	ResponseUnknown ResponseState = iota
	// ResponsePending means that the attempt is still running.
	ResponsePending
	// ResponseCached means that the complete response is in the cache.
	ResponseCached
	// ResponseDiscarded means that the attempt ran, but its response was evicted
	// or was too large to cache.
	ResponseDiscarded
	// ResponseNotRun means that the attempt ended before the request ran.
	ResponseNotRun
)

// HeaderField is one response header with all its values.
type HeaderField struct {
	Name   string
	Values []string
}

// Response is the complete response of an attempt. It must not be modified once
// it is in the cache.
type Response struct {
	Status int
	Header []HeaderField
	Body   []byte
}

// size returns the bytes that the response counts towards the cache limits.
func (r Response) size() int {
	n := len(r.Body)
	for _, h := range r.Header {
		n += len(h.Name)
		for _, v := range h.Values {
			n += len(v)
		}
	}
	return n
}

// ResponseCacheConfig sets the limits of a ResponseCache. Fields that are zero
// take the defaults.
type ResponseCacheConfig struct {
	// MaxCount bounds the number of attempts, including running ones.
	MaxCount int
	// MaxBytes bounds the total size of the cached responses, MaxBodyBytes the
	// size of each one.
	MaxBytes, MaxBodyBytes int
	// TTL is how long the entry of an ended attempt is kept.
	TTL time.Duration
	// Now returns the current time. It is required.
	Now func() time.Time
}

// responseEntry is an attempt and, once it has ended, its response.
type responseEntry struct {
	attempt  AttemptID
	state    ResponseState
	response Response
	bytes    int
	endedAt  time.Time
	// done is closed when the attempt ends.
	done chan struct{}
	// element is the entry's position in ResponseCache.ended. It is nil while the
	// attempt is running.
	element *list.Element
}

// ResponseCache keeps the responses of this router's attempts in memory, so that
// a request that repeats an idempotency key gets the same response. It is bounded
// by entry count, bytes and age. It is safe for concurrent use.
type ResponseCache struct {
	cfg ResponseCacheConfig

	mu      sync.Mutex
	entries map[AttemptID]*responseEntry
	// ended lists the ended entries, oldest first.
	ended *list.List
	bytes int
}

// NewResponseCache returns an empty cache.
func NewResponseCache(cfg ResponseCacheConfig) *ResponseCache {
	setDefault(&cfg.MaxCount, DefaultMaxResponses)
	setDefault(&cfg.MaxBytes, DefaultMaxResponseBytes)
	setDefault(&cfg.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&cfg.TTL, DefaultResponseTTL)
	return &ResponseCache{cfg: cfg, entries: map[AttemptID]*responseEntry{}, ended: list.New()}
}

// Begin adds a running attempt. It must be called before the attempt is claimed,
// so that a duplicate request never finds the claim without a cache entry. It
// returns ErrTooManyAttempts while MaxCount attempts are running.
func (c *ResponseCache) Begin(id AttemptID) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expire()
	if _, ok := c.entries[id]; ok {
		return nil
	}
	if len(c.entries) >= c.cfg.MaxCount && !c.evictOldest() {
		return eris.Wrapf(ErrTooManyAttempts, "limit %d", c.cfg.MaxCount)
	}
	c.entries[id] = &responseEntry{attempt: id, state: ResponsePending, done: make(chan struct{})}
	return nil
}

// Finish ends an attempt and caches its complete response. Of a response larger
// than MaxBodyBytes or MaxBytes, only the fact that the attempt ran is kept.
func (c *ResponseCache) Finish(id AttemptID, response Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	size := response.size()
	if size > c.cfg.MaxBodyBytes || size > c.cfg.MaxBytes {
		c.end(id, ResponseDiscarded, Response{}, 0)
		return
	}
	c.end(id, ResponseCached, response, size)
}

// FinishUnknown ends an attempt whose dispatch has an unknown outcome.
func (c *ResponseCache) FinishUnknown(id AttemptID) {
	c.finishState(id, ResponseUnknown)
}

// FinishNotRun ends an attempt whose request did not run. If the attempt holds a
// claim, the claim must be released first.
func (c *ResponseCache) FinishNotRun(id AttemptID) {
	c.finishState(id, ResponseNotRun)
}

func (c *ResponseCache) finishState(id AttemptID, s ResponseState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end(id, s, Response{}, 0)
}

// Lookup returns the response and state of an attempt without waiting for it.
func (c *ResponseCache) Lookup(id AttemptID) (Response, ResponseState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expire()
	e, ok := c.entries[id]
	if !ok {
		return Response{}, ResponseUnknown
	}
	return e.response, e.state
}

// Wait returns the response and state of an attempt once it has ended. It returns
// ResponsePending and the context's error if the context ends first.
func (c *ResponseCache) Wait(ctx context.Context, id AttemptID) (Response, ResponseState, error) {
	c.mu.Lock()
	c.expire()
	e, ok := c.entries[id]
	c.mu.Unlock()
	if !ok {
		return Response{}, ResponseUnknown, nil
	}
	select {
	case <-e.done:
	case <-ctx.Done():
		return Response{}, ResponsePending, ctx.Err()
	}
	// e is used instead of a new lookup: the entry may have been evicted since the
	// attempt ended.
	c.mu.Lock()
	defer c.mu.Unlock()
	return e.response, e.state, nil
}

// end moves a running attempt to its final state. It has no effect on an attempt
// that has already ended.
func (c *ResponseCache) end(id AttemptID, s ResponseState, response Response, size int) {
	e, ok := c.entries[id]
	if !ok || e.state != ResponsePending {
		return
	}
	e.state, e.response, e.bytes = s, response, size
	e.endedAt = c.cfg.Now()
	e.element = c.ended.PushBack(e)
	c.bytes += size
	close(e.done)
	c.shrink()
}

// shrink discards the oldest cached responses until the total size is within
// MaxBytes. Their entries remain.
func (c *ResponseCache) shrink() {
	for el := c.ended.Front(); el != nil && c.bytes > c.cfg.MaxBytes; el = el.Next() {
		e := el.Value.(*responseEntry)
		if e.state != ResponseCached {
			continue
		}
		c.bytes -= e.bytes
		e.state, e.response, e.bytes = ResponseDiscarded, Response{}, 0
	}
}

// expire removes the attempts that ended at least TTL ago.
func (c *ResponseCache) expire() {
	oldest := c.cfg.Now().Add(-c.cfg.TTL)
	for el := c.ended.Front(); el != nil; el = c.ended.Front() {
		if el.Value.(*responseEntry).endedAt.After(oldest) {
			return
		}
		c.remove(el)
	}
}

func (c *ResponseCache) evictOldest() bool {
	el := c.ended.Front()
	if el == nil {
		return false
	}
	c.remove(el)
	return true
}

func (c *ResponseCache) remove(el *list.Element) {
	e := el.Value.(*responseEntry)
	c.ended.Remove(el)
	c.bytes -= e.bytes
	delete(c.entries, e.attempt)
}

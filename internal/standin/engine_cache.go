package standin

import (
	"container/list"
	"net/http"
	"strconv"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/platform"
)

// maxCacheEvents bounds the number of cache events that an engine keeps.
const maxCacheEvents = 4096

// delayedEvent is a cache event and the time at which it is published.
type delayedEvent struct {
	event platform.CacheEvent
	at    time.Time
}

// prefixCache is an LRU cache of prompt blocks. It produces the cache events.
type prefixCache struct {
	limit    int
	gapEvery uint64
	delay    time.Duration
	lru      *list.List
	blocks   map[platform.BlockHash]*list.Element
	sequence uint64
	events   []delayedEvent
}

func newPrefixCache(options EngineOptions) *prefixCache {
	return &prefixCache{
		limit: options.CacheBlocks, gapEvery: options.CacheGapEvery, delay: options.CacheEventDelay,
		lru: list.New(), blocks: make(map[platform.BlockHash]*list.Element),
	}
}

// usedFraction returns the used fraction of the cache, 0 to 1.
func (c *prefixCache) usedFraction() float64 { return float64(len(c.blocks)) / float64(c.limit) }

// touch marks the blocks as used, stores the missing ones and returns the number of leading
// blocks that were cached.
func (c *prefixCache) touch(blocks []platform.BlockHash, now time.Time) int {
	hits := 0
	var stored []platform.BlockHash
	for i, block := range blocks {
		if element, ok := c.blocks[block]; ok {
			c.lru.MoveToFront(element)
			if hits == i {
				hits++
			}
			continue
		}
		c.blocks[block] = c.lru.PushFront(block)
		stored = append(stored, block)
	}
	c.publish(platform.CacheStored, stored, now)
	c.publish(platform.CacheEvicted, c.evict(), now)
	return hits
}

func (c *prefixCache) evict() []platform.BlockHash {
	var evicted []platform.BlockHash
	for len(c.blocks) > c.limit {
		block := c.lru.Remove(c.lru.Back()).(platform.BlockHash)
		delete(c.blocks, block)
		evicted = append(evicted, block)
	}
	return evicted
}

func (c *prefixCache) publish(kind platform.CacheEventKind, blocks []platform.BlockHash, now time.Time) {
	if len(blocks) == 0 {
		return
	}
	c.sequence++
	if c.gapEvery > 0 && c.sequence%c.gapEvery == 0 {
		return
	}
	event := platform.CacheEvent{Sequence: c.sequence, Kind: kind, Blocks: blocks}
	c.events = append(c.events, delayedEvent{event: event, at: now.Add(c.delay)})
	if len(c.events) > maxCacheEvents {
		c.events = append(c.events[:0], c.events[maxCacheEvents/2:]...)
	}
}

// publishedAfter returns the published events with sequence numbers greater than after.
func (c *prefixCache) publishedAfter(after uint64, now time.Time) []platform.CacheEvent {
	events := []platform.CacheEvent{}
	for _, delayed := range c.events {
		if delayed.event.Sequence > after && !delayed.at.After(now) {
			events = append(events, delayed.event)
		}
	}
	return events
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "query parameter after is not a sequence number")
		return
	}
	e.lock.Lock()
	page := platform.CacheEvents{Boot: e.boot, Events: e.cache.publishedAfter(after, time.Now())}
	e.lock.Unlock()
	writeJSON(w, http.StatusOK, page)
}

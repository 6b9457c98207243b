package standin

import (
	"container/list"
	"net/http"
	"strconv"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/platform"
)

// maxCacheEvents bounds the cache events that an engine keeps.
const maxCacheEvents = 4096

// timedEvent is a cache event and when it is published.
type timedEvent struct {
	event platform.CacheEvent
	at    time.Time
}

// prefixCache holds prompt blocks and drops the one used longest ago.
type prefixCache struct {
	limit    int
	gapEvery uint64
	delay    time.Duration
	order    *list.List
	blocks   map[platform.BlockHash]*list.Element
	sequence uint64
	events   []timedEvent
}

func newPrefixCache(options EngineOptions) *prefixCache {
	return &prefixCache{
		limit: options.CacheBlocks, gapEvery: options.CacheGapEvery, delay: options.CacheEventDelay,
		order: list.New(), blocks: make(map[platform.BlockHash]*list.Element),
	}
}

// use01 returns the used share of the cache, 0 to 1.
func (c *prefixCache) use01() float64 { return float64(len(c.blocks)) / float64(c.limit) }

// use marks the blocks as used, stores those that are missing and returns the number
// of leading blocks that were there.
func (c *prefixCache) use(blocks []platform.BlockHash, now time.Time) int {
	hits := 0
	var stored []platform.BlockHash
	for i, block := range blocks {
		if element, ok := c.blocks[block]; ok {
			c.order.MoveToFront(element)
			if hits == i {
				hits++
			}
			continue
		}
		c.blocks[block] = c.order.PushFront(block)
		stored = append(stored, block)
	}
	c.publish(platform.CacheStored, stored, now)
	c.publish(platform.CacheEvicted, c.evict(), now)
	return hits
}

func (c *prefixCache) evict() []platform.BlockHash {
	var evicted []platform.BlockHash
	for len(c.blocks) > c.limit {
		block := c.order.Remove(c.order.Back()).(platform.BlockHash)
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
	c.events = append(c.events, timedEvent{event: event, at: now.Add(c.delay)})
	if len(c.events) > maxCacheEvents {
		c.events = append(c.events[:0], c.events[maxCacheEvents/2:]...)
	}
}

// since returns the published events after the sequence number.
func (c *prefixCache) since(after uint64, now time.Time) []platform.CacheEvent {
	events := []platform.CacheEvent{}
	for _, timed := range c.events {
		if timed.event.Sequence > after && !timed.at.After(now) {
			events = append(events, timed.event)
		}
	}
	return events
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		refuse(w, http.StatusBadRequest, "no sequence number")
		return
	}
	e.lock.Lock()
	page := platform.CacheEvents{Boot: e.boot, Events: e.cache.since(after, time.Now())}
	e.lock.Unlock()
	writeJSON(w, http.StatusOK, page)
}

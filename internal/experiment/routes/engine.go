// Package routes measures policies that choose a backend server or a rank. It uses a queueing model of
// engines with continuous batching and a prefix cache.
package routes

import (
	"container/list"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/routing"
)

// The model of an engine.
const (
	// slots is the most requests in an engine's batch.
	slots = 32
	// stepBase is the duration of a step with an empty batch.
	stepBase = 20 * time.Millisecond
	// stepPerRequest is the time that each request in the batch adds to a step.
	stepPerRequest = 150 * time.Microsecond
	// promptTime is the time to process one token of a prompt.
	promptTime = 50 * time.Microsecond
	// promptPerStep is the most prompt tokens processed in one step.
	promptPerStep = 1024
	// blockTokens is the number of tokens per cache block.
	blockTokens = 64
	// cacheBlocks is the capacity of an engine's prefix cache in blocks.
	cacheBlocks = 1500
)

// call is one request in the model. entry is the index of its entry, blocks are the cacheable blocks of
// its prompt; prompt, output and cached are numbers of tokens.
type call struct {
	id      int
	entry   int
	blocks  []routing.Block
	prompt  int
	output  int
	arrived time.Time
	// first and last are the times of the first and of the latest generated token; zero before.
	first time.Time
	last  time.Time
	// promptLeft and outputLeft are the prompt tokens still to process and the tokens still to generate.
	promptLeft int
	outputLeft int
	cached     int
	retries    int
}

// engine is a simulated inference engine with its queue and its prefix cache. slowdown is the factor by
// which its steps are slower than those of a healthy engine.
type engine struct {
	vm       ident.VM
	slowdown float64
	running  []*call
	waiting  []*call
	cache    map[routing.Block]*list.Element
	lru      *list.List
	// stored and evicted are the changes of the cache since the last event.
	stored   []routing.Block
	evicted  []routing.Block
	sequence uint64
	stepping bool
	// stepTime is the moving average of the step duration.
	stepTime time.Duration
}

func newEngine(vm ident.VM, slow float64) *engine {
	return &engine{vm: vm, slowdown: slow, cache: map[routing.Block]*list.Element{}, lru: list.New()}
}

func (e *engine) open() int {
	return len(e.running) + len(e.waiting)
}

// promptBacklog returns the number of prompt tokens still to process.
func (e *engine) promptBacklog() int {
	tokens := 0
	for _, c := range e.running {
		tokens += c.promptLeft
	}
	for _, c := range e.waiting {
		tokens += c.promptLeft
	}
	return tokens
}

// admit moves waiting requests into the batch and looks up their cached prefixes.
func (e *engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < slots {
		c := e.waiting[0]
		e.waiting = e.waiting[1:]
		c.cached = min(e.cachedPrefix(c.blocks)*blockTokens, c.prompt-1)
		c.promptLeft = c.prompt - c.cached
		e.storeBlocks(c.blocks)
		e.running = append(e.running, c)
	}
}

// cachedPrefix returns the number of leading blocks that are in the cache.
func (e *engine) cachedPrefix(blocks []routing.Block) int {
	for i, block := range blocks {
		if e.cache[block] == nil {
			return i
		}
	}
	return len(blocks)
}

// storeBlocks adds the blocks of a prompt to the cache and evicts the least recently used ones. The last
// block of a prompt counts as its least recently used one, so a prefix is never evicted before its
// continuations.
func (e *engine) storeBlocks(blocks []routing.Block) {
	for i := len(blocks) - 1; i >= 0; i-- {
		if element := e.cache[blocks[i]]; element != nil {
			e.lru.MoveToFront(element)
			continue
		}
		e.cache[blocks[i]] = e.lru.PushFront(blocks[i])
		e.stored = append(e.stored, blocks[i])
	}
	for e.lru.Len() > cacheBlocks {
		oldest := e.lru.Remove(e.lru.Back()).(routing.Block)
		delete(e.cache, oldest)
		e.evicted = append(e.evicted, oldest)
	}
}

// startStep begins a step: it admits requests, processes prompt tokens and returns the duration of the
// step. finishStep must be called at its end.
func (e *engine) startStep() time.Duration {
	e.admit()
	budget, processed := promptPerStep, 0
	for _, c := range e.running {
		part := min(c.promptLeft, budget)
		c.promptLeft -= part
		budget -= part
		processed += part
	}
	duration := stepBase + time.Duration(len(e.running))*stepPerRequest + time.Duration(processed)*promptTime
	duration = time.Duration(float64(duration) * e.slowdown)
	e.stepTime += (duration - e.stepTime) / 8
	return duration
}

// finishStep generates one token for each request whose prompt is processed, and returns the completed
// requests. It calls token for each token with the time since the previous one, 0 for the first.
func (e *engine) finishStep(now time.Time, token func(c *call, gap time.Duration)) []*call {
	var done []*call
	kept := e.running[:0]
	for _, c := range e.running {
		if c.promptLeft == 0 {
			c.outputLeft--
			if c.first.IsZero() {
				c.first, c.last = now, now
			}
			token(c, now.Sub(c.last))
			c.last = now
		}
		if c.outputLeft == 0 {
			done = append(done, c)
			continue
		}
		kept = append(kept, c)
	}
	e.running = kept
	return done
}

// cacheEvent returns the changes of the cache since the last event, and false if there are none.
func (e *engine) cacheEvent() (routing.CacheEvent, bool) {
	if len(e.stored) == 0 && len(e.evicted) == 0 {
		return routing.CacheEvent{}, false
	}
	e.sequence++
	event := routing.CacheEvent{VM: e.vm, Incarnation: 1, Sequence: e.sequence, Stored: e.stored, Evicted: e.evicted}
	e.stored, e.evicted = nil, nil
	return event, true
}

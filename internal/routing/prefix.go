package routing

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// CacheEvent is a change in the prefix cache of an engine. The events of an engine are numbered without gaps; they may be
// delayed or lost.
type CacheEvent struct {
	VM          ident.VM          `cbor:"1,keyasint"`
	Incarnation ident.Incarnation `cbor:"2,keyasint"`
	// Sequence numbers the events of an incarnation, starting at 1.
	Sequence uint64  `cbor:"3,keyasint"`
	Stored   []Block `cbor:"4,keyasint,omitempty"`
	Evicted  []Block `cbor:"5,keyasint,omitempty"`
	// Cleared is true if the engine removed all blocks that were cached before this event.
	Cleared bool `cbor:"6,keyasint,omitempty"`
}

// Defaults of a prefix index.
const (
	// DefaultUnconfirmedLifetime is how long an unconfirmed entry is kept: one that no cache event has confirmed,
	// or one whose eviction event may have been lost in a gap.
	DefaultUnconfirmedLifetime = 20 * time.Second
	// ways is the number of entries in a set, in any of which a block may be stored.
	ways = 4
)

// entry is one block that a backend server probably has cached.
type entry struct {
	block Block
	// expires is when the entry becomes invalid, in ticks since the index's start; neverExpires if it is
	// confirmed.
	expires uint32
	// lastUsed is when the entry was last stored or matched, in ticks since the index's start.
	lastUsed uint32
}

const (
	neverExpires = ^uint32(0)
	// tick is the unit of the index's clock. 32 bits of ticks last for years.
	tick = 100 * time.Millisecond
)

// serverIndex is the index of one backend server's cache.
type serverIndex struct {
	vm          ident.VM
	incarnation ident.Incarnation
	sequence    uint64
	// entries is a set-associative table of fixed size.
	entries []entry
	gaps    uint64
}

// PrefixIndex estimates which backend servers have which prompt prefixes cached. Its memory use depends only on the
// number of backend servers. It is not safe for concurrent use.
type PrefixIndex struct {
	// sets is the number of sets of a backend server's table, a power of two.
	sets             uint64
	unconfirmedTicks uint32
	start            time.Time
	servers          []*serverIndex
}

// NewPrefixIndex returns an empty index with space for at least the given number of blocks for each backend server.
// Unconfirmed entries expire after the given time, or after DefaultUnconfirmedLifetime if it is not positive.
func NewPrefixIndex(now time.Time, blocks int, unconfirmed time.Duration) *PrefixIndex {
	sets := uint64(1)
	for sets*ways < uint64(max(blocks, 0)) {
		sets *= 2
	}
	if unconfirmed <= 0 {
		unconfirmed = DefaultUnconfirmedLifetime
	}
	return &PrefixIndex{sets: sets, unconfirmedTicks: uint32(unconfirmed / tick), start: now}
}

// Keep removes the backend servers that are not listed.
func (x *PrefixIndex) Keep(vms []ident.VM) {
	kept := x.servers[:0]
	for _, server := range x.servers {
		if slices.Contains(vms, server.vm) {
			kept = append(kept, server)
		}
	}
	clear(x.servers[len(kept):])
	x.servers = kept
}

// Apply updates the index with a cache event. After a gap in the sequence all older entries become unconfirmed, because
// the lost events may include evictions. Late and duplicate events are ignored.
func (x *PrefixIndex) Apply(now time.Time, event CacheEvent) {
	if event.Sequence == 0 {
		return
	}
	server := x.server(event.VM)
	if server.incarnation != event.Incarnation {
		clear(server.entries)
		server.incarnation = event.Incarnation
		server.sequence = event.Sequence - 1
	}
	if event.Sequence <= server.sequence {
		return
	}
	if event.Sequence != server.sequence+1 {
		server.gaps++
		x.markUnconfirmed(now, server)
	}
	server.sequence = event.Sequence
	if event.Cleared {
		clear(server.entries)
	}
	for _, block := range event.Evicted {
		x.evict(server, block)
	}
	for _, block := range event.Stored {
		x.store(server, block, x.ticks(now), neverExpires)
	}
}

// Expect adds unconfirmed entries for a prompt that was sent to a backend server, which caches its prefixes before the
// cache events arrive.
func (x *PrefixIndex) Expect(now time.Time, vm ident.VM, blocks []Block) {
	server := x.server(vm)
	at := x.ticks(now)
	for _, block := range blocks {
		x.store(server, block, at, at+x.unconfirmedTicks)
	}
}

// Match implements PrefixLookup. It uses a binary search, which requires that a cache that holds a prefix also holds all
// shorter ones.
func (x *PrefixIndex) Match(now time.Time, vm ident.VM, blocks []Block) int {
	server := x.find(vm)
	if server == nil || len(blocks) == 0 {
		return 0
	}
	at := x.ticks(now)
	if !x.holds(server, blocks[0], at) {
		return 0
	}
	return 1 + sort.Search(len(blocks)-1, func(i int) bool { return !x.holds(server, blocks[i+1], at) })
}

// Gaps returns the number of gaps in the sequences of cache events, over all backend servers.
func (x *PrefixIndex) Gaps() uint64 {
	total := uint64(0)
	for _, server := range x.servers {
		total += server.gaps
	}
	return total
}

func (x *PrefixIndex) ticks(now time.Time) uint32 {
	return uint32(min(max(now.Sub(x.start)/tick, 0), time.Duration(neverExpires/2)))
}

func (x *PrefixIndex) searchIndex(vm ident.VM) int {
	return sort.Search(len(x.servers), func(i int) bool { return x.servers[i].vm >= vm })
}

func (x *PrefixIndex) find(vm ident.VM) *serverIndex {
	at := x.searchIndex(vm)
	if at < len(x.servers) && x.servers[at].vm == vm {
		return x.servers[at]
	}
	return nil
}

func (x *PrefixIndex) server(vm ident.VM) *serverIndex {
	if server := x.find(vm); server != nil {
		return server
	}
	at := x.searchIndex(vm)
	server := &serverIndex{vm: vm, entries: make([]entry, x.sets*ways)}
	x.servers = append(x.servers, nil)
	copy(x.servers[at+1:], x.servers[at:])
	x.servers[at] = server
	return server
}

func (x *PrefixIndex) set(server *serverIndex, block Block) []entry {
	at := (mix(uint64(block)) & (x.sets - 1)) * ways
	return server.entries[at : at+ways]
}

func (x *PrefixIndex) holds(server *serverIndex, block Block, at uint32) bool {
	set := x.set(server, block)
	for i := range set {
		if set[i].block == block && set[i].expires > at {
			set[i].lastUsed = at
			return true
		}
	}
	return false
}

// store updates the entry of the block, or replaces the least recently used entry of its set.
func (x *PrefixIndex) store(server *serverIndex, block Block, at, expires uint32) {
	set := x.set(server, block)
	leastRecent := 0
	for i := range set {
		if set[i].block == block {
			set[i].expires = max(set[i].expires, expires)
			set[i].lastUsed = at
			return
		}
		if set[i].lastUsed < set[leastRecent].lastUsed {
			leastRecent = i
		}
	}
	set[leastRecent] = entry{block: block, expires: expires, lastUsed: at}
}

func (x *PrefixIndex) evict(server *serverIndex, block Block) {
	set := x.set(server, block)
	for i := range set {
		if set[i].block == block {
			set[i] = entry{}
		}
	}
}

func (x *PrefixIndex) markUnconfirmed(now time.Time, server *serverIndex) {
	expires := x.ticks(now) + x.unconfirmedTicks
	for i := range server.entries {
		if server.entries[i].expires == neverExpires {
			server.entries[i].expires = expires
		}
	}
}

func hashName(name string) uint64 {
	return xxhash.Sum64String(name)
}

package routing

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// CacheEvent is a change of an engine's prefix cache. Events of one engine are numbered
// without gaps; they come late, and some not at all.
type CacheEvent struct {
	VM          ident.VM          `cbor:"1,keyasint"`
	Incarnation ident.Incarnation `cbor:"2,keyasint"`
	// Sequence numbers the events of an incarnation, from 1.
	Sequence uint64  `cbor:"3,keyasint"`
	Stored   []Block `cbor:"4,keyasint,omitempty"`
	Evicted  []Block `cbor:"5,keyasint,omitempty"`
	// Cleared is true if all that was cached before is gone.
	Cleared bool `cbor:"6,keyasint,omitempty"`
}

// Defaults of a prefix index.
const (
	// DefaultDoubtLifetime is how long an entry is believed that no event confirms, or
	// that an event lost in a gap may have evicted.
	DefaultDoubtLifetime = 20 * time.Second
	// ways is the number of entries that a block may be kept in.
	ways = 4
)

// entry is one block that a backend server probably holds.
type entry struct {
	block Block
	// until is when the entry stops being believed, in ticks since the index's start;
	// forever if confirmed.
	until uint32
	// used is when the entry was last stored or matched, likewise.
	used uint32
}

const (
	forever = ^uint32(0)
	// tick is the unit of the index's clock, which lasts for years.
	tick = 100 * time.Millisecond
)

// serverIndex is what is believed about one backend server's cache.
type serverIndex struct {
	vm          ident.VM
	incarnation ident.Incarnation
	sequence    uint64
	// entries is a set-associative table, of fixed size.
	entries []entry
	gaps    uint64
}

// PrefixIndex tells which backend servers probably hold which prefixes. Its memory is
// fixed by the number of backend servers. It is not safe for concurrent use.
type PrefixIndex struct {
	// sets is the number of sets of a backend server's table, a power of two.
	sets    uint64
	doubt   uint32
	start   time.Time
	servers []*serverIndex
}

// NewPrefixIndex returns an empty index with room for about the number of blocks for each
// backend server. Entries in doubt are dropped after the doubt lifetime.
func NewPrefixIndex(now time.Time, blocks int, doubt time.Duration) *PrefixIndex {
	sets := uint64(1)
	for sets*ways < uint64(max(blocks, 0)) {
		sets *= 2
	}
	if doubt <= 0 {
		doubt = DefaultDoubtLifetime
	}
	return &PrefixIndex{sets: sets, doubt: uint32(doubt / tick), start: now}
}

// Keep forgets the backend servers that are not listed.
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

// Apply takes in a cache event. After a gap the older entries are in doubt, for an
// eviction may be among the lost events; late and doubled events are dropped.
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
		x.doubtAll(now, server)
	}
	server.sequence = event.Sequence
	if event.Cleared {
		clear(server.entries)
	}
	for _, block := range event.Evicted {
		x.evict(server, block)
	}
	for _, block := range event.Stored {
		x.store(server, block, x.clock(now), forever)
	}
}

// Expect notes that a prompt was sent to a backend server, which will hold its prefixes
// before its cache events tell so.
func (x *PrefixIndex) Expect(now time.Time, vm ident.VM, blocks []Block) {
	server := x.server(vm)
	at := x.clock(now)
	for _, block := range blocks {
		x.store(server, block, at, at+x.doubt)
	}
}

// Match implements PrefixLookup. It relies on caches holding no prefix without the
// shorter ones.
func (x *PrefixIndex) Match(now time.Time, vm ident.VM, blocks []Block) int {
	server := x.find(vm)
	if server == nil || len(blocks) == 0 {
		return 0
	}
	at := x.clock(now)
	if !x.holds(server, blocks[0], at) {
		return 0
	}
	return 1 + sort.Search(len(blocks)-1, func(i int) bool { return !x.holds(server, blocks[i+1], at) })
}

// Gaps returns the number of gaps in the cache events of all backend servers.
func (x *PrefixIndex) Gaps() uint64 {
	total := uint64(0)
	for _, server := range x.servers {
		total += server.gaps
	}
	return total
}

func (x *PrefixIndex) clock(now time.Time) uint32 {
	return uint32(min(max(now.Sub(x.start)/tick, 0), time.Duration(forever/2)))
}

func (x *PrefixIndex) place(vm ident.VM) int {
	return sort.Search(len(x.servers), func(i int) bool { return x.servers[i].vm >= vm })
}

func (x *PrefixIndex) find(vm ident.VM) *serverIndex {
	at := x.place(vm)
	if at < len(x.servers) && x.servers[at].vm == vm {
		return x.servers[at]
	}
	return nil
}

func (x *PrefixIndex) server(vm ident.VM) *serverIndex {
	if server := x.find(vm); server != nil {
		return server
	}
	at := x.place(vm)
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
		if set[i].block == block && set[i].until > at {
			set[i].used = at
			return true
		}
	}
	return false
}

// store keeps a block in the place of the same one, or of the one that was used least recently.
func (x *PrefixIndex) store(server *serverIndex, block Block, at, until uint32) {
	set := x.set(server, block)
	oldest := 0
	for i := range set {
		if set[i].block == block {
			set[i].until = max(set[i].until, until)
			set[i].used = at
			return
		}
		if set[i].used < set[oldest].used {
			oldest = i
		}
	}
	set[oldest] = entry{block: block, until: until, used: at}
}

func (x *PrefixIndex) evict(server *serverIndex, block Block) {
	set := x.set(server, block)
	for i := range set {
		if set[i].block == block {
			set[i] = entry{}
		}
	}
}

func (x *PrefixIndex) doubtAll(now time.Time, server *serverIndex) {
	until := x.clock(now) + x.doubt
	for i := range server.entries {
		if server.entries[i].until == forever {
			server.entries[i].until = until
		}
	}
}

func hashName(name string) uint64 {
	return xxhash.Sum64String(name)
}

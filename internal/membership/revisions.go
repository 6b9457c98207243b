package membership

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Parameters of shared reads of the store's revision.
const (
	// RevisionBatchTime is how long a reader collects queries before it reads the revision for all of them.
	RevisionBatchTime = 300 * time.Millisecond
	// minSharingEntries is the number of entries from which reads are shared. Fewer cost the store little.
	minSharingEntries = 16
	// entriesPerReader is the number of entries for each reader, of which there are two at least.
	entriesPerReader = 32
	// silentReaderTime is how long a reader that did not answer is not asked again.
	silentReaderTime = 5 * time.Second
)

// RevisionBatch collects other processes' queries for the store's newest revision and answers several with one read. A
// query is only answered by a read that begins after its arrival, so that the answer includes all changes that the store
// had acknowledged when the query was sent. Q identifies a query. It is not safe for concurrent use.
type RevisionBatch[Q any] struct {
	waiting []Q
	since   time.Time
	// reads holds the queries that each read in progress answers.
	reads map[uint64][]Q
	next  uint64
}

// Add adds a query that arrived now.
func (b *RevisionBatch[Q]) Add(now time.Time, query Q) {
	if len(b.waiting) == 0 {
		b.since = now
	}
	b.waiting = append(b.waiting, query)
}

// Due reports whether a read should begin for the waiting queries.
func (b *RevisionBatch[Q]) Due(now time.Time) bool {
	return len(b.waiting) > 0 && now.Sub(b.since) >= RevisionBatchTime
}

// Begin must be called before a read begins. It returns the read's number.
func (b *RevisionBatch[Q]) Begin() uint64 {
	b.next++
	if len(b.waiting) > 0 {
		if b.reads == nil {
			b.reads = map[uint64][]Q{}
		}
		b.reads[b.next] = b.waiting
		b.waiting = nil
	}
	return b.next
}

// End returns the queries that a read answers, or that fail with it.
func (b *RevisionBatch[Q]) End(read uint64) []Q {
	answered := b.reads[read]
	delete(b.reads, read)
	return answered
}

// RevisionReaders chooses the entry that reads the store's revision for another one. All entries that know of the same
// entries choose among the same few. It is not safe for concurrent use.
type RevisionReaders struct {
	self     netip.AddrPort
	silentAt map[netip.AddrPort]time.Time
}

// NewRevisionReaders returns the choice of readers for the entry with the address self.
func NewRevisionReaders(self netip.AddrPort) *RevisionReaders {
	return &RevisionReaders{self: self, silentAt: map[netip.AddrPort]time.Time{}}
}

// RecordSilent records that a reader did not answer.
func (r *RevisionReaders) RecordSilent(now time.Time, reader netip.AddrPort) {
	r.silentAt[reader] = now
}

// Choose returns the reader to ask, out of the other known entries; false if this entry should read the store itself.
func (r *RevisionReaders) Choose(now time.Time, others []netip.AddrPort) (netip.AddrPort, bool) {
	entries := len(others) + 1
	if entries < minSharingEntries {
		return netip.AddrPort{}, false
	}
	candidates := []netip.AddrPort{r.self}
	for _, other := range others {
		if at, silent := r.silentAt[other]; silent {
			if now.Sub(at) < silentReaderTime {
				continue
			}
			delete(r.silentAt, other)
		}
		candidates = append(candidates, other)
	}
	slices.SortFunc(candidates, func(a, b netip.AddrPort) int {
		return cmp.Or(cmp.Compare(addressHash(a), addressHash(b)), a.Compare(b))
	})
	readers := candidates[:min(len(candidates), max(2, (entries+entriesPerReader-1)/entriesPerReader))]
	if slices.Contains(readers, r.self) {
		return netip.AddrPort{}, false
	}
	return readers[addressHash(r.self)%uint64(len(readers))], true
}

func addressHash(address netip.AddrPort) uint64 {
	return xxhash.Sum64String(address.String())
}

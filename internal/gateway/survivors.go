package gateway

import (
	"encoding/binary"
	"hash/maphash"
	"sync/atomic"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
)

const (
	// survivorSlots is the number of traits that a survivorTable remembers at most. It is several times the number of
	// requests that an entry serves within survivorAge.
	survivorSlots = 8192
	// survivorAge is the time for which complete responses show that a trait of the request does not crash servers.
	survivorAge = 10 * time.Second
)

// survivorTable counts how often in a row this entry's backend servers have run requests, or prompt parts, to the end, the last
// time within survivorAge. It is a hash table of fixed size in which a newer trait replaces an older one, and is safe for concurrent
// use.
type survivorTable struct {
	seed  maphash.Seed
	start time.Time
	slots [survivorSlots]survivorSlot
}

// survivorSlot holds one trait. A torn read of its fields, which is possible during a write, costs at most the knowledge of
// one trait.
type survivorSlot struct {
	hash atomic.Uint64
	// at is the time of the response, as the duration from survivorTable.start.
	at atomic.Int64
	// runs is the number of responses since a send was broken, each within survivorAge after the one before.
	runs atomic.Uint32
}

func newSurvivorTable() *survivorTable {
	return &survivorTable{seed: maphash.MakeSeed(), start: time.Now()}
}

// add records a response to a request that has the trait with the hash.
func (t *survivorTable) add(hash uint64, now time.Time) {
	slot := &t.slots[hash%survivorSlots]
	if slot.hash.Load() != hash || now.Sub(t.start)-time.Duration(slot.at.Load()) > survivorAge {
		slot.runs.Store(0)
	}
	slot.runs.Add(1)
	slot.at.Store(int64(now.Sub(t.start)))
	slot.hash.Store(hash)
}

// contains reports whether there were attempt.ClearingRuns such responses in a row, the last within survivorAge.
func (t *survivorTable) contains(hash uint64, now time.Time) bool {
	slot := &t.slots[hash%survivorSlots]
	return slot.hash.Load() == hash && slot.runs.Load() >= attempt.ClearingRuns && now.Sub(t.start)-time.Duration(slot.at.Load()) <= survivorAge
}

// take reports what contains does, and starts the count over if it returns true.
func (t *survivorTable) take(hash uint64, now time.Time) bool {
	if !t.contains(hash, now) {
		return false
	}
	t.recordBroken(hash)
	return true
}

// recordBroken records that a send of a request that has the trait with the hash was broken.
func (t *survivorTable) recordBroken(hash uint64) {
	if slot := &t.slots[hash%survivorSlots]; slot.hash.Load() == hash {
		slot.runs.Store(0)
	}
}

// traitHash identifies a prompt part in the survivor table.
func traitHash(trait attempt.Fingerprint) uint64 { return binary.BigEndian.Uint64(trait[:]) }

// survivorHash identifies the request in the survivor table. It covers the same parts as the fingerprint, but is cheap
// enough to be computed for each served request.
func (c *call) survivorHash() uint64 {
	var hash maphash.Hash
	hash.SetSeed(c.gateway.survivors.seed)
	for _, part := range []string{string(c.access.Customer), c.r.Method, c.r.Host, c.r.RequestURI} {
		_, _ = hash.WriteString(part)
		_ = hash.WriteByte(0)
	}
	_, _ = hash.Write(c.body)
	return hash.Sum64()
}

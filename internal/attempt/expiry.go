package attempt

import (
	"container/heap"
	"time"
)

// expiryQueue orders keys by the time at which they may have expired. A key may be queued more
// than once; the consumer checks whether it has expired.
type expiryQueue[K any] struct {
	entries expiryHeap[K]
}

type expiryEntry[K any] struct {
	at  time.Time
	key K
}

type expiryHeap[K any] []expiryEntry[K]

func (h expiryHeap[K]) Len() int           { return len(h) }
func (h expiryHeap[K]) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h expiryHeap[K]) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push adds an element for package heap.
func (h *expiryHeap[K]) Push(x any) { *h = append(*h, x.(expiryEntry[K])) }

// Pop removes the last element for package heap.
func (h *expiryHeap[K]) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

func (q *expiryQueue[K]) add(at time.Time, key K) {
	heap.Push(&q.entries, expiryEntry[K]{at: at, key: key})
}

// popExpired removes and returns a key whose time has passed.
func (q *expiryQueue[K]) popExpired(now time.Time) (K, bool) {
	var none K
	if len(q.entries) == 0 || !now.After(q.entries[0].at) {
		return none, false
	}
	return heap.Pop(&q.entries).(expiryEntry[K]).key, true
}

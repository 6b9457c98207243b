package timeline

import (
	"slices"
	"sync"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// DefaultCapacity is the default capacity of a process's buffer, in events.
const DefaultCapacity = 8192

// Buffer is a ring buffer of the newest events of one process. It is safe for concurrent use.
type Buffer struct {
	instance ident.Instance
	clock    *Clock

	mu sync.Mutex
	// ring holds the event with sequence number n at index (n-1) modulo its capacity.
	ring     []Event
	capacity uint64
	// lastSequence is the sequence number of the newest event.
	lastSequence uint64
	// firstDropped and lastDropped are the stamps of the oldest and the newest dropped event.
	firstDropped Stamp
	lastDropped  Stamp
}

// NewBuffer returns a buffer for up to capacity events of one instance. It panics unless capacity is positive.
func NewBuffer(instance ident.Instance, clock *Clock, capacity int) *Buffer {
	if capacity <= 0 {
		panic("invariant: capacity of a timeline buffer must be positive")
	}
	return &Buffer{instance: instance, clock: clock, capacity: uint64(capacity)}
}

// Add stores the event with a new stamp, the instance and the next sequence number, and returns the stamp. If the buffer
// is full, the event replaces the oldest one. The fields are appended to those of the event; passing them separately
// saves the caller the allocation of a slice.
func (b *Buffer) Add(now time.Time, event Event, fields ...Field) Stamp {
	b.mu.Lock()
	defer b.mu.Unlock()
	stamp := b.clock.Next(now)
	slot := b.nextSlot()
	slot.copyContent(event, fields)
	slot.Stamp = stamp
	slot.VM, slot.Incarnation = b.instance.VM, b.instance.Incarnation
	b.lastSequence++
	slot.Sequence = b.lastSequence
	return stamp
}

// nextSlot returns the ring element for the next event. If the ring is full, that is the oldest event, which is recorded as
// dropped.
func (b *Buffer) nextSlot() *Event {
	if b.lastSequence < b.capacity {
		b.ring = append(b.ring, Event{})
		return &b.ring[b.lastSequence]
	}
	oldest := &b.ring[b.lastSequence%b.capacity]
	if b.lastSequence == b.capacity {
		b.firstDropped = oldest.Stamp
	}
	b.lastDropped = oldest.Stamp
	return oldest
}

// Dropped returns the number of events that newer ones have replaced.
func (b *Buffer) Dropped() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.dropped()
}

func (b *Buffer) dropped() uint64 {
	if b.lastSequence <= b.capacity {
		return 0
	}
	return b.lastSequence - b.capacity
}

// Events returns all events in the buffer, oldest first. If any were dropped, the first event is of KindDropped and holds
// their number.
func (b *Buffer) Events() []Event { return b.Since(0) }

// Since returns the events with sequence numbers greater than after, oldest first. If any of them were dropped, the first
// event is of KindDropped and holds their number.
func (b *Buffer) Since(after uint64) []Event {
	b.mu.Lock()
	defer b.mu.Unlock()
	dropped := b.dropped()
	first := max(after, dropped)
	if first >= b.lastSequence {
		return nil
	}
	events := make([]Event, 0, b.lastSequence-first+1)
	if after < dropped {
		events = append(events, b.droppedEventSince(after))
	}
	for sequence := first + 1; sequence <= b.lastSequence; sequence++ {
		event := b.ring[(sequence-1)%b.capacity]
		event.Fields = slices.Clone(event.Fields)
		events = append(events, event)
	}
	return events
}

// droppedEventSince returns the KindDropped event for the dropped events with sequence numbers greater than after. It has
// the stamp and the sequence number of the newest of them.
func (b *Buffer) droppedEventSince(after uint64) Event {
	dropped := b.dropped()
	return Event{
		Stamp: b.lastDropped, VM: b.instance.VM, Incarnation: b.instance.Incarnation,
		Sequence: dropped, Kind: KindDropped,
		Fields: []Field{
			Int("count", int64(dropped-after)),
			String("first", b.firstDropped.String()),
		},
	}
}

// Package node holds what entry and agent processes share: the control thread, metrics,
// logs, peers and the process's life.
package node

import (
	"context"
	"sync/atomic"
	"time"
)

// queueLength is the number of events that may wait for the control thread.
const queueLength = 4096

// Loop is the control thread of a process: it hands events to a handler one at a time.
type Loop[E any] struct {
	queue    chan E
	tick     time.Duration
	handle   func(now time.Time, event E)
	onTick   func(now time.Time)
	rejected atomic.Int64
	busy     atomic.Int64
	handled  atomic.Int64
}

// LoopStats counts the work of a control thread.
type LoopStats struct {
	// Handled is the number of handled events, ticks included.
	Handled int64
	// Rejected is the number of events that found the queue full.
	Rejected int64
	// Busy is the time spent in handlers.
	Busy time.Duration
	// Waiting is the number of events in the queue.
	Waiting int
}

// NewLoop returns a loop that calls handle for each event and onTick once a tick.
func NewLoop[E any](tick time.Duration, handle func(now time.Time, event E), onTick func(now time.Time)) *Loop[E] {
	return &Loop[E]{queue: make(chan E, queueLength), tick: tick, handle: handle, onTick: onTick}
}

// Run handles events until the context ends.
func (l *Loop[E]) Run(ctx context.Context) {
	ticker := time.NewTicker(l.tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-l.queue:
			l.timed(func(now time.Time) { l.handle(now, event) })
		case <-ticker.C:
			l.timed(l.onTick)
		}
	}
}

func (l *Loop[E]) timed(work func(now time.Time)) {
	start := time.Now()
	work(start)
	l.busy.Add(int64(time.Since(start)))
	l.handled.Add(1)
}

// Offer queues an event unless the queue is full. A rejected event is counted.
func (l *Loop[E]) Offer(event E) bool {
	select {
	case l.queue <- event:
		return true
	default:
		l.rejected.Add(1)
		return false
	}
}

// Post queues an event and waits for room. It returns false if the context ended first.
func (l *Loop[E]) Post(ctx context.Context, event E) bool {
	select {
	case l.queue <- event:
		return true
	default:
	}
	select {
	case l.queue <- event:
		return true
	case <-ctx.Done():
		l.rejected.Add(1)
		return false
	}
}

// Stats returns the counts so far.
func (l *Loop[E]) Stats() LoopStats {
	return LoopStats{
		Handled:  l.handled.Load(),
		Rejected: l.rejected.Load(),
		Busy:     time.Duration(l.busy.Load()),
		Waiting:  len(l.queue),
	}
}

// Package node implements the parts that entry and agent processes share: the control thread, the
// transport to other processes, metrics, logs, the admin interface, start and stop.
package node

import (
	"context"
	"sync/atomic"
	"time"
)

// queueLength is the maximum number of events queued for the control thread.
const queueLength = 4096

// Loop is the control thread of a process. It calls a handler for each queued event, one at a time.
type Loop[E any] struct {
	queue    chan E
	tick     time.Duration
	handle   func(now time.Time, event E)
	onTick   func(now time.Time)
	rejected atomic.Int64
	busy     atomic.Int64
	handled  atomic.Int64
}

// LoopStats holds the counters of a Loop.
type LoopStats struct {
	// Handled is the number of handled events, including ticks.
	Handled int64
	// Rejected is the number of events that were not queued because the queue was full.
	Rejected int64
	// Busy is the time spent in handlers.
	Busy time.Duration
	// Waiting is the current number of events in the queue.
	Waiting int
}

// NewLoop returns a loop that calls handle for each event, and onTick at each interval of length
// tick.
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
			l.runTimed(func(now time.Time) { l.handle(now, event) })
		case <-ticker.C:
			l.runTimed(l.onTick)
		}
	}
}

func (l *Loop[E]) runTimed(work func(now time.Time)) {
	start := time.Now()
	work(start)
	l.busy.Add(int64(time.Since(start)))
	l.handled.Add(1)
}

// Offer queues an event and returns true. If the queue is full, it counts the event as rejected and
// returns false.
func (l *Loop[E]) Offer(event E) bool {
	select {
	case l.queue <- event:
		return true
	default:
		l.rejected.Add(1)
		return false
	}
}

// Post queues an event. It blocks while the queue is full, and returns false if the context ends
// first.
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

// Stats returns the counters. It is safe for concurrent use.
func (l *Loop[E]) Stats() LoopStats {
	return LoopStats{
		Handled:  l.handled.Load(),
		Rejected: l.rejected.Load(),
		Busy:     time.Duration(l.busy.Load()),
		Waiting:  len(l.queue),
	}
}

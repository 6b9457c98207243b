package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/control"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
	"github.com/bramleyspool/bramleyspool/internal/routing"
)

// stallWatchdog requests a replacement when a resumable stream stalls. It resets the connection only once another
// backend server is assigned, since a stalled stream may still continue.
type stallWatchdog struct {
	call *call
	ctx  context.Context
	conn *backendConn
	// request is the request for a backend server in place of the stalled one, which has the ID server.
	request control.BackendRequest
	server  string

	mu    sync.Mutex
	timer *time.Timer
	ended bool
	// due is when the timer fires. paused is true while a part of the stream is being written to the caller: then it is the caller that holds
	// the stream up, and left is what was left until due when it began.
	due    time.Time
	paused bool
	left   time.Duration
	// replacement is the backend server that continues the stream; moved is true if the stream's own one has not failed.
	replacement *control.Assignment
	moved       bool
	// requesting is closed when the request for a replacement in progress has been answered; nil if there is none. Events
	// are passed on meanwhile.
	requesting chan struct{}
}

// startWatchdog starts a watchdog for a stream; nil if another backend server may not continue it.
func (c *call) startWatchdog(ctx context.Context, conn *backendConn) *stallWatchdog {
	if c.route.Kind != routing.EventStream || !c.route.Repeatable() || c.runs.Possible() >= c.route.MaxServers || !c.mayTryAfter(len(c.tried)+1) {
		return nil
	}
	w := &stallWatchdog{call: c, ctx: ctx, conn: conn, request: c.replacementRequest(), server: c.assigned.Backend.ID}
	w.mu.Lock()
	w.due = time.Now().Add(streamStallTimeout)
	w.timer = time.AfterFunc(streamStallTimeout, w.requestReplacement)
	w.mu.Unlock()
	c.gateway.runningStreams.add(w)
	return w
}

// pause stops the stall timeout while a part of the stream is being written to the caller.
func (w *stallWatchdog) pause() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.paused, w.left = true, max(time.Until(w.due), 0)
	w.timer.Stop()
}

// resume continues the stall timeout after a part of the stream has been written to the caller. An event starts it anew, a comment does
// not.
func (w *stallWatchdog) resume(event bool) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.paused = false
	if event {
		w.left = streamStallTimeout
	}
	w.restart(w.left)
}

// restart lets the stall timeout end after some time, for callers that hold the lock.
func (w *stallWatchdog) restart(timeout time.Duration) {
	if !w.ended && !w.paused {
		w.due = time.Now().Add(timeout)
		w.timer.Reset(timeout)
	}
}

// requestReplacement requests another backend server for a stalled stream. If none is available, it tries again after another
// stall timeout.
func (w *stallWatchdog) requestReplacement() {
	w.mu.Lock()
	paused := w.paused
	w.mu.Unlock()
	if paused {
		// The timer has fired while it was being stopped.
		return
	}
	// The wait for a replacement starts now, not at the call's arrival.
	request := w.request
	request.Arrived = time.Now()
	if replaced, _ := w.replaceStream(request, false); replaced {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.restart(streamStallTimeout)
}

// replaceStream requests a backend server that continues the stream. It returns whether there is one, and false for asked if the
// stream has ended or another request is in progress.
func (w *stallWatchdog) replaceStream(request control.BackendRequest, moved bool) (replaced, asked bool) {
	w.mu.Lock()
	if w.ended || w.ctx.Err() != nil || w.requesting != nil {
		w.mu.Unlock()
		return false, false
	}
	answered := make(chan struct{})
	w.requesting = answered
	w.mu.Unlock()
	assigned, ok := w.call.requestAssignment(w.ctx, request)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requesting = nil
	defer close(answered)
	if !ok || assigned.Cause != outcome.CauseNone {
		return false, true
	}
	w.replacement = &assigned
	if !w.ended {
		// Otherwise the stream has ended, and its connection may serve another request by now.
		w.ended, w.moved = true, moved
		w.conn.reset()
	}
	return true, true
}

// stop ends the watchdog and returns the backend server that continues the stream; nil if there is none. moved is true if it
// continues there although its own one has not failed.
func (w *stallWatchdog) stop() (replacement *control.Assignment, moved bool) {
	if w == nil {
		return nil, false
	}
	w.call.gateway.runningStreams.remove(w)
	w.mu.Lock()
	w.ended = true
	w.timer.Stop()
	requesting := w.requesting
	w.mu.Unlock()
	if requesting != nil {
		// The server that it assigns must be used or released.
		<-requesting
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.replacement, w.moved
}

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
	// request is the request for a backend server in place of the stalled one.
	request control.BackendRequest

	mu    sync.Mutex
	timer *time.Timer
	ended bool
	// replacement is the backend server that continues the stream.
	replacement *control.Assignment
}

// startWatchdog starts a watchdog for a stream; nil if another backend server may not continue it.
func (c *call) startWatchdog(ctx context.Context, conn *backendConn) *stallWatchdog {
	if c.route.Kind != routing.EventStream || !c.route.Repeatable() || c.runs.Possible() >= c.route.MaxServers {
		return nil
	}
	w := &stallWatchdog{call: c, ctx: ctx, conn: conn, request: c.replacementRequest()}
	w.timer = time.AfterFunc(streamStallTimeout, w.requestReplacement)
	return w
}

// eventReceived restarts the stall timeout.
func (w *stallWatchdog) eventReceived() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.ended {
		w.timer.Reset(streamStallTimeout)
	}
}

// requestReplacement requests another backend server. If none is available, it tries again after another stall timeout.
func (w *stallWatchdog) requestReplacement() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended || w.ctx.Err() != nil {
		return
	}
	// The wait for a replacement starts now, not at the call's arrival.
	w.request.Arrived = time.Now()
	assigned, ok := w.call.requestAssignment(w.ctx, w.request)
	if !ok || assigned.Cause != outcome.CauseNone {
		w.timer.Reset(streamStallTimeout)
		return
	}
	w.replacement = &assigned
	w.ended = true
	w.conn.reset()
}

// stop ends the watchdog and returns the backend server that continues the stream; nil if there is none.
func (w *stallWatchdog) stop() *control.Assignment {
	if w == nil {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.timer.Stop()
	return w.replacement
}

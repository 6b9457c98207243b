package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/control"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
	"github.com/bramleyspool/bramleyspool/internal/routing"
)

// silenceWatchdog looks for another server when a stream that may be resumed is silent. It ends the connection
// only once another server has room: silence alone is no reason to end an answer.
type silenceWatchdog struct {
	call *call
	ctx  context.Context
	conn *upstreamConn
	// want asks for a server in place of the silent one.
	want control.Want

	mu    sync.Mutex
	timer *time.Timer
	ended bool
	// next is the server that takes over.
	next *control.Assignment
}

// watchSilence starts a watchdog for a stream; nil for requests that may not go on elsewhere.
func (c *call) watchSilence(ctx context.Context, conn *upstreamConn) *silenceWatchdog {
	if c.route.Kind != routing.EventStream || !c.route.Repeatable() || c.runs >= c.route.MaxServers {
		return nil
	}
	w := &silenceWatchdog{call: c, ctx: ctx, conn: conn, want: c.wantInstead()}
	w.timer = time.AfterFunc(streamSilence, w.fire)
	return w
}

// event tells that the stream is not silent.
func (w *silenceWatchdog) event() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.ended {
		w.timer.Reset(streamSilence)
	}
}

// fire asks for another server; without one it tries again after a further silence.
func (w *silenceWatchdog) fire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended || w.ctx.Err() != nil {
		return
	}
	w.want.Arrived = time.Now()
	assigned, ok := w.call.ask(w.ctx, w.want)
	if !ok || assigned.Cause != outcome.CauseNone {
		w.timer.Reset(streamSilence)
		return
	}
	w.next = &assigned
	w.ended = true
	w.conn.abandon()
}

// stop ends the watchdog and returns the server that takes over; nil if none does.
func (w *silenceWatchdog) stop() *control.Assignment {
	if w == nil {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.timer.Stop()
	return w.next
}

package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// callerListener accepts connections of callers that record when bytes arrive.
type callerListener struct{ net.Listener }

// Accept waits for the next connection.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if tcp, ok := conn.(*net.TCPConn); ok && err == nil {
		return &callerConn{TCPConn: tcp, accepted: time.Now()}, nil
	}
	return conn, err
}

// callerConn is a caller's connection.
type callerConn struct {
	*net.TCPConn
	accepted time.Time
	// receivedAt is when bytes were last read, in ns after accepted.
	receivedAt atomic.Int64
	// The fields below belong to the callerConns.
	state http.ConnState
	// since is when the state began, as a time after accepted.
	since time.Duration
	// served is true if the request that is being read or answered has reached the gateway.
	served bool
	// expired is true if the read deadline has been set to close the connection.
	expired bool
}

// Read records the arrival of bytes.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.receivedAt.Store(int64(time.Since(c.accepted)))
	}
	return n, err
}

// callerConns has the open connections of callers. Its method recordState is the http.Server's ConnState hook.
type callerConns struct {
	mu   sync.Mutex
	open map[*callerConn]struct{}
	// onDropped is called for each connection that ends after bytes of a request were read from it which reached no call:
	// the head was incomplete or invalid, or the server dropped it.
	onDropped func(conn *callerConn)
}

func newCallerConns(onDropped func(conn *callerConn)) *callerConns {
	return &callerConns{open: map[*callerConn]struct{}{}, onDropped: onDropped}
}

// callerConnKey is the key of the *callerConn in the contexts of a connection's requests.
type callerConnKey struct{}

// attach adds a new connection, and the connection to the context of its requests.
func (t *callerConns) attach(ctx context.Context, conn net.Conn) context.Context {
	caller, ok := conn.(*callerConn)
	if !ok {
		return ctx
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open[caller] = struct{}{}
	return context.WithValue(ctx, callerConnKey{}, caller)
}

// recordState records that the state of a connection has changed.
func (t *callerConns) recordState(conn net.Conn, state http.ConnState) {
	caller, ok := conn.(*callerConn)
	if !ok {
		return
	}
	t.mu.Lock()
	dropped := state == http.StateClosed && caller.state == http.StateActive && !caller.served
	caller.state, caller.since = state, time.Since(caller.accepted)
	switch state {
	case http.StateActive:
		caller.served = false
		if caller.expired {
			// The request was read while closeUnused set the deadline. An error means that the connection has ended.
			_ = caller.SetReadDeadline(time.Time{})
			caller.expired = false
		}
	case http.StateClosed, http.StateHijacked:
		delete(t.open, caller)
	case http.StateNew, http.StateIdle:
	}
	t.mu.Unlock()
	if dropped {
		t.onDropped(caller)
	}
}

// closeUnused closes the connections that wait for a request of which no byte has arrived. Their read deadline ends instead of
// the connections, so that a request which is being read at that moment is still answered.
func (t *callerConns) closeUnused(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for caller := range t.open {
		waiting := caller.state == http.StateIdle || caller.state == http.StateNew && now.Sub(caller.accepted) > unusedGrace
		if !waiting || caller.receivedAt.Load() > int64(caller.since) || !isQuiet(caller.TCPConn) {
			continue
		}
		// An error means that the connection has already ended.
		_ = caller.SetReadDeadline(now)
		caller.expired = true
	}
}

// recordCall records that the request on a connection has reached the gateway.
func (t *callerConns) recordCall(ctx context.Context) {
	caller, ok := ctx.Value(callerConnKey{}).(*callerConn)
	if !ok {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	caller.served = true
}

// count returns the number of open connections.
func (t *callerConns) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open)
}

// recordDropped logs and counts a connection that ended with a request which reached no call.
func (g *Gateway) recordDropped(caller *callerConn) {
	g.metrics.count("requests_dropped")
	g.log.WithFields(logrus.Fields{"caller": caller.RemoteAddr(), "stopping": g.stopping()}).Warn("request-dropped")
}

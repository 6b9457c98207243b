package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// callerConn is the state of a caller's connection.
type callerConn struct {
	conn  net.Conn
	state http.ConnState
	// since is when the state began.
	since time.Time
	// served is true if the request that is being read or answered has reached the gateway.
	served bool
}

// callerConns has the open connections of callers. Its method recordState is the http.Server's ConnState hook.
type callerConns struct {
	mu   sync.Mutex
	open map[net.Conn]*callerConn
	// onDropped is called for each connection that ends after bytes of a request were read from it which reached no call:
	// the head was incomplete or invalid, or the server dropped it.
	onDropped func(conn *callerConn)
}

func newCallerConns(onDropped func(conn *callerConn)) *callerConns {
	return &callerConns{open: map[net.Conn]*callerConn{}, onDropped: onDropped}
}

// callerConnKey is the key of the *callerConn in the contexts of a connection's requests.
type callerConnKey struct{}

// attach adds a new connection, and its state to the context of its requests.
func (t *callerConns) attach(ctx context.Context, conn net.Conn) context.Context {
	caller := &callerConn{conn: conn, since: time.Now()}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open[conn] = caller
	return context.WithValue(ctx, callerConnKey{}, caller)
}

// recordState records that the state of a connection has changed.
func (t *callerConns) recordState(conn net.Conn, state http.ConnState) {
	t.mu.Lock()
	caller := t.open[conn]
	if caller == nil {
		t.mu.Unlock()
		return
	}
	dropped := state == http.StateClosed && caller.state == http.StateActive && !caller.served
	caller.state, caller.since = state, time.Now()
	switch state {
	case http.StateActive:
		caller.served = false
	case http.StateClosed, http.StateHijacked:
		delete(t.open, conn)
	case http.StateNew, http.StateIdle:
	}
	t.mu.Unlock()
	if dropped {
		t.onDropped(caller)
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
	g.log.WithFields(logrus.Fields{"caller": caller.conn.RemoteAddr(), "stopping": g.stopping.Load()}).Warn("request-dropped")
}

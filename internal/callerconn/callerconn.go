// Package callerconn tracks the connections of callers to an http.Server, so that a planned stop can close those that no request uses.
// http.Server.Shutdown closes the connections of requests that it reads meanwhile without a response.
package callerconn

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/network"
)

const (
	// unusedGrace is how long a connection that was opened before the listener closed may be unused until it is closed.
	unusedGrace = time.Second
	// checkInterval is the interval at which CloseAll looks for connections without a request.
	checkInterval = 20 * time.Millisecond
)

// listener accepts connections that record when bytes arrive.
type listener struct{ net.Listener }

// Accept waits for the next connection.
func (l listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if tcp, ok := conn.(*net.TCPConn); ok && err == nil {
		return &Conn{TCPConn: tcp, accepted: time.Now()}, nil
	}
	return conn, err
}

// Conn is a caller's connection.
type Conn struct {
	*net.TCPConn
	accepted time.Time
	// receivedAt is when bytes were last read, in ns after accepted.
	receivedAt atomic.Int64
	// The fields below belong to the Table.
	state http.ConnState
	// since is when the state began, as a time after accepted.
	since time.Duration
	// served is true if the request that is being read or answered has reached the handler.
	served bool
	// expired is true if the read deadline has been set to close the connection.
	expired bool
}

// Read records the arrival of bytes.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.receivedAt.Store(int64(time.Since(c.accepted)))
	}
	return n, err
}

// Table has the open TCP connections of callers. It does not track connections of another kind.
type Table struct {
	mu   sync.Mutex
	open map[*Conn]struct{}
	// onDropped is called if the head of a request was incomplete or invalid, or the server dropped the request.
	onDropped func(conn *Conn)
}

// NewTable returns a table. onDropped is called for each connection that ends after bytes of a request were read from it for which
// RecordRequest was not called.
func NewTable(onDropped func(conn *Conn)) *Table {
	return &Table{open: map[*Conn]struct{}{}, onDropped: onDropped}
}

// Track lets the server report its connections to the table. The server must accept them from the listener that Track returns.
func (t *Table) Track(server *http.Server, inner net.Listener) net.Listener {
	server.ConnContext, server.ConnState = t.attach, t.recordState
	return listener{inner}
}

// contextKey is the key of the *Conn in the contexts of a connection's requests.
type contextKey struct{}

// attach adds a new connection, and the connection to the context of its requests.
func (t *Table) attach(ctx context.Context, conn net.Conn) context.Context {
	caller, ok := conn.(*Conn)
	if !ok {
		return ctx
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open[caller] = struct{}{}
	return context.WithValue(ctx, contextKey{}, caller)
}

// recordState records that the state of a connection has changed.
func (t *Table) recordState(conn net.Conn, state http.ConnState) {
	caller, ok := conn.(*Conn)
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
			// The request was read while CloseUnused set the deadline. An error means that the connection has ended.
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

// CloseUnused closes the connections that wait for a request of which no byte has arrived. Their read deadline ends instead of
// the connections, so that a request which is being read at that moment is still answered.
func (t *Table) CloseUnused(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for caller := range t.open {
		waiting := caller.state == http.StateIdle || caller.state == http.StateNew && now.Sub(caller.accepted) > unusedGrace
		if !waiting || caller.receivedAt.Load() > int64(caller.since) || !network.IsQuiet(caller.TCPConn) {
			continue
		}
		// An error means that the connection has already ended.
		_ = caller.SetReadDeadline(now)
		caller.expired = true
	}
}

// RecordRequest records that the handler serves the request with the context.
func (t *Table) RecordRequest(ctx context.Context) {
	caller, ok := ctx.Value(contextKey{}).(*Conn)
	if !ok {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	caller.served = true
}

// Count returns the number of open connections.
func (t *Table) Count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open)
}

// CloseAll closes each connection when no request uses it. It returns when there is none left, or at the end of the context.
func (t *Table) CloseAll(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for ctx.Err() == nil && t.Count() > 0 {
		t.CloseUnused(time.Now())
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

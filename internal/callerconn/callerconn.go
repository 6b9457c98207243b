// Package callerconn bounds and tracks the connections of callers to an http.Server. It closes those that have waited longest for their
// callers to make room for others, and lets a planned stop close those that no request uses: http.Server.Shutdown closes the connections
// of requests that it reads meanwhile without a response.
package callerconn

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/callermem"
	"github.com/bramleyspool/bramleyspool/internal/network"
)

const (
	// unusedGrace is how long a connection that was opened before the listener closed may be unused until it is closed.
	unusedGrace = time.Second
	// checkInterval is the interval at which CloseAll looks for connections without a request.
	checkInterval = 20 * time.Millisecond
	// patience is how long a caller may take for a request before its connection is closed rather than one that is idle after an earlier
	// request. Callers that comply send a request at once.
	patience = 500 * time.Millisecond
	// requestGrace is how long a connection without a request, new or after an earlier one, is kept in any case: its caller may be as busy as
	// this process.
	requestGrace = 250 * time.Millisecond
	// writePatience is how long a caller may leave a response unread while a new connection finds no room.
	writePatience = 100 * time.Millisecond
	// crowdedTime is how long responses close their connections after a new one has found no room.
	crowdedTime = 100 * time.Millisecond
	// evictionGrace is how long a connection that is closed to make room may take for its last response.
	evictionGrace = time.Second
	// admissionWait is how long a new connection waits for room, and admissionInterval the interval at which it looks for it.
	admissionWait     = 500 * time.Millisecond
	admissionInterval = 2 * time.Millisecond
	// evictionInterval is the least time between two connections that are closed to make room for responses, or for bodies.
	evictionInterval = 2 * time.Millisecond
	// bodyWait is how long a body waits for the memory of those that are closed for it.
	bodyWait = 100 * time.Millisecond
)

// started is the origin of times that are kept as numbers. Unlike the time of day, differences to it do not jump.
var started = time.Now()

// Config configures a Table.
type Config struct {
	// MaxConnections bounds the open connections.
	MaxConnections int
	// Memory accounts for connections and heads.
	Memory *callermem.Account
	// Refusal is sent on a connection that is closed to make room before a request of its caller has been read; nothing if empty.
	Refusal []byte
	// OnDropped is called for each connection that ends after bytes of a request were read from it for which RecordRequest was not
	// called: the head was incomplete or invalid, or the server dropped the request. It is not called for evicted connections.
	OnDropped func(conn *Conn)
}

// Table has the open TCP connections of callers. It does not track connections of another kind.
type Table struct {
	config Config
	mu     sync.Mutex
	open   map[*Conn]struct{}
	waits  *waits
	// crowdedUntil is the end of crowdedTime after a new connection found no room, in ns after started; 0 if none has.
	crowdedUntil atomic.Int64
	// endingHeads is the memory of the heads of connections that are being closed.
	endingHeads int64
	// unreadEvictedAt is when EvictUnread last closed a connection, bodyEvictedAt when evictStalledBody has.
	unreadEvictedAt, bodyEvictedAt time.Time
	// evictions has the evictions since the last call of ReportEvictions.
	evictions map[Eviction]int
}

// NewTable returns a table without connections.
func NewTable(config Config) *Table {
	return &Table{config: config, open: map[*Conn]struct{}{}, waits: newWaits(), evictions: map[Eviction]int{}}
}

// Track lets the server report its connections to the table. The server must accept them from the listener that Track returns. An
// error means that the kernel's buffers of the connections are not bounded.
func (t *Table) Track(server *http.Server, inner net.Listener) (net.Listener, error) {
	server.ConnContext, server.ConnState = t.attach, t.recordState
	return listener{Listener: inner, table: t}, boundBuffers(inner)
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
	t.setWait(caller, forFirstByte, caller.accepted)
	t.config.Memory.AddConnections(1)
	return context.WithValue(ctx, contextKey{}, caller)
}

// admit makes room for one more connection. It returns false if there is none, since all connections are in service or have been opened
// just now.
func (t *Table) admit(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	ending := t.waits[forEnd]
	for ending.Len() > 0 {
		conn := ending.Front().Value.(*Conn)
		if now.Sub(conn.wait.began) < evictionGrace && ending.Len() <= t.config.MaxConnections/4 {
			break
		}
		t.abort(conn)
	}
	for len(t.open)-ending.Len() >= t.config.MaxConnections {
		if conn := t.waits.victim(now, isIdle); conn != nil {
			t.evict(conn, now, evictionFor[conn.wait.kind])
			continue
		}
		if !t.evictUnread(now) {
			t.crowdedUntil.Store(int64(now.Add(crowdedTime).Sub(started)))
			return false
		}
	}
	return true
}

// Crowded reports whether new connections wait for room. Responses should then close their connections, so that callers which send one
// request after another leave room for others.
func (t *Table) Crowded() bool { return int64(time.Since(started)) < t.crowdedUntil.Load() }

// TakeBody takes memory for bytes of the body of the request with the context, with take. If it fails because the account is full, it closes
// the connections that have waited longest for the rest of a body which holds memory, and longer than patience, until that is free, for up
// to bodyWait. It returns false at once if there is none.
func (t *Table) TakeBody(ctx context.Context, bytes int64, take func() bool) bool {
	taken := take()
	for end := time.Now().Add(bodyWait); !taken && time.Now().Before(end); taken = take() {
		if t.config.Memory.HasRoom(bytes) {
			// Either the room has become free since, or the customer holds too much of it.
			taken = take()
			break
		}
		if !t.evictStalledBody(time.Now()) {
			break
		}
		time.Sleep(admissionInterval)
	}
	t.withConn(ctx, func(conn *Conn) { conn.holdsBody = taken })
	return taken
}

// isIdle reports whether the process waits for bytes of the connection and none have arrived, or waits for memory for them.
func isIdle(conn *Conn) bool {
	return conn.starved.Load() || !conn.reachesHandler() && conn.reading.Load() && network.IsQuiet(conn.TCPConn)
}

// setWait records what a connection waits for from now on.
func (t *Table) setWait(conn *Conn, kind waitKind, now time.Time) {
	if conn.wait.kind == forEnd {
		t.endingHeads -= conn.headBytes
	}
	if kind == forEnd {
		t.endingHeads += conn.headBytes
	}
	t.waits.set(conn, kind, now)
}

// release removes a connection that has ended.
func (t *Table) release(conn *Conn) {
	if _, ok := t.open[conn]; !ok {
		return
	}
	delete(t.open, conn)
	t.returnHead(conn)
	t.setWait(conn, notWaiting, time.Time{})
	t.config.Memory.AddConnections(-1)
}

// takeHead takes memory for bytes of a head. If there is none, it closes the connections with the largest heads and waits for their end. It
// returns false if the connection itself must close.
func (t *Table) takeHead(conn *Conn, bytes int64) bool {
	defer conn.starved.Store(false)
	for end := time.Now().Add(admissionWait); ; time.Sleep(admissionInterval) {
		now := time.Now()
		taken, closing := t.tryTakeHead(conn, bytes, now, now.After(end))
		if taken || closing {
			return taken
		}
	}
}

// tryTakeHead takes memory for bytes of a head if there is any. If not, it lets enough connections close, this one too if it is the one
// with the largest head, or the last attempt. closing is true if the connection must close.
func (t *Table) tryTakeHead(conn *Conn, bytes int64, now time.Time, last bool) (taken, closing bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.open[conn]; !ok || conn.unreadable.Load() {
		return false, true
	}
	if conn.wait.kind != forRest {
		conn.evicted = false
		t.setWait(conn, forRest, now)
	}
	if t.config.Memory.TakeHead(bytes) {
		conn.headBytes += bytes
		return true, false
	}
	conn.starved.Store(true)
	for last || t.endingHeads < bytes {
		victim := conn
		if !last {
			victim = t.waits.largestHead(conn, bytes)
		}
		t.evict(victim, now, EvictedForHead)
		if victim == conn {
			return false, true
		}
	}
	return false, false
}

// recordRefusal records that the server has responded to a request itself, and closes its connection.
func (t *Table) recordRefusal(conn *Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.open[conn]; ok && !conn.served.Load() {
		t.returnHead(conn)
		t.setWait(conn, forEnd, time.Now())
	}
}

// returnHead returns the memory of the connection's head.
func (t *Table) returnHead(conn *Conn) {
	if conn.wait.kind == forEnd {
		t.endingHeads -= conn.headBytes
	}
	t.config.Memory.ReturnHead(conn.headBytes)
	conn.headBytes = 0
}

// recordState records that the state of a connection has changed.
func (t *Table) recordState(conn net.Conn, state http.ConnState) {
	caller, ok := conn.(*Conn)
	if !ok {
		return
	}
	now := time.Now()
	t.mu.Lock()
	dropped := state == http.StateClosed && caller.state == http.StateActive && !caller.served.Load() && !caller.evictedEarly
	caller.state, caller.since = state, now.Sub(caller.accepted)
	caller.inService.Store(state == http.StateActive)
	_, open := t.open[caller]
	switch {
	case state == http.StateClosed || state == http.StateHijacked:
		t.release(caller)
	case !open:
	case state == http.StateActive:
		caller.served.Store(false)
		caller.holdsBody = false
		t.keep(caller)
		if caller.wait.kind != forRest {
			t.setWait(caller, forRest, now)
		}
	case state == http.StateIdle && !caller.evicted:
		t.returnHead(caller)
		t.setWait(caller, forNext, now)
	}
	t.mu.Unlock()
	if dropped {
		t.config.OnDropped(caller)
	}
}

// keep takes back that the connection is to be closed: the table decided so while a request was being read, which is served.
func (t *Table) keep(conn *Conn) {
	if conn.readsEnded {
		conn.allowReads()
	}
	conn.evicted = false
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
		caller.endReads(false)
	}
}

// CloseLate closes the connections whose callers take longer than complete for the head of a request, or stay idle longer than idle. A
// connection with bytes that have not been read is not closed: this process may be late itself.
func (t *Table) CloseLate(now time.Time, complete, idle time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for kind, limit := range map[waitKind]time.Duration{forRest: complete, forFirstByte: idle, forNext: idle} {
		for place := t.waits[kind].Front(); place != nil; {
			conn := place.Value.(*Conn)
			place = place.Next()
			if now.Sub(conn.wait.began) < limit {
				break
			}
			if conn.state != http.StateActive && isIdle(conn) {
				t.evict(conn, now, EvictedLate)
			}
		}
	}
}

// RecordRequest records that the handler serves the request.
func (t *Table) RecordRequest(r *http.Request) {
	t.withConn(r.Context(), func(conn *Conn) {
		conn.evictedEarly = false
		conn.served.Store(true)
		if r.ContentLength == 0 {
			t.recordRead(conn)
		}
	})
}

// RecordRead records that the request with the context has been read completely: its connection is not closed until its response has been
// written.
func (t *Table) RecordRead(ctx context.Context) { t.withConn(ctx, t.recordRead) }

// recordRead is RecordRead for callers that hold the lock.
func (t *Table) recordRead(conn *Conn) {
	conn.holdsBody = false
	if _, ok := t.open[conn]; ok {
		t.keep(conn)
		t.setWait(conn, notWaiting, time.Time{})
	}
}

// withConn calls use with the connection of the request with the context, if the table tracks it.
func (t *Table) withConn(ctx context.Context, use func(conn *Conn)) {
	if conn, ok := ctx.Value(contextKey{}).(*Conn); ok {
		t.mu.Lock()
		defer t.mu.Unlock()
		use(conn)
	}
}

// Evicted reports whether the connection of the request with the context is being closed to make room for others, so that its body
// can't be read.
func (t *Table) Evicted(ctx context.Context) bool {
	evicted := false
	t.withConn(ctx, func(conn *Conn) { evicted = conn.evicted })
	return evicted
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

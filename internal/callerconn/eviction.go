package callerconn

import (
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
)

// Eviction says why the table has closed a connection.
type Eviction string

// The reasons of evictions. They are values of a metric's tag and fields of the log.
const (
	// EvictedUnused, EvictedIncomplete, EvictedIdle and EvictedUnread are the reasons if there were too many connections: the caller had
	// sent nothing, a part of a request, nothing after an earlier request, or had not read its response. EvictedUnread is also the reason
	// if there was no memory for another response.
	EvictedUnused     Eviction = "unused"
	EvictedIncomplete Eviction = "incomplete"
	EvictedIdle       Eviction = "idle"
	EvictedUnread     Eviction = "unread"
	// EvictedForHead is the reason if heads held too much memory.
	EvictedForHead Eviction = "heads"
	// EvictedForBody is the reason if bodies held too much memory, and this one was incomplete.
	EvictedForBody Eviction = "bodies"
	// EvictedLate is the reason if the caller took too long.
	EvictedLate Eviction = "late"
	// NotAdmitted is the reason if no other connection could be closed.
	NotAdmitted Eviction = "not-admitted"
)

// evictionFor has the reasons for which connections are closed to make room, by what they wait for.
var evictionFor = map[waitKind]Eviction{forFirstByte: EvictedUnused, forRest: EvictedIncomplete, forNext: EvictedIdle}

// EvictUnread closes the connection whose caller has not read its response for longest, so that the memory of the response becomes free.
// It does nothing if none has for longer than writePatience, or for evictionInterval after the last time: memory is free only when the
// handler has ended.
func (t *Table) EvictUnread(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.unreadEvictedAt) >= evictionInterval && t.evictUnread(now) {
		t.unreadEvictedAt = now
	}
}

// evictUnread closes the connection whose caller has not read its response for longest. It returns false if none has for longer than
// writePatience.
func (t *Table) evictUnread(now time.Time) bool {
	conn := t.longestWriter(now)
	if conn == nil {
		return false
	}
	t.evictions[EvictedUnread]++
	t.abort(conn)
	return true
}

// recordNotAdmitted records that a new connection found no room.
func (t *Table) recordNotAdmitted() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evictions[NotAdmitted]++
}

// takeEvictions returns the numbers of connections that have been closed since the last call, by reason.
func (t *Table) takeEvictions() map[Eviction]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	taken := t.evictions
	t.evictions = map[Eviction]int{}
	return taken
}

// ReportEvictions counts the connections that have been closed since the last call, and logs them unless all were late: idle callers are.
func (t *Table) ReportEvictions(log *logrus.Entry, count func(reason Eviction, number int)) {
	evictions := t.takeEvictions()
	fields := logrus.Fields{}
	for reason, number := range evictions {
		count(reason, number)
		fields["evicted_"+string(reason)] = number
	}
	if len(evictions) > 1 || len(evictions) == 1 && evictions[EvictedLate] == 0 {
		fields["connections"], fields["heads"] = t.Count(), t.config.Memory.Use("").Heads
		log.WithFields(fields).Warn("caller-connections-evicted")
	}
}

// evictStalledBody closes the connection that has waited longest for the rest of a body, unless one was closed just now. It returns false
// if there is none, and none was closed within bodyWait.
func (t *Table) evictStalledBody(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.bodyEvictedAt) < evictionInterval {
		return true
	}
	conn := t.waits.longestBody(now.Add(-patience), isIdle)
	if conn == nil {
		return now.Sub(t.bodyEvictedAt) < bodyWait
	}
	t.evict(conn, now, EvictedForBody)
	t.bodyEvictedAt = now
	return true
}

// longestWriter returns the connection whose caller has not read a response for longest; nil if none has for longer than
// writePatience.
func (t *Table) longestWriter(now time.Time) *Conn {
	var longest *Conn
	least := int64(now.Add(-writePatience).Sub(started))
	for conn := range t.open {
		if began := conn.writing.Load(); began > 0 && began <= least {
			longest, least = conn, began
		}
	}
	return longest
}

// abort closes a connection at once.
func (t *Table) abort(conn *Conn) {
	// The error is ignored: net/http closes the connection too.
	_ = conn.TCPConn.Close()
	t.release(conn)
}

// evict closes a connection that waits for its caller. A request that has been read completely at that moment is still served. The handler
// of one whose body is incomplete learns from Evicted why it can't be read. A caller whose request has not begun to be served is refused.
func (t *Table) evict(conn *Conn, now time.Time, reason Eviction) {
	t.evictions[reason]++
	conn.evicted, conn.evictedEarly = true, conn.state != http.StateActive
	final := conn.wait.kind != forNext
	// What a read returns meanwhile is dropped: takeHead needs the lock, and finds that reads have ended.
	if waiting := conn.reading.Load() || conn.starved.Load(); waiting && final && conn.evictedEarly && reason != EvictedLate {
		t.refuse(conn.TCPConn)
	}
	conn.endReads(final)
	t.setWait(conn, forEnd, now)
}

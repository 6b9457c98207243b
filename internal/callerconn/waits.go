package callerconn

import (
	"container/list"
	"time"
)

// waitKind says for what a connection waits from its caller.
type waitKind int

const (
	// notWaiting is the kind of a connection whose request is in service.
	notWaiting waitKind = iota
	// forFirstByte is the kind of a new connection.
	forFirstByte
	// forRest is the kind of a connection with a part of a request, or of a body that is discarded.
	forRest
	// forNext is the kind of a connection that has been served and is kept.
	forNext
	// forEnd is the kind of a connection that is being closed.
	forEnd
	waitKinds
)

// wait is what a connection waits for, and its place in the list of those that wait for the same.
type wait struct {
	kind  waitKind
	began time.Time
	place *list.Element
}

// waits has the waiting connections by kind, those that have waited longest first.
type waits [waitKinds]*list.List

func newWaits() *waits {
	var w waits
	for kind := range w {
		w[kind] = list.New()
	}
	return &w
}

// set records what a connection waits for from now on.
func (w *waits) set(conn *Conn, kind waitKind, now time.Time) {
	if conn.wait.place != nil {
		w[conn.wait.kind].Remove(conn.wait.place)
	}
	conn.wait = wait{kind: kind, began: now}
	if kind != notWaiting {
		conn.wait.place = w[kind].PushBack(conn)
	}
}

// victim returns the connection that is closed to make room for another one; nil if there is none. idle reports whether a connection has
// no bytes that this process has still to handle: if it has, it is this process that is late and not the caller. Of those that are idle, it
// returns in this order:
//   - the incomplete request, or the connection without a request, that has waited longest, if that is longer than patience;
//   - the connection that has been kept longest after an earlier request, after requestGrace;
//   - the incomplete request that has waited longest;
//   - the request that has waited longest for its body, idle or not, if that is longer than patience: its caller holds more than one that
//     may be late with its first byte;
//   - the connection without a request that has waited longest, after requestGrace.
//
// If there is none, it returns the request that has waited longest for its body.
func (w *waits) victim(now time.Time, idle func(conn *Conn) bool) *Conn {
	oldest, unused := w.longestThat(forRest, idle), w.longestThat(forFirstByte, idle)
	if oldest == nil || unused != nil && unused.wait.began.Before(oldest.wait.began) {
		oldest = unused
	}
	if oldest != nil && now.Sub(oldest.wait.began) >= patience {
		return oldest
	}
	if kept := w.longestThat(forNext, idle); kept != nil && now.Sub(kept.wait.began) >= requestGrace {
		return kept
	}
	if conn := w.longestThat(forRest, idle); conn != nil {
		return conn
	}
	body := w.longestThat(forRest, func(conn *Conn) bool { return conn.served.Load() })
	late := body != nil && now.Sub(body.wait.began) >= patience
	if !late && unused != nil && now.Sub(unused.wait.began) >= requestGrace {
		return unused
	}
	return body
}

// maxVictimChecks bounds the connections of a kind that are checked for a condition.
const maxVictimChecks = 16

// longestThat returns the connection that has waited longest for a kind, among the first maxVictimChecks that meet the condition.
func (w *waits) longestThat(kind waitKind, meets func(conn *Conn) bool) *Conn {
	place := w[kind].Front()
	for range maxVictimChecks {
		if place == nil {
			return nil
		}
		if conn := place.Value.(*Conn); meets(conn) {
			return conn
		}
		place = place.Next()
	}
	return nil
}

// longestBody returns the connection that has waited longest for the rest of a body which holds memory, if that is since before a time, among
// the first maxVictimChecks that are idle; nil if there is none.
func (w *waits) longestBody(before time.Time, idle func(conn *Conn) bool) *Conn {
	checks := 0
	for place := w[forRest].Front(); place != nil && checks < maxVictimChecks; place = place.Next() {
		conn := place.Value.(*Conn)
		switch {
		case conn.wait.began.After(before):
			return nil
		case !conn.holdsBody:
			continue
		case idle(conn):
			return conn
		}
		checks++
	}
	return nil
}

// largestHead returns the connection with the largest head of those whose requests are incomplete. own, whose head grows by some bytes, is
// one of them.
func (w *waits) largestHead(own *Conn, bytes int64) *Conn {
	largest, size := own, own.headBytes+bytes
	for place := w[forRest].Front(); place != nil; place = place.Next() {
		if conn := place.Value.(*Conn); conn.headBytes > size && !conn.reachesHandler() {
			largest, size = conn, conn.headBytes
		}
	}
	return largest
}

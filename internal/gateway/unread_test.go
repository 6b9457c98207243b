package gateway

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/callermem"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
)

// largeEvent returns an event with a number and data of a size.
func largeEvent(id, bytes int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", id, strings.Repeat("x", bytes))
}

// respondWithEvents returns a handler of a test backend that answers with a stream of large events.
func respondWithEvents(events, bytes int) func(net.Conn, receivedRequest) bool {
	return func(conn net.Conn, request receivedRequest) bool {
		writeStreamHead(conn, request)
		for id := lastEventID(request) + 1; id <= events; id++ {
			text := largeEvent(id, bytes)
			if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text); err != nil {
				return false
			}
		}
		writeStreamEnd(conn)
		return true
	}
}

// Events of streams that callers did not read were in no account: 400 of them took more memory than the process may use.
func TestUnreadStreamsTakeMemoryOfTheAccount(t *testing.T) {
	const events, eventBytes, callers = 8, 512 << 10, 60
	g, backend := memoryGateway(t, 0)
	backend.respond = respondWithEvents(events, eventBytes)
	backend.slots = 2 * callers
	c := g.c
	limits := g.gateway.memory.Use("").Limits
	var unread []*rawCaller
	for range callers {
		caller := g.dial()
		caller.write(rawRequest("GET", "/stream/x", "", 10*time.Second))
		unread = append(unread, caller)
	}
	held := int64(0)
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		use := g.gateway.memory.Use("")
		c.Assert(use.Requests+use.Responses <= limits.Bodies, qt.IsTrue)
		held = max(held, use.Responses)
	}
	c.Check(held >= 4*eventBytes, qt.IsTrue, qt.Commentf("%d bytes were held", held))
	ordinary := func() callerResponse {
		return g.get("/stream/x", "X-Deadline", fmt.Sprint(memoryRouteTimeout.Milliseconds()))
	}
	got := ordinary()
	// A caller that is refused comes back.
	for end := time.Now().Add(memoryRouteTimeout); got.status == 503 && time.Now().Before(end); got = ordinary() {
		time.Sleep(defaultRetryAfter)
	}
	c.Check(got.err, qt.IsNil, qt.Commentf("%d %.100s", got.status, got.body))
	c.Check(strings.Count(got.body, "id: "), qt.Equals, events, qt.Commentf("%d %.100s", got.status, got.body))
	for _, caller := range unread {
		_ = caller.conn.Close()
	}
	for end := time.Now().Add(10 * time.Second); g.gateway.openCalls.Load() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	c.Check(g.gateway.memory.Use("").Responses, qt.Equals, int64(0))
}

// A response for which this entry had no memory counted as broken off by its server, and the request was sent to others too.
func TestResponseWithoutMemoryIsNoFaultOfItsServer(t *testing.T) {
	for name, path := range map[string]string{"response": "/lookup/x", "stream": "/stream/x"} {
		t.Run(name, func(t *testing.T) {
			g, backend := memoryGateway(t, 0)
			if name == "stream" {
				backend.respond = respondWithEvents(1, 100)
			}
			calls := recordCalls(g)
			// Another call holds all memory.
			other := callermem.Call{Account: g.gateway.memory}
			for bytes := int64(1 << 30); bytes > 0; bytes /= 2 {
				for other.TakeResponse(bytes) {
				}
			}
			got := g.get(path, "X-Request", "full", "X-Deadline", "5000")
			g.c.Check(got.status, qt.Equals, 502)
			g.c.Check(got.body, qt.Equals, "unknown: memory-full\n")
			line := calls.of(g.c, "full")
			g.c.Check(fmt.Sprint(line["cause"], line["last_result"]), qt.Equals, string(outcome.CauseMemoryFull)+"abandoned")
			other.Return()
			g.c.Check(g.get(path).status, qt.Equals, 200)
			g.c.Check(len(backend.requests()), qt.Equals, 2)
		})
	}
}

// A caller that does not read its stream for a while stalled it, not the server. The stream was sent to another server, which counts as a
// repeat, and the first server's work was lost.
func TestStreamOfACallerThatPausesStaysAtItsServer(t *testing.T) {
	const parts, partBytes = 8, 128 << 10
	eventStream, commentStream := "", largeEvent(1, 0)
	for i := range parts {
		eventStream += largeEvent(i+1, partBytes)
		commentStream += ": " + strings.Repeat("x", partBytes) + "\n\n"
	}
	for name, whole := range map[string]string{"events": eventStream, "comments": commentStream + largeEvent(2, 0)} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var backends []*testBackend
			for _, id := range []string{"a", "b"} {
				backends = append(backends, newTestBackend(t, id, func(conn net.Conn, request receivedRequest) bool {
					writeStreamHead(conn, request)
					_, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(whole), whole)
					writeStreamEnd(conn)
					return err == nil
				}))
			}
			g := stoppableGateway(t, backends...)
			caller := g.dial()
			g.c.Assert(caller.conn.SetReadBuffer(16<<10), qt.IsNil)
			caller.write(rawRequest("GET", "/stream/x", "", 10*time.Second))
			time.Sleep(3 * streamStallTimeout)
			got := caller.response()
			g.c.Assert(got.err, qt.IsNil)
			g.c.Check(got.body == whole, qt.IsTrue, qt.Commentf("%d of %d bytes", len(got.body), len(whole)))
			g.c.Check(len(backends[0].requests())+len(backends[1].requests()), qt.Equals, 1)
		})
	}
}

// A group looked stalled to an entry while a caller did not read its stream: the group got no requests of other callers for as long.
func TestCallerThatPausesDoesNotStallItsGroup(t *testing.T) {
	t.Parallel()
	const group, events = ident.Group("group"), 8
	respond := func(conn net.Conn, request receivedRequest) bool {
		bytes := 10
		if request.uri == "/stream/paused" {
			bytes = 128 << 10
		}
		return respondWithEvents(events, bytes)(conn, request)
	}
	g := startGroupGateway(t, []*testBackend{newTestBackend(t, "rank-0", respond), newTestBackend(t, "rank-1", respond)}, group)
	paused := g.dial()
	g.c.Assert(paused.conn.SetReadBuffer(16<<10), qt.IsNil)
	paused.write(rawRequest("GET", "/stream/paused", "", 5*time.Second))
	time.Sleep(time.Second)
	for i := range 3 {
		got := g.get("/stream/x", "X-Request", fmt.Sprint("other-", i))
		g.c.Check([]any{got.status, strings.Count(got.body, "id: ")}, qt.DeepEquals, []any{200, events})
	}
}

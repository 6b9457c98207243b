package gateway

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/routing"
	"github.com/bramleyspool/bramleyspool/internal/settings"
)

// testStopTime is the time of a planned stop in these tests, of which readiness is false for balancerLag before the listener closes.
const testStopTime = 5 * time.Second

// stoppableGateway starts a gateway whose routes have timeouts longer than a planned stop.
func stoppableGateway(t *testing.T, backends ...*testBackend) *testGateway {
	store := newTestStore(backends...)
	routes := testRoutes()
	for i := range routes {
		routes[i].Timeout = 2 * testStopTime
	}
	services := []routing.DirectService{{Name: plainService}, {Name: streamService}}
	known := map[string]routing.CustomerAccess{"key": {Customer: "customer"}}
	store.state.Table = routing.NewTable(1, routing.CallerLimits{HeaderBytes: 16384, BodyBytes: 4096}, routes, services, known)
	g := startTestGateway(t, store, func(direct *settings.Direct) {
		direct.Bounds.Stop, direct.Bounds.Revocation = testStopTime, testStopTime
	})
	for !g.gateway.ready() {
		time.Sleep(time.Millisecond)
	}
	return g
}

// rawCaller is a caller's connection whose bytes the test writes.
type rawCaller struct {
	c      *qt.C
	conn   *net.TCPConn
	reader *bufio.Reader
}

func (g *testGateway) dial() *rawCaller {
	conn, err := net.Dial("tcp", g.address)
	g.c.Assert(err, qt.IsNil)
	g.t.Cleanup(func() { conn.Close() })
	return &rawCaller{c: g.c, conn: conn.(*net.TCPConn), reader: bufio.NewReader(conn)}
}

// rawRequest returns the bytes of a request with a deadline.
func rawRequest(method, path, body string, deadline time.Duration) string {
	length := ""
	if body != "" {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\nX-Request: r-%d\r\nX-Credential: key\r\nX-Deadline: %d\r\n%s\r\n%s",
		method, path, time.Now().UnixNano(), deadline.Milliseconds(), length, body)
}

// write writes a part of a request. A connection that the entry has reset shows in the response.
func (r *rawCaller) write(part string) { _, _ = io.WriteString(r.conn, part) }

// response reads a response. Its err is the error of reading the head or the body; nil for a complete response.
func (r *rawCaller) response() callerResponse {
	r.c.Assert(r.conn.SetReadDeadline(time.Now().Add(2*testStopTime)), qt.IsNil)
	response, err := http.ReadResponse(r.reader, nil)
	if err != nil {
		return callerResponse{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return callerResponse{status: response.StatusCode, header: response.Header, body: string(data), connectionClose: response.Close, err: err}
}

// check compares a response's status and the start of its body, and fails if there is none or an incomplete one.
func (r callerResponse) check(c *qt.C, what string, status int, body string) {
	c.Helper()
	if r.err != nil {
		c.Errorf("%s: no complete response: %v", what, r.err)
		return
	}
	if r.status != status || !strings.HasPrefix(r.body, body) {
		c.Errorf("%s: got %d %q, expected %d %q", what, r.status, r.body, status, body)
	}
	if !r.connectionClose {
		c.Errorf("%s: the response does not announce that the connection closes", what)
	}
}

// A request whose head is complete only after the listener closed was dropped without a response.
func TestRequestThatIsReadLateInAStopIsAnswered(t *testing.T) {
	t.Parallel()
	backend := newTestBackend(t, "a", respondWith("answer"))
	g := stoppableGateway(t, backend)
	kept := g.dial()
	kept.write(rawRequest("GET", "/lookup/x", "", time.Second))
	g.c.Assert(kept.response().status, qt.Equals, 200)
	close(g.stop)
	time.Sleep(balancerLag - 300*time.Millisecond)
	fresh := g.dial()
	request := rawRequest("GET", "/lookup/x", "", time.Second)
	for _, caller := range []*rawCaller{kept, fresh} {
		caller.write(request[:40])
	}
	unused := g.dial()
	time.Sleep(600 * time.Millisecond)
	for _, caller := range []*rawCaller{kept, fresh} {
		caller.write(request[40:])
	}
	unused.write(request)
	kept.response().check(g.c, "head in two parts on a kept connection", 200, "answer")
	fresh.response().check(g.c, "head in two parts on a new connection", 200, "answer")
	unused.response().check(g.c, "connection opened before the listener closed", 200, "answer")
	g.c.Assert(<-g.runError, qt.IsNil)
}

// A request that was taken late in a stop, although it could outlast it, was cut off without a response while a server ran it.
func TestRequestThatMayOutlastAStopIsNotTakenLate(t *testing.T) {
	t.Parallel()
	backend := newTestBackend(t, "a", func(conn net.Conn, request receivedRequest) bool {
		time.Sleep(testStopTime)
		return writeResponse(conn, request, 200, "answer")
	})
	g := stoppableGateway(t, backend)
	close(g.stop)
	time.Sleep(balancerLag - 100*time.Millisecond)
	callers := map[string]*rawCaller{}
	for _, path := range []string{"/lookup/x", "/post/x", "/stream/x"} {
		callers[path] = g.dial()
		request := rawRequest("POST", path, "body", 2*testStopTime)
		callers[path].write(request[:len(request)-1])
	}
	time.Sleep(700 * time.Millisecond)
	for _, caller := range callers {
		caller.write("y")
	}
	for path, caller := range callers {
		got := caller.response()
		got.check(g.c, path, 503, "not-run: leaving")
		if got.err == nil {
			g.c.Check(got.header.Get("Retry-After"), qt.Not(qt.Equals), "")
		}
	}
	g.c.Assert(backend.requests(), qt.HasLen, 0)
	g.c.Assert(<-g.runError, qt.IsNil)
}

// Calls that were open at the end of a stop were cut off without a response, whether a server ran them or none had got them.
func TestOpenCallsAreAnsweredAtTheEndOfAStop(t *testing.T) {
	t.Parallel()
	backend := newTestBackend(t, "a", func(conn net.Conn, request receivedRequest) bool {
		time.Sleep(2 * testStopTime)
		return writeResponse(conn, request, 200, "answer")
	})
	backend.slots = 1
	g := stoppableGateway(t, backend)
	running := map[string]*rawCaller{
		"/lookup/x": g.dial(), "/post/x": g.dial(), "/post/y": g.dial(), "/post/z": g.dial(), "/stream/x": g.dial(),
	}
	for path, caller := range running {
		caller.write(rawRequest("POST", path, "body", 2*testStopTime))
	}
	half := g.dial()
	request := rawRequest("POST", "/post/x", "body", 2*testStopTime)
	half.write(request[:len(request)-1])
	for len(backend.requests()) < len(running) {
		time.Sleep(time.Millisecond)
	}
	waiting := g.dial()
	waiting.write(rawRequest("GET", "/lookup/x", "", 2*testStopTime))
	began := time.Now()
	close(g.stop)
	for path, caller := range running {
		caller.response().check(g.c, "running "+path, 502, "unknown: leaving")
	}
	half.response().check(g.c, "body not complete", 503, "not-run: leaving")
	waiting.response().check(g.c, "waiting", 503, "not-run: ")
	g.c.Assert(<-g.runError, qt.IsNil)
	g.c.Check(time.Since(began) < testStopTime, qt.IsTrue, qt.Commentf("stopped after %s", time.Since(began)))
}

// Connections that no request uses must not hold up a stop, and callers must see that they are closed.
func TestUnusedConnectionsCloseInAStop(t *testing.T) {
	t.Parallel()
	g := stoppableGateway(t, newTestBackend(t, "a", respondWith("answer")))
	kept, unused := g.dial(), g.dial()
	kept.write(rawRequest("GET", "/lookup/x", "", time.Second))
	g.c.Assert(kept.response().status, qt.Equals, 200)
	began := time.Now()
	close(g.stop)
	for _, caller := range []*rawCaller{kept, unused} {
		g.c.Assert(caller.conn.SetReadDeadline(time.Now().Add(testStopTime)), qt.IsNil)
		_, err := caller.reader.ReadByte()
		g.c.Check(errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET), qt.IsTrue, qt.Commentf("%v", err))
	}
	g.c.Assert(<-g.runError, qt.IsNil)
	g.c.Check(time.Since(began) < testStopTime-closeReserve, qt.IsTrue, qt.Commentf("stopped after %s", time.Since(began)))
}

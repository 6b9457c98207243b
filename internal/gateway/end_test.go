package gateway

import (
	"context"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"github.com/bramleyspool/bramleyspool/internal/outcome"
	"github.com/bramleyspool/bramleyspool/internal/settings"
	"github.com/bramleyspool/bramleyspool/internal/source"
)

// callLines collects the log lines of calls by request ID.
type callLines struct {
	mu    sync.Mutex
	lines map[string]logrus.Fields
}

func recordCalls(g *testGateway) *callLines {
	recorded := &callLines{lines: map[string]logrus.Fields{}}
	g.gateway.log.Logger.AddHook(recorded)
	return recorded
}

func (*callLines) Levels() []logrus.Level { return []logrus.Level{logrus.InfoLevel, logrus.WarnLevel} }

func (l *callLines) Fire(entry *logrus.Entry) error {
	if id, ok := entry.Data["request"].(string); ok && entry.Message == "call" {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.lines[id] = entry.Data
	}
	return nil
}

// of returns the line of a call; it waits for it, since it is written after the response.
func (l *callLines) of(c *qt.C, id string) logrus.Fields {
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		l.mu.Lock()
		line := l.lines[id]
		l.mu.Unlock()
		if line != nil {
			return line
		}
	}
	c.Fatalf("no log line of call %s", id)
	return nil
}

// revoke takes the credential "key" away and waits until the configuration is in force.
func (g *testGateway) revoke() {
	g.store.set(func(state *source.State) { state.Table = testTable(2, "other") })
	for g.gateway.table.Load().Version != 2 {
		time.Sleep(time.Millisecond)
	}
}

// breakOff starts to run a request and closes the connection without an answer.
func breakOff(net.Conn, receivedRequest) bool { return false }

// writeBusy writes an error response with status 503 that does not state that the request did not run.
func writeBusy(conn net.Conn, request receivedRequest) bool {
	return writeResponse(conn, request, http.StatusServiceUnavailable, "busy")
}

// writeInvalid writes a rejection with status 400.
func writeInvalid(conn net.Conn, request receivedRequest) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 400 X\r\nX-Request: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", request.header.Get("X-Request"))
	return err == nil
}

// A call whose request a server may have run ends while something would refuse a new request: its credential is revoked, the
// configuration is not known to be current, its deadline passes, it may not be repeated, or the second server rejects it.
// Neither its status nor its body nor its log line may say that it did not run.
func TestCallsThatMayHaveRunAreNotReportedAsNotRun(t *testing.T) {
	storeDown := func(g *testGateway) {
		g.store.set(func(*source.State) {})
		g.store.mu.Lock()
		g.store.down = true
		g.store.mu.Unlock()
		for g.gateway.credentialsCurrent() {
			time.Sleep(5 * time.Millisecond)
		}
	}
	tests := []struct {
		name, method, path string
		// between happens between the first run and the break of its connection.
		between func(g *testGateway)
		second  func(net.Conn, receivedRequest) bool
		// revocation is the bound on revoked credentials; 0 for that of other tests.
		revocation time.Duration
		status     int
	}{
		{name: "revoked, broken again", method: "GET", path: "/lookup/x", between: (*testGateway).revoke, second: breakOff, status: 502},
		{name: "revoked, served", method: "GET", path: "/lookup/x", between: (*testGateway).revoke, second: respondWith("answer"), status: 200},
		{name: "store away, broken again", method: "GET", path: "/lookup/x", between: storeDown, second: breakOff, revocation: time.Second, status: 502},
		{name: "store away, served", method: "GET", path: "/lookup/x", between: storeDown, second: respondWith("answer"), revocation: time.Second, status: 200},
		{name: "not repeatable", method: "POST", path: "/post/x", between: (*testGateway).revoke, second: respondWith("answer"), status: 502},
		{name: "the second server rejects it", method: "GET", path: "/lookup/x", second: writeNotExecuted, status: 502},
		{name: "the second server calls it invalid", method: "GET", path: "/lookup/x", second: writeInvalid, status: 502},
		{name: "the second server is busy", method: "GET", path: "/lookup/x", second: writeBusy, status: 502},
		{name: "deadline", method: "GET", path: "/short/x", between: func(*testGateway) { time.Sleep(200 * time.Millisecond) }, second: breakOff, status: 504},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			var g *testGateway
			var runs atomic.Int32
			respond := func(conn net.Conn, request receivedRequest) bool {
				if runs.Add(1) > 1 {
					return test.second(conn, request)
				}
				if test.between != nil {
					test.between(g)
				}
				return false
			}
			backends := []*testBackend{newTestBackend(t, "a", respond), newTestBackend(t, "b", respond)}
			g = startTestGateway(t, newTestStore(backends...), func(direct *settings.Direct) {
				if test.revocation > 0 {
					direct.Bounds.Revocation = test.revocation
				}
			})
			for !g.gateway.ready() {
				time.Sleep(time.Millisecond)
			}
			calls := recordCalls(g)
			got := g.request(t.Context(), test.method, test.path, "", "X-Request", "id")
			c.Check(got.status, qt.Equals, test.status)
			c.Check(strings.HasPrefix(got.body, "not-run"), qt.IsFalse, qt.Commentf("body %q", got.body))
			c.Check(got.header.Get("Retry-After"), qt.Equals, "")
			line := calls.of(c, "id")
			c.Check(line["outcome"], qt.Not(qt.Equals), outcome.NotRun)
			c.Check(line["status"], qt.Equals, test.status)
		})
	}
}

// A stream that has sent events moves to another server after its credential was revoked, or while the store is away. It was
// accepted before, so it must continue to its end.
func TestAcceptedStreamContinuesAfterRevocation(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	var g *testGateway
	respond := func(conn net.Conn, request receivedRequest) bool {
		writeStreamHead(conn, request)
		from := lastEventID(request)
		for id := from + 1; id <= from+3; id++ {
			writeEvent(conn, id)
		}
		if from == 0 {
			g.revoke()
			return false
		}
		writeStreamEnd(conn)
		return true
	}
	g = newTestGateway(t, newTestBackend(t, "a", respond), newTestBackend(t, "b", respond))
	calls := recordCalls(g)
	got := g.get("/stream/x", "X-Request", "id")
	c.Assert(got.err, qt.IsNil)
	c.Assert(strings.Count(got.body, "data:"), qt.Equals, 6)
	c.Assert(calls.of(c, "id")["outcome"], qt.Equals, outcome.Served)
	c.Assert(g.get("/stream/x").status, qt.Equals, http.StatusUnauthorized, qt.Commentf("a request after the revocation"))
}

// A request that no server has run yet must not be sent after its credential was revoked: the first server rejects it, and
// the credential is revoked before the second send.
func TestRejectedRequestIsNotSentAfterRevocation(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	var g *testGateway
	var sends atomic.Int32
	respond := func(conn net.Conn, request receivedRequest) bool {
		if sends.Add(1) == 1 {
			g.revoke()
		}
		return writeNotExecuted(conn, request)
	}
	g = newTestGateway(t, newTestBackend(t, "a", respond), newTestBackend(t, "b", respond))
	calls := recordCalls(g)
	got := g.get("/lookup/x", "X-Request", "id")
	c.Assert(got.status, qt.Equals, http.StatusUnauthorized)
	c.Assert(sends.Load(), qt.Equals, int32(1))
	c.Assert(calls.of(c, "id")["outcome"], qt.Equals, outcome.NotRun)
}

// Over interleavings of sends, breaks, rejections, revocations, restores and deadlines, a caller is told that a request did
// not run, and the log says so, only if no server has run it.
func TestNotRunIsTrueOverInterleavings(t *testing.T) {
	const key, other = "key", "other"
	var mu sync.Mutex
	var script []string
	ran := 0
	var g *testGateway
	version, current := uint64(1), key
	next := func() string {
		mu.Lock()
		defer mu.Unlock()
		step := "served"
		if len(script) > 0 {
			step, script = script[0], script[1:]
		}
		if !strings.Contains(step, "rejected") {
			ran++
		}
		return step
	}
	setCredential := func(credential string) {
		mu.Lock()
		if current == credential {
			mu.Unlock()
			return
		}
		current = credential
		version++
		want := version
		mu.Unlock()
		g.store.set(func(state *source.State) { state.Table = testTable(want, credential) })
		for g.gateway.table.Load().Version != want {
			time.Sleep(100 * time.Microsecond)
		}
	}
	respond := func(conn net.Conn, request receivedRequest) bool {
		step := next()
		switch {
		case strings.HasPrefix(step, "revoke"):
			setCredential(other)
		case strings.HasPrefix(step, "restore"):
			setCredential(key)
		case strings.HasPrefix(step, "late"):
			time.Sleep(70 * time.Millisecond)
		}
		stream := strings.HasPrefix(request.uri, "/stream/")
		switch {
		case strings.HasSuffix(step, "rejected"):
			return writeNotExecuted(conn, request)
		case strings.HasSuffix(step, "busy"):
			return writeBusy(conn, request)
		case strings.HasSuffix(step, "failed"):
			return writeResponse(conn, request, http.StatusInternalServerError, "failed")
		case strings.HasSuffix(step, "broken"):
			return false
		case stream:
			writeStreamHead(conn, request)
			writeEvent(conn, lastEventID(request)+1)
			if strings.HasSuffix(step, "cut") {
				return false
			}
			writeStreamEnd(conn)
			return true
		}
		return writeResponse(conn, request, http.StatusOK, "answer")
	}
	var backends []*testBackend
	for i := range 12 {
		backends = append(backends, newTestBackend(t, fmt.Sprint("server-", i), respond))
	}
	g = newTestGateway(t, backends...)
	calls := recordCalls(g)
	c, id := qt.New(t), 0
	rapid.Check(t, func(t *rapid.T) {
		setCredential(key)
		ends := []string{"rejected", "busy", "failed", "broken", "cut", "served"}
		events := []string{"", "revoke ", "restore ", "late "}
		var steps []string
		for range rapid.IntRange(1, 4).Draw(t, "sends") {
			steps = append(steps, rapid.SampledFrom(events).Draw(t, "event")+rapid.SampledFrom(ends).Draw(t, "end"))
		}
		mu.Lock()
		script, ran = steps, 0
		mu.Unlock()
		id++
		name := fmt.Sprint("id", id)
		path := rapid.SampledFrom([]string{"/lookup/x", "/post/x", "/stream/x", "/short/x"}).Draw(t, "path")
		deadline := rapid.SampledFrom([]string{"1500", "60"}).Draw(t, "deadline")
		got := g.request(context.Background(), http.MethodPost, path+"?"+name, "", "X-Request", name, "X-Deadline", deadline)
		mu.Lock()
		runs := ran
		mu.Unlock()
		line := calls.of(c, name)
		if promisesNotRun(got.status) || got.status == http.StatusUnauthorized || line["outcome"] == outcome.NotRun {
			if runs != 0 {
				t.Fatalf("reported as not run after %d runs: steps %q, path %s, status %d, line %v", runs, steps, path, got.status, line)
			}
		}
		if path == "/post/x" && runs > 1 {
			t.Fatalf("a posting ran %d times: steps %q", runs, steps)
		}
	})
}

// Outcomes of unserved calls are made in one place from the runs of the call. Another place in this package could report a
// request that has run as not run.
func TestOutcomesOfUnservedCallsAreMadeFromRuns(t *testing.T) {
	c := qt.New(t)
	files, err := os.ReadDir(".")
	c.Assert(err, qt.IsNil)
	for _, file := range files {
		if !strings.HasSuffix(file.Name(), ".go") || strings.HasSuffix(file.Name(), "_test.go") {
			continue
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), file.Name(), nil, 0)
		c.Assert(err, qt.IsNil)
		ast.Inspect(parsed, func(node ast.Node) bool {
			selector, ok := node.(*ast.SelectorExpr)
			if !ok {
				return true
			}
			if from, ok := selector.X.(*ast.Ident); ok && from.Name == "outcome" {
				switch selector.Sel.Name {
				case "Refused", "InDoubt", "NotRun", "Unknown":
					c.Errorf("%s uses outcome.%s", file.Name(), selector.Sel.Name)
				}
			}
			return true
		})
	}
}

package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/callerconn"
	"github.com/bramleyspool/bramleyspool/internal/callermem"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/routing"
	"github.com/bramleyspool/bramleyspool/internal/settings"
)

const (
	testBodyBytes   = 1 << 20
	testMemoryLimit = 32 << 20
	// memoryRouteTimeout is longer than any call of these tests takes on a machine that is busy otherwise. Nothing here is about deadlines or
	// revoked credentials.
	memoryRouteTimeout = 30 * time.Second
	// crowdCustomers is the number of customers with credentials "crowd-0", "crowd-1" and so on.
	crowdCustomers = 40
)

// memoryGateway starts a gateway with a small memory limit, two customers and a server that runs each request for a time.
func memoryGateway(t *testing.T, work time.Duration) (*testGateway, *testBackend) {
	backend := newTestBackend(t, "a", func(conn net.Conn, request receivedRequest) bool {
		time.Sleep(work)
		return writeResponse(conn, request, 200, fmt.Sprint(len(request.body)))
	})
	backend.slots = 100
	store := newTestStore(backend)
	routes := testRoutes()
	for i := range routes {
		routes[i].Timeout = memoryRouteTimeout
	}
	services := []routing.DirectService{{Name: plainService}, {Name: streamService}}
	known := map[string]routing.CustomerAccess{"key": {Customer: "long"}, "other": {Customer: "short"}}
	for i := range crowdCustomers {
		known[fmt.Sprint("crowd-", i)] = routing.CustomerAccess{Customer: ident.Customer(fmt.Sprint("crowd-", i))}
	}
	store.state.Table = routing.NewTable(1, routing.CallerLimits{HeaderBytes: 16384, BodyBytes: testBodyBytes}, routes, services, known)
	g := startTestGateway(t, store, func(direct *settings.Direct) {
		direct.MemoryLimit, direct.Bounds.Revocation = testMemoryLimit, memoryRouteTimeout
	})
	for !g.gateway.ready() {
		time.Sleep(time.Millisecond)
	}
	g.client.Transport.(*http.Transport).MaxIdleConnsPerHost = 100
	return g, backend
}

// Long bodies in a burst took more memory than the process may use: it was killed, and the requests that it had accepted were lost.
func TestBodiesAreRefusedBeforeTheyExceedTheMemory(t *testing.T) {
	for name, chunked := range map[string]bool{"length": false, "chunks": true} {
		t.Run(name, func(t *testing.T) {
			g, backend := memoryGateway(t, 500*time.Millisecond)
			body := strings.Repeat("x", testBodyBytes)
			var mu sync.Mutex
			statuses := map[int]int{}
			var callers sync.WaitGroup
			for i := range 60 {
				callers.Go(func() {
					caller := g.dial()
					head := fmt.Sprintf("POST /post/x HTTP/1.1\r\nHost: h.example\r\nX-Request: l-%d\r\nX-Credential: key\r\nX-Deadline: %d\r\n", i, memoryRouteTimeout.Milliseconds())
					if chunked {
						caller.write(fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body))
					} else {
						caller.write(fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body))
					}
					got := caller.response()
					mu.Lock()
					defer mu.Unlock()
					statuses[got.status]++
					switch got.status {
					case 200:
						g.c.Check(got.body, qt.Equals, fmt.Sprint(testBodyBytes))
					case 503:
						g.c.Check(got.body, qt.Equals, "not-run: memory-full\n")
						g.c.Check(got.header.Get("Retry-After"), qt.Not(qt.Equals), "")
					default:
						g.c.Errorf("status %d, error %v", got.status, got.err)
					}
				})
			}
			for len(backend.requests()) == 0 {
				time.Sleep(time.Millisecond)
			}
			use := g.gateway.memory.Use("long")
			g.c.Check(use.Requests <= use.Limits.Requests, qt.IsTrue, qt.Commentf("%+v", use))
			var short atomic.Int32
			for i := range 50 {
				callers.Go(func() {
					if g.post("/post/x", "short", "X-Credential", "other", "X-Request", fmt.Sprint("s-", i)).status == 200 {
						short.Add(1)
					}
				})
			}
			callers.Wait()
			t.Logf("statuses of long requests %v", statuses)
			g.c.Check(short.Load(), qt.Equals, int32(50))
			g.c.Check(statuses[200] > 0 && statuses[503] > 0, qt.IsTrue)
			for end := time.Now().Add(time.Second); g.gateway.openCalls.Load() > 0 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			g.c.Check(g.gateway.memory.Use("long").Requests, qt.Equals, int64(0))
		})
	}
}

// A refusal that came before the body was read did not reach callers that sent a long body: the connection was reset while they sent.
func TestRefusalReachesCallersThatStillSend(t *testing.T) {
	t.Parallel()
	g, _ := memoryGateway(t, 0)
	caller := g.dial()
	for range 2 {
		part := strings.Repeat("x", testBodyBytes/16)
		caller.write(fmt.Sprintf("POST /post/x HTTP/1.1\r\nHost: h.example\r\nX-Request: r\r\nX-Credential: none\r\nContent-Length: %d\r\n\r\n", testBodyBytes))
		for range 16 {
			_, err := caller.conn.Write([]byte(part))
			g.c.Assert(err, qt.IsNil)
			time.Sleep(50 * time.Millisecond)
		}
		got := caller.response()
		g.c.Assert(got.err, qt.IsNil)
		g.c.Assert(got.status, qt.Equals, 401)
	}
	// A caller that waits for a 100 gets the refusal at once.
	waiting := g.dial()
	waiting.write("POST /post/x HTTP/1.1\r\nHost: h.example\r\nX-Request: r\r\nX-Credential: none\r\nExpect: 100-continue\r\nContent-Length: 1000000\r\n\r\n")
	began := time.Now()
	g.c.Assert(waiting.response().status, qt.Equals, 401)
	g.c.Assert(time.Since(began) < time.Second, qt.IsTrue)
}

// Callers of one customer that announce long bodies and send a byte now and then hold memory that nothing uses. Others must be served as
// without them.
func TestSlowBodiesLeaveRoomForOtherCustomers(t *testing.T) {
	g, _ := memoryGateway(t, 0)
	const slow = 500
	var senders sync.WaitGroup
	var refused atomic.Int32
	ended := make(chan struct{})
	for i := range slow {
		senders.Go(func() {
			caller := g.dial()
			caller.write(fmt.Sprintf("POST /post/x HTTP/1.1\r\nHost: h.example\r\nX-Request: slow-%d\r\nX-Credential: key\r\nContent-Length: %d\r\n\r\n", i, testBodyBytes))
			go func() {
				for {
					select {
					case <-ended:
						return
					case <-time.After(200 * time.Millisecond):
						caller.write("x")
					}
				}
			}()
			g.c.Check(caller.conn.SetReadDeadline(time.Now().Add(2*time.Second)), qt.IsNil)
			if response, err := http.ReadResponse(caller.reader, nil); err == nil && response.StatusCode == 503 {
				refused.Add(1)
			}
		})
	}
	for g.gateway.memory.Use("long").Customer == 0 {
		time.Sleep(time.Millisecond)
	}
	for i := range 200 {
		got := g.post("/post/x", "short", "X-Credential", "other", "X-Request", fmt.Sprint("s-", i))
		g.c.Check(got.status, qt.Equals, 200, qt.Commentf("%s", got.body))
	}
	use := g.gateway.memory.Use("long")
	g.c.Check(use.Customer <= use.Limits.Requests*4/5+testBodyBytes, qt.IsTrue, qt.Commentf("%+v", use))
	senders.Wait()
	close(ended)
	t.Logf("%d of %d slow callers refused at once", refused.Load(), slow)
	g.c.Check(int(refused.Load()) >= slow*9/10, qt.IsTrue)
}

// Callers of many customers that stop short of the end of their bodies held all memory for bodies, up to the limit of time, and all other
// bodies were refused meanwhile.
func TestStalledBodiesOfManyCustomersLeaveRoomForOthers(t *testing.T) {
	g, _ := memoryGateway(t, 0)
	body := strings.Repeat("x", testBodyBytes)
	var crowd []*rawCaller
	for i := range 4 * crowdCustomers {
		caller := g.dial()
		caller.write(fmt.Sprintf("POST /post/x HTTP/1.1\r\nHost: h.example\r\nX-Request: c-%d\r\nX-Credential: crowd-%d\r\nContent-Length: %d\r\n\r\n%s",
			i, i%crowdCustomers, testBodyBytes, body[1:]))
		crowd = append(crowd, caller)
	}
	g.c.Assert(g.gateway.memory.HasRoom(testBodyBytes+1024), qt.IsFalse)
	time.Sleep(time.Second)
	for i := range 5 {
		got := g.post("/post/x", body, "X-Credential", "other", "X-Request", fmt.Sprint("o-", i), "X-Deadline", "5000")
		g.c.Check(got.status, qt.Equals, 200, qt.Commentf("%s", got.body))
	}
	for _, caller := range crowd {
		got := caller.response()
		g.c.Check(got.status == 503 && got.body == "not-run: memory-full\n" || got.status == 400 && got.body == "not-run: bad-request\n", qt.IsTrue,
			qt.Commentf("%d %s %v", got.status, got.body, got.err))
	}
}

// A refused call kept the memory of what had been read of its body until the rest was discarded.
func TestRefusedBodyHoldsNoMemoryWhileItsRestIsDiscarded(t *testing.T) {
	t.Parallel()
	g, _ := memoryGateway(t, 0)
	other := callermem.Call{Account: g.gateway.memory}
	for g.gateway.memory.HasRoom(256 << 10) {
		g.c.Assert(other.TakeResponse(64<<10), qt.IsTrue)
	}
	held := g.gateway.memory.Use("").Requests
	caller := g.dial()
	caller.write("POST /post/x HTTP/1.1\r\nHost: h.example\r\nX-Request: r\r\nX-Credential: key\r\nTransfer-Encoding: chunked\r\n\r\n")
	for range 8 {
		caller.write(fmt.Sprintf("%x\r\n%s\r\n", 64<<10, strings.Repeat("x", 64<<10)))
	}
	got := caller.response()
	g.c.Check(got.status, qt.Equals, 503)
	time.Sleep(100 * time.Millisecond)
	g.c.Check(g.gateway.openCalls.Load(), qt.Equals, int64(1))
	g.c.Check(g.gateway.memory.Use("").Requests, qt.Equals, held)
}

// A credential that moves to another customer during a call left the memory of the call with the first one.
func TestMemoryIsReturnedToTheCustomerItWasTakenFor(t *testing.T) {
	account := callermem.NewAccount(testMemoryLimit)
	callers := callerconn.NewTable(callerconn.Config{Memory: account})
	c := &call{gateway: &Gateway{callers: callers}, r: &http.Request{}, memory: callermem.Call{Account: account}, access: routing.CustomerAccess{Customer: "first"}}
	qt.Assert(t, c.takeRequestMemory(1<<20), qt.IsTrue)
	c.access.Customer = "second"
	qt.Assert(t, c.takeRequestMemory(1<<10), qt.IsTrue)
	qt.Assert(t, account.Use("first").Customer, qt.Equals, int64(1<<20+1<<10))
	c.memory.Return()
	qt.Assert(t, account.Use("first").Customer, qt.Equals, int64(0))
	qt.Assert(t, account.Use("second").Customer, qt.Equals, int64(0))
	qt.Assert(t, account.Use("first").Requests, qt.Equals, int64(0))
}

package gateway

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/admission"
	"github.com/bramleyspool/bramleyspool/internal/datagram"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
	"github.com/bramleyspool/bramleyspool/internal/routing"
	"github.com/bramleyspool/bramleyspool/internal/settings"
)

// A gateway must state to the leader what its callers offer, also what it refuses, and refuse by the sums in the leader's
// reports, with the cause in the answer and the customer in the account.
func TestDemandIsStatedAndSharesAreApplied(t *testing.T) {
	c := qt.New(t)
	backend := newTestBackend(t, "b1", func(conn net.Conn, request receivedRequest) bool {
		writeStreamHead(conn, request)
		writeEvent(conn, 1)
		writeStreamEnd(conn)
		return true
	})
	store := newTestStore(backend)
	for i := range store.state.Backends {
		if server := &store.state.Backends[i]; server.Service == streamService {
			server.Group, server.GroupSize, server.GroupOpen = "g", 1, true
		}
	}
	routes := testRoutes()
	for i := range routes {
		routes[i].EventGap = 120 * time.Millisecond
	}
	engine := &routing.EngineModel{
		Slots: 6, Step: 5 * time.Millisecond, PerWriter: 400 * time.Microsecond, PromptRate: 70_000, PromptChunk: 512, StepsPerPass: 7,
		MeanPromptTokens: 800, MeanAnswerTokens: 158,
	}
	services := []routing.DirectService{{Name: plainService}, {Name: streamService, Engine: engine}}
	store.state.Table = routing.NewTable(1, routing.CallerLimits{HeaderBytes: 16384, BodyBytes: 4096}, routes, services,
		map[string]routing.CustomerAccess{"key": {Customer: "flood"}})

	var stated atomic.Pointer[datagram.Subscribe]
	leader, err := datagram.Listen("127.0.0.1", 0, func(err error) { t.Log(err) })
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go leader.Receive(ctx, func(received datagram.Received) {
		subscribe := received.Message.Subscribe
		if subscribe == nil {
			return
		}
		if len(subscribe.Demand) > 0 {
			stated.Store(subscribe)
		}
		leader.Send(received.From, datagram.Message{GroupReport: &datagram.GroupReport{
			Group: "g", Loads: []int{6}, PassMicros: 60_000, Skew: 1,
			Demand: []datagram.DemandShare{{Customer: "flood", Rate: 1e6}, {Customer: "other", Rate: 1}},
		}})
	})
	g := startTestGateway(t, store, func(direct *settings.Direct) { direct.PeerPort = int(leader.Address().Port()) })
	for !g.gateway.ready() {
		time.Sleep(time.Millisecond)
	}
	var refused callerResponse
	for deadline := time.Now().Add(5 * time.Second); !strings.Contains(refused.body, "over-share") && time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		refused = g.get("/stream/x")
	}
	c.Assert(refused.status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(refused.body, qt.Equals, "not-run: over-share\n")
	c.Assert(refused.header.Get("Retry-After"), qt.Not(qt.Equals), "")
	for deadline := time.Now().Add(5 * time.Second); stated.Load() == nil && time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		g.get("/stream/x")
	}
	c.Assert(stated.Load(), qt.IsNotNil)
	c.Assert(stated.Load().Demand[0].Customer, qt.Equals, datagram.DemandShare{Customer: "flood"}.Customer)
	c.Assert(stated.Load().Demand[0].Rate > 1, qt.IsTrue, qt.Commentf("%+v", stated.Load().Demand))
	entry := accountOf(g.gateway.account)[admission.ClassKey{Customer: "flood", Class: "stream"}]
	c.Assert(entry.Conserved(), qt.IsTrue)
	found := false
	for _, unserved := range entry.NotRun {
		found = found || unserved.Cause == outcome.CauseOverShare && unserved.CausedBy == "flood" && unserved.Limit == admission.LimitShare
	}
	c.Assert(found, qt.IsTrue, qt.Commentf("%+v", entry))
}

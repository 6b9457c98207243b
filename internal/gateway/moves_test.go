package gateway

import (
	"fmt"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/datagram"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
	"github.com/bramleyspool/bramleyspool/internal/routing"
	"github.com/bramleyspool/bramleyspool/internal/settings"
	"github.com/bramleyspool/bramleyspool/internal/source"
)

// A rank turns slow while streams run there. Each stream must continue at another rank of the group, with every event once,
// and new streams must not go to the slow rank.
func TestStreamsLeaveASlowRank(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	const group, events = ident.Group("group"), 6
	slowed := make(chan struct{})
	respondAt := func(slow bool) func(net.Conn, receivedRequest) bool {
		return func(conn net.Conn, request receivedRequest) bool {
			writeStreamHead(conn, request)
			for id := lastEventID(request) + 1; id <= events; id++ {
				writeEvent(conn, id)
				if slow && id == 2 {
					<-slowed
					time.Sleep(500 * time.Millisecond)
				}
			}
			writeStreamEnd(conn)
			return true
		}
	}
	ranks := []*testBackend{newTestBackend(t, "rank-0", respondAt(true)), newTestBackend(t, "rank-1", respondAt(false))}
	g := startGroupGateway(t, ranks, group)
	calls := recordCalls(g)
	answers := make(chan callerResponse, 3)
	for _, id := range []string{"a", "b", "c"} {
		go func() { answers <- g.get("/stream/x", "X-Request", id) }()
	}
	for len(ranks[0].requests()) < 3 {
		time.Sleep(time.Millisecond)
	}
	openAllRanks(g)
	report := &datagram.GroupReport{Group: group, Loads: []int{3, 0}, PassMicros: 150_000, Skew: 1, Slow: []datagram.RankSlowness{{Rank: 0, Percent: 400}}}
	g.reportGroup(report)
	for range 3 {
		got := <-answers
		c.Assert(got.err, qt.IsNil)
		whole := ""
		for id := range events {
			whole += fmt.Sprintf("id: %d\ndata: %d\n\n", id+1, id+1)
		}
		c.Assert(got.body, qt.Equals, whole, qt.Commentf("each event once"))
	}
	close(slowed)
	for _, id := range []string{"a", "b", "c"} {
		line := calls.of(c, id)
		c.Assert([]any{line["outcome"], line["runs"], line["backend"]}, qt.DeepEquals, []any{outcome.Served, 2, "rank-1-" + string(streamService)})
	}
	report.Loads, report.PassMicros = []int{0, 3}, 60_000
	report.Sequence++
	g.reportGroup(report)
	before := len(ranks[0].requests())
	c.Assert(g.get("/stream/x").status, qt.Equals, 200)
	c.Assert(len(ranks[0].requests()), qt.Equals, before, qt.Commentf("a new stream goes elsewhere"))
}

// startGroupGateway starts a gateway before a group of which only the first rank is open.
func startGroupGateway(t *testing.T, ranks []*testBackend, group ident.Group) *testGateway {
	store := newTestStore(ranks...)
	engine := &routing.EngineModel{
		Slots: 10, Step: 4840 * time.Microsecond, PerWriter: 435 * time.Microsecond, PromptRate: 74800, PromptChunk: 512, StepsPerPass: 7,
		MeanAnswerTokens: 158, Experts: routing.ExpertLayers{Share: 0.85},
	}
	routes := testRoutes()
	for i := range routes {
		routes[i].EventGap = 120 * time.Millisecond
	}
	store.state.Table = routing.NewTable(1, routing.CallerLimits{HeaderBytes: 16384, BodyBytes: 4096}, routes,
		[]routing.DirectService{{Name: plainService}, {Name: streamService, Engine: engine}}, map[string]routing.CustomerAccess{"key": {Customer: "customer"}})
	for i := range store.state.Backends {
		if backend := &store.state.Backends[i]; backend.Service == streamService {
			backend.Group, backend.Rank, backend.GroupSize, backend.GroupOpen = group, ident.Rank(i/2), 2, i/2 == 0
		}
	}
	g := startTestGateway(t, store, func(*settings.Direct) {})
	for !g.gateway.ready() {
		time.Sleep(time.Millisecond)
	}
	return g
}

func openAllRanks(g *testGateway) {
	g.store.set(func(state *source.State) {
		for i := range state.Backends {
			state.Backends[i].GroupOpen = true
		}
	})
	time.Sleep(100 * time.Millisecond)
}

// reportGroup delivers a report of the group's leader.
func (g *testGateway) reportGroup(report *datagram.GroupReport) {
	reported := make(chan struct{})
	g.gateway.enqueue(func(now time.Time) {
		g.gateway.handleGroupReport(now, netip.AddrPort{}, report)
		close(reported)
	})
	<-reported
}

// A stream moves to a rank that cannot be reached. It must continue where it can, the failure must count against that rank, and
// nothing may stay counted as open: a group with open requests and no events would get no further requests.
func TestStreamMovesToAnUnreachableRank(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	const group, events = ident.Group("group"), 6
	held := make(chan struct{})
	ranks := []*testBackend{newTestBackend(t, "rank-0", func(conn net.Conn, request receivedRequest) bool {
		writeStreamHead(conn, request)
		first := lastEventID(request) == 0
		for id := lastEventID(request) + 1; id <= events; id++ {
			writeEvent(conn, id)
			if first && id == 2 {
				<-held
				return false
			}
		}
		writeStreamEnd(conn)
		return true
	}), newTestBackend(t, "rank-1", breakOff)}
	t.Cleanup(func() { close(held) })
	ranks[1].listener.Close()
	g := startGroupGateway(t, ranks, group)
	calls := recordCalls(g)
	answer := make(chan callerResponse, 1)
	go func() { answer <- g.get("/stream/x", "X-Request", "a") }()
	for len(ranks[0].requests()) < 1 {
		time.Sleep(time.Millisecond)
	}
	openAllRanks(g)
	g.reportGroup(&datagram.GroupReport{Group: group, Loads: []int{1, 0}, PassMicros: 150_000, Skew: 1, Sequence: 1, Slow: []datagram.RankSlowness{{Rank: 0, Percent: 400}}})
	got := <-answer
	c.Assert(got.err, qt.IsNil)
	c.Assert(strings.Count(got.body, "data:"), qt.Equals, events)
	c.Assert(calls.of(c, "a")["outcome"], qt.Equals, outcome.Served)
	for rank := range uint16(2) {
		g.reportGroup(&datagram.GroupReport{Group: group, Loads: []int{1, 1}, PassMicros: 150_000, Skew: 1, Sequence: uint64(2 + rank), Slow: []datagram.RankSlowness{{Rank: rank, Percent: 400}}})
		open := make(chan int, 1)
		g.gateway.enqueue(func(now time.Time) { open <- len(g.gateway.dispatcher.SlowRanks(now, group)) })
		c.Assert(<-open, qt.Equals, 0, qt.Commentf("rank %d has open requests", rank))
	}
}

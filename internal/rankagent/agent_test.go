package rankagent

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/bramleyspool/bramleyspool/internal/datagram"
	"github.com/bramleyspool/bramleyspool/internal/expert"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/membership"
	"github.com/bramleyspool/bramleyspool/internal/node"
	"github.com/bramleyspool/bramleyspool/internal/routing"
	"github.com/bramleyspool/bramleyspool/internal/settings"
	"github.com/bramleyspool/bramleyspool/internal/source"
)

const (
	testRanks   = 4
	testLayers  = 2
	testExperts = 8
	testSlots   = 4
	testPass    = 20 * time.Millisecond
)

// testGroup simulates the engines of a lock-step group. In layer l, the expert popular+l is selected 21 times as often
// as any other expert. violation describes the last pass that began with different maps at two ranks.
type testGroup struct {
	mu        sync.Mutex
	step      uint64
	ranks     []*testRank
	popular   int
	violation string
}

// testRank simulates the engine of one rank. It implements Engine.
type testRank struct {
	group                         *testGroup
	rank                          int
	fence, inUse, prepared, armed uint64
	armStep, held                 uint64
	experts, next                 [][]expert.Expert
	counts                        []uint64
	pace                          float64
}

func newTestGroup() *testGroup {
	group := &testGroup{}
	for rank := range testRanks {
		engine := &testRank{group: group, rank: rank, counts: make([]uint64, testLayers*testExperts)}
		for range testLayers {
			var held []expert.Expert
			for e := rank; e < testExperts; e += testRanks {
				held = append(held, expert.Expert(e))
			}
			engine.experts = append(engine.experts, held)
		}
		group.ranks = append(group.ranks, engine)
	}
	return group
}

// run begins a pass every testPass, unless a rank holds the pass, until the context ends.
func (g *testGroup) run(ctx context.Context) {
	ticker := time.NewTicker(testPass)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.pass()
		}
	}
}

func (g *testGroup) pass() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, rank := range g.ranks {
		if rank.held == g.step+1 {
			return
		}
	}
	g.step++
	for _, rank := range g.ranks {
		if rank.armed != 0 && rank.armStep == g.step {
			rank.inUse, rank.experts, rank.armed, rank.prepared = rank.armed, rank.next, 0, 0
		}
		for layer := range testLayers {
			for e := range testExperts {
				rank.counts[layer*testExperts+e] += 20
			}
			rank.counts[layer*testExperts+(g.popular+layer)%testExperts] += 400
		}
	}
	for _, rank := range g.ranks {
		if rank.inUse != g.ranks[0].inUse {
			g.violation = fmt.Sprintf("pass %d began with map %d at rank 0 and map %d at another rank", g.step, g.ranks[0].inUse, rank.inUse)
		}
	}
}

// mapInUse returns the version of the map in use at rank 0, and the number of ranks that hold the popular expert of
// layer 0.
func (g *testGroup) mapInUse() (uint64, int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	copies := 0
	for _, rank := range g.ranks {
		for _, e := range rank.experts[0] {
			if int(e) == g.popular {
				copies++
			}
		}
	}
	return g.ranks[0].inUse, copies
}

func (r *testRank) Status(context.Context) (expert.RankStatus, bool, error) {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	return expert.RankStatus{
		Epoch: 1, Rank: ident.Rank(r.rank), Size: testRanks, Open: true, Step: r.group.step, Map: r.inUse,
		Prepared: r.prepared, Armed: r.armed, ArmedStep: r.armStep, Held: r.held, Running: r.rank + 1, Pace: r.pace,
	}, true, nil
}

func (r *testRank) Choices(context.Context) ([]uint64, uint64, error) {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	return append([]uint64(nil), r.counts...), 1, nil
}

func (r *testRank) Experts(context.Context) ([][]expert.Expert, error) {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	return append([][]expert.Expert(nil), r.experts...), nil
}

func (r *testRank) Order(_ context.Context, order expert.LockstepOrder) (expert.LockstepResult, error) {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	if order.Fence < r.fence {
		return expert.LockstepStale, nil
	}
	if !r.apply(order) {
		return expert.LockstepRefused, nil
	}
	r.fence = order.Fence
	return expert.LockstepAccepted, nil
}

func (r *testRank) apply(order expert.LockstepOrder) bool {
	switch order.Kind {
	case expert.LockstepPrepare:
		r.prepared, r.next = order.Version, nil
		for _, layer := range order.Placement {
			r.next = append(r.next, layer[r.rank])
		}
	case expert.LockstepArm:
		if r.armed == order.Version {
			return true
		}
		if r.prepared != order.Version || order.Step <= r.group.step {
			return false
		}
		r.armed, r.armStep = order.Version, order.Step
	case expert.LockstepDisarm:
		r.armed = 0
	case expert.LockstepHold:
		if r.held != order.Step && (r.held != 0 || order.Step <= r.group.step) {
			return false
		}
		r.held = order.Step
	case expert.LockstepRelease, expert.LockstepClaim:
		if r.held == order.Step {
			r.held = 0
		}
	}
	return true
}

// listStore is a source.Store with a fixed state.
type listStore struct{ state source.State }

func (s *listStore) Read(context.Context) (source.State, error) { return s.state, nil }

func (s *listStore) ReadStale(ctx context.Context) (source.State, error) { return s.Read(ctx) }

func (s *listStore) List(context.Context) (source.State, error) { return s.state, nil }

func (s *listStore) Watch(ctx context.Context, _ source.Position, wait time.Duration) (source.Changes, error) {
	select {
	case <-time.After(wait):
		return source.Changes{}, nil
	case <-ctx.Done():
		return source.Changes{}, ctx.Err()
	}
}

func (s *listStore) Revision(context.Context) (source.Position, error) {
	return source.Position{Revision: 1}, nil
}

func rankIP(rank int) string { return fmt.Sprintf("127.0.7.%d", rank+1) }

// startAgents starts an agent for each rank and returns the functions that stop them, by rank.
func startAgents(t *testing.T, group *testGroup, port int) []context.CancelFunc {
	engine := &routing.EngineModel{Slots: 10, Step: time.Millisecond, PerWriter: time.Millisecond, StepsPerPass: 5, Experts: routing.ExpertLayers{
		Layers: testLayers, Experts: testExperts, Slots: testSlots, NewPerLayer: 2, Share: 0.85,
	}}
	store := &listStore{}
	store.state.Table = routing.NewTable(1, routing.CallerLimits{}, nil, []routing.DirectService{{Name: "model", Engine: engine}}, nil)
	for rank := range testRanks {
		store.state.Backends = append(store.state.Backends, membership.ListedBackend{
			ID: fmt.Sprint(rank), Service: "model", Address: rankIP(rank) + ":80", Group: "g", Rank: ident.Rank(rank), GroupSize: testRanks, GroupOpen: true,
		})
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	var cancels []context.CancelFunc
	for rank := range testRanks {
		metrics := node.NewMetrics("agent")
		t.Cleanup(metrics.Close)
		agent := New(Config{
			Settings: settings.Direct{IP: rankIP(rank), PeerPort: port, BackendAddress: rankIP(rank) + ":80"},
			Store:    store, Log: logrus.NewEntry(log), Metrics: metrics,
			Dial: func(address string) Engine {
				for other := range testRanks {
					if address == rankIP(other)+":80" {
						return group.ranks[other]
					}
				}
				return nil
			},
		})
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		cancels = append(cancels, cancel)
		go func() {
			if err := agent.Run(ctx, nil); err != nil {
				t.Errorf("agent %d: %v", rank, err)
			}
		}()
	}
	return cancels
}

// eventually waits at most ten seconds until the condition is true.
func eventually(c *qt.C, what string, condition func() bool) {
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	c.Fatalf("condition not met within ten seconds: %s", what)
}

// The agents of a group must add copies of a popular expert, forward subscriptions to the leader, report the group's
// load to the entry, and elect another leader when the leader's agent stops. No pass may begin with different maps.
func TestAgentsFollowDemandAndReplaceLeader(t *testing.T) {
	c := qt.New(t)
	group := newTestGroup()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go group.run(ctx)
	entry, err := datagram.Listen("127.0.7.100", 0, func(err error) { t.Log(err) })
	c.Assert(err, qt.IsNil)
	port := int(entry.Address().Port())
	reports := make(chan *datagram.GroupReport, 64)
	go entry.Receive(ctx, func(received datagram.Received) {
		if received.Message.GroupReport != nil {
			select {
			case reports <- received.Message.GroupReport:
			default:
			}
		}
	})
	cancels := startAgents(t, group, port)
	eventually(c, "a map with copies of the popular expert", func() bool {
		inUse, copies := group.mapInUse()
		return inUse != 0 && copies >= 2
	})
	// The agent of rank 2 does not lead and forwards the subscription.
	eventually(c, "a report of the group's load", func() bool {
		entry.Send(netip.MustParseAddrPort(fmt.Sprintf("%s:%d", rankIP(2), port)),
			datagram.Message{Subscribe: &datagram.Subscribe{Group: "g", Entry: entry.Address().String()}})
		select {
		case report := <-reports:
			return len(report.Loads) == testRanks && report.Loads[3] == 4 && len(report.Entries) == 1 && report.PassMicros > 0
		case <-time.After(200 * time.Millisecond):
			return false
		}
	})
	before, _ := group.mapInUse()
	// The agent of rank 0 leads, since the lowest rank claims the leadership first.
	cancels[0]()
	group.mu.Lock()
	group.popular = 5
	group.mu.Unlock()
	eventually(c, "a map of the next leader with copies of the next popular expert", func() bool {
		inUse, copies := group.mapInUse()
		return inUse > before && copies >= 2
	})
	group.mu.Lock()
	defer group.mu.Unlock()
	c.Assert(group.violation, qt.Equals, "")
}

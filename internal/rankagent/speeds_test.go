package rankagent

import (
	"context"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/bramleyspool/bramleyspool/internal/datagram"
	"github.com/bramleyspool/bramleyspool/internal/expert"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/membership"
)

// setPace sets the pace that a rank reports.
func (g *testGroup) setPace(rank int, pace float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ranks[rank].pace = pace
}

// loadShare returns the fraction of all choices that the experts of a rank get.
func (g *testGroup) loadShare(rank int) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	load, all := 0.0, 0.0
	for layer := range testLayers {
		for e := range testExperts {
			choices := 20.0
			if e == (g.popular+layer)%testExperts {
				choices += 400
			}
			all += choices
			hosts, held := 0, false
			for other := range g.ranks {
				if slices.Contains(g.ranks[other].experts[layer], expert.Expert(e)) {
					hosts++
					held = held || other == rank
				}
			}
			if held {
				load += choices / float64(hosts)
			}
		}
	}
	return load / all
}

// reportsOf subscribes an entry at the agent of rank 2 until the context ends and returns the reports that it receives.
func reportsOf(ctx context.Context, t *testing.T, port int, entry *datagram.Socket) <-chan *datagram.GroupReport {
	reports := make(chan *datagram.GroupReport, 256)
	go entry.Receive(ctx, func(received datagram.Received) {
		if report := received.Message.GroupReport; report != nil {
			select {
			case reports <- report:
			default:
			}
		}
	})
	subscribe := datagram.Message{Subscribe: &datagram.Subscribe{Group: "g", Entry: entry.Address().String()}}
	go func() {
		for ctx.Err() == nil {
			entry.Send(netip.MustParseAddrPort(fmt.Sprintf("%s:%d", rankIP(2), port)), subscribe)
			time.Sleep(200 * time.Millisecond)
		}
	}()
	return reports
}

// Guards against a leader that ignores the pace of its ranks: it must report a slow rank, move its experts to others, and
// report its recovery; the next leader must report it again, in a position after those of the first leader. While all ranks
// report a pace of 1 or none, no rank is reported as slow.
func TestLeaderFollowsSpeeds(t *testing.T) {
	c := qt.New(t)
	group := newTestGroup()
	group.ranks[3].pace = 1
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go group.run(ctx)
	entry, err := datagram.Listen("127.0.7.101", 0, func(err error) { t.Log(err) })
	c.Assert(err, qt.IsNil)
	port := int(entry.Address().Port())
	cancels := startAgents(t, group, port)
	reports := reportsOf(ctx, t, port, entry)
	var last *datagram.GroupReport
	receive := func() *datagram.GroupReport {
		select {
		case report := <-reports:
			if last != nil && report.Epoch == last.Epoch && report.Fence == last.Fence && report.Sequence <= last.Sequence {
				t.Errorf("report %d follows report %d", report.Sequence, last.Sequence)
			}
			last = report
			return report
		case <-time.After(time.Second):
			return &datagram.GroupReport{}
		}
	}
	eventually(c, "a map with copies of the popular expert", func() bool {
		c.Assert(receive().Slow, qt.HasLen, 0)
		inUse, copies := group.mapInUse()
		return inUse != 0 && copies >= 2
	})
	group.setPace(1, 3)
	eventually(c, "a report of the slow rank", func() bool {
		slow := receive().Slow
		return len(slow) == 1 && slow[0] == datagram.RankSlowness{Rank: 1, Percent: 300}
	})
	// A share of 0.1 is ideal for a rank at three times the work beside three others.
	eventually(c, "a map with less load on the slow rank", func() bool { return group.loadShare(1) < 1.0/testRanks/2 })
	fence := last.Fence
	cancels[0]()
	eventually(c, "a report of the slow rank by the next leader", func() bool {
		report := receive()
		return report.Fence > fence && len(report.Slow) == 1
	})
	group.setPace(1, 1)
	eventually(c, "a report of the recovery", func() bool {
		report := receive()
		return len(report.Loads) == testRanks && len(report.Slow) == 0
	})
}

// Guards against a change of pace that waits for the next usual reading and report: in a group of 72 ranks the leader must
// get both reports that it needs within two fast readings.
func TestChangeOfPaceIsReportedAtOnce(t *testing.T) {
	c := qt.New(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	polls, reports := pollSchedule{}, reportSchedule{}
	status := expert.RankStatus{Epoch: 1, Rank: 40, Size: 72, Step: 7, Running: 5, Pace: 1}
	const linkRate = 1e6
	read := func() (time.Duration, bool) {
		polls.confirmPace(now, &status)
		return polls.nextInterval(now, &status, true), reports.due(now, &datagram.RankReport{Group: "g", Status: status}, linkRate)
	}
	interval, _ := read()
	c.Assert(interval, qt.Equals, pollInterval)
	now = now.Add(interval / 2)
	status.Pace = 2
	interval, sent := read()
	c.Assert(sent, qt.IsTrue)
	c.Assert(interval, qt.Equals, fastPollInterval)
	now = now.Add(interval)
	interval, sent = read()
	c.Assert(sent, qt.IsTrue)
	c.Assert(interval, qt.Equals, pollInterval)
	now = now.Add(fastPollInterval)
	_, sent = read()
	c.Assert(sent, qt.IsFalse)
	status.Pace = 2.05
	_, sent = read()
	c.Assert(sent, qt.IsFalse, qt.Commentf("a small change is no change of speed"))
}

// Guards against reports without loads, by which entries would take the group to have no ranks, from a leader without any
// status, and against wrong values in a received status.
func TestLeaderWithoutStatusesReportsNothing(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	entry, err := datagram.Listen("127.0.7.102", 0, func(err error) { t.Log(err) })
	c.Assert(err, qt.IsNil)
	socket, err := datagram.Listen("127.0.7.103", 0, func(err error) { t.Log(err) })
	c.Assert(err, qt.IsNil)
	reports := make(chan *datagram.GroupReport, 16)
	go entry.Receive(ctx, func(received datagram.Received) { reports <- received.Message.GroupReport })
	now := time.Unix(1000, 0)
	scope := tally.NewTestScope("", nil)
	agent := &Agent{leader: expert.NewLockstepLeader(now, 0, 2, 1, 1e6), socket: socket, scope: scope}
	agent.self.Group = "g"
	for i := 0; i < 100 && !agent.leader.Leading(); i++ {
		now = now.Add(100 * time.Millisecond)
		agent.leader.Tick(now)
	}
	c.Assert(agent.leader.Leading(), qt.IsTrue)
	agent.handleSubscribe(now, &datagram.Subscribe{Group: "g", Entry: entry.Address().String()})
	status := expert.RankStatus{Epoch: 1, Rank: 1, Size: 2, Step: 7, Running: 5, Pace: 1}
	wrongSize, wrongPace := status, status
	wrongSize.Size, wrongPace.Pace = -1, math.NaN()
	for _, wrong := range []expert.RankStatus{wrongSize, wrongPace} {
		agent.handleRankReport(ctx, now, &datagram.RankReport{Group: "g", Status: wrong})
		now = now.Add(reportInterval)
		agent.reportToEntries(now)
	}
	c.Check(scope.Snapshot().Counters()["rank_status_implausible+"].Value(), qt.Equals, int64(2))
	agent.handleRankReport(ctx, now, &datagram.RankReport{Group: "g", Status: status})
	now = now.Add(reportInterval)
	agent.reportToEntries(now)
	select {
	case report := <-reports:
		c.Check(report.Loads, qt.DeepEquals, []int{0, 5})
	case <-time.After(5 * time.Second):
		t.Fatal("no report")
	}
}

// Guards against a rank whose reports are missing and that is logged as recovered.
func TestStalePaceIsNoRecovery(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		pace  float64
		age   time.Duration
		event string
	}{{4, time.Second, "rank-pace-stale"}, {1, 0, "rank-recovered"}} {
		scope, now := tally.NewTestScope("", nil), time.Unix(1000, 0)
		agent := &Agent{scope: scope, log: logrus.NewEntry(logrus.New())}
		speeds := &agent.ensureGroupState().speeds
		status := expert.RankStatus{Epoch: 1, Rank: 1, Size: 2, Pace: 4}
		for range 4 {
			now = now.Add(50 * time.Millisecond)
			status.Step++
			speeds.estimate.Observe(now, &status)
		}
		agent.logSpeeds(now, speeds.estimate.Update(now, 0))
		status.Pace = test.pace
		speeds.estimate.Observe(now, &status)
		now = now.Add(test.age)
		agent.logSpeeds(now, speeds.estimate.Update(now, 0))
		c.Check(scope.Snapshot().Counters()["rank_speed_changes+change="+test.event].Value(), qt.Equals, int64(1))
	}
}

// Guards against reports that name ranks at their usual speed or overflow the field.
func TestReportedSlownessOmitsUsualRanks(t *testing.T) {
	c := qt.New(t)
	c.Assert(reportedSlowness(nil), qt.HasLen, 0)
	c.Assert(reportedSlowness([]float64{1, 1.3, 1, 1000}), qt.DeepEquals, []datagram.RankSlowness{{Rank: 1, Percent: 130}, {Rank: 3, Percent: 65535}})
}

// Guards against copies on ranks that are leaving, and against a list of leaving ranks where none is.
func TestLeavingRanks(t *testing.T) {
	c := qt.New(t)
	agent := &Agent{ranks: map[ident.Rank]membership.ListedBackend{}}
	c.Assert(agent.leavingRanks(3), qt.IsNil)
	backend := agent.ranks[ident.Rank(1)]
	backend.Leaving = true
	agent.ranks[ident.Rank(1)] = backend
	c.Assert(agent.leavingRanks(3), qt.DeepEquals, []bool{false, true, false})
}

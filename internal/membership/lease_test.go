package membership_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/charts"
	"github.com/bramleyspool/bramleyspool/internal/chart"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/membership"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const agentVM = ident.VM("agent-1")

func newHolder(c *qt.C) *membership.Holder {
	holder, err := membership.NewHolder(membership.HolderSettings{Self: ident.Instance{VM: "entry-1", Incarnation: 1}}, charts.Files)
	c.Assert(err, qt.IsNil)
	return holder
}

func newGrantor(incarnation ident.Incarnation, slots int) *membership.Grantor {
	return membership.NewGrantor(membership.GrantorSettings{Self: ident.Instance{VM: agentVM, Incarnation: incarnation}, Slots: slots})
}

// pair is one entry and one agent with a connection that tests can interrupt.
type pair struct {
	c       *qt.C
	now     time.Time
	holder  *membership.Holder
	grantor *membership.Grantor
	// connectionLost drops what is sent over the old connection; unreachable drops that and probes.
	connectionLost bool
	unreachable    bool
	// loseEvery drops every nth request; 0 for none.
	loseEvery int
	requests  int
	// grants are all grants that the agent sent.
	grants  []membership.LeaseGrant
	actions []membership.HolderAction
}

func newPair(c *qt.C) *pair {
	p := &pair{c: c, now: start, holder: newHolder(c), grantor: newGrantor(7, 16)}
	p.stepHolder(membership.BackendsChosen{VMs: []ident.VM{agentVM}})
	return p
}

func (p *pair) stepHolder(event membership.HolderEvent) {
	for _, action := range p.holder.Step(p.now, event) {
		p.actions = append(p.actions, action)
		switch action := action.(type) {
		case membership.SendLeaseRequest:
			p.request(action.Request, false, p.connectionLost || p.unreachable)
		case membership.ProbeNewConnection:
			p.request(action.Request, true, p.unreachable)
		}
	}
}

func (p *pair) request(request membership.LeaseRequest, newConnection, lost bool) {
	p.requests++
	if lost || p.loseEvery > 0 && p.requests%p.loseEvery == 0 {
		return
	}
	from := ident.Instance{VM: "entry-1", Incarnation: 1}
	for _, action := range p.grantor.Step(p.now, membership.LeaseRequested{From: from, Request: request}) {
		grant := action.(membership.SendGrant).Grant
		p.grants = append(p.grants, grant)
		p.stepHolder(membership.GrantReceived{From: agentVM, Grant: grant, NewConnection: newConnection})
	}
}

func (p *pair) run(d time.Duration) {
	for end := p.now.Add(d); p.now.Before(end); {
		p.now = p.now.Add(100 * time.Millisecond)
		p.stepHolder(membership.HolderTick{})
	}
}

func (p *pair) view() membership.BackendView {
	view, ok := p.holder.View(agentVM)
	p.c.Assert(ok, qt.IsTrue)
	return view
}

func count[T any](p *pair) int {
	total := 0
	for _, action := range p.actions {
		if _, ok := action.(T); ok {
			total++
		}
	}
	return total
}

func TestLeaseStates(t *testing.T) {
	cases := []struct {
		name string
		run  func(p *pair)
		want chart.State
	}{
		{"granted", func(p *pair) { p.run(time.Second) }, membership.StateAlive},
		{"listed as leaving, the agent grants", func(p *pair) {
			p.stepHolder(membership.VMListed{VM: agentVM, State: membership.ListedLeaving})
			p.run(time.Second)
		}, membership.StateAlive},
		{"absent from the list, the agent grants", func(p *pair) {
			p.stepHolder(membership.VMListed{VM: agentVM, State: membership.ListedAbsent})
			p.run(5 * time.Second)
		}, membership.StateAlive},
		{"the agent announces that it is leaving, listed as live", func(p *pair) {
			p.stepHolder(membership.VMListed{VM: agentVM, State: membership.ListedLive})
			p.stepHolder(membership.LeavingReceived{From: agentVM, Leaving: membership.Leaving{Incarnation: 7}})
			p.run(time.Second)
		}, membership.StateLeaving},
		{"the leaving message is lost, the next grant says leaving", func(p *pair) {
			p.grantor.Step(p.now, membership.LeaveRequested{})
			p.run(2 * time.Second)
		}, membership.StateLeaving},
		{"unreachable, still listed", func(p *pair) {
			p.unreachable = true
			p.run(20 * time.Second)
		}, membership.StateSuspect},
		{"unreachable, then absent from the list", func(p *pair) {
			p.unreachable = true
			p.run(5 * time.Second)
			p.stepHolder(membership.VMListed{VM: agentVM, State: membership.ListedAbsent})
		}, membership.StateGone},
		{"absent from the list, then unreachable", func(p *pair) {
			p.stepHolder(membership.VMListed{VM: agentVM, State: membership.ListedAbsent})
			p.unreachable = true
			p.run(5 * time.Second)
		}, membership.StateGone},
		{"reachable again after it was in state gone", func(p *pair) {
			p.stepHolder(membership.VMListed{VM: agentVM, State: membership.ListedAbsent})
			p.unreachable = true
			p.run(5 * time.Second)
			p.unreachable = false
			p.run(10 * time.Second)
		}, membership.StateAlive},
		{"left, then restarted under the same address", func(p *pair) {
			p.grantor.Step(p.now, membership.LeaveRequested{})
			p.run(2 * time.Second)
			p.grantor = newGrantor(8, 16)
			p.run(2 * time.Second)
		}, membership.StateAlive},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			p := newPair(qt.New(t))
			tc.run(p)
			p.c.Assert(p.view().State, qt.Equals, tc.want)
		})
	}
}

// A connection may stop delivering messages although the agent runs. It must be replaced after a
// probe, without a restart being reported.
func TestSilentConnectionIsReplacedAfterProbe(t *testing.T) {
	p := newPair(qt.New(t))
	p.connectionLost = true
	p.run(4 * time.Second)
	p.c.Check(count[membership.ProbeNewConnection](p) > 0, qt.IsTrue)
	p.c.Check(count[membership.ReplaceConnection](p) > 0, qt.IsTrue)
	p.c.Check(count[membership.BackendRestarted](p), qt.Equals, 0)
	p.connectionLost = false
	p.run(2 * time.Second)
	p.c.Check(p.view().Usable(p.now), qt.IsTrue)
}

// With every second heartbeat lost, retries must renew the lease in time and start no probe.
func TestLostHeartbeatsDoNotExpireLease(t *testing.T) {
	p := newPair(qt.New(t))
	p.loseEvery = 2
	for range 200 {
		p.run(100 * time.Millisecond)
		p.c.Assert(p.view().Usable(p.now), qt.IsTrue)
	}
	p.c.Assert(count[membership.ProbeNewConnection](p), qt.Equals, 0)
}

// An entry that needs more credits must not wait for the next heartbeat.
func TestHigherDemandIsRequestedSoon(t *testing.T) {
	p := newPair(qt.New(t))
	p.run(1600 * time.Millisecond)
	before := count[membership.SendLeaseRequest](p)
	p.stepHolder(membership.DemandChanged{VM: agentVM, Demand: 100})
	p.run(700 * time.Millisecond)
	p.c.Assert(count[membership.SendLeaseRequest](p) > before, qt.IsTrue)
}

// A lease request sent along with a dispatch saves the next heartbeat.
func TestLeaseRequestIsSentWithDispatchWhenDue(t *testing.T) {
	p := newPair(qt.New(t))
	_, due := p.holder.Request(p.now, agentVM)
	p.c.Check(due, qt.IsFalse)
	p.run(time.Second)
	request, due := p.holder.Request(p.now, agentVM)
	p.c.Assert(due, qt.IsTrue)
	before := count[membership.SendLeaseRequest](p)
	p.request(request, false, false)
	p.run(time.Second)
	p.c.Check(count[membership.SendLeaseRequest](p), qt.Equals, before)
	_, known := p.holder.Request(p.now, "agent-2")
	p.c.Check(known, qt.IsFalse)
}

// A late answer of an earlier incarnation must not set the load of the current one.
func TestLoadOfOtherIncarnationIsIgnored(t *testing.T) {
	p := newPair(qt.New(t))
	p.stepHolder(membership.DispatchStarted{VM: agentVM})
	p.stepHolder(membership.LoadReceived{From: agentVM, Incarnation: 6, Load: membership.Load{Running: 9}})
	p.c.Check(p.view().Load.Running, qt.Equals, uint32(0))
	p.c.Check(p.view().SinceLoad, qt.Equals, uint32(1))
	p.stepHolder(membership.LoadReceived{From: agentVM, Incarnation: 7, Load: membership.Load{Running: 9}})
	p.c.Check(p.view().Load.Running, qt.Equals, uint32(9))
	p.c.Check(p.view().SinceLoad, qt.Equals, uint32(0))
}

func BenchmarkLeaseHeartbeat(b *testing.B) {
	p := newPair(qt.New(b))
	b.ReportAllocs()
	for b.Loop() {
		p.now = p.now.Add(time.Second * 3 / 2)
		// A step between two heartbeats keeps the gap below MaxGap.
		p.holder.Step(p.now.Add(-750*time.Millisecond), membership.ConfigChanged{})
		p.stepHolder(membership.HolderTick{})
		p.actions, p.grants = p.actions[:0], p.grants[:0]
	}
}

// After a pause of the entry, a grant sent before it may arrive late. Its lease must not be usable.
func TestGapInvalidatesAllLeases(t *testing.T) {
	p := newPair(qt.New(t))
	p.run(time.Second)
	old := p.grants
	p.connectionLost = true
	p.now = p.now.Add(1500 * time.Millisecond)
	p.stepHolder(membership.HolderTick{})
	p.c.Assert(p.view().Usable(p.now), qt.IsFalse)
	for _, grant := range old {
		grant.Number += 100
		p.stepHolder(membership.GrantReceived{From: agentVM, Grant: grant})
	}
	p.c.Assert(p.view().Usable(p.now), qt.IsFalse, qt.Commentf("a grant from before the gap was accepted"))
	p.connectionLost = false
	p.run(1200 * time.Millisecond)
	p.c.Assert(p.view().Usable(p.now), qt.IsTrue)
	p.c.Assert(count[membership.GapDetected](p), qt.Equals, 1)
}

// A late grant or leaving message of the old incarnation must not replace the lease of the new one.
func TestLateGrantOfOldIncarnationIsIgnored(t *testing.T) {
	p := newPair(qt.New(t))
	p.run(500 * time.Millisecond)
	late := p.grants[len(p.grants)-1]
	p.grantor = newGrantor(8, 16)
	p.run(time.Second)
	p.c.Assert(p.view().Incarnation, qt.Equals, ident.Incarnation(8))
	late.Number = 1000
	p.stepHolder(membership.GrantReceived{From: agentVM, Grant: late})
	p.stepHolder(membership.LeavingReceived{From: agentVM, Leaving: membership.Leaving{Incarnation: 7}})
	p.c.Assert(p.view().Incarnation, qt.Equals, ident.Incarnation(8))
	p.c.Assert(p.view().State, qt.Equals, membership.StateAlive)
}

// A duplicate of an older grant must not restore its credits.
func TestDuplicateOfOlderGrantIsIgnored(t *testing.T) {
	p := newPair(qt.New(t))
	p.run(500 * time.Millisecond)
	older := p.grants[len(p.grants)-1]
	p.run(time.Second)
	newer := p.view()
	older.Credits = newer.Credits + 5
	p.stepHolder(membership.GrantReceived{From: agentVM, Grant: older})
	p.c.Assert(p.view().Lease, qt.Equals, newer.Lease)
	p.c.Assert(p.view().Credits, qt.Equals, newer.Credits)
}

func TestCheckRefusesDispatches(t *testing.T) {
	c := qt.New(t)
	entry := ident.Instance{VM: "entry-1", Incarnation: 1}
	grantor := newGrantor(7, 2)
	actions := grantor.Step(start, membership.LeaseRequested{From: entry, Request: membership.LeaseRequest{Sequence: 1}})
	grant := actions[0].(membership.SendGrant).Grant
	check := func(at time.Duration, from ident.Instance, incarnation ident.Incarnation, number membership.LeaseNumber) outcome.Cause {
		return grantor.Check(start.Add(at), from, incarnation, number)
	}
	c.Check(check(0, entry, 7, grant.Number), qt.Equals, outcome.CauseNone)
	c.Check(check(time.Hour, entry, 7, grant.Number), qt.Equals, outcome.CauseStaleLease)
	c.Check(check(0, entry, 6, grant.Number), qt.Equals, outcome.CauseStaleLease)
	c.Check(check(0, entry, 7, grant.Number+1), qt.Equals, outcome.CauseStaleLease)
	c.Check(check(0, ident.Instance{VM: "entry-1", Incarnation: 2}, 7, grant.Number), qt.Equals, outcome.CauseStaleLease)
	for range 2 {
		grantor.Step(start, membership.RequestAccepted{Entry: entry})
	}
	c.Check(check(0, entry, 7, grant.Number), qt.Equals, outcome.CauseBackendsFull)
	grantor.Step(start, membership.RequestEnded{Entry: entry})
	grantor.Step(start, membership.SuspectRequestQueued{})
	c.Check(check(0, entry, 7, grant.Number), qt.Equals, outcome.CauseBackendsFull)
	grantor.Step(start, membership.SuspectRequestEnded{})
	c.Check(check(0, entry, 7, grant.Number), qt.Equals, outcome.CauseNone)
	grantor.Step(start, membership.LeaveRequested{})
	c.Check(check(0, entry, 7, grant.Number), qt.Equals, outcome.CauseLeaving)
}

// After a pause of the agent, a dispatch may arrive that its entry abandoned long ago. Leases from
// before the pause are refused, but their credits are not granted to others until they expire.
func TestAgentRefusesLeaseFromBeforeGap(t *testing.T) {
	c := qt.New(t)
	first, second := ident.Instance{VM: "entry-1", Incarnation: 1}, ident.Instance{VM: "entry-2", Incarnation: 1}
	grantor := newGrantor(7, 4)
	ask := func(at time.Duration, from ident.Instance) membership.LeaseGrant {
		actions := grantor.Step(start.Add(at), membership.LeaseRequested{From: from, Request: membership.LeaseRequest{Sequence: 1, Demand: 4}})
		return actions[0].(membership.SendGrant).Grant
	}
	check := func(at time.Duration, grant membership.LeaseGrant) outcome.Cause {
		return grantor.Check(start.Add(at), first, 7, grant.Number)
	}
	old := ask(0, first)
	c.Assert(old.Credits, qt.Equals, uint32(4))
	grantor.Step(start.Add(500*time.Millisecond), membership.GrantorTick{})
	c.Check(check(600*time.Millisecond, old), qt.Equals, outcome.CauseNone)
	c.Check(check(2*time.Second, old), qt.Equals, outcome.CauseStaleLease)
	grantor.Step(start.Add(2*time.Second), membership.GrantorTick{})
	c.Check(check(2*time.Second, old), qt.Equals, outcome.CauseStaleLease)
	c.Check(ask(2*time.Second, second).Credits, qt.Equals, uint32(0), qt.Commentf("the first entry may still use its credits"))
	c.Check(check(2*time.Second, ask(2*time.Second, first)), qt.Equals, outcome.CauseNone)
}

// With fewer slots than entries, the same entries could get all credits every time.
func TestEntriesTakeTurnsIfSlotsAreFewer(t *testing.T) {
	c := qt.New(t)
	grantor := newGrantor(7, 3)
	type entry struct {
		held membership.LeaseGrant
		had  bool
	}
	entries := make([]entry, 10)
	for round := range 200 {
		now := start.Add(time.Duration(round) * time.Second)
		for i := range entries {
			from := ident.Instance{VM: ident.VM(fmt.Sprintf("entry-%d", i)), Incarnation: 1}
			request := membership.LeaseRequest{Sequence: membership.Sequence(round + 1), Demand: 2, Held: entries[i].held.Number, Incarnation: 7}
			entries[i].held = grantor.Step(now, membership.LeaseRequested{From: from, Request: request})[0].(membership.SendGrant).Grant
			entries[i].had = entries[i].had || entries[i].held.Credits > 0
		}
	}
	for i := range entries {
		c.Check(entries[i].had, qt.IsTrue, qt.Commentf("entry %d never got a credit", i))
	}
}

func TestDrainedAfterRequestsAndLeasesEnd(t *testing.T) {
	c := qt.New(t)
	entry := ident.Instance{VM: "entry-1", Incarnation: 1}
	grantor := newGrantor(7, 2)
	grantor.Step(start, membership.LeaseRequested{From: entry, Request: membership.LeaseRequest{Sequence: 1}})
	grantor.Step(start, membership.RequestAccepted{Entry: entry})
	drained := func(actions []membership.GrantorAction) bool {
		for _, action := range actions {
			if _, ok := action.(membership.GrantorDrained); ok {
				return true
			}
		}
		return false
	}
	c.Check(drained(grantor.Step(start, membership.LeaveRequested{})), qt.IsFalse)
	c.Check(drained(grantor.Step(start.Add(time.Minute), membership.GrantorTick{})), qt.IsFalse)
	c.Check(drained(grantor.Step(start.Add(time.Minute), membership.RequestEnded{Entry: entry})), qt.IsTrue)
	c.Check(drained(grantor.Step(start.Add(time.Hour), membership.GrantorTick{})), qt.IsFalse)
}

// TestLeaseChartTransitions checks every transition of the chart with each value of its guard.
func TestLeaseChartTransitions(t *testing.T) {
	c := qt.New(t)
	vocabulary := chart.Vocabulary{
		Guards:  []chart.Guard{"probed", "absent-from-list", "probe-has-failed", "other-incarnation"},
		Actions: []chart.Action{"publish", "probe", "renew", "replace-connection"},
	}
	lease, err := chart.Load(charts.Files, "lease", vocabulary)
	c.Assert(err, qt.IsNil)
	type want struct {
		event                   chart.Event
		ifGuardsHold, otherwise chart.State
	}
	table := map[chart.State][]want{
		"unleased": {{"granted", "alive", "alive"}, {"left", "leaving", "leaving"}, {"silent", "suspect", "suspect"}, {"probe-failed", "unleased", "unleased"}, {"absent", "unleased", "unleased"}, {"gap", "unleased", "unleased"}},
		"alive":    {{"granted", "alive", "alive"}, {"left", "leaving", "leaving"}, {"silent", "suspect", "suspect"}, {"probe-failed", "alive", "alive"}, {"absent", "alive", "alive"}, {"gap", "unleased", "unleased"}},
		"suspect":  {{"granted", "alive", "alive"}, {"left", "leaving", "leaving"}, {"silent", "suspect", "suspect"}, {"probe-failed", "gone", "suspect"}, {"absent", "gone", "suspect"}, {"gap", "unleased", "unleased"}},
		"leaving":  {{"granted", "alive", "leaving"}, {"left", "leaving", "leaving"}, {"silent", "leaving", "leaving"}, {"probe-failed", "gone", "gone"}, {"absent", "leaving", "leaving"}, {"gap", "leaving", "leaving"}},
		"gone":     {{"granted", "alive", "alive"}, {"left", "leaving", "leaving"}, {"silent", "gone", "gone"}, {"probe-failed", "gone", "gone"}, {"absent", "gone", "gone"}, {"gap", "unleased", "unleased"}},
	}
	for state, wants := range table {
		c.Assert(wants, qt.HasLen, len(lease.Spec().Events))
		for _, want := range wants {
			for holds, target := range map[bool]chart.State{true: want.ifGuardsHold, false: want.otherwise} {
				step, err := lease.Next(state, want.event, func(chart.Guard) bool { return holds })
				c.Assert(err, qt.IsNil)
				c.Check(step.To, qt.Equals, target, qt.Commentf("%s in %s, guard %v", want.event, state, holds))
			}
		}
	}
}

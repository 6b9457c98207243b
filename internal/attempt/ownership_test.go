package attempt_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/fleet"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
)

var (
	longAgo  = start.Add(-time.Hour)
	fullLog  = 10 * time.Hour
	movedKey = ident.NewRunKey("c", "s", "moved")
)

// agentAt returns a bench for an agent that starts with the fleet.
func agentAt(t *testing.T, self ident.Instance, published fleet.Fleet) *ownerBench {
	b := &ownerBench{c: qt.New(t), now: start, self: self, owner: attempt.NewOwner(start, attempt.DefaultOwnerConfig(self))}
	b.step(attempt.LeaseMoved{Current: 10, Start: 9, Forget: 5})
	b.step(attempt.OwnerFleetChanged{Fleet: published})
	return b
}

// movedFleet is the fleet after the service moved from a to b.
func movedFleet() fleet.Fleet {
	next := oneEntryFleet(longAgo, "b")
	next.Version = 2
	return next
}

// releaseOf returns what a, which ran movedKey, hands over to b.
func releaseOf(t *testing.T) attempt.HandOver {
	a := agentAt(t, agentA, oneEntryFleet(longAgo, "a"))
	a.claimed(fullLog)
	dispatch := a.keyed("moved", 1)
	a.reply(dispatch)
	a.end(dispatch.ID, served)
	a.step(attempt.OwnerFleetChanged{Fleet: movedFleet()})
	a.step(attempt.ReleaseAsked{Request: attempt.ReleaseRequest{Asker: agentB, Service: "s", FleetVersion: 2, Round: 1}})
	return ownerActions[attempt.SendHandOver](a)[0].HandOver
}

func TestOwnershipMovesByReleaseOnly(t *testing.T) {
	cases := []struct {
		name     string
		covers   time.Duration
		previous ident.Incarnation
		change   func(*attempt.HandOver)
		gone     bool
		runs     bool
	}{
		{name: "released, logs cover", covers: fullLog, change: func(*attempt.HandOver) {}, runs: true},
		{name: "released and complete", covers: time.Second, change: func(*attempt.HandOver) {}, runs: true},
		{name: "not released", covers: fullLog},
		{name: "gone, logs cover", covers: fullLog, gone: true, runs: true},
		{name: "gone, logs do not cover", covers: time.Second, gone: true},
		{name: "one key only", covers: fullLog, change: func(h *attempt.HandOver) { h.Round = 0 }},
		{name: "another list", covers: fullLog, change: func(h *attempt.HandOver) { h.List++ }},
		{name: "an older version", covers: fullLog, change: func(h *attempt.HandOver) { h.FleetVersion = 1 }},
		{name: "not complete", covers: time.Second, change: func(h *attempt.HandOver) { h.CompleteFor = 0 }},
		{name: "complete for another list", covers: time.Second, change: func(h *attempt.HandOver) { h.CompleteFor++ }},
		{name: "complete, but an earlier run of b", covers: time.Second, previous: 1, change: func(*attempt.HandOver) {}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			b := agentAt(t, agentB, movedFleet())
			dispatch := b.keyed("fresh", 1)
			dispatch.FleetVersion = 2
			b.expect(b.reply(dispatch), attempt.ReplyQueued, outcome.Open, "")
			b.step(attempt.ClaimAnswered{Answer: attempt.ClaimAnswer{
				Entry: entry, Claimant: agentB, Service: "s", Round: 1, Parts: 1, Covers: tc.covers, Knows: tc.covers,
				Previous: tc.previous, Earlier: []attempt.EarlierList{{VMs: []ident.VM{"a"}, Age: time.Second}},
			}})
			ran := len(ownerActions[attempt.Run](b))
			if tc.gone {
				b.step(attempt.VMsGone{VMs: []ident.VM{"a"}})
			} else if tc.change != nil {
				handOver := releaseOf(t)
				tc.change(&handOver)
				b.step(attempt.HandOverReceived{HandOver: handOver})
			}
			b.c.Assert(ran+len(ownerActions[attempt.Run](b)) > 0, qt.Equals, tc.runs)
			b.now = b.now.Add(2 * time.Second)
			b.step(attempt.OwnerTick{})
			b.c.Assert(ownerActions[attempt.Run](b), qt.HasLen, 0)
			if !tc.runs {
				b.expect(b.lastReply(), attempt.ReplyNeverStarted, outcome.Unknown, outcome.CauseKeyInDoubt)
			}
		})
	}
}

func TestReleasedKeysBringTheirAnswers(t *testing.T) {
	b := agentAt(t, agentB, movedFleet())
	b.step(attempt.HandOverReceived{HandOver: releaseOf(t)})
	b.step(attempt.KeyAsked{Question: attempt.KeyQuestion{RunKey: movedKey}})
	b.c.Assert(ownerActions[attempt.SendKeyAnswer](b)[0].Answer.Status, qt.Equals, attempt.KeyServed)
}

func TestPausedOwnerTrustsOnlyWhatEntriesKnewAllAlong(t *testing.T) {
	for _, tc := range []struct {
		knows time.Duration
		runs  int
	}{{fullLog, 1}, {time.Second, 0}} {
		b := newOwnerBench(t, nil)
		b.claimed(fullLog)
		b.now = b.now.Add(time.Minute)
		b.step(attempt.ClockGap{})
		b.expect(b.reply(b.keyed("k", 1)), attempt.ReplyQueued, outcome.Open, "")
		b.step(attempt.ClaimAnswered{Answer: attempt.ClaimAnswer{
			Entry: entry, Claimant: agentA, Service: "s", Round: 2, Parts: 1, Covers: time.Second, Knows: tc.knows,
		}})
		b.c.Assert(ownerActions[attempt.Run](b), qt.HasLen, tc.runs)
	}
}

func TestStoppedAgentLeavesItsKeysToItsNextRun(t *testing.T) {
	published := oneEntryFleet(longAgo, "a", "b")
	a := agentAt(t, agentA, published)
	a.claimed(fullLog)
	key := ownedByA(published, "k")
	dispatch := a.keyed(key, 1)
	a.reply(dispatch)
	a.end(dispatch.ID, served)
	a.step(attempt.OwnerStop{})
	final := ownerActions[attempt.SendHandOver](a)[0].HandOver
	keeper := agentAt(t, agentB, published)
	keeper.step(attempt.HandOverReceived{HandOver: final})
	a.step(attempt.HandOverKept{Ack: ownerActions[attempt.SendHandOverAck](keeper)[0].Ack})
	a.c.Assert(ownerActions[attempt.OwnerStopped](a), qt.HasLen, 1)

	for _, previous := range []ident.Incarnation{agentA.Incarnation, 5} {
		successor := ident.Instance{VM: "a", Incarnation: 9}
		keeper.step(attempt.ReleaseAsked{Request: attempt.ReleaseRequest{Asker: successor, Service: "s", FleetVersion: 1, Round: 1}})
		next := agentAt(t, successor, published)
		next.step(attempt.ClaimAnswered{Answer: attempt.ClaimAnswer{
			Entry: entry, Claimant: successor, Service: "s", Round: 1, Parts: 1, Covers: time.Second, Knows: time.Second,
			Previous: previous,
		}})
		next.step(attempt.HandOverReceived{HandOver: ownerActions[attempt.SendHandOver](keeper)[0].HandOver})
		next.expect(next.reply(next.keyed(key, 1)), attempt.ReplyFinished, outcome.Served, "")
		fresh := next.reply(next.keyed(ownedByA(published, key+"fresh"), 1))
		want := attempt.ReplyQueued
		if previous == agentA.Incarnation {
			want = attempt.ReplyStarted
		}
		next.c.Assert(fresh.State, qt.Equals, want)
	}
	stranger := ident.Instance{VM: "a", Incarnation: 10}
	keeper.step(attempt.ReleaseAsked{Request: attempt.ReleaseRequest{Asker: stranger, Service: "s", FleetVersion: 1, Round: 1}})
	for _, sent := range ownerActions[attempt.SendHandOver](keeper) {
		keeper.c.Assert(sent.HandOver.Custody, qt.IsFalse)
	}
}

// ownedByA lengthens the key until a owns it.
func ownedByA(published fleet.Fleet, key string) string {
	for attempt.OwnerOf(ident.NewRunKey("c", "s", key), published.Services[0]) != "a" {
		key += "x"
	}
	return key
}

func TestAnswerOfAReplacedEntryDoesNotCount(t *testing.T) {
	published := oneEntryFleet(longAgo, "a")
	published.Entries = append(published.Entries, fleet.EntryVM{VM: peer.VM})
	b := agentAt(t, agentA, published)
	answer := func(from ident.Instance, peers ...ident.Instance) {
		b.step(attempt.ClaimAnswered{Answer: attempt.ClaimAnswer{
			Entry: from, Claimant: agentA, Service: "s", Round: 1, Parts: 1, Covers: fullLog, Knows: fullLog, Peers: peers,
		}})
	}
	later := ident.Instance{VM: entry.VM, Incarnation: entry.Incarnation + 1}
	b.reply(b.keyed("k", 1))
	answer(entry)
	answer(peer, later)
	b.c.Assert(ownerActions[attempt.Run](b), qt.HasLen, 0)
	dispatch := b.keyed("k2", 1)
	dispatch.ID.Entry = later
	answer(later)
	b.c.Assert(b.reply(dispatch).State, qt.Equals, attempt.ReplyStarted)
	replaced := b.keyed("k4", 1)
	replaced.ID.Entry = entry
	b.expect(b.reply(replaced), attempt.ReplyQueued, outcome.Open, "")
	stranger := b.keyed("k3", 1)
	stranger.ID.Entry = ident.Instance{VM: entry.VM, Incarnation: entry.Incarnation + 2}
	b.expect(b.reply(stranger), attempt.ReplyQueued, outcome.Open, "")
}

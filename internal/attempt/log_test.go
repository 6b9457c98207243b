package attempt_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/fleet"
	"github.com/bramleyspool/bramleyspool/internal/ident"
)

var (
	peer     = ident.Instance{VM: "entry1", Incarnation: 3}
	logFleet = fleet.Fleet{
		Version: 1, Entries: []fleet.EntryVM{{VM: entry.VM}, {VM: peer.VM}},
		Services: []fleet.Service{{Name: "s", RunKeyRetention: retention, Backends: []fleet.BackendServer{{VM: "a"}}}},
	}
)

// newLog returns an entry's log that a peer informed, with a claim of the agent a.
func newLog(c *qt.C, self ident.Instance, answer attempt.PeerAnswer) *attempt.Log {
	log := attempt.NewLog(start, attempt.DefaultLogConfig(self))
	log.Step(start, attempt.LogFleetChanged{Fleet: logFleet})
	refused := claim(c, log, start, agentA)
	c.Assert(refused.Refused, qt.Equals, attempt.ClaimUninformed)
	answer.Entry, answer.Asker = peer, self
	log.Step(start, attempt.PeerAnswerReceived{Answer: answer})
	return log
}

func claim(c *qt.C, log *attempt.Log, now time.Time, claimant ident.Instance) attempt.ClaimAnswer {
	c.Helper()
	return claimWithList(c, log, now, claimant, attempt.ListID([]ident.VM{"a"}))
}

func claimWithList(c *qt.C, log *attempt.Log, now time.Time, claimant ident.Instance, list uint64) attempt.ClaimAnswer {
	c.Helper()
	actions := log.Step(now, attempt.ClaimReceived{Claim: attempt.Claim{
		Claimant: claimant, Service: "s", FleetVersion: 1, Round: 1, List: list,
	}})
	c.Assert(actions, qt.HasLen, 1)
	return actions[0].(attempt.SendClaimAnswer).Answer
}

func recordKey(log *attempt.Log, target ident.Instance) attempt.RecordResult {
	return log.Record(start, attempt.Dispatch{
		Target: target, FleetVersion: 1, Service: "s", RunKey: ident.NewRunKey("c", "s", "k"), Body: attempt.Digest{1},
	})
}

func TestClaimFencesEarlierRuns(t *testing.T) {
	c := qt.New(t)
	log := newLog(c, entry, attempt.PeerAnswer{})
	c.Assert(recordKey(log, agentA), qt.Equals, attempt.RecordNotClaimed)
	c.Assert(claim(c, log, start, agentA).Refused, qt.Equals, attempt.ClaimAccepted)
	c.Assert(recordKey(log, agentA), qt.Equals, attempt.Recorded)
	successor := ident.Instance{VM: "a", Incarnation: 5}
	answer := claim(c, log, start.Add(time.Minute), successor)
	c.Assert(answer.Keys, qt.HasLen, 1)
	c.Assert(answer.Keys[0].Target, qt.Equals, agentA)
	c.Assert(answer.Covers, qt.Equals, time.Minute)
	c.Assert(answer.Previous, qt.Equals, agentA.Incarnation)
	c.Assert(recordKey(log, agentA), qt.Equals, attempt.RecordNotClaimed)
	c.Assert(claim(c, log, start, agentA).Refused, qt.Equals, attempt.ClaimSuperseded)
	again := claim(c, log, start, successor)
	c.Assert(again.Previous, qt.Equals, agentA.Incarnation)
}

func TestEntryLearnsClaimsFromItsPeers(t *testing.T) {
	c := qt.New(t)
	log := newLog(c, entry, attempt.PeerAnswer{Claims: []attempt.HeldClaim{{VM: "a", Current: 5, Previous: 1}}})
	c.Assert(claim(c, log, start, agentA).Refused, qt.Equals, attempt.ClaimSuperseded)
}

func TestProvenNotRunKeysAreNotInDoubt(t *testing.T) {
	c := qt.New(t)
	log := newLog(c, entry, attempt.PeerAnswer{})
	claim(c, log, start, agentA)
	recordKey(log, agentA)
	log.Resolve("s", ident.NewRunKey("c", "s", "k"), agentA, attempt.ReplyNeverStarted)
	c.Assert(log.MayHaveRun("s", ident.NewRunKey("c", "s", "k")), qt.IsFalse)
	c.Assert(claim(c, log, start, ident.Instance{VM: "a", Incarnation: 5}).Keys, qt.HasLen, 0)
}

func TestPausedEntryTrustsItsLogOnlyIfPeersKnewAllAlong(t *testing.T) {
	for _, tc := range []struct {
		knows, covers time.Duration
	}{{2 * time.Hour, time.Hour}, {time.Second, 0}} {
		c := qt.New(t)
		log := newLog(c, entry, attempt.PeerAnswer{})
		now := start.Add(time.Hour)
		log.Step(now, attempt.LogClockGap{})
		c.Assert(claim(c, log, now, agentA).Refused, qt.Equals, attempt.ClaimUninformed)
		log.Step(now, attempt.PeerAnswerReceived{Answer: attempt.PeerAnswer{Entry: peer, Asker: entry, Knows: tc.knows}})
		c.Assert(claim(c, log, now, agentA).Covers, qt.Equals, tc.covers)
	}
}

func TestStoppedEntryHandsItsLogToItsNextRun(t *testing.T) {
	c := qt.New(t)
	stopping := newLog(c, entry, attempt.PeerAnswer{})
	claim(c, stopping, start, agentA)
	recordKey(stopping, agentA)
	now := start.Add(time.Minute)
	actions := stopping.Step(now, attempt.LogStop{})
	handOver := actions[0].(attempt.SendLogHandOver).HandOver
	c.Assert(recordKey(stopping, agentA), qt.Equals, attempt.RecordNotOpen)
	c.Assert(stopping.Step(now, attempt.LogHandOverKept{Ack: attempt.LogHandOverAck{From: entry}}), qt.DeepEquals, []attempt.LogAction{attempt.LogStopped{}})
	for _, tc := range []struct {
		previous ident.Incarnation
		covers   time.Duration
		keys     int
	}{{entry.Incarnation, time.Minute, 1}, {8, 0, 0}} {
		next := newLog(c, ident.Instance{VM: entry.VM, Incarnation: 9}, attempt.PeerAnswer{Log: &handOver, Previous: tc.previous})
		answer := claim(c, next, start, ident.Instance{VM: "a", Incarnation: 5})
		c.Assert(answer.Covers, qt.Equals, tc.covers)
		c.Assert(answer.Keys, qt.HasLen, tc.keys)
	}
}

func TestEntriesOffTheRosterAreNamed(t *testing.T) {
	c := qt.New(t)
	stranger := ident.Instance{VM: "entry2", Incarnation: 4}
	log := newLog(c, entry, attempt.PeerAnswer{Peers: []ident.Instance{stranger}})
	answer := claim(c, log, start, agentA)
	c.Assert(answer.Removed, qt.DeepEquals, []attempt.RemovedEntry{{VM: stranger.VM}})
}

// TestClaimUnderAnotherListIsRefused shows that two lists under one version never give a run
// key two owners.
func TestClaimUnderAnotherListIsRefused(t *testing.T) {
	c := qt.New(t)
	log := newLog(c, entry, attempt.PeerAnswer{})
	other := attempt.ListID([]ident.VM{"a", "b"})
	c.Assert(claimWithList(c, log, start, agentA, other).Refused, qt.Equals, attempt.ClaimOtherList)
	c.Assert(recordKey(log, agentA), qt.Equals, attempt.RecordNotClaimed)
}

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

// newLog returns the log of an entry whose peer has answered. It checks that the claim of agent a was
// refused before the answer; no claim is accepted yet.
func newLog(c *qt.C, self ident.Instance, answer attempt.PeerAnswer) *attempt.Log {
	log := attempt.NewLog(start, attempt.DefaultLogConfig(self))
	log.Step(start, attempt.LogFleetChanged{Fleet: logFleet})
	refused := claim(c, log, start, agentA)
	c.Assert(refused.Refused, qt.Equals, attempt.ClaimPeersPending)
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

// TestClaimFencesEarlierIncarnations guards against dispatches to an incarnation of an agent after
// a later one has claimed the VM, and against keys missing from the answer to the later one's claim.
func TestClaimFencesEarlierIncarnations(t *testing.T) {
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

// TestPeerAnswerCarriesClaims guards against a new entry accepting a claim that a later
// incarnation has superseded at its peer.
func TestPeerAnswerCarriesClaims(t *testing.T) {
	c := qt.New(t)
	log := newLog(c, entry, attempt.PeerAnswer{Claims: []attempt.KnownIncarnation{{VM: "a", Current: 5, Previous: 1}}})
	c.Assert(claim(c, log, start, agentA).Refused, qt.Equals, attempt.ClaimSuperseded)
}

// TestKeysProvenNotRunAreNotReported guards against a key being put in doubt although its only
// dispatch is proven never to have started.
func TestKeysProvenNotRunAreNotReported(t *testing.T) {
	c := qt.New(t)
	log := newLog(c, entry, attempt.PeerAnswer{})
	claim(c, log, start, agentA)
	recordKey(log, agentA)
	log.RecordEnd("s", ident.NewRunKey("c", "s", "k"), agentA, attempt.ReplyNeverStarted)
	c.Assert(log.MayHaveRun("s", ident.NewRunKey("c", "s", "k")), qt.IsFalse)
	c.Assert(claim(c, log, start, ident.Instance{VM: "a", Incarnation: 5}).Keys, qt.HasLen, 0)
}

// TestCoverageOfPausedEntryNeedsPeers guards against a paused entry reporting its log as complete
// although another incarnation may have dispatched keys during the pause. Only peers that have
// known every incarnation since before the pause restore the coverage.
func TestCoverageOfPausedEntryNeedsPeers(t *testing.T) {
	for _, tc := range []struct {
		knows, covers time.Duration
	}{{2 * time.Hour, time.Hour}, {time.Second, 0}} {
		c := qt.New(t)
		log := newLog(c, entry, attempt.PeerAnswer{})
		now := start.Add(time.Hour)
		log.Step(now, attempt.LogClockGap{})
		c.Assert(claim(c, log, now, agentA).Refused, qt.Equals, attempt.ClaimPeersPending)
		log.Step(now, attempt.PeerAnswerReceived{Answer: attempt.PeerAnswer{Entry: peer, Asker: entry, ClaimsKnownFor: tc.knows}})
		c.Assert(claim(c, log, now, agentA).Covers, qt.Equals, tc.covers)
	}
}

// TestStoppedEntryHandsLogToNextIncarnation guards against a restart of an entry losing its log,
// and against the use of a log that is not that of the previous incarnation.
func TestStoppedEntryHandsLogToNextIncarnation(t *testing.T) {
	c := qt.New(t)
	stopping := newLog(c, entry, attempt.PeerAnswer{})
	claim(c, stopping, start, agentA)
	recordKey(stopping, agentA)
	now := start.Add(time.Minute)
	actions := stopping.Step(now, attempt.LogStop{})
	handOver := actions[0].(attempt.SendLogHandOver).HandOver
	c.Assert(recordKey(stopping, agentA), qt.Equals, attempt.RecordNotOpen)
	c.Assert(stopping.Step(now, attempt.LogHandOverAckReceived{Ack: attempt.LogHandOverAck{From: entry}}), qt.DeepEquals, []attempt.LogAction{attempt.LogStopped{}})
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

// TestEntriesOffRosterAreReported guards against an agent missing keys that were dispatched by an
// entry that is no longer on the roster.
func TestEntriesOffRosterAreReported(t *testing.T) {
	c := qt.New(t)
	unlisted := ident.Instance{VM: "entry2", Incarnation: 4}
	log := newLog(c, entry, attempt.PeerAnswer{Peers: []ident.Instance{unlisted}})
	answer := claim(c, log, start, agentA)
	c.Assert(answer.Removed, qt.DeepEquals, []attempt.RemovedEntry{{VM: unlisted.VM}})
}

// TestClaimUnderAnotherListIsRefused guards against two owners of one run key when an agent and an
// entry have different lists under the same version.
func TestClaimUnderAnotherListIsRefused(t *testing.T) {
	c := qt.New(t)
	log := newLog(c, entry, attempt.PeerAnswer{})
	other := attempt.ListID([]ident.VM{"a", "b"})
	c.Assert(claimWithList(c, log, start, agentA, other).Refused, qt.Equals, attempt.ClaimOtherList)
	c.Assert(recordKey(log, agentA), qt.Equals, attempt.RecordNotClaimed)
}

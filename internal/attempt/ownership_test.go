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
	openedLongAgo = start.Add(-time.Hour)
	fullCoverage  = 10 * time.Hour
	movedKey      = ident.NewRunKey("c", "s", "moved")
)

// newAgent returns the harness of an agent that starts with the fleet.
func newAgent(t *testing.T, self ident.Instance, published fleet.Fleet) *ownerHarness {
	h := &ownerHarness{c: qt.New(t), now: start, self: self, owner: attempt.NewOwner(start, attempt.DefaultOwnerConfig(self))}
	h.step(attempt.LeaseAdvanced{Current: 10, MinStart: 9, MinKept: 5})
	h.step(attempt.OwnerFleetChanged{Fleet: published})
	return h
}

// movedFleet is the fleet after the service moved from agent a to agent b.
func movedFleet() fleet.Fleet {
	next := oneEntryFleet(openedLongAgo, "b")
	next.Version = 2
	return next
}

// handOverFromAToB returns the hand-over that agent a, which ran movedKey, sends to agent b.
func handOverFromAToB(t *testing.T) attempt.HandOver {
	a := newAgent(t, agentA, oneEntryFleet(openedLongAgo, "a"))
	a.acceptClaim(fullCoverage)
	dispatch := a.keyedDispatch("moved", 1)
	a.dispatch(dispatch)
	a.endRun(dispatch.ID, served)
	a.step(attempt.OwnerFleetChanged{Fleet: movedFleet()})
	a.step(attempt.ReleaseRequestReceived{Request: attempt.ReleaseRequest{Asker: agentB, Service: "s", FleetVersion: 2, Round: 1}})
	return ownerActions[attempt.SendHandOver](a)[0].HandOver
}

// TestKeyRunsOnlyAfterRelease guards against a new owner running a key that the earlier owner may
// still run or may have run: the earlier owner must have released its keys or be removed, and
// either the entries' logs or the release must cover the whole retention.
func TestKeyRunsOnlyAfterRelease(t *testing.T) {
	cases := []struct {
		name     string
		covers   time.Duration
		previous ident.Incarnation
		change   func(*attempt.HandOver)
		removed  bool
		runs     bool
	}{
		{name: "released, logs cover", covers: fullCoverage, change: func(*attempt.HandOver) {}, runs: true},
		{name: "released and complete", covers: time.Second, change: func(*attempt.HandOver) {}, runs: true},
		{name: "not released", covers: fullCoverage},
		{name: "removed, logs cover", covers: fullCoverage, removed: true, runs: true},
		{name: "removed, logs do not cover", covers: time.Second, removed: true},
		{name: "only one key forwarded", covers: fullCoverage, change: func(h *attempt.HandOver) { h.Round = 0 }},
		{name: "another list", covers: fullCoverage, change: func(h *attempt.HandOver) { h.List++ }},
		{name: "an older version", covers: fullCoverage, change: func(h *attempt.HandOver) { h.FleetVersion = 1 }},
		{name: "not complete", covers: time.Second, change: func(h *attempt.HandOver) { h.CompleteFor = 0 }},
		{name: "complete for another list", covers: time.Second, change: func(h *attempt.HandOver) { h.CompleteFor++ }},
		{name: "complete, but b had an earlier incarnation", covers: time.Second, previous: 1, change: func(*attempt.HandOver) {}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			b := newAgent(t, agentB, movedFleet())
			dispatch := b.keyedDispatch("fresh", 1)
			dispatch.FleetVersion = 2
			b.assertReply(b.dispatch(dispatch), attempt.ReplyQueued, outcome.Open, "")
			b.step(attempt.ClaimAnswerReceived{Answer: attempt.ClaimAnswer{
				Entry: entry, Claimant: agentB, Service: "s", Round: 1, Parts: 1, Covers: tc.covers, ClaimsKnownFor: tc.covers,
				Previous: tc.previous, Earlier: []attempt.EarlierList{{VMs: []ident.VM{"a"}, Age: time.Second}},
			}})
			ran := len(ownerActions[attempt.Run](b))
			if tc.removed {
				b.step(attempt.VMsRemoved{VMs: []ident.VM{"a"}})
			} else if tc.change != nil {
				handOver := handOverFromAToB(t)
				tc.change(&handOver)
				b.step(attempt.HandOverReceived{HandOver: handOver})
			}
			b.c.Assert(ran+len(ownerActions[attempt.Run](b)) > 0, qt.Equals, tc.runs)
			b.now = b.now.Add(2 * time.Second)
			b.step(attempt.OwnerTick{})
			b.c.Assert(ownerActions[attempt.Run](b), qt.HasLen, 0)
			if !tc.runs {
				b.assertReply(b.lastReply(), attempt.ReplyNeverStarted, outcome.Unknown, outcome.CauseKeyInDoubt)
			}
		})
	}
}

// TestHandOverCarriesAnswers guards against the loss of an answer when its key moves.
func TestHandOverCarriesAnswers(t *testing.T) {
	b := newAgent(t, agentB, movedFleet())
	b.step(attempt.HandOverReceived{HandOver: handOverFromAToB(t)})
	b.step(attempt.KeyQuestionReceived{Question: attempt.KeyQuestion{RunKey: movedKey}})
	b.c.Assert(ownerActions[attempt.SendKeyAnswer](b)[0].Answer.Status, qt.Equals, attempt.KeyServed)
}

// TestCoverageOfPausedOwnerNeedsEntries guards against a paused agent running a key that another
// incarnation ran during the pause. Only entries that have known every claim since before the
// pause restore the coverage.
func TestCoverageOfPausedOwnerNeedsEntries(t *testing.T) {
	for _, tc := range []struct {
		knows time.Duration
		runs  int
	}{{fullCoverage, 1}, {time.Second, 0}} {
		h := newOwnerHarness(t, nil)
		h.acceptClaim(fullCoverage)
		h.now = h.now.Add(time.Minute)
		h.step(attempt.ClockGap{})
		h.assertReply(h.dispatch(h.keyedDispatch("k", 1)), attempt.ReplyQueued, outcome.Open, "")
		h.step(attempt.ClaimAnswerReceived{Answer: attempt.ClaimAnswer{
			Entry: entry, Claimant: agentA, Service: "s", Round: 2, Parts: 1, Covers: time.Second, ClaimsKnownFor: tc.knows,
		}})
		h.c.Assert(ownerActions[attempt.Run](h), qt.HasLen, tc.runs)
	}
}

// TestStoppedAgentHandsKeysToNextIncarnation guards against a restart of an agent losing its keys,
// against a hand-over counting as complete although another incarnation ran after it, and
// against a second incarnation getting the keys in custody.
func TestStoppedAgentHandsKeysToNextIncarnation(t *testing.T) {
	published := oneEntryFleet(openedLongAgo, "a", "b")
	a := newAgent(t, agentA, published)
	a.acceptClaim(fullCoverage)
	key := ownedByA(published, "k")
	dispatch := a.keyedDispatch(key, 1)
	a.dispatch(dispatch)
	a.endRun(dispatch.ID, served)
	a.step(attempt.OwnerStop{})
	final := ownerActions[attempt.SendHandOver](a)[0].HandOver
	custodian := newAgent(t, agentB, published)
	custodian.step(attempt.HandOverReceived{HandOver: final})
	a.step(attempt.HandOverAckReceived{Ack: ownerActions[attempt.SendHandOverAck](custodian)[0].Ack})
	a.c.Assert(ownerActions[attempt.OwnerStopped](a), qt.HasLen, 1)

	for _, previous := range []ident.Incarnation{agentA.Incarnation, 5} {
		successor := ident.Instance{VM: "a", Incarnation: 9}
		custodian.step(attempt.ReleaseRequestReceived{Request: attempt.ReleaseRequest{Asker: successor, Service: "s", FleetVersion: 1, Round: 1}})
		next := newAgent(t, successor, published)
		next.step(attempt.ClaimAnswerReceived{Answer: attempt.ClaimAnswer{
			Entry: entry, Claimant: successor, Service: "s", Round: 1, Parts: 1, Covers: time.Second, ClaimsKnownFor: time.Second,
			Previous: previous,
		}})
		next.step(attempt.HandOverReceived{HandOver: ownerActions[attempt.SendHandOver](custodian)[0].HandOver})
		next.assertReply(next.dispatch(next.keyedDispatch(key, 1)), attempt.ReplyFinished, outcome.Served, "")
		fresh := next.dispatch(next.keyedDispatch(ownedByA(published, key+"fresh"), 1))
		want := attempt.ReplyQueued
		if previous == agentA.Incarnation {
			want = attempt.ReplyStarted
		}
		next.c.Assert(fresh.State, qt.Equals, want)
	}
	stranger := ident.Instance{VM: "a", Incarnation: 10}
	custodian.step(attempt.ReleaseRequestReceived{Request: attempt.ReleaseRequest{Asker: stranger, Service: "s", FleetVersion: 1, Round: 1}})
	for _, sent := range ownerActions[attempt.SendHandOver](custodian) {
		custodian.c.Assert(sent.HandOver.Custody, qt.IsFalse)
	}
}

// ownedByA appends to the key until agent a owns it.
func ownedByA(published fleet.Fleet, key string) string {
	for attempt.OwnerOf(ident.NewRunKey("c", "s", key), published.Services[0]) != "a" {
		key += "x"
	}
	return key
}

// TestClaimAnswerOfReplacedEntryIsIgnored guards against a key running although a later incarnation
// of an entry, which has not accepted the claim, may dispatch it elsewhere.
func TestClaimAnswerOfReplacedEntryIsIgnored(t *testing.T) {
	published := oneEntryFleet(openedLongAgo, "a")
	published.Entries = append(published.Entries, fleet.EntryVM{VM: peer.VM})
	h := newAgent(t, agentA, published)
	answer := func(from ident.Instance, peers ...ident.Instance) {
		h.step(attempt.ClaimAnswerReceived{Answer: attempt.ClaimAnswer{
			Entry: from, Claimant: agentA, Service: "s", Round: 1, Parts: 1, Covers: fullCoverage, ClaimsKnownFor: fullCoverage, Peers: peers,
		}})
	}
	later := ident.Instance{VM: entry.VM, Incarnation: entry.Incarnation + 1}
	h.dispatch(h.keyedDispatch("k", 1))
	answer(entry)
	answer(peer, later)
	h.c.Assert(ownerActions[attempt.Run](h), qt.HasLen, 0)
	dispatch := h.keyedDispatch("k2", 1)
	dispatch.ID.Entry = later
	answer(later)
	h.c.Assert(h.dispatch(dispatch).State, qt.Equals, attempt.ReplyStarted)
	replaced := h.keyedDispatch("k4", 1)
	replaced.ID.Entry = entry
	h.assertReply(h.dispatch(replaced), attempt.ReplyQueued, outcome.Open, "")
	stranger := h.keyedDispatch("k3", 1)
	stranger.ID.Entry = ident.Instance{VM: entry.VM, Incarnation: entry.Incarnation + 2}
	h.assertReply(h.dispatch(stranger), attempt.ReplyQueued, outcome.Open, "")
}

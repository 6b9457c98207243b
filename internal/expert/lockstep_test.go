package expert

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// allLockstepFaults combines all faults: lost messages, delayed orders and reports, killed and frozen agents, and
// restarts of the group.
var allLockstepFaults = lockstepFaults{
	loss: 0.05, unanswered: 0.3, stale: 0.2, killInterval: 2 * time.Second, freezeInterval: 1500 * time.Millisecond, restartInterval: 15 * time.Second,
}

// faultTime is the duration for which faults are injected.
const faultTime = 30 * time.Second

// TestNoPassUnderTwoMaps checks that all ranks use the same map in each pass, even if messages are lost or delayed and
// agents are killed or frozen. Once the faults end, rollouts must complete again and holds must be short.
func TestNoPassUnderTwoMaps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		ranks := rapid.IntRange(2, 8).Draw(t, "ranks")
		faults := allLockstepFaults
		faults.unanswered = rapid.SampledFrom([]float64{0, 0.1, 0.35}).Draw(t, "late")
		w := newLockstepWorld(seed, ranks, faults)
		w.run(faultTime)
		w.faults = lockstepFaults{}
		// Engines carry out the last delayed orders 12 s after the faults end.
		w.run(14 * time.Second)
		before := w.activatedMaps
		w.longestHold = 0
		w.run(5 * time.Second)
		if w.violation != "" {
			t.Fatalf("ranks use different maps in a pass: %s", w.violation)
		}
		if w.activatedMaps-before < 2 {
			t.Fatalf("%d maps were activated in 5 s without faults", w.activatedMaps-before)
		}
		if w.longestHold > 200*time.Millisecond {
			t.Fatalf("the group was held for %s without faults", w.longestHold)
		}
	})
}

// TestLockstepRegressions runs simulations that failed in the past.
func TestLockstepRegressions(t *testing.T) {
	for _, test := range []struct {
		name       string
		seed       uint64
		ranks      int
		unanswered float64
	}{
		{"a leader waits forever for a switch that an aborted rollout left behind", 6, 3, 0.35},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			faults := allLockstepFaults
			faults.unanswered = test.unanswered
			w := newLockstepWorld(test.seed, test.ranks, faults)
			w.run(faultTime)
			w.faults = lockstepFaults{}
			w.run(14 * time.Second)
			before := w.activatedMaps
			w.run(5 * time.Second)
			c.Assert(w.violation, qt.Equals, "")
			c.Assert(w.activatedMaps-before >= 2, qt.IsTrue)
		})
	}
}

// TestStaleReportDoesNotHideAnArm guards against a claiming leader that overlooks an armed rank. A report that was read
// before the rank was armed, and sent late because its VM was frozen, must not replace the status in the rank's reply to
// the claim.
func TestStaleReportDoesNotHideAnArm(t *testing.T) {
	c := qt.New(t)
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	leader := NewLockstepLeader(at, 1, 3, 1, 0)
	orders := func(actions []LockstepAction) map[int]LockstepOrder {
		found := map[int]LockstepOrder{}
		for _, action := range actions {
			if send, ok := action.(SendLockstepOrder); ok {
				found[int(send.Rank)] = send.Order
			}
		}
		return found
	}
	at = at.Add(2 * time.Second)
	claims := orders(leader.Tick(at))
	c.Assert(claims, qt.HasLen, 3)
	status := func(rank int, armed uint64) RankStatus {
		return RankStatus{Epoch: 1, Rank: ident.Rank(rank), Size: 3, Open: true, Step: 7, Map: 3, Prepared: 4, Armed: armed, ArmedStep: 8, Held: 8 * uint64(1-min(rank, 1))}
	}
	reply := func(rank int, armed uint64) []LockstepAction {
		return leader.ReceiveReply(at, LockstepReply{
			Rank: ident.Rank(rank), Sequence: 99, Result: LockstepAccepted, Status: status(rank, armed), HasStatus: true, Experts: [][]Expert{{0}},
		})
	}
	reply(0, 4)
	reply(1, 4)
	leader.ReceiveStatus(at, status(0, 0))
	// The reply to an order from before the claim must not replace it either.
	leader.ReceiveReply(at, LockstepReply{Rank: 1, Sequence: 0, Result: LockstepUnanswered, Status: status(1, 0), HasStatus: true})
	c.Assert(leader.ranks[1].status.Armed, qt.Equals, uint64(4))
	disarms := orders(reply(2, 0))
	c.Assert(disarms, qt.HasLen, 3)
	for rank, order := range disarms {
		c.Assert([]any{order.Kind, order.Version}, qt.DeepEquals, []any{LockstepDisarm, uint64(4)}, qt.Commentf("rank %d", rank))
	}
}

// TestIgnoredHoldsLeadToDifferingMaps checks that TestNoPassUnderTwoMaps can fail: if engines ignore holds, ranks use
// different maps in a pass.
func TestIgnoredHoldsLeadToDifferingMaps(t *testing.T) {
	c := qt.New(t)
	violations := 0
	for seed := range uint64(20) {
		faults := allLockstepFaults
		faults.holdsIgnored = true
		w := newLockstepWorld(seed, 8, faults)
		w.run(faultTime)
		if w.violation != "" {
			violations++
		}
	}
	c.Assert(violations > 10, qt.IsTrue, qt.Commentf("ranks used different maps in %d of 20 simulations", violations))
}

// TestHeldGroupIsReleasedWithinTwoSeconds kills a leader while it holds the group. Another agent must take over and
// release the group within two seconds.
func TestHeldGroupIsReleasedWithinTwoSeconds(t *testing.T) {
	c := qt.New(t)
	found := 0
	for seed := range uint64(40) {
		w := newLockstepWorld(seed, 8, lockstepFaults{})
		w.run(4 * time.Second)
		for range 400 {
			w.run(2 * time.Millisecond)
			if w.killHoldingLeader() {
				found++
				break
			}
		}
		w.longestHold = 0
		w.run(4 * time.Second)
		c.Assert(w.violation, qt.Equals, "")
		c.Assert(w.longestHold < 2*time.Second, qt.IsTrue, qt.Commentf("seed %d: held for %s", seed, w.longestHold))
	}
	c.Assert(found > 20, qt.IsTrue)
}

// killHoldingLeader permanently kills a leader that holds the group. It reports whether there was one.
func (w *lockstepWorld) killHoldingLeader() bool {
	for rank, agent := range w.agents {
		if agent.leader != nil && agent.leader.Urgent() && w.engines[rank].held != 0 {
			agent.leader = nil
			agent.incarnation++
			return true
		}
	}
	return false
}

// TestUnansweredOrdersDoNotHoldTheGroup guards against long holds while engines leave orders unanswered. The leader must
// then choose a later pass for the switch, so that retries end before the group reaches it. At most 120 ms may pass
// between the tokens of a stream. With 50 ms between passes, a hold of more than 70 ms exceeds that.
func TestUnansweredOrdersDoNotHoldTheGroup(t *testing.T) {
	c := qt.New(t)
	longHolds := 0
	const worlds = 30
	for seed := range uint64(worlds) {
		w := newLockstepWorld(seed, 8, lockstepFaults{unanswered: 0.1})
		w.run(6 * time.Second)
		w.longestHold = 0
		w.run(4 * time.Second)
		c.Assert(w.violation, qt.Equals, "")
		if w.longestHold > 70*time.Millisecond {
			longHolds++
		}
	}
	c.Assert(longHolds <= worlds/3, qt.IsTrue, qt.Commentf("the group was held for over 70 ms in %d of %d simulations", longHolds, worlds))
}

// TestNoClaimBeforeTheGroupForms guards against leaders that are refused within milliseconds, again and again, while the
// engines of a new group start: engines refuse all orders before the first epoch.
func TestNoClaimBeforeTheGroupForms(t *testing.T) {
	c := qt.New(t)
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	leader := NewLockstepLeader(at, 0, 3, 0, 0)
	for range 50 {
		at = at.Add(100 * time.Millisecond)
		leader.ReceiveStatus(at, RankStatus{Rank: 0, Size: 3})
		c.Assert(leader.Tick(at), qt.HasLen, 0)
	}
	leader.ReceiveStatus(at, RankStatus{Epoch: 1, Rank: 0, Size: 3, Open: true})
	at = at.Add(time.Second)
	leader.Tick(at)
	c.Assert(leader.Leading(), qt.IsTrue)
}

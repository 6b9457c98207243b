package expert

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// slowLink returns a link rate, in bytes a second, at which the maps of a simulated group are just relayed.
func slowLink(ranks int) float64 { return 20 * float64(ranks*ranks) }

// TestRelayReachesAllRanks guards against ranks that no other rank passes an order to, or that get it from two.
func TestRelayReachesAllRanks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ranks := rapid.IntRange(2, 200).Draw(t, "ranks")
		leader := ident.Rank(rapid.IntRange(0, ranks-1).Draw(t, "leader"))
		silent := rapid.SliceOfDistinct(rapid.IntRange(0, ranks-1), rapid.ID[int]).Draw(t, "silent")
		unresponsive := map[ident.Rank]bool{}
		for _, rank := range silent {
			unresponsive[ident.Rank(rank)] = true
		}
		relay := newRelay(leader, ranks, 6000, slowLink(2), func(rank ident.Rank) bool { return unresponsive[rank] })
		received := map[ident.Rank]int{leader: 1}
		for queue := []ident.Rank{leader}; len(queue) > 0; queue = queue[1:] {
			children := relay.Children(queue[0])
			if len(children) > relayFanOut {
				t.Fatalf("rank %d has %d children", queue[0], len(children))
			}
			if len(silent) <= ranks/2 && len(children) > 0 && queue[0] != leader && unresponsive[queue[0]] {
				t.Fatalf("unresponsive rank %d has children", queue[0])
			}
			for _, child := range children {
				received[child]++
				queue = append(queue, child)
			}
		}
		for rank := range ranks {
			if received[ident.Rank(rank)] != 1 {
				t.Fatalf("rank %d receives the order %d times", rank, received[ident.Rank(rank)])
			}
		}
	})
}

// TestOnlyLargeOrdersAreRelayed guards against slower maps in groups whose leader reaches all ranks quickly by itself.
func TestOnlyLargeOrdersAreRelayed(t *testing.T) {
	responsive := func(ident.Rank) bool { return false }
	for _, test := range []struct {
		name           string
		ranks, bytes   int
		bytesPerSecond float64
		relayed        bool
	}{
		{"8 ranks, 20 Mbit/s", 8, 6 * 8 * 10, 2.5e6, false},
		{"12 ranks, 20 Mbit/s", 12, 3 * 12 * 10, 2.5e6, false},
		{"24 ranks, 8 Mbit/s", 24, 16 * 24 * 6, 1e6, false},
		{"32 ranks, 8 Mbit/s", 32, 12 * 32 * 6, 1e6, false},
		{"96 ranks, 6 Mbit/s", 96, 16 * 96 * 4, 0.75e6, true},
		{"rate unknown", 96, 16 * 96 * 4, 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			relay := newRelay(0, test.ranks, test.bytes, test.bytesPerSecond, responsive)
			qt.New(t).Assert(relay != nil, qt.Equals, test.relayed)
		})
	}
}

// TestRelayFilter guards against orders that circulate: an agent passes each order on once, and none of a leader that a
// newer one has replaced, such as one whose VM was frozen.
func TestRelayFilter(t *testing.T) {
	c := qt.New(t)
	relay := newRelay(0, 30, 6000, slowLink(30), func(ident.Rank) bool { return false })
	var filter RelayFilter
	targets := func(epoch, fence, version, greatestFence uint64) int {
		return len(filter.Targets(1, greatestFence, &LockstepOrder{Kind: LockstepPrepare, Epoch: epoch, Fence: fence, Version: version}, relay))
	}
	c.Assert(targets(1, 10, 11, 10), qt.Equals, relayFanOut)
	c.Assert(targets(1, 10, 11, 10), qt.Equals, 0, qt.Commentf("a second copy"))
	c.Assert(targets(1, 10, 12, 10), qt.Equals, relayFanOut, qt.Commentf("the next map"))
	c.Assert(targets(1, 10, 11, 10), qt.Equals, 0, qt.Commentf("the former map, late"))
	c.Assert(targets(1, 20, 21, 20), qt.Equals, relayFanOut, qt.Commentf("the next leader"))
	c.Assert(targets(1, 10, 13, 20), qt.Equals, 0, qt.Commentf("the former leader"))
	c.Assert(targets(2, 5, 6, 0), qt.Equals, relayFanOut, qt.Commentf("the next epoch"))
}

// TestNoPassUnderTwoMapsWithRelays checks the same as TestNoPassUnderTwoMaps in larger groups whose maps are relayed, with
// relays that are lost, killed, frozen and replaced, and orders that reach a rank from two agents or late.
func TestNoPassUnderTwoMapsWithRelays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		ranks := rapid.IntRange(6, 24).Draw(t, "ranks")
		faults := allLockstepFaults
		faults.unanswered = rapid.SampledFrom([]float64{0, 0.1, 0.35}).Draw(t, "late")
		faults.relayLoss = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "relay loss")
		w := newLockstepWorldWithLinks(seed, ranks, faults, slowLink(ranks))
		w.run(faultTime / 2)
		w.faults = lockstepFaults{}
		w.run(14 * time.Second)
		before := w.activatedMaps
		w.longestHold = 0
		w.run(5 * time.Second)
		if w.violation != "" {
			t.Fatalf("ranks use different maps in a pass: %s", w.violation)
		}
		if w.relayed == 0 {
			t.Fatal("no order was relayed")
		}
		if w.activatedMaps-before < 2 {
			t.Fatalf("%d maps were activated in 5 s without faults", w.activatedMaps-before)
		}
		if w.longestHold > 200*time.Millisecond {
			t.Fatalf("the group was held for %s without faults", w.longestHold)
		}
	})
}

// TestLostRelaysDelayAMapOnly guards against rollouts that fail because an agent that should pass the map on is down: the
// ranks below it get the map from the leader.
func TestLostRelaysDelayAMapOnly(t *testing.T) {
	c := qt.New(t)
	const seconds = 6
	for seed := range uint64(10) {
		w := newLockstepWorldWithLinks(seed, 24, lockstepFaults{}, slowLink(24))
		w.run(2 * time.Second)
		for rank, agent := range w.agents {
			if rank%6 == 1 && !agent.leader.Leading() {
				agent.leader = nil
				agent.incarnation++
			}
		}
		w.run(2 * time.Second)
		before := w.activatedMaps
		w.run(seconds * time.Second)
		c.Assert(w.violation, qt.Equals, "")
		c.Assert(w.activatedMaps-before >= seconds/2, qt.IsTrue, qt.Commentf("seed %d: %d maps in %d s", seed, w.activatedMaps-before, seconds))
	}
}

// The duration of a rollout must not grow with the group, as it does where the leader sends the map to each rank.
func TestLeaderSendsFewCopiesOfARelayedMap(t *testing.T) {
	c := qt.New(t)
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	const ranks = 96
	leader := NewLockstepLeader(at, 0, ranks, 1, 0.75e6)
	at = at.Add(time.Second)
	leader.Tick(at)
	placement := make([][]Expert, 16)
	for layer := range placement {
		placement[layer] = []Expert{1, 2}
	}
	for rank := range ranks {
		leader.ReceiveReply(at, LockstepReply{
			Rank: ident.Rank(rank), Sequence: 1 + uint64(rank), Result: LockstepAccepted, HasStatus: true, Experts: placement,
			Status: RankStatus{Epoch: 1, Rank: ident.Rank(rank), Size: ranks, Open: true, Step: 7},
		})
	}
	c.Assert(leader.Ready(), qt.IsTrue)
	copies := 0
	for _, action := range leader.Propose(at, leader.Placement()) {
		if send, ok := action.(SendLockstepOrder); ok && send.Rank != 0 {
			c.Assert(send.Relay, qt.IsNotNil)
			copies++
		}
	}
	c.Assert(copies, qt.Equals, relayFanOut)
	at = at.Add(time.Second)
	copies = 0
	for _, action := range leader.Tick(at) {
		if _, ok := action.(SendLockstepOrder); ok {
			copies++
		}
	}
	c.Assert(copies <= relayFanOut, qt.IsTrue, qt.Commentf("%d copies in a tick after no reply at all", copies))
}

package expert

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// endTime bounds how long a healthy group takes to elect, form and roll out.
const endTime = 20 * time.Second

func TestGroupFormsAndRollsOut(t *testing.T) {
	c := qt.New(t)
	w := newWorld(3, 2)
	w.heal()
	w.run(5 * time.Second)
	leader := w.ready()
	c.Assert(leader, qt.IsNotNil)
	w.act(leader, leader.leader.Step(w.now, Propose{Map: w.otherMap(1)}))
	w.run(5 * time.Second)
	c.Assert(w.fault, qt.Equals, "")
	last := w.ended[len(w.ended)-1]
	c.Assert(last.Result, qt.Equals, RolloutDone)
	for _, n := range w.nodes {
		c.Assert(n.member.Gate().Active(), qt.Equals, Activation{Version: last.Version, Step: last.Step})
	}
}

// fault draws one event of a faulty network and fleet.
func (w *world) disturb(t *rapid.T) {
	n := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")]
	switch rapid.IntRange(0, 39).Draw(t, "event") {
	case 0:
		n.paused = !n.paused
	case 1:
		w.elect(n, !n.elected)
	case 2:
		i := rapid.IntRange(0, len(w.nodes)-1).Draw(t, "restart")
		w.restartAgent(i, rapid.Bool().Draw(t, "keepEngine"))
	case 3:
		if len(w.nodes) < 8 {
			w.replace(rapid.IntRange(0, len(w.nodes)-1).Draw(t, "replace"))
		}
	case 4:
		w.restartEngine(n)
	case 5, 6:
		w.publish(n)
	case 7:
		w.finishLoad(n, false)
	case 8, 9, 10:
		w.advance(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
	case 11, 12:
		if ready := w.ready(); ready != nil {
			w.act(ready, ready.leader.Step(w.now, Propose{Map: w.otherMap(rapid.IntRange(0, 9).Draw(t, "map"))}))
		}
	case 13, 14, 15, 16:
		w.finishLoad(n, true)
	case 17, 18, 19, 20, 21:
		for _, rank := range n.ranks {
			w.request(n, rank)
		}
	case 22:
		w.run(time.Duration(rapid.IntRange(50, 1500).Draw(t, "calm")) * time.Millisecond)
	default:
		w.deliverOne(t)
	}
}

func (w *world) deliverOne(t *rapid.T) {
	if len(w.network) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.network)-1).Draw(t, "message")
	message := w.network[i]
	fate := rapid.IntRange(0, 9).Draw(t, "fate")
	if fate != 0 {
		w.network = append(w.network[:i:i], w.network[i+1:]...)
	}
	if fate != 1 {
		w.deliver(message)
	}
}

// TestOneMapInEachStep checks that all ranks use one map in each step, whatever is lost,
// late, doubled, paused, restarted or replaced, and that rollouts go on once faults end.
func TestOneMapInEachStep(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.IntRange(2, 3).Draw(t, "agents"), rapid.IntRange(1, 2).Draw(t, "ranks"))
		if rapid.Bool().Draw(t, "calm start") {
			w.heal()
			w.run(3 * time.Second)
		}
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			w.disturb(t)
			if w.fault != "" {
				t.Fatal(w.fault)
			}
		}
		w.checkRecovery(t)
	})
}

func (w *world) checkRecovery(t interface {
	Fatal(args ...any)
	Fatalf(format string, args ...any)
},
) {
	w.heal()
	w.run(time.Second)
	ended := len(w.ended)
	w.runUntil(endTime, func() bool {
		if leader := w.ready(); leader != nil {
			w.act(leader, leader.leader.Step(w.now, Propose{Map: w.otherMap(5)}))
		}
		return w.proposalDone(ended)
	})
	if !w.proposalDone(ended) {
		t.Fatalf("no rollout was done %s after the faults ended: %+v", endTime, w.ended[ended:])
	}
	before := w.nodes[0].member.Gate().Started()
	w.run(time.Second)
	if w.fault != "" {
		t.Fatal(w.fault)
	}
	for _, n := range w.nodes {
		if n.member.Gate().Started() <= before {
			t.Fatalf("%s started no step after the faults ended", n.vm)
		}
		if n.member.Gate().Active().Version != w.ended[len(w.ended)-1].Version {
			t.Fatalf("%s uses %s, not the map rolled out last", n.vm, n.member.Gate().Active().Version)
		}
	}
}

// proposalDone reports whether the last rollout to end, after the first ones, was a proposal.
func (w *world) proposalDone(first int) bool {
	if len(w.ended) <= first {
		return false
	}
	last := w.ended[len(w.ended)-1]
	return last.Result == RolloutDone && !last.Forming
}

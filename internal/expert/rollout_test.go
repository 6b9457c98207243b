package expert

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// completionTimeout is the duration within which a group without faults elects a leader, forms a
// generation and completes a rollout.
const completionTimeout = 20 * time.Second

func TestGroupFormsAndRollsOut(t *testing.T) {
	c := qt.New(t)
	w := newWorld(3, 2)
	w.endFaults()
	w.run(5 * time.Second)
	leader := w.ready()
	c.Assert(leader, qt.IsNotNil)
	w.perform(leader, leader.leader.Step(w.now, Propose{Map: w.otherMap(1)}))
	w.run(5 * time.Second)
	c.Assert(w.violation, qt.Equals, "")
	last := w.ended[len(w.ended)-1]
	c.Assert(last.Result, qt.Equals, RolloutDone)
	for _, n := range w.nodes {
		c.Assert(n.member.Gate().Active(), qt.Equals, Activation{Version: last.Version, Step: last.Step})
	}
}

// applyRandomEvent draws and applies one random event: a fault, a proposal, a load, a step
// request, a message delivery or the passing of time.
func (w *world) applyRandomEvent(t *rapid.T) {
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
			w.perform(ready, ready.leader.Step(w.now, Propose{Map: w.otherMap(rapid.IntRange(0, 9).Draw(t, "map"))}))
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
	outcome := rapid.IntRange(0, 9).Draw(t, "fate")
	if outcome != 0 {
		w.network = append(w.network[:i:i], w.network[i+1:]...)
	}
	if outcome != 1 {
		w.deliver(message)
	}
}

// TestOneMapInEachStep checks that all ranks use the same map in each step, even if messages
// are lost, delayed or duplicated and agents are paused, restarted or replaced. Once the
// faults end, rollouts must complete again.
func TestOneMapInEachStep(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.IntRange(2, 3).Draw(t, "agents"), rapid.IntRange(1, 2).Draw(t, "ranks"))
		if rapid.Bool().Draw(t, "calm start") {
			w.endFaults()
			w.run(3 * time.Second)
		}
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			w.applyRandomEvent(t)
			if w.violation != "" {
				t.Fatal(w.violation)
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
	w.endFaults()
	w.run(time.Second)
	ended := len(w.ended)
	w.runUntil(completionTimeout, func() bool {
		if leader := w.ready(); leader != nil {
			w.perform(leader, leader.leader.Step(w.now, Propose{Map: w.otherMap(5)}))
		}
		return w.proposalDone(ended)
	})
	if !w.proposalDone(ended) {
		t.Fatalf("no rollout completed within %s after the faults ended: %+v", completionTimeout, w.ended[ended:])
	}
	before := w.nodes[0].member.Gate().Started()
	w.run(time.Second)
	if w.violation != "" {
		t.Fatal(w.violation)
	}
	for _, n := range w.nodes {
		if n.member.Gate().Started() <= before {
			t.Fatalf("%s started no step after the faults ended", n.vm)
		}
		if n.member.Gate().Active().Version != w.ended[len(w.ended)-1].Version {
			t.Fatalf("%s uses map %s, which is not that of the last rollout", n.vm, n.member.Gate().Active().Version)
		}
	}
}

// proposalDone reports whether the last ended rollout completed a proposal. The first skip
// elements of w.ended do not count.
func (w *world) proposalDone(skip int) bool {
	if len(w.ended) <= skip {
		return false
	}
	last := w.ended[len(w.ended)-1]
	return last.Result == RolloutDone && !last.Forming
}

package expert

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// deliverFirst delivers the oldest message, or advances the clock if there is none. It then
// completes a load at each agent and requests the ranks' next steps.
func (w *world) deliverFirst() {
	if len(w.network) > 0 {
		message := w.network[0]
		w.network = w.network[1:]
		w.deliver(message)
	} else {
		w.advance(300 * time.Millisecond)
	}
	for _, n := range w.nodes {
		w.finishLoad(n, true)
		for _, rank := range n.ranks {
			w.request(n, rank)
		}
	}
}

// withholdMessages removes the messages of a leader from the network and returns them.
func (w *world) withholdMessages(leader *node) []Send {
	var kept, withheld []Send
	for _, message := range w.network {
		if leaderOf(message.Message) == leader.self {
			withheld = append(withheld, message)
		} else {
			kept = append(kept, message)
		}
	}
	w.network = kept
	return withheld
}

// midRollout returns a group during the rollout of a map, after a number of deliveries, and
// its leader.
func midRollout(c *qt.C, deliveries int) (*world, *node) {
	w := newWorld(3, 1)
	w.endFaults()
	w.run(3 * time.Second)
	leader := w.ready()
	c.Assert(leader, qt.IsNotNil)
	w.perform(leader, leader.leader.Step(w.now, Propose{Map: w.otherMap(1)}))
	for range deliveries {
		w.deliverFirst()
	}
	return w, leader
}

// pointsOfRollout is the number of deliveries after which a rollout in a group of three
// agents has ended.
const pointsOfRollout = 26

// pointsOfTakeover is the number of deliveries from a new leader's claim to the end of the
// rollout that it takes over.
const pointsOfTakeover = 14

// TestLeaderChangesAtEachPoint guards against messages of a former leader changing the
// rollout of its successor. It pauses the leader at each point of a rollout and elects
// another one. At each point of the takeover it delivers messages that the former leader sent
// before. At the odd points, the former leader runs again from the first delivery of the
// takeover on; at the others it stays paused until its old messages have been delivered.
func TestLeaderChangesAtEachPoint(t *testing.T) {
	for point := range pointsOfRollout {
		for later := range pointsOfTakeover {
			for k := range 2 {
				changeLeaderAt(qt.New(t), point, later, (point+later+k)%3)
			}
		}
	}
}

// changeLeaderAt tests one point of the rollout and one point, later, of the takeover. Of the
// former leader's withheld messages, it delivers those to the agent with index receiver.
func changeLeaderAt(c *qt.C, point, later, receiver int) {
	comment := qt.Commentf("leader paused after %d deliveries, its old messages delivered after %d more, to vm%d", point, later, receiver)
	w, old := midRollout(c, point)
	withheld := w.withholdMessages(old)
	old.paused = true
	var successor *node
	for _, n := range w.nodes {
		if n != old {
			successor = n
		}
	}
	w.elect(successor, true)
	for range later {
		w.deliverFirst()
		old.paused = later%2 == 0
	}
	for _, message := range withheld {
		if message.To == w.nodes[receiver].vm {
			w.deliver(message)
		}
	}
	old.paused = false
	for range pointsOfTakeover {
		w.deliverFirst()
	}
	c.Assert(w.violation, qt.Equals, "", comment)
	w.checkRecovery(commentedFailer{c, comment})
}

// TestMemberFailsAtEachPoint checks that a group recovers if an agent or an engine restarts,
// or a VM is replaced, at any point of a rollout.
func TestMemberFailsAtEachPoint(t *testing.T) {
	failures := []struct {
		name string
		fail func(w *world, i int)
	}{
		{"agent restarts, engine keeps running", func(w *world, i int) { w.restartAgent(i, true) }},
		{"agent and engine restart", func(w *world, i int) { w.restartAgent(i, false) }},
		{"engine restarts", func(w *world, i int) { w.restartEngine(w.nodes[i]) }},
		{"VM is replaced, the old one keeps running", func(w *world, i int) { w.replace(i) }},
	}
	for _, failure := range failures {
		t.Run(failure.name, func(t *testing.T) {
			c := qt.New(t)
			for point := range pointsOfRollout {
				for i := range 3 {
					w, _ := midRollout(c, point)
					failure.fail(w, i)
					for range pointsOfRollout {
						w.deliverFirst()
					}
					comment := qt.Commentf("vm%d after %d deliveries", i, point)
					c.Assert(w.violation, qt.Equals, "", comment)
					w.checkRecovery(commentedFailer{c, comment})
				}
			}
		})
	}
}

// commentedFailer reports test failures with a comment in front.
type commentedFailer struct {
	c       *qt.C
	comment qt.Comment
}

func (f commentedFailer) Fatal(args ...any) { f.Fatalf("%s", fmt.Sprint(args...)) }

func (f commentedFailer) Fatalf(format string, args ...any) {
	f.c.Fatalf("%s: %s", f.comment.String(), fmt.Sprintf(format, args...))
}

// leaderOf returns the leader that sent a message, or zero if no leader sent it.
func leaderOf(message Message) ident.Instance {
	switch m := message.(type) {
	case Claim:
		return m.Header.Epoch.Leader
	case Heartbeat:
		return m.Header.Epoch.Leader
	case Prepare:
		return m.Header.Epoch.Leader
	case Hold:
		return m.Header.Epoch.Leader
	case Activate:
		return m.Header.Epoch.Leader
	case Abort:
		return m.Header.Epoch.Leader
	default:
		return ident.Instance{}
	}
}

// TestEngineRestartsWhileAGenerationForms restarts the engine of an agent that has joined a
// generation while the other agents have not yet received Activate. The leader must form
// another generation instead of waiting for that agent.
func TestEngineRestartsWhileAGenerationForms(t *testing.T) {
	c := qt.New(t)
	w := newWorld(3, 1)
	w.endFaults()
	activating := func() bool {
		return slices.ContainsFunc(w.nodes, func(n *node) bool { return n.leader.state == leaderActivating })
	}
	w.runUntil(completionTimeout, activating)
	c.Assert(activating(), qt.IsTrue)
	first := slices.IndexFunc(w.network, func(s Send) bool { _, ok := s.Message.(Activate); return ok })
	message := w.network[first]
	w.network = slices.Delete(w.network, first, first+1)
	w.deliver(message)
	for _, n := range w.nodes {
		if n.vm == message.To {
			c.Assert(n.member.Gate().Generation().IsZero(), qt.IsFalse)
			w.restartEngine(n)
		}
	}
	w.run(completionTimeout)
	c.Assert(w.violation, qt.Equals, "")
	c.Assert(w.ready(), qt.IsNotNil)
}

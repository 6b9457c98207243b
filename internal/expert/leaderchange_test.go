package expert

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// deliverFirst hands over the oldest message, lets ranks ask for steps and loads finish.
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

// stash takes the messages of a leader off the network.
func (w *world) stash(leader *node) []Send {
	var kept, stashed []Send
	for _, message := range w.network {
		if leaderOf(message.Message) == leader.self {
			stashed = append(stashed, message)
		} else {
			kept = append(kept, message)
		}
	}
	w.network = kept
	return stashed
}

// midRollout returns a group whose leader rolls a map out, after some deliveries.
func midRollout(c *qt.C, deliveries int) (*world, *node) {
	w := newWorld(3, 1)
	w.heal()
	w.run(3 * time.Second)
	leader := w.ready()
	c.Assert(leader, qt.IsNotNil)
	w.act(leader, leader.leader.Step(w.now, Propose{Map: w.otherMap(1)}))
	for range deliveries {
		w.deliverFirst()
	}
	return w, leader
}

// pointsOfRollout covers all deliveries from a proposal to its end in a group of three.
const pointsOfRollout = 26

// pointsOfTakeover covers the deliveries from a claim to the end of what it finds.
const pointsOfTakeover = 14

// TestLeaderChangesAtEachPoint pauses the leader at each point of a rollout, lets
// another one take over, and delivers what the old one had sent, and wakes it, at each
// point of the takeover.
func TestLeaderChangesAtEachPoint(t *testing.T) {
	for point := range pointsOfRollout {
		for later := range pointsOfTakeover {
			for k := range 2 {
				changeLeaderAt(qt.New(t), point, later, (point+later+k)%3)
			}
		}
	}
}

func changeLeaderAt(c *qt.C, point, later, reached int) {
	comment := qt.Commentf("paused after %d deliveries, awake after %d, reaching vm%d", point, later, reached)
	w, old := midRollout(c, point)
	stashed := w.stash(old)
	old.paused = true
	var heir *node
	for _, n := range w.nodes {
		if n != old {
			heir = n
		}
	}
	w.elect(heir, true)
	for range later {
		w.deliverFirst()
		old.paused = later%2 == 0
	}
	for _, message := range stashed {
		if message.To == w.nodes[reached].vm {
			w.deliver(message)
		}
	}
	old.paused = false
	for range pointsOfTakeover {
		w.deliverFirst()
	}
	c.Assert(w.fault, qt.Equals, "", comment)
	w.checkRecovery(failer{c, comment})
}

// TestMemberFailsAtEachPoint restarts or replaces each agent or engine at each point.
func TestMemberFailsAtEachPoint(t *testing.T) {
	failures := []struct {
		name string
		fail func(w *world, i int)
	}{
		{"agent restarts, engine lives", func(w *world, i int) { w.restartAgent(i, true) }},
		{"agent and engine restart", func(w *world, i int) { w.restartAgent(i, false) }},
		{"engine restarts", func(w *world, i int) { w.restartEngine(w.nodes[i]) }},
		{"VM is replaced, the old one lives on", func(w *world, i int) { w.replace(i) }},
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
					c.Assert(w.fault, qt.Equals, "", comment)
					w.checkRecovery(failer{c, comment})
				}
			}
		})
	}
}

// failer reports failures with a comment.
type failer struct {
	c       *qt.C
	comment qt.Comment
}

func (f failer) Fatal(args ...any) { f.Fatalf("%s", fmt.Sprint(args...)) }

func (f failer) Fatalf(format string, args ...any) {
	f.c.Fatalf("%s: %s", f.comment.String(), fmt.Sprintf(format, args...))
}

// leaderOf returns the leader that sent a message; zero for other messages.
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

// TestEngineRestartsWhileAGenerationForms restarts the engine of an agent that joined a
// generation before the others were told to: the leader must form another one.
func TestEngineRestartsWhileAGenerationForms(t *testing.T) {
	c := qt.New(t)
	w := newWorld(3, 1)
	w.heal()
	activating := func() bool {
		return slices.ContainsFunc(w.nodes, func(n *node) bool { return n.leader.state == leaderActivating })
	}
	w.runUntil(endTime, activating)
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
	w.run(endTime)
	c.Assert(w.fault, qt.Equals, "")
	c.Assert(w.ready(), qt.IsNotNil)
}

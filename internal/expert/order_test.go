package expert

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// slowEngine simulates an engine that may execute an order long after it was sent, but
// within the order's lifetime. It records the orders that took effect.
type slowEngine struct {
	honoursFencing bool
	lifetime       time.Duration
	state          EngineState
	inFlight       []inFlightOrder
	executed       []int
	runs           int
}

type inFlightOrder struct {
	number uint64
	order  Order
	sentAt time.Time
	serial int
	agent  uint64
}

func (e *slowEngine) execute(i int) OrderAnswered {
	f := e.inFlight[i]
	e.inFlight = append(e.inFlight[:i:i], e.inFlight[i+1:]...)
	if e.honoursFencing && f.number <= e.state.GreatestFence {
		return OrderAnswered{Number: f.number, Answer: AnswerStale, GreatestFence: e.state.GreatestFence}
	}
	if e.honoursFencing {
		e.state.GreatestFence = f.number
	}
	e.state.Model, e.state.Revision = f.order.Model, f.order.Revision
	e.executed = append(e.executed, f.serial)
	return OrderAnswered{Number: f.number, Answer: AnswerDone}
}

// expire drops orders whose lifetime has ended.
func (e *slowEngine) expire(now time.Time) {
	kept := e.inFlight[:0:0]
	for _, f := range e.inFlight {
		if e.honoursFencing || now.Before(f.sentAt.Add(e.lifetime)) {
			kept = append(kept, f)
		}
	}
	e.inFlight = kept
}

func (e *slowEngine) restart() {
	e.runs++
	e.state = EngineState{Boot: fmt.Sprint("run", e.runs)}
	e.inFlight = nil
	e.executed = nil
}

// orderWorld simulates an engine and the agent that issues orders to it.
type orderWorld struct {
	now    time.Time
	engine *slowEngine
	issuer *OrderIssuer
	reads  []uint64
	serial int
	agents uint64
	// unsent holds the orders that the client has not written yet, cancelled the fencing
	// numbers of the orders that it has yet to cancel.
	unsent    []inFlightOrder
	cancelled []uint64
}

// testLifetime is the lifetime of orders in these tests.
const testLifetime = time.Minute

func newOrderWorld(honours bool) *orderWorld {
	w := &orderWorld{now: time.Unix(1_700_000_000, 0), engine: &slowEngine{honoursFencing: honours, lifetime: testLifetime}}
	w.engine.restart()
	w.restartAgent()
	return w
}

func (w *orderWorld) restartAgent() {
	w.agents++
	w.reads, w.unsent, w.cancelled = nil, nil, nil
	issuer, err := NewOrderIssuer(w.now, OrderConfig{Issuer: 7, HonoursFencing: w.engine.honoursFencing, Lifetime: testLifetime})
	if err != nil {
		panic(err)
	}
	w.issuer = issuer
}

func (w *orderWorld) step(event Event) {
	for _, action := range w.issuer.Step(w.now, event) {
		switch a := action.(type) {
		case SendOrder:
			w.serial++
			w.unsent = append(w.unsent, inFlightOrder{number: a.Number, order: a.Order, serial: w.serial, agent: w.agents})
		case CancelOrder:
			w.cancelled = append(w.cancelled, a.Number)
		case ReadEngine:
			w.reads = append(w.reads, a.Request)
		}
	}
}

// execute makes the engine execute an order. The answer is delivered only if the agent that
// sent the order is still running.
func (w *orderWorld) execute(i int, answered bool) {
	agent := w.engine.inFlight[i].agent
	answer := w.engine.execute(i)
	if answered && agent == w.agents {
		w.step(answer)
	}
}

// write makes the client write its unsent orders. Until then they stay unsent, as if the
// client process were paused.
func (w *orderWorld) write() {
	for _, f := range w.unsent {
		f.sentAt = w.now
		w.engine.inFlight = append(w.engine.inFlight, f)
	}
	w.unsent = nil
}

// cancel makes the client process the pending cancellations.
func (w *orderWorld) cancel() {
	cancelled := w.cancelled
	w.cancelled = nil
	for _, number := range cancelled {
		answer := AnswerNone
		for i, f := range w.unsent {
			if f.number == number {
				w.unsent = append(w.unsent[:i:i], w.unsent[i+1:]...)
				answer = AnswerNotSent
				break
			}
		}
		w.step(OrderAnswered{Number: number, Answer: answer})
	}
}

func (w *orderWorld) advance(d time.Duration) {
	w.now = w.now.Add(d)
	w.engine.expire(w.now)
	w.step(Tick{})
}

func (w *orderWorld) read(failed bool) {
	if len(w.reads) == 0 {
		return
	}
	request := w.reads[0]
	w.reads = w.reads[1:]
	w.step(EngineRead{Request: request, State: w.engine.state, Failed: failed})
}

func (w *orderWorld) requestRevision(revision int) {
	w.step(OrderRequested{Order: Order{Kind: OrderLoadModel, Model: "m", Revision: fmt.Sprint(revision)}})
}

// outOfOrder reports whether an order took effect after one that was issued later.
func (w *orderWorld) outOfOrder() bool {
	for i := 1; i < len(w.engine.executed); i++ {
		if w.engine.executed[i] < w.engine.executed[i-1] {
			return true
		}
	}
	return false
}

// applyRandomEvent draws and applies one random event: a new order, the client writing or
// cancelling orders, the engine executing an order, an unanswered order, a read, the passing
// of time, or a restart.
func (w *orderWorld) applyRandomEvent(t *rapid.T) {
	switch rapid.IntRange(0, 16).Draw(t, "event") {
	case 0, 1, 2:
		w.requestRevision(rapid.IntRange(0, 3).Draw(t, "revision"))
	case 3, 4, 5:
		if n := len(w.engine.inFlight); n > 0 {
			w.execute(rapid.IntRange(0, n-1).Draw(t, "order"), rapid.Bool().Draw(t, "answered"))
		}
	case 6:
		if len(w.unsent) == 0 {
			w.step(OrderAnswered{Number: w.issuer.fencingNumber, Answer: AnswerNone})
		}
	case 14, 15:
		w.write()
	case 16:
		w.cancel()
	case 7, 8, 9:
		w.read(rapid.IntRange(0, 3).Draw(t, "read fails") == 0)
	case 10, 11:
		w.advance(time.Duration(rapid.IntRange(1, 40_000).Draw(t, "ms")) * time.Millisecond)
	case 12:
		w.restartAgent()
	case 13:
		if rapid.IntRange(0, 4).Draw(t, "engine restarts") == 0 {
			w.engine.restart()
		}
	}
}

// TestNoOrderTakesEffectAfterANewerOne checks the order of effects while orders are delayed
// or unanswered and agents and engines restart, with engines that honour fencing numbers and
// engines that ignore them.
func TestNoOrderTakesEffectAfterANewerOne(t *testing.T) {
	for _, honours := range []bool{true, false} {
		t.Run(fmt.Sprintf("honours fencing %t", honours), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				w := newOrderWorld(honours)
				for range rapid.IntRange(1, 80).Draw(t, "events") {
					w.applyRandomEvent(t)
					if w.outOfOrder() {
						t.Fatalf("orders took effect out of order: %v", w.engine.executed)
					}
				}
				w.checkLastOrderTakesEffect(t)
			})
		})
	}
}

// checkLastOrderTakesEffect issues an order and checks that it takes effect within a bounded
// time while the engine answers.
func (w *orderWorld) checkLastOrderTakesEffect(t *rapid.T) {
	w.requestRevision(99)
	for elapsed := time.Duration(0); elapsed < 4*testLifetime; elapsed += time.Second {
		w.write()
		w.cancel()
		for len(w.engine.inFlight) > 0 {
			w.execute(0, true)
		}
		w.read(false)
		w.advance(time.Second)
	}
	if w.engine.state.Revision != "99" || !w.issuer.Idle() {
		t.Fatalf("the last order did not take effect: state %q, revision %s", w.issuer.State(), w.engine.state.Revision)
	}
	if w.outOfOrder() {
		t.Fatalf("orders took effect out of order: %v", w.engine.executed)
	}
}

// TestUnansweredOrderBlocksNextUntilEffectIsRead checks that the next order is not sent
// while the previous one is unanswered and the engine's state does not show its effect.
func TestUnansweredOrderBlocksNextUntilEffectIsRead(t *testing.T) {
	c := qt.New(t)
	w := newOrderWorld(false)
	w.advance(testLifetime)
	w.requestRevision(1)
	w.read(false)
	w.write()
	c.Assert(w.engine.inFlight, qt.HasLen, 1)
	w.step(OrderAnswered{Number: w.issuer.fencingNumber, Answer: AnswerNone})
	w.requestRevision(2)
	w.advance(time.Second)
	w.read(false)
	c.Assert(w.engine.inFlight, qt.HasLen, 1, qt.Commentf("the second order must wait"))
	w.engine.execute(0)
	for range 5 {
		w.advance(time.Second)
		w.read(false)
		w.write()
	}
	c.Assert(w.engine.inFlight, qt.HasLen, 1)
	c.Assert(w.engine.inFlight[0].order.Revision, qt.Equals, "2")
}

// TestNegativeLifetimeWaitsForEngineRestart checks that an issuer with a negative lifetime
// sends no order until the engine has restarted.
func TestNegativeLifetimeWaitsForEngineRestart(t *testing.T) {
	c := qt.New(t)
	w := newOrderWorld(false)
	issuer, err := NewOrderIssuer(w.now, OrderConfig{Lifetime: -1})
	c.Assert(err, qt.IsNil)
	w.issuer = issuer
	w.requestRevision(1)
	for range 300 {
		w.advance(time.Second)
		w.read(false)
	}
	c.Assert(w.engine.inFlight, qt.HasLen, 0)
	w.engine.restart()
	for range 3 {
		w.advance(time.Second)
		w.read(false)
		w.write()
	}
	c.Assert(w.engine.inFlight, qt.HasLen, 1)
}

// TestUnwrittenOrderBlocksNextOrder guards against an order that a paused client writes after
// its lifetime seems to have ended. The lifetime must start only when the client has reported
// the result of the cancelled order.
func TestUnwrittenOrderBlocksNextOrder(t *testing.T) {
	c := qt.New(t)
	w := newOrderWorld(false)
	w.advance(testLifetime)
	w.requestRevision(1)
	w.read(false)
	c.Assert(w.unsent, qt.HasLen, 1)
	w.requestRevision(2)
	for range 10 {
		w.advance(testLifetime)
		w.read(false)
	}
	c.Assert(w.unsent, qt.HasLen, 1, qt.Commentf("a second order was sent"))
	c.Assert(w.cancelled, qt.HasLen, 1)
	w.cancel()
	for range 5 {
		w.advance(time.Second)
		w.read(false)
	}
	c.Assert(w.unsent, qt.HasLen, 1)
	c.Assert(w.unsent[0].order.Revision, qt.Equals, "2")
}

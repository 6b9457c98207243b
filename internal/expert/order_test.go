package expert

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// slowEngine is a stand-in that may execute an order long after it was sent, but within
// its lifetime. It records the orders that took effect.
type slowEngine struct {
	honours  bool
	lifetime time.Duration
	state    EngineState
	inFlight []flight
	effects  []int
	runs     int
}

type flight struct {
	number uint64
	order  Order
	sentAt time.Time
	serial int
	agent  uint64
}

func (e *slowEngine) execute(i int) OrderAnswered {
	f := e.inFlight[i]
	e.inFlight = append(e.inFlight[:i:i], e.inFlight[i+1:]...)
	if e.honours && f.number <= e.state.Greatest {
		return OrderAnswered{Number: f.number, Answer: AnswerStale, Greatest: e.state.Greatest}
	}
	if e.honours {
		e.state.Greatest = f.number
	}
	e.state.Model, e.state.Revision = f.order.Model, f.order.Revision
	e.effects = append(e.effects, f.serial)
	return OrderAnswered{Number: f.number, Answer: AnswerDone}
}

// expire drops orders whose lifetime ended.
func (e *slowEngine) expire(now time.Time) {
	kept := e.inFlight[:0:0]
	for _, f := range e.inFlight {
		if e.honours || now.Before(f.sentAt.Add(e.lifetime)) {
			kept = append(kept, f)
		}
	}
	e.inFlight = kept
}

func (e *slowEngine) restart() {
	e.runs++
	e.state = EngineState{Engine: fmt.Sprint("run", e.runs)}
	e.inFlight = nil
	e.effects = nil
}

// orderWorld joins an engine with the agent that issues orders to it.
type orderWorld struct {
	now    time.Time
	engine *slowEngine
	issuer *OrderIssuer
	reads  []uint64
	serial int
	agents uint64
	// unsent are orders that the client has not written yet, cancelled those to end.
	unsent    []flight
	cancelled []uint64
}

const testLifetime = time.Minute

func newOrderWorld(honours bool) *orderWorld {
	w := &orderWorld{now: time.Unix(1_700_000_000, 0), engine: &slowEngine{honours: honours, lifetime: testLifetime}}
	w.engine.restart()
	w.restartAgent()
	return w
}

func (w *orderWorld) restartAgent() {
	w.agents++
	w.reads, w.unsent, w.cancelled = nil, nil, nil
	issuer, err := NewOrderIssuer(w.now, OrderConfig{Issuer: 7, HonoursFencing: w.engine.honours, Lifetime: testLifetime})
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
			w.unsent = append(w.unsent, flight{number: a.Number, order: a.Order, serial: w.serial, agent: w.agents})
		case CancelOrder:
			w.cancelled = append(w.cancelled, a.Number)
		case ReadEngine:
			w.reads = append(w.reads, a.Request)
		}
	}
}

// execute lets the engine execute an order; its answer reaches only the agent that sent it.
func (w *orderWorld) execute(i int, answered bool) {
	agent := w.engine.inFlight[i].agent
	answer := w.engine.execute(i)
	if answered && agent == w.agents {
		w.step(answer)
	}
}

// write lets the client write the orders that wait in it; a paused process does so late.
func (w *orderWorld) write() {
	for _, f := range w.unsent {
		f.sentAt = w.now
		w.engine.inFlight = append(w.engine.inFlight, f)
	}
	w.unsent = nil
}

// cancel lets the client end the orders that it was asked to.
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

func (w *orderWorld) want(revision int) {
	w.step(OrderWanted{Order: Order{Kind: OrderLoadModel, Model: "m", Revision: fmt.Sprint(revision)}})
}

// disordered reports whether an order took effect after one that was sent later.
func (w *orderWorld) disordered() bool {
	for i := 1; i < len(w.engine.effects); i++ {
		if w.engine.effects[i] < w.engine.effects[i-1] {
			return true
		}
	}
	return false
}

func (w *orderWorld) disturb(t *rapid.T) {
	switch rapid.IntRange(0, 16).Draw(t, "event") {
	case 0, 1, 2:
		w.want(rapid.IntRange(0, 3).Draw(t, "revision"))
	case 3, 4, 5:
		if n := len(w.engine.inFlight); n > 0 {
			w.execute(rapid.IntRange(0, n-1).Draw(t, "order"), rapid.Bool().Draw(t, "answered"))
		}
	case 6:
		if len(w.unsent) == 0 {
			w.step(OrderAnswered{Number: w.issuer.number, Answer: AnswerNone})
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

// TestNoOrderTakesEffectAfterANewerOne lets orders be lost, late and unanswered, agents
// and engines restart, at engines of both kinds.
func TestNoOrderTakesEffectAfterANewerOne(t *testing.T) {
	for _, honours := range []bool{true, false} {
		t.Run(fmt.Sprintf("honours fencing %t", honours), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				w := newOrderWorld(honours)
				for range rapid.IntRange(1, 80).Draw(t, "events") {
					w.disturb(t)
					if w.disordered() {
						t.Fatalf("orders took effect as %v", w.engine.effects)
					}
				}
				w.checkOrdersGoOn(t)
			})
		})
	}
}

// checkOrdersGoOn wants an order and expects its effect within bounded time once the
// engine answers again.
func (w *orderWorld) checkOrdersGoOn(t *rapid.T) {
	w.want(99)
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
	if w.disordered() {
		t.Fatalf("orders took effect as %v", w.engine.effects)
	}
}

func TestOrderIsDoubtfulUntilItShows(t *testing.T) {
	c := qt.New(t)
	w := newOrderWorld(false)
	w.advance(testLifetime)
	w.want(1)
	w.read(false)
	w.write()
	c.Assert(w.engine.inFlight, qt.HasLen, 1)
	w.step(OrderAnswered{Number: w.issuer.number, Answer: AnswerNone})
	w.want(2)
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

func TestNegativeLifetimeWaitsForTheEngineToRestart(t *testing.T) {
	c := qt.New(t)
	w := newOrderWorld(false)
	issuer, err := NewOrderIssuer(w.now, OrderConfig{Lifetime: -1})
	c.Assert(err, qt.IsNil)
	w.issuer = issuer
	w.want(1)
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

// TestPausedClientHoldsBackNewOrders cancels an order that the client has not written
// yet: until the client has said what became of it, no lifetime runs.
func TestPausedClientHoldsBackNewOrders(t *testing.T) {
	c := qt.New(t)
	w := newOrderWorld(false)
	w.advance(testLifetime)
	w.want(1)
	w.read(false)
	c.Assert(w.unsent, qt.HasLen, 1)
	w.want(2)
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

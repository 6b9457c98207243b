package expert

import (
	"cmp"
	"fmt"
	"time"

	"github.com/bramleyspool/bramleyspool/charts"
	"github.com/bramleyspool/bramleyspool/internal/chart"
	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// Defaults of an OrderConfig.
const (
	DefaultOrderTimeout  = 30 * time.Second
	DefaultReadInterval  = time.Second
	DefaultOrderLifetime = 2 * time.Minute
)

// OrderConfig configures the OrderIssuer of an engine. Zero durations mean the defaults.
type OrderConfig struct {
	// Issuer is the agent's incarnation. All fencing numbers are greater than Issuer. Since
	// incarnations are taken from the clock, a restarted agent's numbers are then also greater
	// than those of its earlier incarnations, unless the clock was set back. If they are not,
	// the engine answers AnswerStale and the issuer continues from the engine's number.
	Issuer ident.Incarnation
	// HonoursFencing is true if the engine refuses an order whose fencing number is not
	// greater than those of all earlier orders.
	HonoursFencing bool
	// Timeout is the time after which an unanswered order is cancelled.
	Timeout time.Duration
	// Lifetime is the longest time between the end of an order's connection and the order's
	// effect. 0 means DefaultOrderLifetime. A negative value means that an order may take
	// effect at any time until the engine restarts. It is not used if HonoursFencing is true.
	Lifetime time.Duration
	// ReadInterval is the time between reads of the engine's state while an order is in
	// doubt, and the delay before an order that was not sent is retried.
	ReadInterval time.Duration
}

func (c OrderConfig) withDefaults() OrderConfig {
	c.Timeout = cmp.Or(c.Timeout, DefaultOrderTimeout)
	c.Lifetime = cmp.Or(c.Lifetime, DefaultOrderLifetime)
	c.ReadInterval = cmp.Or(c.ReadInterval, DefaultReadInterval)
	return c
}

// The states of the chart "order".
//
// unsettled: a new issuer waits until the engine's state has been read or, for an engine that
// ignores fencing numbers, until the orders of an earlier issuer can no longer take effect.
//
// checking: the issuer reads the state of an engine that ignores fencing numbers, and sends
// the order only if the state does not show its effect yet.
//
// outstanding: the issuer waits for the answer to the sent order.
//
// pausing: the issuer waits before it sends the order again.
//
// doubtful: the issuer waits until an order in doubt shows its effect or can no longer take
// effect.
const (
	orderUnsettled   chart.State = "unsettled"
	orderIdle        chart.State = "idle"
	orderChecking    chart.State = "checking"
	orderOutstanding chart.State = "outstanding"
	orderPausing     chart.State = "pausing"
	orderDoubtful    chart.State = "doubtful"
)

// OrderIssuer issues the orders of one agent to its engine. It ensures that no order takes
// effect after a newer one. Engines that honour fencing numbers refuse older orders
// themselves. At other engines, the agent must be the only issuer: it sends an order only
// when the previous one is known to be done or can no longer take effect. An OrderIssuer is
// not safe for concurrent use.
type OrderIssuer struct {
	config OrderConfig
	chart  *chart.Chart
	state  chart.State
	queue  []Order
	order  Order
	// fencingNumber is the fencing number of the last order.
	fencingNumber uint64
	sentAt        time.Time
	// waitUntil is the time at which the order in doubt or the orders of an earlier issuer can
	// no longer take effect, or at which a pause before a retry ends; zero for none. It is the
	// time of the event "lapsed".
	waitUntil time.Time
	// lastReadNumber is the number of the last ReadEngine. Results of reads with numbers
	// below firstValidRead are out of date.
	lastReadNumber uint64
	firstValidRead uint64
	// nextReadAt is the time at which the next read is due; zero for none.
	nextReadAt    time.Time
	engineState   EngineState
	lastAnswer    OrderAnswered
	doubtReported bool
}

// OrderVocabulary lists the guards and actions of the state chart "order".
func OrderVocabulary() chart.Vocabulary {
	return chart.Vocabulary{
		Guards:  []chart.Guard{"fenced", "shown"},
		Actions: []chart.Action{"send", "read-state", "pause", "limit", "cancel", "next", "end-done", "end-failed", "renumber", "requeue"},
	}
}

// NewOrderIssuer returns an issuer that first reads the engine's state. If the engine
// ignores fencing numbers, the issuer sends no order until those of an earlier issuer can
// no longer take effect. It returns an error if the state chart "order" is invalid.
func NewOrderIssuer(now time.Time, config OrderConfig) (*OrderIssuer, error) {
	parsed, err := chart.Load(charts.Files, "order", OrderVocabulary())
	if err != nil {
		return nil, err
	}
	config = config.withDefaults()
	issuer := &OrderIssuer{config: config, chart: parsed, state: parsed.Initial(), fencingNumber: uint64(config.Issuer)}
	if config.Lifetime > 0 && !config.HonoursFencing {
		issuer.waitUntil = now.Add(config.Lifetime)
	}
	issuer.nextReadAt = now
	return issuer, nil
}

// Idle reports whether no order is queued or outstanding.
func (o *OrderIssuer) Idle() bool {
	return o.state == orderIdle && len(o.queue) == 0
}

// State returns the state in the chart "order".
func (o *OrderIssuer) State() chart.State { return o.state }

// NextTick returns the time at which a Tick is due; the zero time means never.
func (o *OrderIssuer) NextTick() time.Time {
	var next time.Time
	for _, at := range []time.Time{o.nextReadAt, o.waitUntil, o.timeoutAt()} {
		if !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
}

func (o *OrderIssuer) timeoutAt() time.Time {
	if o.state != orderOutstanding {
		return time.Time{}
	}
	return o.sentAt.Add(o.config.Timeout)
}

// Step handles an event and returns the resulting actions.
func (o *OrderIssuer) Step(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case OrderRequested:
		return o.enqueue(now, e.Order)
	case OrderAnswered:
		return o.handleAnswer(now, e)
	case EngineRead:
		return o.handleState(now, e)
	case Tick:
		return o.tick(now)
	default:
		return nil
	}
}

// enqueue queues an order. It replaces a queued order on the same subject.
func (o *OrderIssuer) enqueue(now time.Time, order Order) []Action {
	var actions []Action
	for i, waiting := range o.queue {
		if waiting.Subject() == order.Subject() {
			actions = append(actions, OrderEnded{Order: waiting, Result: OrderSuperseded})
			o.queue = append(o.queue[:i:i], o.queue[i+1:]...)
			break
		}
	}
	o.queue = append(o.queue, order)
	if o.state == orderIdle {
		actions = append(actions, o.startNext(now)...)
	}
	return actions
}

// startNext dequeues the first order and starts it: the event "wanted" means that an order is
// to be sent.
func (o *OrderIssuer) startNext(now time.Time) []Action {
	if len(o.queue) == 0 {
		return nil
	}
	o.order = o.queue[0]
	o.queue = o.queue[1:]
	return o.fire(now, "wanted")
}

func (o *OrderIssuer) handleAnswer(now time.Time, answered OrderAnswered) []Action {
	if answered.Number != o.fencingNumber {
		return nil
	}
	o.lastAnswer = answered
	switch answered.Answer {
	case AnswerDone:
		return o.fire(now, "answered")
	case AnswerFailed:
		return o.fire(now, "failed")
	case AnswerStale:
		return o.fire(now, "stale")
	case AnswerNotSent:
		return o.fire(now, "not-sent")
	default:
		return o.fire(now, "unanswered")
	}
}

// handleState records the result of a read. It ignores reads that began before the last
// order, and reads older than the last recorded one.
func (o *OrderIssuer) handleState(now time.Time, read EngineRead) []Action {
	if read.Request < o.firstValidRead || read.Failed {
		return nil
	}
	o.firstValidRead = read.Request + 1
	o.nextReadAt = time.Time{}
	restarted := o.engineState.Boot != "" && read.State.Boot != o.engineState.Boot
	o.engineState = read.State
	o.fencingNumber = max(o.fencingNumber, read.State.GreatestFence)
	var actions []Action
	if restarted {
		actions = o.fire(now, "engine-restarted")
	}
	actions = append(actions, o.fire(now, "read")...)
	if o.nextReadAt.IsZero() && o.needsRead() {
		o.nextReadAt = now.Add(o.config.ReadInterval)
	}
	return actions
}

// needsRead reports whether the issuer waits for the engine's state.
func (o *OrderIssuer) needsRead() bool {
	return o.state == orderUnsettled || o.state == orderChecking || o.state == orderDoubtful
}

func (o *OrderIssuer) tick(now time.Time) []Action {
	var actions []Action
	if due(o.timeoutAt(), now) {
		actions = append(actions, o.fire(now, "overdue")...)
	}
	if due(o.waitUntil, now) {
		o.waitUntil = time.Time{}
		actions = append(actions, o.fire(now, "lapsed")...)
	}
	if due(o.nextReadAt, now) && o.needsRead() {
		actions = append(actions, o.read(now)...)
	}
	return actions
}

func due(at, now time.Time) bool {
	return !at.IsZero() && !now.Before(at)
}

func (o *OrderIssuer) fire(now time.Time, event chart.Event) []Action {
	transition, err := o.chart.Next(o.state, event, o.evaluateGuard)
	if err != nil {
		panic(fmt.Sprintf("invariant: %v", err))
	}
	if transition.Ignored {
		return nil
	}
	o.state = transition.To
	var actions []Action
	for _, action := range transition.Actions {
		actions = append(actions, o.perform(now, action)...)
	}
	return actions
}

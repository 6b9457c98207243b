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

// OrderConfig describes an engine that takes orders.
type OrderConfig struct {
	// Issuer is the agent's incarnation; fencing numbers start above it.
	Issuer ident.Incarnation
	// HonoursFencing is true if the engine refuses an order with an old fencing number.
	HonoursFencing bool
	// Timeout is the time after which an order without an answer is cancelled.
	Timeout time.Duration
	// Lifetime is the time after the end of an order's connection at which an order that
	// did not take effect never will; 0
	// means DefaultOrderLifetime, and a negative one that it may take effect at any time
	// until the engine restarts. Engines that honour fencing numbers need none.
	Lifetime time.Duration
	// ReadInterval is the time between reads of the engine's state while an order is in
	// doubt, and before an order that was not sent is tried again.
	ReadInterval time.Duration
}

func (c OrderConfig) withDefaults() OrderConfig {
	c.Timeout = cmp.Or(c.Timeout, DefaultOrderTimeout)
	c.Lifetime = cmp.Or(c.Lifetime, DefaultOrderLifetime)
	c.ReadInterval = cmp.Or(c.ReadInterval, DefaultReadInterval)
	return c
}

const (
	orderUnsettled   chart.State = "unsettled"
	orderIdle        chart.State = "idle"
	orderChecking    chart.State = "checking"
	orderOutstanding chart.State = "outstanding"
	orderPausing     chart.State = "pausing"
	orderDoubtful    chart.State = "doubtful"
)

// OrderIssuer issues the orders of one agent to its engine. No order takes effect after
// a newer one: engines that honour fencing numbers see to it themselves; at the others
// the agent, the only issuer, has one order outstanding and sends none until the last is
// known to be done or impossible. It is not safe for concurrent use.
type OrderIssuer struct {
	config OrderConfig
	chart  *chart.Chart
	state  chart.State
	queue  []Order
	order  Order
	// number is the fencing number of the last order.
	number uint64
	sentAt time.Time
	// clearAt is when an order of an earlier issuer or the order in doubt lapses.
	clearAt time.Time
	// request numbers the reads; freshFrom is the first that tells of the present state
	// of affairs.
	request   uint64
	freshFrom uint64
	readAt    time.Time
	engine    EngineState
	answered  OrderAnswered
	reported  bool
}

// OrderVocabulary lists the guards and actions of the chart "order".
func OrderVocabulary() chart.Vocabulary {
	return chart.Vocabulary{
		Guards:  []chart.Guard{"fenced", "shown"},
		Actions: []chart.Action{"send", "read-state", "pause", "limit", "cancel", "next", "end-done", "end-failed", "renumber", "requeue"},
	}
}

// NewOrderIssuer returns an issuer that first reads the engine's state. At an engine that
// ignores fencing numbers it waits until orders of an earlier issuer have lapsed.
func NewOrderIssuer(now time.Time, config OrderConfig) (*OrderIssuer, error) {
	parsed, err := chart.Load(charts.Files, "order", OrderVocabulary())
	if err != nil {
		return nil, err
	}
	config = config.withDefaults()
	issuer := &OrderIssuer{config: config, chart: parsed, state: parsed.Initial(), number: uint64(config.Issuer)}
	if config.Lifetime > 0 && !config.HonoursFencing {
		issuer.clearAt = now.Add(config.Lifetime)
	}
	issuer.readAt = now
	return issuer, nil
}

// Idle reports whether no order waits or is outstanding.
func (o *OrderIssuer) Idle() bool {
	return o.state == orderIdle && len(o.queue) == 0
}

// State returns the chart's state.
func (o *OrderIssuer) State() chart.State { return o.state }

// NextTick returns when a Tick is due; the zero time means never.
func (o *OrderIssuer) NextTick() time.Time {
	var next time.Time
	for _, at := range []time.Time{o.readAt, o.clearAt, o.timeoutAt()} {
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

// Step handles an event.
func (o *OrderIssuer) Step(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case OrderWanted:
		return o.want(now, e.Order)
	case OrderAnswered:
		return o.takeAnswer(now, e)
	case EngineRead:
		return o.takeState(now, e)
	case Tick:
		return o.tick(now)
	default:
		return nil
	}
}

func (o *OrderIssuer) want(now time.Time, order Order) []Action {
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
		actions = append(actions, o.next(now)...)
	}
	return actions
}

// next takes the first waiting order.
func (o *OrderIssuer) next(now time.Time) []Action {
	if len(o.queue) == 0 {
		return nil
	}
	o.order = o.queue[0]
	o.queue = o.queue[1:]
	return o.fire(now, "wanted")
}

func (o *OrderIssuer) takeAnswer(now time.Time, answered OrderAnswered) []Action {
	if answered.Number != o.number {
		return nil
	}
	o.answered = answered
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

// takeState ignores reads that began before the last order or were overtaken by others.
func (o *OrderIssuer) takeState(now time.Time, read EngineRead) []Action {
	if read.Request < o.freshFrom || read.Failed {
		return nil
	}
	o.freshFrom = read.Request + 1
	o.readAt = time.Time{}
	restarted := o.engine.Engine != "" && read.State.Engine != o.engine.Engine
	o.engine = read.State
	o.number = max(o.number, read.State.Greatest)
	var actions []Action
	if restarted {
		actions = o.fire(now, "engine-restarted")
	}
	actions = append(actions, o.fire(now, "read")...)
	if o.readAt.IsZero() && o.inDoubt() {
		o.readAt = now.Add(o.config.ReadInterval)
	}
	return actions
}

// inDoubt reports whether the issuer needs to read the engine's state.
func (o *OrderIssuer) inDoubt() bool {
	return o.state == orderUnsettled || o.state == orderChecking || o.state == orderDoubtful
}

func (o *OrderIssuer) tick(now time.Time) []Action {
	var actions []Action
	if due(o.timeoutAt(), now) {
		actions = append(actions, o.fire(now, "overdue")...)
	}
	if due(o.clearAt, now) {
		o.clearAt = time.Time{}
		actions = append(actions, o.fire(now, "lapsed")...)
	}
	if due(o.readAt, now) && o.inDoubt() {
		actions = append(actions, o.read(now)...)
	}
	return actions
}

func due(at, now time.Time) bool {
	return !at.IsZero() && !now.Before(at)
}

func (o *OrderIssuer) fire(now time.Time, event chart.Event) []Action {
	step, err := o.chart.Next(o.state, event, o.holds)
	if err != nil {
		panic(fmt.Sprintf("invariant: %v", err))
	}
	if step.Ignored {
		return nil
	}
	o.state = step.To
	var actions []Action
	for _, action := range step.Actions {
		actions = append(actions, o.do(now, action)...)
	}
	return actions
}

package expert

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/chart"
)

// holds evaluates the guards of the chart "order".
func (o *OrderIssuer) holds(guard chart.Guard) bool {
	switch guard {
	case "fenced":
		return o.config.HonoursFencing
	case "shown":
		return o.engine.Shows(o.order)
	default:
		panic("invariant: unknown guard " + string(guard))
	}
}

func (o *OrderIssuer) do(now time.Time, action chart.Action) []Action {
	switch action {
	case "send":
		return o.send(now)
	case "read-state":
		return o.startReading(now)
	case "limit":
		if o.config.Lifetime > 0 {
			o.clearAt = now.Add(o.config.Lifetime)
		}
		return nil
	case "cancel":
		return []Action{CancelOrder{Number: o.number}}
	case "pause":
		o.clearAt = now.Add(o.config.ReadInterval)
		return nil
	case "next":
		o.clearAt = time.Time{}
		return o.next(now)
	case "end-done":
		return []Action{OrderEnded{Order: o.order, Result: OrderDone}}
	case "end-failed":
		return []Action{OrderEnded{Order: o.order, Result: OrderFailed, Cause: o.answered.Cause}}
	case "renumber":
		o.number = max(o.number, o.answered.Greatest)
		return nil
	case "requeue":
		return o.requeue()
	default:
		panic("invariant: unknown action " + string(action))
	}
}

func (o *OrderIssuer) send(now time.Time) []Action {
	o.number++
	o.sentAt = now
	o.freshFrom = o.request + 1
	o.readAt = time.Time{}
	o.reported = false
	return []Action{SendOrder{Number: o.number, Order: o.order}}
}

// startReading reads the engine's state. An order that was sent is in doubt until its
// effect shows or its lifetime ends, which begins when the client has given it up.
func (o *OrderIssuer) startReading(now time.Time) []Action {
	var actions []Action
	if o.state == orderChecking {
		o.freshFrom = o.request + 1
	}
	if o.state == orderDoubtful && !o.reported {
		o.reported = true
		actions = append(actions, OrderDoubtful{Order: o.order, Since: o.sentAt})
	}
	return append(actions, o.read(now)...)
}

func (o *OrderIssuer) read(now time.Time) []Action {
	o.request++
	o.readAt = now.Add(o.config.ReadInterval)
	return []Action{ReadEngine{Request: o.request}}
}

// requeue puts the order back in front, unless a newer one on its subject waits.
func (o *OrderIssuer) requeue() []Action {
	for _, waiting := range o.queue {
		if waiting.Subject() == o.order.Subject() {
			return []Action{OrderEnded{Order: o.order, Result: OrderSuperseded}}
		}
	}
	o.queue = append([]Order{o.order}, o.queue...)
	return nil
}

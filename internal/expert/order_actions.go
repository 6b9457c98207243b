package expert

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/chart"
)

// evaluateGuard evaluates a guard of the chart "order".
func (o *OrderIssuer) evaluateGuard(guard chart.Guard) bool {
	switch guard {
	case "fenced":
		return o.config.HonoursFencing
	case "shown":
		return o.engineState.Reflects(o.order)
	default:
		panic("invariant: unknown guard " + string(guard))
	}
}

func (o *OrderIssuer) perform(now time.Time, action chart.Action) []Action {
	switch action {
	case "send":
		return o.send(now)
	case "read-state":
		return o.startReading(now)
	case "limit":
		// The chart performs this when the order's connection has ended. The order may take
		// effect for its lifetime from now on.
		if o.config.Lifetime > 0 {
			o.waitUntil = now.Add(o.config.Lifetime)
		}
		return nil
	case "cancel":
		return []Action{CancelOrder{Number: o.fencingNumber}}
	case "pause":
		o.waitUntil = now.Add(o.config.ReadInterval)
		return nil
	case "next":
		o.waitUntil = time.Time{}
		return o.startNext(now)
	case "end-done":
		return []Action{OrderEnded{Order: o.order, Result: OrderDone}}
	case "end-failed":
		return []Action{OrderEnded{Order: o.order, Result: OrderFailed, Cause: o.lastAnswer.Cause}}
	case "renumber":
		o.fencingNumber = max(o.fencingNumber, o.lastAnswer.GreatestFence)
		return nil
	case "requeue":
		return o.requeue()
	default:
		panic("invariant: unknown action " + string(action))
	}
}

func (o *OrderIssuer) send(now time.Time) []Action {
	o.fencingNumber++
	o.sentAt = now
	o.firstValidRead = o.lastReadNumber + 1
	o.nextReadAt = time.Time{}
	o.doubtReported = false
	return []Action{SendOrder{Number: o.fencingNumber, Order: o.order}}
}

// startReading reads the engine's state. It reports a sent order in doubt once. The order is
// in doubt until the state shows its effect or its lifetime ends.
func (o *OrderIssuer) startReading(now time.Time) []Action {
	var actions []Action
	if o.state == orderChecking {
		o.firstValidRead = o.lastReadNumber + 1
	}
	if o.state == orderDoubtful && !o.doubtReported {
		o.doubtReported = true
		actions = append(actions, OrderInDoubt{Order: o.order, Since: o.sentAt})
	}
	return append(actions, o.read(now)...)
}

func (o *OrderIssuer) read(now time.Time) []Action {
	o.lastReadNumber++
	o.nextReadAt = now.Add(o.config.ReadInterval)
	return []Action{ReadEngine{Request: o.lastReadNumber}}
}

// requeue puts the order back at the front of the queue, unless the queue holds a newer one
// on the same subject.
func (o *OrderIssuer) requeue() []Action {
	for _, waiting := range o.queue {
		if waiting.Subject() == o.order.Subject() {
			return []Action{OrderEnded{Order: o.order, Result: OrderSuperseded}}
		}
	}
	o.queue = append([]Order{o.order}, o.queue...)
	return nil
}

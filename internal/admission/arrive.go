package admission

import (
	"container/heap"
	"math"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
)

// partUsedUp tells the caller that other entries may have room in the limit.
const partUsedUp = "the part of the limit at this entry is used up"

// refusal is the decision not to run a request.
type refusal struct {
	cause    outcome.Cause
	causedBy ident.Customer
	limit    LimitKind
	// wait is the time until a request like it can be accepted; 0 if unknown.
	wait time.Duration
	// spacing is the time between two such requests.
	spacing time.Duration
	detail  string
}

// arrive accepts a request into its queue or refuses it.
func (c *Controller) arrive(now time.Time, e Arrive) {
	if c.requests[e.Request] != nil {
		return
	}
	key := LimitKey{Customer: e.Customer, Class: e.Class}
	l := c.lanes[key]
	if l == nil {
		c.refuseUnplanned(e)
		return
	}
	c.account.Arrive(key)
	r := c.newRequest(now, l, e)
	l.flow.load.arrive(now, l.flow.service.rate(l.flow)/r.cost)
	if refused, ok := c.judge(now, r, e); ok {
		c.refuseArrival(now, r, refused)
		return
	}
	s := l.flow.service
	c.requests[r.id] = r
	s.enqueue(r)
	heap.Push(&c.deadlines, r)
	c.dispatch(now, s)
}

// UnplannedClass stands in the account for all classes that no plan names.
const UnplannedClass ident.Class = "*"

// refuseUnplanned refuses a request of a customer or class without a plan.
func (c *Controller) refuseUnplanned(e Arrive) {
	key := LimitKey{Customer: e.Customer, Class: UnplannedClass}
	c.account.Arrive(key)
	result := outcome.Refused(outcome.CauseNoRoute)
	c.account.Close(key, result, LimitNone, e.Worth)
	c.act(Refuse{Request: e.Request, Outcome: result})
}

func (c *Controller) newRequest(now time.Time, l *lane, e Arrive) *request {
	s := l.flow.service
	deadline := e.Deadline
	if deadline.IsZero() {
		deadline = now.Add(l.plan.Deadline)
	}
	if latest := now.Add(c.settings.Leases.MaxHold); deadline.After(latest) {
		deadline = latest
	}
	worth := e.Worth
	if worth <= 0 {
		worth = l.plan.Worth
	}
	return &request{
		id: e.Request, lane: l, worth: worth, tokens: e.Tokens,
		cost: l.cost.estimate(e.Tokens, s.serviceTime), arrived: now,
		startBy: deadline.Add(-s.answerTime), slots: s.slots, index: -1,
	}
}

// judge decides whether a request is refused at once. The limits come last, because an
// accepted request uses them up.
func (c *Controller) judge(now time.Time, r *request, e Arrive) (refusal, bool) {
	if refused, ok := c.judgeQueue(now, r); ok {
		return refused, true
	}
	if refused, ok := c.judgeRetry(r, e); ok {
		return refused, true
	}
	verdict := c.holder.accept(now, r.lane.key, e.Tokens)
	if verdict.kind == LimitNone {
		return refusal{}, false
	}
	refused := refusal{
		cause: verdict.cause, causedBy: e.Customer, limit: verdict.kind,
		wait: verdict.wait, spacing: verdict.spacing, detail: partUsedUp,
	}
	if verdict.kind == LimitConcurrency {
		refused.wait = seconds(r.cost)
		refused.spacing = seconds(r.cost)
	}
	return refused, true
}

// overloadedPatience is the fraction of the time to the deadline that the requests of an
// overloaded customer may wait. A longer queue would serve no more of them.
const overloadedPatience = 0.25

// burstPatience is the same for other customers. It exceeds 1 because a burst is mostly
// served faster than at the guaranteed rate.
const burstPatience = 2.0

// judgeQueue refuses what cannot be dispatched in time. A customer that is within its
// share and has nothing waiting is never refused for the queues of others.
func (c *Controller) judgeQueue(now time.Time, r *request) (refusal, bool) {
	f := r.lane.flow
	s := f.service
	patience := r.startBy.Sub(now)
	if s.slots == 0 {
		return refusal{cause: outcome.CauseNoBackend, limit: LimitCapacity, wait: TickInterval, spacing: TickInterval}, true
	}
	if patience < 0 {
		return refusal{cause: outcome.CauseDeadline}, true
	}
	ahead, outbid := r.ahead()
	r.behind = ahead + s.lead(f)
	if r.behind <= 0 {
		return refusal{}, false
	}
	rate := s.rate(f)
	wait := seconds(c.expectedWait(r, ahead, rate, outbid))
	factor := burstPatience
	if f.load.overloaded {
		factor = overloadedPatience
	}
	patience = time.Duration(factor * float64(patience))
	tooLong := wait > patience && s.open >= s.slots
	tooMany := f.queued >= c.queueBound(f)
	if !tooLong && !tooMany {
		return refusal{}, false
	}
	refused := c.overShare(f)
	refused.wait = max(0, wait-patience)
	refused.spacing = seconds(r.cost / rate)
	if tooMany && !tooLong {
		refused.limit = LimitQueue
		refused.wait = refused.spacing
	}
	return refused, true
}

// expectedWait returns the time in seconds until a new request is dispatched. One that is
// outbid by requests of greater worth depends on the floor of its class alone.
func (c *Controller) expectedWait(r *request, ahead, rate float64, outbid bool) float64 {
	l := r.lane
	lead := l.flow.service.lead(l.flow)
	byFloor := math.Inf(1)
	if floor := c.settings.ClassFloor * rate; floor > 0 {
		byFloor = lead/rate + max(0, l.queuedCost+r.cost-l.owed)/floor
	}
	if outbid {
		return byFloor
	}
	return min((lead+ahead)/rate, byFloor)
}

// queueBound returns how many requests the customer may have waiting at the service.
func (c *Controller) queueBound(f *flow) int {
	return c.settings.MinQueued + int(float64(c.settings.MaxQueued)*f.weight/c.totalWeight)
}

// overShare returns the refusal of a customer that asks for more than it can get. If
// nobody else is active the service itself is full, else the customer's share is.
func (c *Controller) overShare(f *flow) refusal {
	others := f.service.activeWeight - f.weight
	if f.queued == 0 && f.open == 0 {
		others = f.service.activeWeight
	}
	if others <= rounding {
		return refusal{cause: outcome.CauseBackendsFull, causedBy: f.customer, limit: LimitCapacity}
	}
	return refusal{cause: outcome.CauseOverShare, causedBy: f.customer, limit: LimitShare}
}

// judgeRetry refuses retries beyond the budget while the customer's requests wait.
func (c *Controller) judgeRetry(r *request, e Arrive) (refusal, bool) {
	f := r.lane.flow
	if !e.Retry || f.queued == 0 || r.lane.retries.take() {
		return refusal{}, false
	}
	rate := f.service.rate(f)
	return refusal{
		cause: outcome.CauseRetryBudget, causedBy: e.Customer, limit: LimitRetries,
		wait: seconds(f.queuedCost / rate), spacing: seconds(r.cost / rate),
	}, true
}

// refuseArrival gives a request that was never queued its final answer.
func (c *Controller) refuseArrival(now time.Time, r *request, refused refusal) {
	result := c.result(now, r, refused)
	c.account.Close(r.lane.key, result, refused.limit, r.worth)
	c.act(Refuse{Request: r.id, Outcome: result, Limit: refused.limit})
}

// refuseQueued gives a waiting request its final answer.
func (c *Controller) refuseQueued(now time.Time, r *request, refused refusal) {
	r.lane.flow.service.withdraw(r)
	heap.Remove(&c.deadlines, r.index)
	result := c.result(now, r, refused)
	c.close(now, r, 0, result, refused.limit)
	c.act(Refuse{Request: r.id, Outcome: result, Limit: refused.limit})
}

func (c *Controller) result(now time.Time, r *request, refused refusal) outcome.Outcome {
	result := outcome.Refused(refused.cause)
	result.CausedBy = refused.causedBy
	result.Detail = refused.detail
	if refused.wait > 0 || refused.spacing > 0 {
		result.RetryAfter = retryAfter(now, &r.lane.flow.returns, refused.wait, refused.spacing, c.settings.MaxRetryAfter, c.random)
	}
	return result
}

// expire refuses the waiting requests that can no longer be dispatched in time.
func (c *Controller) expire(now time.Time) {
	for len(c.deadlines) > 0 && c.deadlines[0].startBy.Before(now) {
		r := c.deadlines[0]
		c.refuseQueued(now, r, c.blame(r))
	}
}

// blame finds why a request that was accepted could not be dispatched in time.
func (c *Controller) blame(r *request) refusal {
	f := r.lane.flow
	s := f.service
	rate := s.rate(f)
	refused := refusal{cause: outcome.CauseBackendsFull, limit: LimitCapacity}
	switch {
	case s.slots == 0:
		refused.cause = outcome.CauseNoBackend
	case s.slots < r.slots:
	case r.behind > 0 || s.lead(f) > 0 || r.prev != nil:
		refused = c.overShare(f)
	default:
		refused.causedBy = s.culprit()
	}
	refused.wait = TickInterval
	if rate > 0 {
		refused.wait = seconds(f.queuedCost / rate)
		refused.spacing = seconds(r.cost / rate)
	}
	return refused
}

// culprit returns the customer that holds the most slots beyond its share; "" if none.
func (s *service) culprit() ident.Customer {
	var worst ident.Customer
	var excess float64
	for customer, f := range s.flows {
		share := float64(s.slots) * f.weight / max(s.activeWeight, f.weight)
		over := float64(f.open) - share
		if over > excess || over == excess && over > 0 && customer < worst {
			worst, excess = customer, over
		}
	}
	return worst
}

func seconds(s float64) time.Duration {
	const longest = float64(24 * time.Hour)
	return time.Duration(min(s*float64(time.Second), longest))
}

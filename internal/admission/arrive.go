package admission

import (
	"container/heap"
	"math"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
)

// detailPartExhausted is the detail for callers whose request another entry may accept under the same limit.
const detailPartExhausted = "the part of the limit at this entry is used up"

// refusal describes why a request is not run.
type refusal struct {
	cause    outcome.Cause
	causedBy ident.Customer
	limit    LimitKind
	// wait is the estimated time until a similar request can be accepted; 0 if unknown.
	wait time.Duration
	// spacing is the estimated time between two similar requests that can be accepted.
	spacing time.Duration
	detail  string
}

// arrive queues a request or refuses it.
func (c *Controller) arrive(now time.Time, e Arrive) {
	if c.requests[e.Request] != nil {
		return
	}
	key := ClassKey{Customer: e.Customer, Class: e.Class}
	q := c.queues[key]
	if q == nil {
		c.refuseUnplanned(e)
		return
	}
	c.account.Arrive(key)
	r := c.newRequest(now, q, e)
	q.flow.overload.recordArrival(now, q.flow.service.rate(q.flow)/r.cost)
	if refused, isRefused := c.checkArrival(now, r, e); isRefused {
		c.refuseArrival(now, r, refused)
		return
	}
	s := q.flow.service
	c.requests[r.id] = r
	s.enqueue(r)
	heap.Push(&c.deadlines, r)
	c.dispatch(now, s)
}

// UnplannedClass stands in the account for all classes that are in no plan.
const UnplannedClass ident.Class = "*"

// refuseUnplanned refuses a request of a customer or class without a plan.
func (c *Controller) refuseUnplanned(e Arrive) {
	key := ClassKey{Customer: e.Customer, Class: UnplannedClass}
	c.account.Arrive(key)
	result := outcome.Refused(outcome.CauseNoRoute)
	c.account.Close(key, result, LimitNone, e.Worth)
	c.emit(Refuse{Request: e.Request, Outcome: result})
}

func (c *Controller) newRequest(now time.Time, q *classQueue, e Arrive) *request {
	s := q.flow.service
	deadline := e.Deadline
	if deadline.IsZero() {
		deadline = now.Add(q.plan.Deadline)
	}
	if latest := now.Add(c.settings.Leases.MaxHold); deadline.After(latest) {
		deadline = latest
	}
	worth := e.Worth
	if worth <= 0 {
		worth = q.plan.Worth
	}
	return &request{
		id: e.Request, queue: q, worth: worth, tokens: e.Tokens,
		cost: q.cost.estimate(e.Tokens, s.serviceTime), arrived: now,
		startBy: deadline.Add(-s.answerTime), slotsAtArrival: s.slots, index: -1,
	}
}

// checkArrival returns the refusal and true if a new request is refused at once, and false otherwise. The limits are
// checked last, because accepting a request consumes them.
func (c *Controller) checkArrival(now time.Time, r *request, e Arrive) (refusal, bool) {
	if refused, isRefused := c.checkQueue(now, r); isRefused {
		return refused, true
	}
	if refused, isRefused := c.checkRetryBudget(r, e); isRefused {
		return refused, true
	}
	decision := c.holder.accept(now, r.queue.key, e.Tokens)
	if decision.kind == LimitNone {
		return refusal{}, false
	}
	refused := refusal{
		cause: decision.cause, causedBy: e.Customer, limit: decision.kind,
		wait: decision.wait, spacing: decision.spacing, detail: detailPartExhausted,
	}
	if decision.kind == LimitConcurrency {
		refused.wait = seconds(r.cost)
		refused.spacing = seconds(r.cost)
	}
	return refused, true
}

// overloadedWaitFraction is the part of the time to the deadline that requests of an overloaded customer may wait
// in the queue. A longer queue would not serve more of them.
const overloadedWaitFraction = 0.25

// burstWaitFactor is the greatest ratio of the expected wait to the time to the deadline for a customer that is not
// overloaded. The wait is estimated at the guaranteed rate, and a burst is usually served faster than that.
const burstWaitFactor = 2.0

// checkQueue returns a refusal and true if the request cannot be dispatched in time or the customer's queue is full,
// and false otherwise. A customer that is within its share and has no queued requests is never refused because of the
// queues of others.
func (c *Controller) checkQueue(now time.Time, r *request) (refusal, bool) {
	f := r.queue.flow
	s := f.service
	maxWait := r.startBy.Sub(now)
	if s.slots == 0 {
		// Without slots there is no rate from which to estimate the wait.
		return refusal{cause: outcome.CauseNoBackend, limit: LimitCapacity, wait: TickInterval, spacing: TickInterval}, true
	}
	if maxWait < 0 {
		return refusal{cause: outcome.CauseDeadline}, true
	}
	ahead, outranked := r.queuedAhead()
	r.backlogAtArrival = ahead + s.lead(f)
	if r.backlogAtArrival <= 0 {
		return refusal{}, false
	}
	rate := s.rate(f)
	wait := seconds(c.expectedWait(r, ahead, rate, outranked))
	factor := burstWaitFactor
	if f.overload.overloaded {
		factor = overloadedWaitFraction
	}
	maxWait = time.Duration(factor * float64(maxWait))
	tooLong := wait > maxWait && s.open >= s.slots
	tooMany := f.queued >= c.queueBound(f)
	if !tooLong && !tooMany {
		return refusal{}, false
	}
	refused := c.demandRefusal(f)
	refused.wait = max(0, wait-maxWait)
	refused.spacing = seconds(r.cost / rate)
	if tooMany && !tooLong {
		refused.limit = LimitQueue
		refused.wait = refused.spacing
	}
	return refused, true
}

// expectedWait returns the time in seconds until a new request is dispatched. If requests of at least the same worth
// per slot time in other queues are always dispatched first (outranked), only the floor of its class counts.
func (c *Controller) expectedWait(r *request, ahead, rate float64, outranked bool) float64 {
	q := r.queue
	lead := q.flow.service.lead(q.flow)
	byFloor := math.Inf(1)
	if floor := c.settings.ClassFloor * rate; floor > 0 {
		byFloor = lead/rate + max(0, q.queuedCost+r.cost-q.deficit)/floor
	}
	if outranked {
		return byFloor
	}
	return min((lead+ahead)/rate, byFloor)
}

// queueBound returns the number of requests that the customer may have queued at the service.
func (c *Controller) queueBound(f *flow) int {
	return c.settings.MinQueued + int(float64(c.settings.SharedQueueSize)*f.weight/c.totalWeight)
}

// demandRefusal returns the refusal for a customer whose demand exceeds what it can get. If no other customer is
// active, the service is full; otherwise the customer has used up its share.
func (c *Controller) demandRefusal(f *flow) refusal {
	others := f.service.activeWeight - f.weight
	if f.queued == 0 && f.open == 0 {
		others = f.service.activeWeight
	}
	if others <= roundingTolerance {
		return refusal{cause: outcome.CauseBackendsFull, causedBy: f.customer, limit: LimitCapacity}
	}
	return refusal{cause: outcome.CauseOverShare, causedBy: f.customer, limit: LimitShare}
}

// checkRetryBudget returns a refusal and true for a retry beyond the budget while requests of the customer are queued,
// and false otherwise.
func (c *Controller) checkRetryBudget(r *request, e Arrive) (refusal, bool) {
	f := r.queue.flow
	if !e.Retry || f.queued == 0 || r.queue.retries.tryAcquire() {
		return refusal{}, false
	}
	rate := f.service.rate(f)
	return refusal{
		cause: outcome.CauseRetryBudget, causedBy: e.Customer, limit: LimitRetries,
		wait: seconds(f.queuedCost / rate), spacing: seconds(r.cost / rate),
	}, true
}

// refuseArrival ends a request that was never queued.
func (c *Controller) refuseArrival(now time.Time, r *request, refused refusal) {
	result := c.refusalOutcome(now, r, refused)
	c.account.Close(r.queue.key, result, refused.limit, r.worth)
	c.emit(Refuse{Request: r.id, Outcome: result, Limit: refused.limit})
}

// refuseQueued removes a request from its queue and ends it.
func (c *Controller) refuseQueued(now time.Time, r *request, refused refusal) {
	r.queue.flow.service.dequeue(r)
	heap.Remove(&c.deadlines, r.index)
	result := c.refusalOutcome(now, r, refused)
	c.close(now, r, 0, result, refused.limit)
	c.emit(Refuse{Request: r.id, Outcome: result, Limit: refused.limit})
}

func (c *Controller) refusalOutcome(now time.Time, r *request, refused refusal) outcome.Outcome {
	result := outcome.Refused(refused.cause)
	result.CausedBy = refused.causedBy
	result.Detail = refused.detail
	if refused.wait > 0 || refused.spacing > 0 {
		result.RetryAfter = retryAfter(now, &r.queue.flow.nextRetryAt, refused.wait, refused.spacing, c.settings.MaxRetryAfter, c.random)
	}
	return result
}

// expire refuses the queued requests that can no longer be dispatched in time.
func (c *Controller) expire(now time.Time) {
	for len(c.deadlines) > 0 && c.deadlines[0].startBy.Before(now) {
		r := c.deadlines[0]
		c.refuseQueued(now, r, c.classifyExpiry(r))
	}
}

// classifyExpiry returns why a queued request could not be dispatched in time.
func (c *Controller) classifyExpiry(r *request) refusal {
	f := r.queue.flow
	s := f.service
	rate := s.rate(f)
	refused := refusal{cause: outcome.CauseBackendsFull, limit: LimitCapacity}
	switch {
	case s.slots == 0:
		refused.cause = outcome.CauseNoBackend
	case s.slots < r.slotsAtArrival:
		// The service has lost slots since the request arrived: no customer caused the refusal.
	case r.backlogAtArrival > 0 || s.lead(f) > 0 || r.prev != nil:
		refused = c.demandRefusal(f)
	default:
		refused.causedBy = s.mostOverShare()
	}
	// TickInterval is used if there is no rate from which to estimate the wait.
	refused.wait = TickInterval
	if rate > 0 {
		refused.wait = seconds(f.queuedCost / rate)
		refused.spacing = seconds(r.cost / rate)
	}
	return refused
}

// mostOverShare returns the customer with the most slots beyond its share; "" if there is none.
func (s *service) mostOverShare() ident.Customer {
	var most ident.Customer
	var excess float64
	for customer, f := range s.flows {
		share := float64(s.slots) * f.weight / max(s.activeWeight, f.weight)
		over := float64(f.open) - share
		if over > excess || over == excess && over > 0 && customer < most {
			most, excess = customer, over
		}
	}
	return most
}

func seconds(s float64) time.Duration {
	const longest = float64(24 * time.Hour)
	return time.Duration(min(s*float64(time.Second), longest))
}

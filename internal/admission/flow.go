package admission

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/template"
)

// request is a queued or dispatched request at the entry.
type request struct {
	id     ident.Request
	queue  *classQueue
	worth  float64
	tokens int
	// cost is the expected time in a slot, in seconds.
	cost float64
	// startBy is the latest time of dispatch.
	startBy  time.Time
	arrived  time.Time
	admitted time.Time
	running  bool
	// slotsAtArrival is the number of slots of the service when the request arrived.
	slotsAtArrival int
	// backlogAtArrival is, at the time of arrival, the cost of the customer's queued requests that are dispatched before
	// this one, plus the customer's lead, in seconds of slot time.
	backlogAtArrival float64
	// index is the position in the heap of deadlines; -1 if the request is not queued.
	index      int
	prev, next *request
}

// classQueue is the queue of one class of one customer.
type classQueue struct {
	key  ClassKey
	plan template.ClassPlan
	flow *flow
	head *request
	tail *request
	// queued is the number of queued requests, queuedCost their cost in seconds of slot time.
	queued     int
	queuedCost float64
	// deficit is the slot time that the class's floor entitles it to and that it has not received, in seconds.
	deficit float64
	cost    costEstimator
	retries retryBudget
}

func (q *classQueue) push(r *request) {
	r.prev = q.tail
	if q.tail == nil {
		q.head = r
	} else {
		q.tail.next = r
	}
	q.tail = r
	q.queued++
	q.queuedCost += r.cost
}

func (q *classQueue) remove(r *request) {
	if r.prev == nil {
		q.head = r.next
	} else {
		r.prev.next = r.next
	}
	if r.next == nil {
		q.tail = r.prev
	} else {
		r.next.prev = r.prev
	}
	r.prev, r.next = nil, nil
	q.queued--
	q.queuedCost -= r.cost
	if q.queued == 0 {
		q.queuedCost = 0
	}
}

// flow holds the requests of one customer for one service.
type flow struct {
	customer ident.Customer
	service  *service
	weight   float64
	queues   []*classQueue
	// virtualStart is the virtual time from which the customer's next request is due.
	virtualStart float64
	queued       int
	queuedCost   float64
	// open is the number of dispatched requests.
	open int
	// overload detects whether the customer's demand exceeds what it gets.
	overload overloadTest
	// nextQueue is the queue whose head is dispatched next; nil if all queues are empty.
	nextQueue *classQueue
	// index is the position in a heap of the service, -1 if in none; eligible states which heap.
	index    int
	eligible bool
	// nextRetryAt is the earliest time at which the next refused caller is asked to retry.
	nextRetryAt time.Time
}

// priority returns the priority of the request that is dispatched next.
func (f *flow) priority() template.Priority {
	return f.nextQueue.plan.Priority
}

// virtualFinish returns the virtual time at which the next request would end.
func (f *flow) virtualFinish() float64 {
	return f.virtualStart + f.nextQueue.head.cost/f.weight
}

// selectQueue sets the queue that is dispatched from next: a queue whose deficit covers a request, otherwise the one
// with the lowest priority number. If the customer is overloaded, not all requests can be served, so that the worth
// per slot time is compared before the priority.
func (f *flow) selectQueue() {
	f.nextQueue = nil
	overloaded := f.overload.overloaded
	for _, candidate := range f.queues {
		if candidate.head != nil && (f.nextQueue == nil || candidate.before(f.nextQueue, overloaded)) {
			f.nextQueue = candidate
		}
	}
}

func (q *classQueue) before(other *classQueue, overloaded bool) bool {
	due, otherDue := q.deficit >= q.head.cost, other.deficit >= other.head.cost
	if due != otherDue {
		return due
	}
	if due {
		return q.deficit > other.deficit
	}
	samePriority := q.plan.Priority == other.plan.Priority
	if !overloaded && !samePriority {
		return q.plan.Priority < other.plan.Priority
	}
	// Compares worth per slot time without a division: a/b > c/d if a*d > c*b.
	product, otherProduct := q.head.worth*other.head.cost, other.head.worth*q.head.cost
	if product != otherProduct {
		return product > otherProduct
	}
	if !samePriority {
		return q.plan.Priority < other.plan.Priority
	}
	return q.head.arrived.Before(other.head.arrived)
}

// queuedAhead returns the slot time in seconds of the queued requests that are dispatched before a new request.
// outranked is true if the customer is overloaded and the head of another of its queues has at least the same worth per
// slot time. Then that queue is assumed to be always dispatched first, except for the floor of the new request's class.
func (r *request) queuedAhead() (sum float64, outranked bool) {
	overloaded := r.queue.flow.overload.overloaded
	for _, other := range r.queue.flow.queues {
		if other.head == nil {
			continue
		}
		goesFirst := other.plan.Priority <= r.queue.plan.Priority
		if overloaded {
			goesFirst = other == r.queue || other.head.worth*r.cost >= r.worth*other.head.cost
			outranked = outranked || other != r.queue && goesFirst
		}
		if goesFirst {
			sum += other.queuedCost
		}
	}
	return sum, outranked
}

// maxDeficitRequests bounds the deficit of a queue, in requests of average cost.
const maxDeficitRequests = 4

// updateDeficits adds the floor's share of a dispatched request's cost to the deficits of the flow's other queues. For
// an overloaded customer this includes empty queues, because their requests are refused on arrival until the deficit
// covers one.
func (f *flow) updateDeficits(served *classQueue, cost, floor float64) {
	for _, other := range f.queues {
		switch {
		case other == served:
			other.deficit = max(0, other.deficit-cost)
		case other.head != nil || f.overload.overloaded:
			limit := maxDeficitRequests * other.cost.estimate(0, f.service.serviceTime)
			other.deficit = min(other.deficit+floor*cost, limit)
		default:
			other.deficit = 0
		}
	}
}

// costEstimator estimates the slot time of the requests of one class.
type costEstimator struct {
	// seconds and tokens are moving averages over finished requests.
	seconds, tokens float64
}

// costSampleWeight is the weight of a new sample in the averages.
const costSampleWeight = 0.1

// maxCostRatio bounds the ratio of an estimate to the average, in both directions.
const maxCostRatio = 10

// defaultCost is the cost of a request of an unknown service time, in seconds.
const defaultCost = 0.1

func (e *costEstimator) estimate(tokens int, fallback time.Duration) float64 {
	if e.seconds == 0 {
		if fallback > 0 {
			return fallback.Seconds()
		}
		return defaultCost
	}
	if tokens == 0 || e.tokens == 0 {
		return e.seconds
	}
	ratio := float64(tokens) / e.tokens
	return e.seconds * min(maxCostRatio, max(1.0/maxCostRatio, ratio))
}

func (e *costEstimator) observe(took time.Duration, tokens int) {
	seconds := max(took.Seconds(), minCost)
	if e.seconds == 0 {
		e.seconds = seconds
		e.tokens = float64(tokens)
		return
	}
	e.seconds += costSampleWeight * (seconds - e.seconds)
	e.tokens += costSampleWeight * (float64(tokens) - e.tokens)
}

// minCost is the least cost of a request, in seconds.
const minCost = 1e-4

package admission

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/template"
)

// request is an open request at the entry.
type request struct {
	id     ident.Request
	lane   *lane
	worth  float64
	tokens int
	// cost is the expected time in a slot, in seconds.
	cost float64
	// startBy is the latest time of dispatch.
	startBy  time.Time
	arrived  time.Time
	admitted time.Time
	running  bool
	// slots is the number of slots of the service at arrival.
	slots int
	// behind is the lane's customer's waiting cost and lead at arrival, in seconds of slot time.
	behind float64
	// index is the position in the heap of deadlines; -1 if not queued.
	index      int
	prev, next *request
}

// lane is the queue of one class of one customer.
type lane struct {
	key  LimitKey
	plan template.ClassPlan
	flow *flow
	head *request
	tail *request
	// queued is the number of waiting requests, queuedCost their cost in seconds of slot time.
	queued     int
	queuedCost float64
	// owed is the slot time that the class's floor still owes it, in seconds.
	owed    float64
	cost    costMeter
	retries retryBudget
}

func (l *lane) push(r *request) {
	r.prev = l.tail
	if l.tail == nil {
		l.head = r
	} else {
		l.tail.next = r
	}
	l.tail = r
	l.queued++
	l.queuedCost += r.cost
}

func (l *lane) remove(r *request) {
	if r.prev == nil {
		l.head = r.next
	} else {
		r.prev.next = r.next
	}
	if r.next == nil {
		l.tail = r.prev
	} else {
		r.next.prev = r.prev
	}
	r.prev, r.next = nil, nil
	l.queued--
	l.queuedCost -= r.cost
	if l.queued == 0 {
		l.queuedCost = 0
	}
}

// flow holds the requests of one customer for one service.
type flow struct {
	customer ident.Customer
	service  *service
	weight   float64
	lanes    []*lane
	// start is the virtual time from which the customer's next request is due.
	start      float64
	queued     int
	queuedCost float64
	// open is the number of dispatched requests.
	open int
	// load tests whether the customer's demand exceeds what it gets.
	load overloadTest
	// next is the lane whose head goes next; nil if nothing waits.
	next *lane
	// index is the position in the heap of the service; eligible says in which one.
	index    int
	eligible bool
	// returns is the time at which the next refused caller is told to come back.
	returns time.Time
}

// band returns the priority of the request that goes next.
func (f *flow) band() template.Priority {
	return f.next.plan.Priority
}

// finish returns the virtual time at which the next request would end.
func (f *flow) finish() float64 {
	return f.start + f.next.head.cost/f.weight
}

// choose sets the lane that goes next: a lane that its floor owes a request, else the
// lowest band. If the customer is overloaded, the greatest worth for the slot time goes
// before the band, because not all requests can be served.
func (f *flow) choose() {
	f.next = nil
	overloaded := f.load.overloaded
	for _, candidate := range f.lanes {
		if candidate.head != nil && (f.next == nil || candidate.before(f.next, overloaded)) {
			f.next = candidate
		}
	}
}

func (l *lane) before(other *lane, overloaded bool) bool {
	due, otherDue := l.owed >= l.head.cost, other.owed >= other.head.cost
	if due != otherDue {
		return due
	}
	if due {
		return l.owed > other.owed
	}
	sameBand := l.plan.Priority == other.plan.Priority
	if !overloaded && !sameBand {
		return l.plan.Priority < other.plan.Priority
	}
	worth, otherWorth := l.head.worth*other.head.cost, other.head.worth*l.head.cost
	if worth != otherWorth {
		return worth > otherWorth
	}
	if !sameBand {
		return l.plan.Priority < other.plan.Priority
	}
	return l.head.arrived.Before(other.head.arrived)
}

// ahead returns the slot time in seconds that waits before a new request of its lane, and
// whether requests of greater worth keep coming before it.
func (r *request) ahead() (sum float64, outbid bool) {
	overloaded := r.lane.flow.load.overloaded
	for _, other := range r.lane.flow.lanes {
		if other.head == nil {
			continue
		}
		goesFirst := other.plan.Priority <= r.lane.plan.Priority
		if overloaded {
			goesFirst = other == r.lane || other.head.worth*r.cost >= r.worth*other.head.cost
			outbid = outbid || other != r.lane && goesFirst
		}
		if goesFirst {
			sum += other.queuedCost
		}
	}
	return sum, outbid
}

// maxOwed bounds the slot time that a floor owes a lane, in requests of the lane.
const maxOwed = 4

// creditFloors lets the floors of the other lanes accrue while a request of the flow is
// dispatched. Lanes of an overloaded customer accrue also if nothing waits in them,
// because their requests are refused on arrival until the floor owes them one.
func (f *flow) creditFloors(served *lane, cost, floor float64) {
	for _, other := range f.lanes {
		switch {
		case other == served:
			other.owed = max(0, other.owed-cost)
		case other.head != nil || f.load.overloaded:
			longest := maxOwed * other.cost.estimate(0, f.service.serviceTime)
			other.owed = min(other.owed+floor*cost, longest)
		default:
			other.owed = 0
		}
	}
}

// costMeter estimates the slot time of requests of one class.
type costMeter struct {
	// seconds and tokens are averages over finished requests.
	seconds, tokens float64
}

// costGain is the weight of a new sample in the averages.
const costGain = 0.1

// costSpread bounds the ratio of an estimate to the average.
const costSpread = 10

// defaultCost is the cost of a request of which nothing is known, in seconds.
const defaultCost = 0.1

func (m *costMeter) estimate(tokens int, fallback time.Duration) float64 {
	if m.seconds == 0 {
		if fallback > 0 {
			return fallback.Seconds()
		}
		return defaultCost
	}
	if tokens == 0 || m.tokens == 0 {
		return m.seconds
	}
	ratio := float64(tokens) / m.tokens
	return m.seconds * min(costSpread, max(1.0/costSpread, ratio))
}

func (m *costMeter) observe(took time.Duration, tokens int) {
	seconds := max(took.Seconds(), minCost)
	if m.seconds == 0 {
		m.seconds = seconds
		m.tokens = float64(tokens)
		return
	}
	m.seconds += costGain * (seconds - m.seconds)
	m.tokens += costGain * (float64(tokens) - m.tokens)
}

// minCost is the least cost of a request, in seconds.
const minCost = 1e-4

package overload

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/admission"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
	"github.com/bramleyspool/bramleyspool/internal/template"
)

// Policy decides on the admission of requests at one entry; admission.Controller implements it.
type Policy interface {
	Step(now time.Time, event admission.Event) []admission.Action
}

// baselineQueue is the most outstanding (queued and running) requests per service in the fair queueing baseline. It is divided
// among the customers by weight.
const baselineQueue = 4096

// staticFactor is the number of outstanding (queued and running) requests allowed for each slot of a
// customer's share.
const staticFactor = 4

// baseline is a policy without deadlines and priorities: first come, first served with a static limit
// per customer, or weighted fair queueing.
type baseline struct {
	fair        bool
	plans       map[admission.ClassKey]template.ClassPlan
	weights     map[ident.Customer]float64
	totalWeight float64
	services    map[ident.Service]*plainService
	requests    map[ident.Request]*plainRequest
	arrivals    uint64
}

// plainService is the state of one service: open counts the running requests, outstanding the queued and
// running requests of each customer. virtualTime and finishTags are the virtual clock and the last
// finish tag of each customer, as in weighted fair queueing.
type plainService struct {
	slots, open int
	virtualTime float64
	finishTags  map[ident.Customer]float64
	outstanding map[ident.Customer]int
	queue       []*plainRequest
}

// plainRequest is a queued or running request; the queue is ordered by tag.
type plainRequest struct {
	id       ident.Request
	customer ident.Customer
	service  *plainService
	name     ident.Service
	tag      float64
	running  bool
	arrived  time.Time
}

// NewFirstCome returns a first come, first served policy with a static limit per customer.
func NewFirstCome() Policy { return newBaseline(false) }

// NewFairQueue returns a weighted fair queueing policy without deadlines and priorities.
func NewFairQueue() Policy { return newBaseline(true) }

func newBaseline(fair bool) *baseline {
	return &baseline{
		fair: fair, plans: make(map[admission.ClassKey]template.ClassPlan), weights: make(map[ident.Customer]float64),
		services: make(map[ident.Service]*plainService), requests: make(map[ident.Request]*plainRequest),
	}
}

// Step handles one event and returns the resulting admissions and refusals.
func (b *baseline) Step(now time.Time, event admission.Event) []admission.Action {
	switch e := event.(type) {
	case admission.Configure:
		for _, plan := range e.Plans {
			b.weights[plan.Customer] = plan.Weight
			b.totalWeight += plan.Weight
			for _, class := range plan.Classes {
				b.plans[admission.ClassKey{Customer: plan.Customer, Class: class.Name}] = class
			}
		}
	case admission.Capacity:
		s := b.service(e.Service)
		s.slots = e.Slots
		return b.dispatch(now, s)
	case admission.Arrive:
		return b.arrive(now, e)
	case admission.Done:
		r := b.requests[e.Request]
		delete(b.requests, e.Request)
		r.service.open--
		r.service.outstanding[r.customer]--
		return b.dispatch(now, r.service)
	case admission.Cancel:
		b.cancel(e.Request)
	}
	return nil
}

func (b *baseline) service(name ident.Service) *plainService {
	s := b.services[name]
	if s == nil {
		s = &plainService{finishTags: make(map[ident.Customer]float64), outstanding: make(map[ident.Customer]int)}
		b.services[name] = s
	}
	return s
}

func (b *baseline) arrive(now time.Time, e admission.Arrive) []admission.Action {
	plan := b.plans[admission.ClassKey{Customer: e.Customer, Class: e.Class}]
	s := b.service(plan.Service)
	weight := b.weights[e.Customer]
	limit := int(max(1, staticFactor*float64(s.slots)*weight/b.totalWeight))
	if b.fair {
		limit = int(max(1, baselineQueue*weight/b.totalWeight))
	}
	if s.outstanding[e.Customer] >= limit {
		refused := outcome.Refused(outcome.CauseConcurrencyLimit)
		refused.RetryAfter = time.Second
		return []admission.Action{admission.Refuse{Request: e.Request, Outcome: refused}}
	}
	s.outstanding[e.Customer]++
	b.arrivals++
	r := &plainRequest{id: e.Request, customer: e.Customer, service: s, name: plan.Service, arrived: now, tag: float64(b.arrivals)}
	if b.fair {
		r.tag = max(s.virtualTime, s.finishTags[e.Customer]) + 1/weight
		s.finishTags[e.Customer] = r.tag
	}
	b.requests[e.Request] = r
	s.push(r)
	return b.dispatch(now, s)
}

func (b *baseline) cancel(id ident.Request) {
	r := b.requests[id]
	if r == nil || r.running {
		return
	}
	delete(b.requests, id)
	r.service.outstanding[r.customer]--
	r.service.remove(r)
}

func (b *baseline) dispatch(now time.Time, s *plainService) []admission.Action {
	var actions []admission.Action
	for s.open < s.slots && len(s.queue) > 0 {
		r := s.queue[0]
		s.queue = s.queue[1:]
		s.virtualTime = max(s.virtualTime, r.tag)
		s.open++
		r.running = true
		actions = append(actions, admission.Admit{Request: r.id, Service: r.name, Waited: now.Sub(r.arrived)})
	}
	return actions
}

// push inserts a request into the queue, which is ordered by tag.
func (s *plainService) push(r *plainRequest) {
	s.queue = append(s.queue, r)
	for i := len(s.queue) - 1; i > 0 && s.queue[i-1].tag > r.tag; i-- {
		s.queue[i], s.queue[i-1] = s.queue[i-1], s.queue[i]
	}
}

func (s *plainService) remove(r *plainRequest) {
	for i, other := range s.queue {
		if other == r {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			return
		}
	}
}

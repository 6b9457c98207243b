package admission

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
	"github.com/bramleyspool/bramleyspool/internal/template"
)

// Controller admits, queues and refuses the requests of one entry.
// It is not safe for concurrent use.
type Controller struct {
	settings Settings
	random   *rand.Rand
	roster   roster
	holder   *limitHolder
	account  *Account
	services map[ident.Service]*service
	queues   map[ClassKey]*classQueue
	// totalWeight is the sum of the weights of all customers.
	totalWeight float64
	requests    map[ident.Request]*request
	deadlines   deadlineHeap
	nextReport  time.Time
	actions     []Action
}

// NewController returns a Controller without customers or capacity.
func NewController(settings Settings) *Controller {
	return &Controller{
		settings: settings,
		random:   rand.New(rand.NewPCG(settings.Seed, uint64(settings.Self.Incarnation))),
		holder:   newLimitHolder(settings),
		account:  NewAccount(settings.Self),
		services: make(map[ident.Service]*service),
		queues:   make(map[ClassKey]*classQueue),
		requests: make(map[ident.Request]*request),
	}
}

// Step handles one event; now is the time of the process's monotonic clock. The caller may keep the returned actions.
func (c *Controller) Step(now time.Time, event Event) []Action {
	c.actions = nil
	for _, s := range c.services {
		s.advance(now)
	}
	c.expire(now)
	switch e := event.(type) {
	case Configure:
		c.configure(now, e)
	case Arrive:
		c.arrive(now, e)
	case Capacity:
		c.capacity(now, e)
	case Done:
		c.done(now, e)
	case Cancel:
		c.cancel(now, e)
	case LimitGranted:
		c.holder.handleGrant(now, e.Grant)
	case Tick:
		c.report(now)
	}
	for _, request := range c.holder.tick(now) {
		c.emit(request)
	}
	return c.actions
}

// Account returns the account of this process. It changes with every Step.
func (c *Controller) Account() *Account {
	return c.account
}

// FinalReport returns the final account report of a process that shuts down as planned.
func (c *Controller) FinalReport() Report {
	report, _ := c.account.Report(true)
	return Report{Message: report}
}

func (c *Controller) emit(action Action) {
	c.actions = append(c.actions, action)
}

func (c *Controller) configure(now time.Time, e Configure) {
	c.roster = c.roster.update(e.Roster, c.settings.Leases.MaxCoordinators)
	configured := make(map[ClassKey]struct{}, len(c.queues))
	c.totalWeight = 0
	for i := range e.Plans {
		plan := &e.Plans[i]
		c.totalWeight += plan.Weight
		for j := range plan.Classes {
			key := ClassKey{Customer: plan.Customer, Class: plan.Classes[j].Name}
			configured[key] = struct{}{}
			c.configureQueue(now, key, plan.Weight, plan.Classes[j])
		}
	}
	for _, key := range c.queueKeys() {
		if _, ok := configured[key]; !ok {
			c.removeQueue(now, key)
		}
	}
	c.holder.configure(now, e.Plans, c.roster)
}

func (c *Controller) queueKeys() []ClassKey {
	keys := make([]ClassKey, 0, len(c.queues))
	for key := range c.queues {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, compareKeys)
	return keys
}

func (c *Controller) configureQueue(now time.Time, key ClassKey, weight float64, plan template.ClassPlan) {
	q := c.queues[key]
	if q != nil && q.plan.Service != plan.Service {
		c.removeQueue(now, key)
		q = nil
	}
	if q == nil {
		q = &classQueue{key: key, flow: c.flow(key.Customer, plan.Service, weight)}
		q.retries.permits = c.settings.RetryBurst
		q.flow.queues = append(q.flow.queues, q)
		c.queues[key] = q
	}
	q.plan = plan
	if q.flow.weight != weight {
		q.flow.service.setWeight(q.flow, weight)
	}
	if q.flow.queued > 0 {
		q.flow.service.reposition(q.flow)
	}
}

func (c *Controller) flow(customer ident.Customer, name ident.Service, weight float64) *flow {
	s := c.service(name)
	f := s.flows[customer]
	if f == nil {
		f = &flow{customer: customer, service: s, weight: weight, index: -1}
		s.flows[customer] = f
	}
	return f
}

func (c *Controller) service(name ident.Service) *service {
	s := c.services[name]
	if s == nil {
		s = newService(name)
		c.services[name] = s
	}
	return s
}

// removeQueue removes the queue of a class that is no longer configured, or is configured for another service now. It
// refuses the queued requests; dispatched ones continue.
func (c *Controller) removeQueue(now time.Time, key ClassKey) {
	removed := c.queues[key]
	delete(c.queues, key)
	for removed.head != nil {
		c.refuseQueued(now, removed.head, refusal{cause: outcome.CauseNoRoute})
	}
	f := removed.flow
	f.queues = slices.DeleteFunc(f.queues, func(q *classQueue) bool { return q == removed })
	c.dropIdleFlow(f)
}

// dropIdleFlow removes a flow without queues and dispatched requests.
func (c *Controller) dropIdleFlow(f *flow) {
	if len(f.queues) == 0 && f.open == 0 {
		delete(f.service.flows, f.customer)
	}
}

func (c *Controller) capacity(now time.Time, e Capacity) {
	s := c.service(e.Service)
	s.slots = max(0, e.Slots)
	s.serviceTime = e.ServiceTime
	s.answerTime = e.AnswerTime
	c.dispatch(now, s)
}

// dispatch admits queued requests while slots are free.
func (c *Controller) dispatch(now time.Time, s *service) {
	for {
		r := s.dispatch(c.settings.ClassFloor)
		if r == nil {
			return
		}
		heap.Remove(&c.deadlines, r.index)
		r.running = true
		r.admitted = now
		c.emit(Admit{Request: r.id, Service: s.name, NotAfter: r.startBy, Waited: now.Sub(r.arrived)})
	}
}

func (c *Controller) done(now time.Time, e Done) {
	r := c.requests[e.Request]
	if r == nil || !r.running {
		return
	}
	took := now.Sub(r.admitted)
	f := r.queue.flow
	f.service.complete(f, r.cost, took)
	extra := 0
	if e.Tokens > 0 {
		extra = e.Tokens - r.tokens
	}
	if e.Outcome.Kind == outcome.Served {
		r.queue.cost.observe(took, r.tokens+extra)
		r.queue.retries.replenish(c.settings)
	}
	c.close(now, r, extra, e.Outcome, LimitNone)
	c.dropIdleFlow(f)
	c.dispatch(now, f.service)
}

// close removes a request, releases its limits and counts its outcome. extra is the number of tokens used beyond the
// estimate.
func (c *Controller) close(now time.Time, r *request, extra int, result outcome.Outcome, limit LimitKind) {
	delete(c.requests, r.id)
	c.holder.release(now, r.queue.key, extra)
	c.account.Close(r.queue.key, result, limit, r.worth)
}

func (c *Controller) cancel(now time.Time, e Cancel) {
	r := c.requests[e.Request]
	if r == nil || r.running {
		return
	}
	c.refuseQueued(now, r, refusal{cause: outcome.CauseCallerGone})
}

// report publishes the changed entries of the account at each report interval.
func (c *Controller) report(now time.Time) {
	if now.Before(c.nextReport) {
		return
	}
	c.nextReport = now.Add(c.settings.ReportInterval)
	if report, ok := c.account.Report(false); ok {
		c.emit(Report{Message: report})
	}
}

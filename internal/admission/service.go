package admission

import (
	"container/heap"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// service shares the slots of one service between customers by weighted fair queueing. A customer is eligible while it
// has received no more than its weighted share. Eligible customers are ordered by the priority of their next request,
// then by virtual finish. If none is eligible, the customer that is least ahead of its share is dispatched, so that no
// slot stays idle.
type service struct {
	name        ident.Service
	slots       int
	open        int
	serviceTime time.Duration
	answerTime  time.Duration
	// virtualTime is the slot time in seconds that a customer of weight 1 with queued requests has been entitled to
	// since the start.
	virtualTime float64
	advancedAt  time.Time
	// waitingWeight is the sum of the weights of customers with queued requests.
	waitingWeight float64
	// activeWeight is the sum of the weights of customers with queued or dispatched requests.
	activeWeight float64
	// openNotWaiting is the number of dispatched requests of customers without queued ones.
	openNotWaiting int
	flows          map[ident.Customer]*flow
	eligible       flowHeap
	ineligible     flowHeap
}

func newService(name ident.Service) *service {
	return &service{
		name:       name,
		flows:      make(map[ident.Customer]*flow),
		eligible:   flowHeap{less: lessByUrgency},
		ineligible: flowHeap{less: lessByStart},
	}
}

// advance moves the virtual time forward. Customers with queued requests are entitled to the slots that the others
// do not use.
func (s *service) advance(now time.Time) {
	elapsed := now.Sub(s.advancedAt).Seconds()
	s.advancedAt = now
	if s.waitingWeight <= 0 || elapsed <= 0 {
		return
	}
	s.virtualTime += elapsed * float64(max(0, s.slots-s.openNotWaiting)) / s.waitingWeight
}

// enqueue adds a request to its queue.
func (s *service) enqueue(r *request) {
	f := r.queue.flow
	if f.queued == 0 {
		s.beginWaiting(f)
	}
	f.queued++
	f.queuedCost += r.cost
	r.queue.push(r)
	s.reposition(f)
}

// dequeue removes a queued request.
func (s *service) dequeue(r *request) {
	f := r.queue.flow
	f.queued--
	f.queuedCost -= r.cost
	r.queue.remove(r)
	s.reposition(f)
	if f.queued == 0 {
		f.queuedCost = 0
		s.endWaiting(f)
	}
}

// dispatch removes and returns the next request; nil if none is queued or no slot is free.
func (s *service) dispatch(floor float64) *request {
	if s.open >= s.slots {
		return nil
	}
	f := s.pick()
	if f == nil {
		return nil
	}
	r := f.nextQueue.head
	f.updateDeficits(r.queue, r.cost, floor)
	f.virtualStart += r.cost / f.weight
	s.beginOpen(f)
	s.dequeue(r)
	return r
}

// pick returns the flow whose request is dispatched next; nil if none is queued.
func (s *service) pick() *flow {
	s.promote()
	if s.eligible.Len() == 0 {
		if s.ineligible.Len() == 0 {
			return nil
		}
		s.virtualTime = max(s.virtualTime, s.ineligible.flows[0].virtualStart)
		s.promote()
	}
	return s.eligible.flows[0]
}

// promote moves the flows that have become eligible.
func (s *service) promote() {
	for s.ineligible.Len() > 0 && s.ineligible.flows[0].virtualStart <= s.virtualTime {
		f := heap.Pop(&s.ineligible).(*flow)
		f.eligible = true
		heap.Push(&s.eligible, f)
	}
}

// reposition selects the flow's next queue and moves the flow to its current heap.
func (s *service) reposition(f *flow) {
	s.removeFromHeap(f)
	f.selectQueue()
	if f.nextQueue == nil {
		return
	}
	f.eligible = f.virtualStart <= s.virtualTime
	if f.eligible {
		heap.Push(&s.eligible, f)
		return
	}
	heap.Push(&s.ineligible, f)
}

func (s *service) removeFromHeap(f *flow) {
	if f.index < 0 {
		return
	}
	if f.eligible {
		heap.Remove(&s.eligible, f.index)
		return
	}
	heap.Remove(&s.ineligible, f.index)
}

func (s *service) beginWaiting(f *flow) {
	f.virtualStart = max(f.virtualStart, s.virtualTime)
	s.waitingWeight += f.weight
	s.openNotWaiting -= f.open
	if f.open == 0 {
		s.activeWeight += f.weight
	}
}

func (s *service) endWaiting(f *flow) {
	s.waitingWeight -= f.weight
	s.openNotWaiting += f.open
	if f.open == 0 {
		s.activeWeight -= f.weight
	}
	s.resetIfIdle()
}

func (s *service) beginOpen(f *flow) {
	s.open++
	f.open++
	if f.queued == 0 {
		s.openNotWaiting++
	}
}

// complete ends a dispatched request and charges the slot time that it took beyond its estimate.
func (s *service) complete(f *flow, estimate float64, took time.Duration) {
	s.open--
	f.open--
	if f.queued == 0 {
		s.openNotWaiting--
		if f.open == 0 {
			s.activeWeight -= f.weight
		}
		s.resetIfIdle()
	}
	f.virtualStart += (took.Seconds() - estimate) / f.weight
	if f.queued > 0 {
		s.reposition(f)
	}
}

// resetIfIdle resets the sums of weights, which carry rounding errors, if no customer is active.
func (s *service) resetIfIdle() {
	if s.open == 0 && s.eligible.Len()+s.ineligible.Len() == 0 {
		s.activeWeight, s.waitingWeight = 0, 0
	}
}

// setWeight changes a customer's weight.
func (s *service) setWeight(f *flow, weight float64) {
	change := weight - f.weight
	if f.queued > 0 {
		s.waitingWeight += change
	}
	if f.queued > 0 || f.open > 0 {
		s.activeWeight += change
	}
	f.weight = weight
	if f.queued > 0 {
		s.reposition(f)
	}
}

// rate returns the slot time per second that the customer gets while it has queued requests: at least its weighted
// share of the slots among all active customers.
func (s *service) rate(f *flow) float64 {
	waiting, active := s.waitingWeight, s.activeWeight
	othersOpenNotWaiting := s.openNotWaiting
	if f.queued == 0 {
		waiting += f.weight
		othersOpenNotWaiting -= f.open
		if f.open == 0 {
			active += f.weight
		}
	}
	share := float64(s.slots) * f.weight / active
	spare := float64(s.slots-othersOpenNotWaiting) * f.weight / waiting
	return max(share, spare)
}

// lead returns by how much slot time in seconds the customer is ahead of its share.
func (s *service) lead(f *flow) float64 {
	return max(0, f.virtualStart-s.virtualTime) * f.weight
}

// flowHeap is a heap of flows that records each flow's position in it.
type flowHeap struct {
	flows []*flow
	less  func(a, b *flow) bool
}

// Len returns the number of flows.
func (h *flowHeap) Len() int { return len(h.flows) }

// Less orders two flows.
func (h *flowHeap) Less(i, j int) bool { return h.less(h.flows[i], h.flows[j]) }

// Swap exchanges two flows.
func (h *flowHeap) Swap(i, j int) {
	h.flows[i], h.flows[j] = h.flows[j], h.flows[i]
	h.flows[i].index = i
	h.flows[j].index = j
}

// Push appends a flow.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(h.flows)
	h.flows = append(h.flows, f)
}

// Pop removes the last flow.
func (h *flowHeap) Pop() any {
	last := len(h.flows) - 1
	f := h.flows[last]
	h.flows[last] = nil
	h.flows = h.flows[:last]
	f.index = -1
	return f
}

func lessByStart(a, b *flow) bool {
	if a.virtualStart != b.virtualStart {
		return a.virtualStart < b.virtualStart
	}
	return a.customer < b.customer
}

func lessByUrgency(a, b *flow) bool {
	if a.priority() != b.priority() {
		return a.priority() < b.priority()
	}
	if fa, fb := a.virtualFinish(), b.virtualFinish(); fa != fb {
		return fa < fb
	}
	return a.customer < b.customer
}

package admission

import (
	"container/heap"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// service shares the slots of one service between customers. A customer is eligible
// while it has received no more than its weighted share; among eligible customers the
// priority of the waiting request decides, then the earliest virtual finish. If none is
// eligible, the one that is least ahead of its share goes, so that no slot stays idle.
type service struct {
	name        ident.Service
	slots       int
	open        int
	serviceTime time.Duration
	answerTime  time.Duration
	// virtual is the virtual time: the slot time in seconds that a waiting customer of
	// weight 1 is entitled to since the start.
	virtual    float64
	advancedAt time.Time
	// waitingWeight is the sum of the weights of customers with waiting requests.
	waitingWeight float64
	// activeWeight is the sum of the weights of customers with waiting or open requests.
	activeWeight float64
	// idleOpen is the number of open requests of customers without waiting ones.
	idleOpen int
	flows    map[ident.Customer]*flow
	eligible flowHeap
	ahead    flowHeap
}

func newService(name ident.Service) *service {
	return &service{
		name:     name,
		flows:    make(map[ident.Customer]*flow),
		eligible: flowHeap{less: lessByUrgency},
		ahead:    flowHeap{less: lessByStart},
	}
}

// advance moves the virtual time: customers with waiting requests are entitled to the
// slots that the others leave.
func (s *service) advance(now time.Time) {
	elapsed := now.Sub(s.advancedAt).Seconds()
	s.advancedAt = now
	if s.waitingWeight <= 0 || elapsed <= 0 {
		return
	}
	s.virtual += elapsed * float64(max(0, s.slots-s.idleOpen)) / s.waitingWeight
}

// enqueue adds a request to its lane.
func (s *service) enqueue(r *request) {
	f := r.lane.flow
	if f.queued == 0 {
		s.beginWaiting(f)
	}
	f.queued++
	f.queuedCost += r.cost
	r.lane.push(r)
	s.replace(f)
}

// withdraw removes a waiting request.
func (s *service) withdraw(r *request) {
	f := r.lane.flow
	f.queued--
	f.queuedCost -= r.cost
	r.lane.remove(r)
	s.replace(f)
	if f.queued == 0 {
		f.queuedCost = 0
		s.endWaiting(f)
	}
}

// dispatch takes the next request; nil if none waits or no slot is free.
func (s *service) dispatch(floor float64) *request {
	if s.open >= s.slots {
		return nil
	}
	f := s.pick()
	if f == nil {
		return nil
	}
	r := f.next.head
	f.creditFloors(r.lane, r.cost, floor)
	f.start += r.cost / f.weight
	s.beginOpen(f)
	s.withdraw(r)
	return r
}

// pick returns the flow whose request goes next.
func (s *service) pick() *flow {
	s.promote()
	if s.eligible.Len() == 0 {
		if s.ahead.Len() == 0 {
			return nil
		}
		s.virtual = max(s.virtual, s.ahead.flows[0].start)
		s.promote()
	}
	return s.eligible.flows[0]
}

// promote moves the customers that became eligible.
func (s *service) promote() {
	for s.ahead.Len() > 0 && s.ahead.flows[0].start <= s.virtual {
		f := heap.Pop(&s.ahead).(*flow)
		f.eligible = true
		heap.Push(&s.eligible, f)
	}
}

// replace puts the flow into the heap where it belongs now.
func (s *service) replace(f *flow) {
	s.unplace(f)
	f.choose()
	if f.next == nil {
		return
	}
	f.eligible = f.start <= s.virtual
	if f.eligible {
		heap.Push(&s.eligible, f)
		return
	}
	heap.Push(&s.ahead, f)
}

func (s *service) unplace(f *flow) {
	if f.index < 0 {
		return
	}
	if f.eligible {
		heap.Remove(&s.eligible, f.index)
		return
	}
	heap.Remove(&s.ahead, f.index)
}

func (s *service) beginWaiting(f *flow) {
	f.start = max(f.start, s.virtual)
	s.waitingWeight += f.weight
	s.idleOpen -= f.open
	if f.open == 0 {
		s.activeWeight += f.weight
	}
}

func (s *service) endWaiting(f *flow) {
	s.waitingWeight -= f.weight
	s.idleOpen += f.open
	if f.open == 0 {
		s.activeWeight -= f.weight
	}
	s.settle()
}

func (s *service) beginOpen(f *flow) {
	s.open++
	f.open++
	if f.queued == 0 {
		s.idleOpen++
	}
}

// finish ends a dispatched request and charges what it took beyond its estimate.
func (s *service) finish(f *flow, estimate float64, took time.Duration) {
	s.open--
	f.open--
	if f.queued == 0 {
		s.idleOpen--
		if f.open == 0 {
			s.activeWeight -= f.weight
		}
		s.settle()
	}
	f.start += (took.Seconds() - estimate) / f.weight
	if f.queued > 0 {
		s.replace(f)
	}
}

// settle removes the rounding errors of the sums when nobody is active.
func (s *service) settle() {
	if s.open == 0 && s.eligible.Len()+s.ahead.Len() == 0 {
		s.activeWeight, s.waitingWeight = 0, 0
	}
}

// reweigh changes a customer's weight.
func (s *service) reweigh(f *flow, weight float64) {
	change := weight - f.weight
	if f.queued > 0 {
		s.waitingWeight += change
	}
	if f.queued > 0 || f.open > 0 {
		s.activeWeight += change
	}
	f.weight = weight
	if f.queued > 0 {
		s.replace(f)
	}
}

// rate returns the slot time per second that the customer gets while it waits: at
// least its weighted share of the slots among all active customers.
func (s *service) rate(f *flow) float64 {
	waiting, active := s.waitingWeight, s.activeWeight
	idleOpen := s.idleOpen
	if f.queued == 0 {
		waiting += f.weight
		idleOpen -= f.open
		if f.open == 0 {
			active += f.weight
		}
	}
	share := float64(s.slots) * f.weight / active
	spare := float64(s.slots-idleOpen) * f.weight / waiting
	return max(share, spare)
}

// lead returns by how much slot time the customer is ahead of its share, in seconds.
func (s *service) lead(f *flow) float64 {
	return max(0, f.start-s.virtual) * f.weight
}

// flowHeap is a heap of flows that keeps their positions.
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
	if a.start != b.start {
		return a.start < b.start
	}
	return a.customer < b.customer
}

func lessByUrgency(a, b *flow) bool {
	if a.band() != b.band() {
		return a.band() < b.band()
	}
	if fa, fb := a.finish(), b.finish(); fa != fb {
		return fa < fb
	}
	return a.customer < b.customer
}

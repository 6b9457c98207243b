package overload

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/admission"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
)

// bench is a discrete-event simulation of one policy in one scenario with one seed.
type bench struct {
	scenario  scenario
	random    *rand.Rand
	now       time.Time
	entries   []Policy
	queue     eventQueue
	order     uint64
	calls     map[ident.Request]*call
	workloads []workload
	figures   figures
}

// call is one call of a caller with all its tries. customer, workload and entry are indices; first and
// arrived are the arrival times of the first and of the latest try.
type call struct {
	customer, workload, entry int
	tries                     int
	first                     time.Time
	arrived                   time.Time
	running                   bool
}

type benchEvent struct {
	at    time.Time
	order uint64
	kind  eventKind
	call  *call
	id    ident.Request
	// customer and workload are the indices of a new call.
	customer, workload int
}

type eventKind int

const (
	newCall eventKind = iota
	retryCall
	endCall
	callDeadline
	tick
)

// maxTries is the most tries of one call, including the first.
const maxTries = 5

// compliantCallers is the fraction of callers that respect Retry-After.
const compliantCallers = 0.5

// figures are the totals and samples of one simulation; waits are in seconds.
type figures struct {
	worth        float64
	offeredWorth float64
	// lookups and drafts are the waits of admitted requests of these classes.
	lookups []float64
	// withinShareLookups are the lookups of customers that demand less than their share.
	withinShareLookups []float64
	drafts             []float64
	draftsSent         int
	// slotTime is the slot time in seconds that each customer received at the counter service.
	slotTime []float64
	// arrivals counts all tries, withinShare those of customers that demand less than their share, and
	// withinShareRefused the refused or abandoned tries among these.
	arrivals, withinShare, withinShareRefused int
}

func runBench(s scenario, seed uint64, newPolicy func(entry int) Policy) figures {
	b := &bench{
		scenario: s, random: rand.New(rand.NewPCG(seed, 3)), now: startTime,
		calls: make(map[ident.Request]*call), workloads: workloads(),
	}
	b.figures.slotTime = make([]float64, customerCount)
	for entry := range s.split {
		policy := newPolicy(entry)
		b.entries = append(b.entries, policy)
		// The plans set no limits that would be divided among the roster, so one name serves all entries.
		policy.Step(b.now, admission.Configure{Plans: plans(), Roster: []ident.VM{"entry"}})
		b.grantSlots(entry)
	}
	for customer := range customerCount {
		for workload := range b.workloads {
			b.scheduleNew(customer, workload)
		}
	}
	b.schedule(benchEvent{at: b.now, kind: tick})
	for len(b.queue) > 0 {
		event := heap.Pop(&b.queue).(benchEvent)
		b.now = event.at
		if b.now.Sub(startTime) > duration {
			break
		}
		b.handle(event)
	}
	return b.figures
}

// grantSlots sets an entry's slots in proportion to its part of the arrivals.
func (b *bench) grantSlots(entry int) {
	part := b.scenario.split[entry]
	seen := make(map[ident.Service]bool)
	for _, w := range b.workloads {
		if seen[w.plan.Service] {
			continue
		}
		seen[w.plan.Service] = true
		slots := int(float64(w.slots)*part + 0.5)
		b.entries[entry].Step(b.now, admission.Capacity{Service: w.plan.Service, Slots: slots, ServiceTime: w.serviceTime})
	}
}

func (b *bench) schedule(event benchEvent) {
	b.order++
	event.order = b.order
	heap.Push(&b.queue, event)
}

// scheduleNew schedules the next call of a customer and workload, which arrive as a Poisson process.
func (b *bench) scheduleNew(customer, workload int) {
	w := b.workloads[workload]
	rate := b.scenario.demand(customer) * w.part * float64(w.slots) / w.serviceTime.Seconds()
	if rate <= 0 {
		return
	}
	gap := time.Duration(b.random.ExpFloat64() / rate * float64(time.Second))
	b.schedule(benchEvent{at: b.now.Add(gap), kind: newCall, customer: customer, workload: workload})
}

func (b *bench) handle(event benchEvent) {
	switch event.kind {
	case newCall:
		b.scheduleNew(event.customer, event.workload)
		b.offer(&call{customer: event.customer, workload: event.workload, entry: b.pickEntry(), first: b.now})
	case retryCall:
		event.call.entry = b.pickEntry()
		b.offer(event.call)
	case endCall:
		b.end(event)
	case callDeadline:
		b.handleDeadline(event)
	case tick:
		b.schedule(benchEvent{at: b.now.Add(admission.TickInterval), kind: tick})
		for _, policy := range b.entries {
			b.perform(policy.Step(b.now, admission.Tick{}))
		}
	}
}

func (b *bench) pickEntry() int {
	at := b.random.Float64()
	for entry, part := range b.scenario.split {
		if at < part {
			return entry
		}
		at -= part
	}
	return len(b.scenario.split) - 1
}

// measured reports whether the figures include a call: its first try is after the warm-up.
func (b *bench) measured(c *call) bool {
	return c.first.Sub(startTime) > warmUp
}

func (b *bench) withinShare(c *call) bool {
	return b.scenario.flood && c.customer != flooder
}

func (b *bench) offer(c *call) {
	w := b.workloads[c.workload]
	c.tries++
	c.arrived = b.now
	c.running = false
	id := ident.Request(fmt.Sprint(b.order, "-", c.tries))
	b.order++
	b.calls[id] = c
	if b.measured(c) {
		b.countArrival(c, w)
	}
	b.schedule(benchEvent{at: b.now.Add(w.plan.Deadline), kind: callDeadline, id: id})
	arrive := admission.Arrive{Request: id, Customer: customerName(c.customer), Class: w.plan.Name, Retry: c.tries > 1}
	b.perform(b.entries[c.entry].Step(b.now, arrive))
}

func (b *bench) countArrival(c *call, w workload) {
	b.figures.arrivals++
	if b.withinShare(c) {
		b.figures.withinShare++
	}
	if c.tries > 1 {
		return
	}
	b.figures.offeredWorth += w.plan.Worth
	if w.plan.Name == "draft" {
		b.figures.draftsSent++
	}
}

func (b *bench) perform(actions []admission.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case admission.Admit:
			b.recordAdmission(a)
		case admission.Refuse:
			b.handleRefusal(a.Request, a.Outcome)
		}
	}
}

func (b *bench) recordAdmission(a admission.Admit) {
	c := b.calls[a.Request]
	c.running = true
	w := b.workloads[c.workload]
	hold := time.Duration(b.random.ExpFloat64()*0.5*float64(w.serviceTime)) + w.serviceTime/2
	b.schedule(benchEvent{at: b.now.Add(hold), kind: endCall, id: a.Request})
	if !b.measured(c) {
		return
	}
	waited := b.now.Sub(c.arrived).Seconds()
	switch w.plan.Name {
	case "lookup":
		b.figures.lookups = append(b.figures.lookups, waited)
		if b.withinShare(c) {
			b.figures.withinShareLookups = append(b.figures.withinShareLookups, waited)
		}
	case "draft":
		b.figures.drafts = append(b.figures.drafts, waited)
	}
	b.figures.worth += w.plan.Worth
	if w.plan.Service == "counter" {
		b.figures.slotTime[c.customer] += hold.Seconds()
	}
}

func (b *bench) end(event benchEvent) {
	c := b.calls[event.id]
	delete(b.calls, event.id)
	done := admission.Done{Request: event.id, Outcome: outcome.Outcome{Kind: outcome.Served}}
	b.perform(b.entries[c.entry].Step(b.now, done))
}

func (b *bench) handleRefusal(id ident.Request, result outcome.Outcome) {
	c := b.calls[id]
	delete(b.calls, id)
	if b.measured(c) && b.withinShare(c) {
		b.figures.withinShareRefused++
	}
	b.retry(c, result.RetryAfter)
}

// handleDeadline cancels a request that was not admitted by its deadline.
func (b *bench) handleDeadline(event benchEvent) {
	c := b.calls[event.id]
	if c == nil || c.running {
		return
	}
	actions := b.entries[c.entry].Step(b.now, admission.Cancel{Request: event.id})
	if len(actions) > 0 {
		b.perform(actions)
		return
	}
	b.handleRefusal(event.id, outcome.Outcome{})
}

// retry schedules the next try. Compliant callers wait for Retry-After, the others for a random time
// of 0.1 s to 0.5 s.
func (b *bench) retry(c *call, after time.Duration) {
	if !b.scenario.retries || c.tries >= maxTries {
		return
	}
	if after == 0 || b.random.Float64() >= compliantCallers {
		after = time.Duration((0.1 + 0.4*b.random.Float64()) * float64(time.Second))
	}
	b.schedule(benchEvent{at: b.now.Add(after), kind: retryCall, call: c})
}

// eventQueue orders events by time, then by the order of scheduling.
type eventQueue []benchEvent

// Len implements heap.Interface.
func (a eventQueue) Len() int { return len(a) }

// Less implements heap.Interface.
func (a eventQueue) Less(i, j int) bool {
	if !a[i].at.Equal(a[j].at) {
		return a[i].at.Before(a[j].at)
	}
	return a[i].order < a[j].order
}

// Swap implements heap.Interface.
func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push implements heap.Interface.
func (a *eventQueue) Push(x any) { *a = append(*a, x.(benchEvent)) }

// Pop implements heap.Interface.
func (a *eventQueue) Pop() any {
	last := len(*a) - 1
	event := (*a)[last]
	*a = (*a)[:last]
	return event
}

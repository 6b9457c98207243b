package routes

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/bramleyspool/bramleyspool/charts"
	"github.com/bramleyspool/bramleyspool/internal/fleet"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/membership"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
	"github.com/bramleyspool/bramleyspool/internal/routing"
)

const (
	// networkDelay is the delay of a message between an entry and an agent.
	networkDelay = time.Millisecond
	// queueSlots is the number of requests that an agent accepts beyond the slots of its engine.
	queueSlots = 8
	// reportInterval is the time between two load reports of an engine to its agent.
	reportInterval = 500 * time.Millisecond
	// warmUp is the time at the start that the results leave out.
	warmUp = 20 * time.Second
)

// setup is one case of the measurement: the fleet and its demand.
type setup struct {
	name     string
	entries  int
	replicas int
	// rate is the number of requests per second and replica.
	rate float64
	// duration is the length of the simulation.
	duration time.Duration
	// straggler is the factor by which the first replica is slower; 1 for none.
	straggler float64
	// joins is the number of replicas that join halfway, with an empty cache.
	joins int
	// leaves is the number of replicas that leave halfway.
	leaves int
	// subsets makes each entry lease only a subset of the replicas.
	subsets bool
	// uneven sends half of the requests to the first entry.
	uneven bool
}

// entry is one entry with the decision code of packages membership and routing.
type entry struct {
	self     ident.Instance
	holder   *membership.Holder
	picker   *routing.Picker
	prefixes *routing.PrefixIndex
	builder  *routing.SnapshotBuilder
	queue    []*call
	views    []membership.BackendView
}

// replica is a backend server with its agent.
type replica struct {
	engine  *engine
	grantor *membership.Grantor
	leaving bool
}

// world is a discrete-event simulation of entries and replicas with one policy.
type world struct {
	setup
	policy   policy
	now      time.Time
	start    time.Time
	queue    eventQueue
	seq      int
	random   *rand.Rand
	entries  []*entry
	replicas []*replica
	byVM     map[ident.VM]*replica
	prompts  [][]routing.Block
	calls    int
	figures  figures
}

func newWorld(s setup, p policy, seed uint64) *world {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	w := &world{setup: s, policy: p, now: now, start: now, random: rand.New(rand.NewPCG(seed, 2)), byVM: map[ident.VM]*replica{}}
	w.makePrompts()
	for i := range s.replicas {
		slow := 1.0
		if i == 0 {
			slow = s.straggler
		}
		w.addReplica(slow)
	}
	for i := range s.entries {
		w.entries = append(w.entries, w.newEntry(i, seed))
	}
	w.chooseBackends()
	return w
}

// makePrompts generates the shared prefixes of prompts: 20 system prompts, each followed by one of 30
// documents, in random order.
func (w *world) makePrompts() {
	for range 20 {
		var system []routing.Block
		for range 4 {
			system = append(system, routing.Block(w.random.Uint64()))
		}
		for range 30 {
			prompt := append([]routing.Block(nil), system...)
			for range 6 + w.random.IntN(24) {
				prompt = append(prompt, routing.Block(w.random.Uint64()))
			}
			w.prompts = append(w.prompts, prompt)
		}
	}
	w.random.Shuffle(len(w.prompts), func(i, j int) { w.prompts[i], w.prompts[j] = w.prompts[j], w.prompts[i] })
}

func (w *world) addReplica(slow float64) {
	vm := ident.VM(fmt.Sprintf("replica-%02d", len(w.replicas)))
	r := &replica{engine: newEngine(vm, slow)}
	r.engine.stepTime = stepBase
	r.grantor = membership.NewGrantor(membership.GrantorSettings{Self: ident.Instance{VM: vm, Incarnation: 1}, Slots: slots + queueSlots})
	w.replicas = append(w.replicas, r)
	w.byVM[vm] = r
	w.every(reportInterval, func() { w.reportLoad(r) })
	w.every(200*time.Millisecond, func() { w.sendCacheEvents(r) })
}

func (w *world) newEntry(i int, seed uint64) *entry {
	self := ident.Instance{VM: ident.VM(fmt.Sprintf("entry-%02d", i)), Incarnation: 1}
	holder, err := membership.NewHolder(membership.HolderSettings{Self: self}, charts.Files)
	if err != nil {
		panic("invariant: " + err.Error())
	}
	e := &entry{
		self:     self,
		holder:   holder,
		picker:   routing.NewPicker(w.policy.routing(), seed*7919+uint64(i)),
		prefixes: routing.NewPrefixIndex(w.now, 2*cacheBlocks, 0),
		builder:  routing.NewSnapshotBuilder(nil),
	}
	w.every(100*time.Millisecond, func() { w.stepHolder(e, membership.HolderTick{}) })
	return e
}

func (w *world) chooseBackends() {
	var backends, entries []membership.Member
	for i, r := range w.replicas {
		backends = append(backends, membership.Member{VM: r.engine.vm, Zone: zone(i)})
	}
	for i, e := range w.entries {
		entries = append(entries, membership.Member{VM: e.self.VM, Zone: zone(i)})
	}
	settings := membership.DefaultSubsetSettings()
	if !w.subsets {
		settings.MinEntries = len(entries)
	}
	subsets := membership.Subsets(entries, backends, settings)
	var published []fleet.BackendServer
	for _, backend := range backends {
		published = append(published, fleet.BackendServer{VM: backend.VM, Capacity: slots})
	}
	for _, e := range w.entries {
		e.builder.SetBackends(published)
		w.stepHolder(e, membership.BackendsChosen{VMs: subsets[e.self.VM]})
	}
}

func zone(i int) ident.Zone {
	return ident.Zone(fmt.Sprintf("z%d", i%3))
}

// run runs the simulation and returns its results.
func (w *world) run() *figures {
	w.after(time.Second, w.arrive)
	half := w.duration / 2
	w.after(half, func() {
		for range w.joins {
			w.addReplica(1)
		}
		w.chooseBackends()
		for _, r := range w.replicas[len(w.replicas)-w.leaves:] {
			w.leave(r)
		}
	})
	w.every(250*time.Millisecond, w.sampleSpread)
	end := w.start.Add(w.duration)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		next := heap.Pop(&w.queue).(event)
		w.now = next.at
		next.action()
	}
	w.figures.countWaiting(w)
	return &w.figures
}

// arrive adds a random call to the queue of an entry and schedules the next one.
func (w *world) arrive() {
	rate := w.rate * float64(w.setup.replicas)
	w.after(time.Duration(w.random.ExpFloat64()/rate*float64(time.Second)), w.arrive)
	w.calls++
	at := w.random.IntN(len(w.entries))
	if w.uneven && w.random.IntN(2) == 0 {
		at = 0
	}
	// The exponent makes the first documents more popular than the later ones.
	document := int(float64(len(w.prompts)) * math.Pow(w.random.Float64(), 2.5))
	c := &call{id: w.calls, entry: at, blocks: w.prompts[document], arrived: w.now}
	c.prompt = len(c.blocks)*blockTokens + 20 + w.random.IntN(200)
	c.output = 20 + int(math.Exp(4.4+0.7*w.random.NormFloat64()))
	c.output = min(c.output, 1000)
	c.promptLeft, c.outputLeft = c.prompt, c.output
	w.entries[at].queue = append(w.entries[at].queue, c)
	w.dispatchQueue(w.entries[at])
}

// dispatchQueue dispatches waiting calls in order until the policy finds no target.
func (w *world) dispatchQueue(e *entry) {
	for len(e.queue) > 0 {
		if !w.dispatch(e, e.queue[0]) {
			return
		}
		e.queue = e.queue[1:]
	}
}

func (w *world) dispatch(e *entry, c *call) bool {
	// OutputTokens is the expected length, the same for all calls; arrive draws the actual one.
	request := routing.Request{ID: ident.Request(fmt.Sprint(c.id)), Blocks: c.blocks, PromptTokens: c.prompt, OutputTokens: 110}
	e.views = e.holder.Views(e.views[:0])
	snapshot := e.builder.Build(e.views, nil)
	if w.policy.prefixes {
		snapshot.Prefixes = e.prefixes
	}
	decision := e.picker.Pick(w.now, request, snapshot)
	if decision.Cause != outcome.CauseNone {
		return false
	}
	w.stepHolder(e, membership.DispatchStarted{VM: decision.VM})
	e.builder.RecordDispatch(&request, decision)
	if w.policy.prefixes {
		e.prefixes.Expect(w.now, decision.VM, c.blocks)
	}
	w.after(networkDelay, func() { w.deliverDispatch(e, c, decision) })
	return true
}

// deliverDispatch adds a dispatched call to the engine's queue. If the agent refuses it, the call goes
// back to the head of the entry's queue.
func (w *world) deliverDispatch(e *entry, c *call, decision routing.Decision) {
	r := w.byVM[decision.VM]
	cause := r.grantor.Check(w.now, e.self, decision.Incarnation, decision.Lease)
	// Policies without credits dispatch more than a lease allows, so the agent accepts those requests.
	refused := cause != outcome.CauseNone && (w.policy.credits || cause != outcome.CauseBackendsFull)
	if refused {
		c.retries++
		w.figures.refusals++
		w.after(networkDelay, func() {
			w.stepHolder(e, membership.DispatchEnded{VM: decision.VM})
			e.queue = append([]*call{c}, e.queue...)
			w.dispatchQueue(e)
		})
		return
	}
	r.grantor.Step(w.now, membership.RequestAccepted{Entry: e.self})
	r.engine.waiting = append(r.engine.waiting, c)
	w.startStep(r)
}

func (w *world) startStep(r *replica) {
	if r.engine.stepping || r.engine.open() == 0 {
		return
	}
	r.engine.stepping = true
	w.after(r.engine.startStep(), func() {
		r.engine.stepping = false
		for _, c := range r.engine.finishStep(w.now, w.tokenRecorder(r)) {
			w.done(r, c)
		}
		w.startStep(r)
	})
}

func (w *world) done(r *replica, c *call) {
	e := w.entries[c.entry]
	r.grantor.Step(w.now, membership.RequestEnded{Entry: e.self})
	w.figures.recordCall(w, c)
	w.sendLoad(r, c)
	w.after(networkDelay, func() {
		w.stepHolder(e, membership.DispatchEnded{VM: r.engine.vm})
		w.dispatchQueue(e)
	})
}

// sendLoad sends the replica's load to the entry of a call, piggybacked on the answer.
func (w *world) sendLoad(r *replica, c *call) {
	e := w.entries[c.entry]
	report := membership.LoadReceived{From: r.engine.vm, Incarnation: 1, Load: r.grantor.Load(w.now)}
	w.after(networkDelay, func() {
		e.builder.RecordLoadReport(report.From)
		w.stepHolder(e, report)
	})
}

func (w *world) leave(r *replica) {
	r.leaving = true
	for _, action := range r.grantor.Step(w.now, membership.LeaveRequested{}) {
		if leave, ok := action.(membership.SendLeaving); ok {
			w.after(networkDelay, func() {
				for _, e := range w.entries {
					if e.self == leave.To {
						w.stepHolder(e, membership.LeavingReceived{From: r.engine.vm, Leaving: leave.Leaving})
					}
				}
			})
		}
	}
}

// stepHolder passes an event to an entry's lease holder and executes the resulting actions.
func (w *world) stepHolder(e *entry, event membership.HolderEvent) {
	for _, action := range e.holder.Step(w.now, event) {
		if send, ok := action.(membership.SendLeaseRequest); ok {
			w.after(networkDelay, func() { w.requestLease(e, send) })
		}
	}
}

func (w *world) requestLease(e *entry, send membership.SendLeaseRequest) {
	r := w.byVM[send.To]
	for _, action := range r.grantor.Step(w.now, membership.LeaseRequested{From: e.self, Request: send.Request}) {
		grant := action.(membership.SendGrant).Grant
		w.after(networkDelay, func() {
			e.builder.RecordLoadReport(send.To)
			w.stepHolder(e, membership.GrantReceived{From: send.To, Grant: grant})
			w.dispatchQueue(e)
		})
	}
}

func (w *world) reportLoad(r *replica) {
	r.grantor.Step(w.now, membership.LoadReported{Load: membership.Load{
		Running:  uint32(len(r.engine.running)),
		Waiting:  uint32(len(r.engine.waiting)),
		Tokens:   uint32(r.engine.promptBacklog()),
		StepTime: uint32(r.engine.stepTime / time.Microsecond),
	}})
}

// sendCacheEvents sends the changes of a replica's cache to the entries, with a delay of 300 ms to 800 ms
// and a loss of one event in 20.
func (w *world) sendCacheEvents(r *replica) {
	event, ok := r.engine.cacheEvent()
	if !ok || !w.policy.prefixes {
		return
	}
	for _, e := range w.entries {
		if w.random.IntN(20) == 0 {
			continue
		}
		w.after(time.Duration(300+w.random.IntN(500))*time.Millisecond, func() { e.prefixes.Apply(w.now, event) })
	}
}

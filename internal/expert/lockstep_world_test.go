package expert

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// lockstepEngine is a rank's engine with the platform's semantics of orders: a fence is remembered only with an
// order that is accepted, and an order without an answer may be carried out seconds later.
type lockstepEngine struct {
	epoch    uint64
	fence    uint64
	mapNow   uint64
	content  string
	greatest uint64
	prepared uint64
	// loads is the content of the prepared map, which is complete at loadedAt.
	loads    string
	loadedAt time.Time
	armed    uint64
	armStep  uint64
	held     uint64
	experts  [][]Expert
	next     [][]Expert
}

// lockstepFaults are the faults of a world and the shares of messages and orders that they meet.
type lockstepFaults struct {
	loss, late float64
	// stale is the share of reports of a rank's state that arrive up to three seconds late.
	stale       float64
	kill, sleep time.Duration
	reform      time.Duration
	// holdsIgnored makes engines accept holds without keeping them.
	holdsIgnored bool
}

// lockstepAgent is one agent; leader is nil while it is dead.
type lockstepAgent struct {
	leader      *LockstepLeader
	incarnation int
	asleepUntil time.Time
}

type lockstepEvent struct {
	at    time.Time
	order int
	run   func()
}

type lockstepQueue []lockstepEvent

func (q lockstepQueue) Len() int { return len(q) }
func (q lockstepQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].order < q[j].order
}
func (q lockstepQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *lockstepQueue) Push(e any)   { *q = append(*q, e.(lockstepEvent)) }
func (q *lockstepQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// lockstepWorld is a group of engines with their agents on a simulated clock.
type lockstepWorld struct {
	random  *rand.Rand
	now     time.Time
	queue   lockstepQueue
	events  int
	engines []*lockstepEngine
	agents  []*lockstepAgent
	step    uint64
	faults  lockstepFaults
	// heldSince is since when the group is kept from its next pass.
	heldSince   time.Time
	longestHold time.Duration
	inForce     int
	broken      string
}

const worldPass = 50 * time.Millisecond

func newLockstepWorld(seed uint64, ranks int, faults lockstepFaults) *lockstepWorld {
	w := &lockstepWorld{
		random: rand.New(rand.NewPCG(seed, 1)), faults: faults,
		now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
	}
	for rank := range ranks {
		w.engines = append(w.engines, &lockstepEngine{})
		w.agents = append(w.agents, &lockstepAgent{})
		w.start(rank)
	}
	w.reform()
	w.every(worldPass, w.pass)
	for rank := range ranks {
		w.every(100*time.Millisecond, func() { w.poll(rank) })
		w.every(12*time.Millisecond, func() { w.tick(rank) })
	}
	w.every(300*time.Millisecond, w.propose)
	w.everyRandom(&w.faults.kill, w.killOne)
	w.everyRandom(&w.faults.sleep, w.freezeOne)
	w.everyRandom(&w.faults.reform, w.reform)
	return w
}

func (w *lockstepWorld) after(wait time.Duration, run func()) {
	w.events++
	heap.Push(&w.queue, lockstepEvent{at: w.now.Add(wait), order: w.events, run: run})
}

func (w *lockstepWorld) every(interval time.Duration, run func()) {
	var again func()
	again = func() {
		run()
		w.after(interval, again)
	}
	w.after(time.Duration(w.random.Int64N(int64(interval))), again)
}

// everyRandom runs something at random moments about an interval apart; 0 is never.
func (w *lockstepWorld) everyRandom(interval *time.Duration, run func()) {
	var again func()
	again = func() {
		pause := time.Second
		if *interval > 0 {
			run()
			pause = time.Duration(w.random.Int64N(int64(2 * *interval)))
		}
		w.after(pause, again)
	}
	w.after(time.Second, again)
}

func (w *lockstepWorld) run(span time.Duration) {
	end := w.now.Add(span)
	for w.broken == "" && len(w.queue) > 0 && !w.queue[0].at.After(end) {
		event := heap.Pop(&w.queue).(lockstepEvent)
		w.now = event.at
		event.run()
	}
	w.now = end
}

func (w *lockstepWorld) start(rank int) {
	agent := w.agents[rank]
	agent.incarnation++
	agent.leader = NewLockstepLeader(w.now, ident.Rank(rank), len(w.engines), w.engines[rank].epoch)
}

func (w *lockstepWorld) killOne() {
	rank := w.random.IntN(len(w.agents))
	if w.agents[rank].leader == nil {
		return
	}
	w.agents[rank].leader = nil
	w.after(time.Duration(w.random.Int64N(int64(3*time.Second))), func() { w.start(rank) })
}

// freezeOne lets a VM stand still: its agent does nothing, and what is sent to its engine is carried out when it wakes.
// The engine goes on with passes.
func (w *lockstepWorld) freezeOne() {
	w.agents[w.random.IntN(len(w.agents))].asleepUntil = w.now.Add(time.Duration(w.random.Int64N(int64(4 * time.Second))))
}

// reform begins a new life of the group: all that engines knew is gone.
func (w *lockstepWorld) reform() {
	epoch := w.engines[0].epoch + 1
	w.step = 0
	w.heldSince = time.Time{}
	for rank := range w.engines {
		experts := [][]Expert{{Expert(rank)}}
		w.engines[rank] = &lockstepEngine{epoch: epoch, content: "start", experts: experts}
	}
}

// pass begins the group's next pass unless a rank holds it.
func (w *lockstepWorld) pass() {
	next := w.step + 1
	for _, engine := range w.engines {
		if engine.held == next {
			if w.heldSince.IsZero() {
				w.heldSince = w.now
			}
			w.longestHold = max(w.longestHold, w.now.Sub(w.heldSince))
			return
		}
	}
	w.heldSince = time.Time{}
	w.step = next
	for _, engine := range w.engines {
		if engine.armed != 0 && engine.armStep == next {
			engine.mapNow, engine.content, engine.experts = engine.armed, engine.loads, engine.next
			engine.armed, engine.prepared = 0, 0
		}
	}
	for rank, engine := range w.engines {
		if engine.mapNow != w.engines[0].mapNow || engine.content != w.engines[0].content {
			w.broken = fmt.Sprintf("pass %d: rank 0 has map %d, rank %d has map %d", next, w.engines[0].mapNow, rank, engine.mapNow)
		}
	}
}

func (w *lockstepWorld) status(rank int) RankStatus {
	engine := w.engines[rank]
	status := RankStatus{
		Epoch: engine.epoch, Rank: ident.Rank(rank), Size: len(w.engines), Open: true, Step: w.step,
		Map: engine.mapNow, Armed: engine.armed, ArmedStep: engine.armStep, Held: engine.held,
	}
	if engine.prepared != 0 && !w.now.Before(engine.loadedAt) {
		status.Prepared = engine.prepared
	}
	return status
}

// accept carries out an order as the platform's engines do.
func (e *lockstepEngine) accept(w *lockstepWorld, rank int, order LockstepOrder) LockstepResult {
	if order.Fence < e.fence {
		return LockstepStale
	}
	if order.Epoch != e.epoch || !e.apply(w, rank, order) {
		return LockstepRefused
	}
	e.fence = order.Fence
	return LockstepAccepted
}

func (e *lockstepEngine) apply(w *lockstepWorld, rank int, order LockstepOrder) bool {
	switch order.Kind {
	case LockstepPrepare:
		if order.Version == e.prepared {
			return true
		}
		if order.Version <= e.greatest || e.armed != 0 {
			return false
		}
		e.greatest, e.prepared = order.Version, order.Version
		e.loads = fmt.Sprint(order.Placement)
		e.next = nil
		for _, layer := range order.Placement {
			e.next = append(e.next, layer[rank])
		}
		e.loadedAt = w.now.Add(150 * time.Millisecond)
	case LockstepArm:
		if e.armed == order.Version && e.armStep == order.Step {
			return true
		}
		if e.prepared != order.Version || w.now.Before(e.loadedAt) || order.Step <= w.step {
			return false
		}
		e.armed, e.armStep = order.Version, order.Step
	case LockstepDisarm:
		if e.mapNow == order.Version && order.Version != 0 {
			return false
		}
		if e.armed == order.Version {
			e.armed, e.armStep = 0, 0
		}
	case LockstepHold:
		if e.held == order.Step {
			return true
		}
		if e.held != 0 || order.Step <= w.step {
			return false
		}
		if !w.faults.holdsIgnored {
			e.held = order.Step
		}
	case LockstepRelease, LockstepClaim:
		if e.held == order.Step {
			e.held = 0
		}
	}
	return true
}

func (w *lockstepWorld) delay() time.Duration {
	return time.Duration(w.random.Int64N(int64(8 * time.Millisecond)))
}

// deliver runs something at an agent, after a delay and any sleep, if it is still the same process.
func (w *lockstepWorld) deliver(rank int, run func(agent *lockstepAgent)) {
	agent := w.agents[rank]
	incarnation := agent.incarnation
	var arrive func()
	arrive = func() {
		switch {
		case agent.leader == nil || agent.incarnation != incarnation:
		case w.now.Before(agent.asleepUntil):
			w.after(agent.asleepUntil.Sub(w.now), arrive)
		default:
			run(agent)
		}
	}
	w.after(w.delay(), arrive)
}

func (w *lockstepWorld) lost() bool { return w.random.Float64() < w.faults.loss }

func (w *lockstepWorld) poll(rank int) {
	if w.now.Before(w.agents[rank].asleepUntil) || w.agents[rank].leader == nil {
		return
	}
	status := w.status(rank)
	for other := range w.agents {
		if other != rank && w.lost() {
			continue
		}
		delay := time.Duration(0)
		if w.random.Float64() < w.faults.stale {
			delay = time.Duration(w.random.Int64N(int64(3 * time.Second)))
		}
		w.after(delay, func() {
			w.deliver(other, func(agent *lockstepAgent) { w.perform(other, agent.leader.Status(w.now, status)) })
		})
	}
}

func (w *lockstepWorld) tick(rank int) {
	agent := w.agents[rank]
	if agent.leader != nil && !w.now.Before(agent.asleepUntil) {
		w.perform(rank, agent.leader.Tick(w.now))
	}
}

func (w *lockstepWorld) propose() {
	for rank, agent := range w.agents {
		if agent.leader == nil || w.now.Before(agent.asleepUntil) || !agent.leader.Ready() || agent.leader.Placement() == nil {
			continue
		}
		target := agent.leader.Placement().Clone()
		ranks := target[0]
		i, j := w.random.IntN(len(ranks)), w.random.IntN(len(ranks))
		ranks[i], ranks[j] = ranks[j], ranks[i]
		w.perform(rank, agent.leader.Propose(w.now, target))
	}
}

func (w *lockstepWorld) perform(rank int, actions []LockstepAction) {
	for _, action := range actions {
		switch action := action.(type) {
		case SendLockstepOrder:
			w.sendOrder(rank, action)
		case Beacon:
			for other := range w.agents {
				if other != rank && !w.lost() {
					w.deliver(other, func(agent *lockstepAgent) { w.perform(other, agent.leader.Heard(w.now, ident.Rank(rank), action)) })
				}
			}
		case ReadRank:
			if w.now.Before(w.agents[action.Rank].asleepUntil) {
				continue
			}
			status := w.status(int(action.Rank))
			w.deliver(rank, func(agent *lockstepAgent) { w.perform(rank, agent.leader.Status(w.now, status)) })
		case MapInForce:
			w.inForce++
		}
	}
}

// sendOrder gives an order over the agent of its rank, or directly.
func (w *lockstepWorld) sendOrder(from int, action SendLockstepOrder) {
	to := int(action.Rank)
	leader := w.agents[from].incarnation
	answer := func(reply LockstepReply) {
		if to != from && w.lost() {
			return
		}
		if w.agents[from].incarnation == leader {
			w.deliver(from, func(agent *lockstepAgent) { w.perform(from, agent.leader.Reply(w.now, reply)) })
		}
	}
	give := func() { w.give(to, action, answer) }
	switch {
	case to == from || action.Direct:
		w.after(w.delay(), give)
	case !w.lost():
		w.deliver(to, func(*lockstepAgent) { give() })
	}
}

// give carries an order out, or leaves it unanswered and carries it out 2 to 12 s later.
func (w *lockstepWorld) give(rank int, action SendLockstepOrder, answer func(LockstepReply)) {
	reply := LockstepReply{Rank: action.Rank, Sequence: action.Sequence, HasStatus: true}
	if until := w.agents[rank].asleepUntil; w.now.Before(until) {
		w.after(until.Sub(w.now), func() { w.engines[rank].accept(w, rank, action.Order) })
		w.after(40*time.Millisecond, func() {
			reply.Result, reply.HasStatus = LockstepUnanswered, false
			answer(reply)
		})
		return
	}
	if w.random.Float64() < w.faults.late {
		late := 2*time.Second + time.Duration(w.random.Int64N(int64(10*time.Second)))
		w.after(late, func() { w.engines[rank].accept(w, rank, action.Order) })
		w.after(40*time.Millisecond, func() {
			reply.Result, reply.Status = LockstepUnanswered, w.status(rank)
			answer(reply)
		})
		return
	}
	reply.Result = w.engines[rank].accept(w, rank, action.Order)
	reply.Status = w.status(rank)
	if action.Order.Kind == LockstepClaim {
		reply.Experts = slices.Clone(w.engines[rank].experts)
	}
	answer(reply)
}

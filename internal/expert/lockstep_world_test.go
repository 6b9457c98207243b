package expert

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// lockstepEngine simulates a rank's engine. As on the users' platform, only an accepted order changes the engine's
// fence, and an unanswered order may be carried out seconds later.
type lockstepEngine struct {
	epoch         uint64
	fence         uint64
	activeMap     uint64
	activeContent string
	// maxVersion is the greatest map version that the engine has accepted to prepare.
	maxVersion uint64
	prepared   uint64
	// preparedContent is the content of the prepared map, whose experts are all loaded at loadedAt.
	preparedContent string
	loadedAt        time.Time
	armed           uint64
	armStep         uint64
	held            uint64
	experts         [][]Expert
	preparedExperts [][]Expert
}

// lockstepFaults configures the faults of a simulation. loss is the share of messages that are lost, unanswered the
// share of orders that engines do not answer. The durations are mean times between faults; 0 means never.
type lockstepFaults struct {
	loss, unanswered float64
	// stale is the share of rank reports that arrive up to three seconds late.
	stale                        float64
	killInterval, freezeInterval time.Duration
	restartInterval              time.Duration
	// holdsIgnored makes engines accept holds without applying them.
	holdsIgnored bool
	// relayLoss is the share of orders that an agent does not pass on.
	relayLoss float64
}

// lockstepAgent simulates one agent. leader is nil while the process is not running.
type lockstepAgent struct {
	leader      *LockstepLeader
	filter      RelayFilter
	incarnation int
	frozenUntil time.Time
}

type lockstepEvent struct {
	at time.Time
	// sequence orders events with the same time.
	sequence int
	run      func()
}

type lockstepQueue []lockstepEvent

func (q lockstepQueue) Len() int { return len(q) }
func (q lockstepQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].sequence < q[j].sequence
}
func (q lockstepQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *lockstepQueue) Push(e any)   { *q = append(*q, e.(lockstepEvent)) }
func (q *lockstepQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// lockstepWorld simulates a group of engines and their agents with a simulated clock.
type lockstepWorld struct {
	random  *rand.Rand
	now     time.Time
	queue   lockstepQueue
	events  int
	engines []*lockstepEngine
	agents  []*lockstepAgent
	step    uint64
	faults  lockstepFaults
	// linkRate is the rate of the agents' links in bytes a second. It only decides whether orders are relayed; messages
	// take a random time.
	linkRate float64
	// relayed counts the orders that agents passed on.
	relayed int
	// heldSince is the time since which a hold has delayed the next pass; zero if none does.
	heldSince     time.Time
	longestHold   time.Duration
	activatedMaps int
	violation     string
}

// worldPass is the time between two passes.
const worldPass = 50 * time.Millisecond

func newLockstepWorld(seed uint64, ranks int, faults lockstepFaults) *lockstepWorld {
	return newLockstepWorldWithLinks(seed, ranks, faults, 0)
}

// newLockstepWorldWithLinks returns a simulation in which links have a rate in bytes a second; 0 for no limit.
func newLockstepWorldWithLinks(seed uint64, ranks int, faults lockstepFaults, linkRate float64) *lockstepWorld {
	w := &lockstepWorld{
		linkRate: linkRate,
		random:   rand.New(rand.NewPCG(seed, 1)), faults: faults,
		now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
	}
	for rank := range ranks {
		w.engines = append(w.engines, &lockstepEngine{})
		w.agents = append(w.agents, &lockstepAgent{})
		w.start(rank)
	}
	w.restartGroup()
	w.every(worldPass, w.pass)
	for rank := range ranks {
		w.every(100*time.Millisecond, func() { w.poll(rank) })
		w.every(12*time.Millisecond, func() { w.tick(rank) })
	}
	w.every(300*time.Millisecond, w.propose)
	w.everyRandom(&w.faults.killInterval, w.killOne)
	w.everyRandom(&w.faults.freezeInterval, w.freezeOne)
	w.everyRandom(&w.faults.restartInterval, w.restartGroup)
	return w
}

func (w *lockstepWorld) after(wait time.Duration, run func()) {
	w.events++
	heap.Push(&w.queue, lockstepEvent{at: w.now.Add(wait), sequence: w.events, run: run})
}

func (w *lockstepWorld) every(interval time.Duration, run func()) {
	var again func()
	again = func() {
		run()
		w.after(interval, again)
	}
	w.after(time.Duration(w.random.Int64N(int64(interval))), again)
}

// everyRandom calls run at random times with the given mean interval; 0 means never.
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
	for w.violation == "" && len(w.queue) > 0 && !w.queue[0].at.After(end) {
		event := heap.Pop(&w.queue).(lockstepEvent)
		w.now = event.at
		event.run()
	}
	w.now = end
}

func (w *lockstepWorld) start(rank int) {
	agent := w.agents[rank]
	agent.incarnation++
	agent.filter = RelayFilter{}
	agent.leader = NewLockstepLeader(w.now, ident.Rank(rank), len(w.engines), w.engines[rank].epoch, w.linkRate)
}

func (w *lockstepWorld) killOne() {
	rank := w.random.IntN(len(w.agents))
	if w.agents[rank].leader == nil {
		return
	}
	w.agents[rank].leader = nil
	w.after(time.Duration(w.random.Int64N(int64(3*time.Second))), func() { w.start(rank) })
}

// freezeOne freezes a VM: its agent does nothing, and orders to its engine are carried out when the VM resumes. The
// engine's passes continue.
func (w *lockstepWorld) freezeOne() {
	w.agents[w.random.IntN(len(w.agents))].frozenUntil = w.now.Add(time.Duration(w.random.Int64N(int64(4 * time.Second))))
}

// restartGroup starts a new epoch of the group, in which all engines have lost their state.
func (w *lockstepWorld) restartGroup() {
	epoch := w.engines[0].epoch + 1
	w.step = 0
	w.heldSince = time.Time{}
	for rank := range w.engines {
		experts := [][]Expert{{Expert(rank)}}
		w.engines[rank] = &lockstepEngine{epoch: epoch, activeContent: "start", experts: experts}
	}
}

// pass begins the group's next pass unless a rank holds it. It records a violation if ranks use different maps in it.
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
			engine.activeMap, engine.activeContent, engine.experts = engine.armed, engine.preparedContent, engine.preparedExperts
			engine.armed, engine.prepared = 0, 0
		}
	}
	for rank, engine := range w.engines {
		if engine.activeMap != w.engines[0].activeMap || engine.activeContent != w.engines[0].activeContent {
			w.violation = fmt.Sprintf("pass %d: rank 0 has map %d, rank %d has map %d", next, w.engines[0].activeMap, rank, engine.activeMap)
		}
	}
}

func (w *lockstepWorld) status(rank int) RankStatus {
	engine := w.engines[rank]
	status := RankStatus{
		Epoch: engine.epoch, Rank: ident.Rank(rank), Size: len(w.engines), Open: true, Step: w.step,
		Map: engine.activeMap, Armed: engine.armed, ArmedStep: engine.armStep, Held: engine.held,
	}
	if engine.prepared != 0 && !w.now.Before(engine.loadedAt) {
		status.Prepared = engine.prepared
	}
	return status
}

// accept carries out an order in the same way as the engines of the users' platform.
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
		if order.Version <= e.maxVersion || e.armed != 0 {
			return false
		}
		e.maxVersion, e.prepared = order.Version, order.Version
		e.preparedContent = fmt.Sprint(order.Placement)
		e.preparedExperts = nil
		for _, layer := range order.Placement {
			e.preparedExperts = append(e.preparedExperts, layer[rank])
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
		if e.activeMap == order.Version && order.Version != 0 {
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

// deliver calls run for an agent after a network delay and the end of any freeze, if the agent is still the same process.
func (w *lockstepWorld) deliver(rank int, run func(agent *lockstepAgent)) {
	agent := w.agents[rank]
	incarnation := agent.incarnation
	var arrive func()
	arrive = func() {
		switch {
		case agent.leader == nil || agent.incarnation != incarnation:
		case w.now.Before(agent.frozenUntil):
			w.after(agent.frozenUntil.Sub(w.now), arrive)
		default:
			run(agent)
		}
	}
	w.after(w.delay(), arrive)
}

func (w *lockstepWorld) lost() bool { return w.random.Float64() < w.faults.loss }

func (w *lockstepWorld) poll(rank int) {
	if w.now.Before(w.agents[rank].frozenUntil) || w.agents[rank].leader == nil {
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
			w.deliver(other, func(agent *lockstepAgent) { w.perform(other, agent.leader.ReceiveStatus(w.now, status)) })
		})
	}
}

func (w *lockstepWorld) tick(rank int) {
	agent := w.agents[rank]
	if agent.leader != nil && !w.now.Before(agent.frozenUntil) {
		w.perform(rank, agent.leader.Tick(w.now))
	}
}

func (w *lockstepWorld) propose() {
	for rank, agent := range w.agents {
		if agent.leader == nil || w.now.Before(agent.frozenUntil) || !agent.leader.Ready() || agent.leader.Placement() == nil {
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
					w.deliver(other, func(agent *lockstepAgent) {
						w.perform(other, agent.leader.ReceiveBeacon(w.now, ident.Rank(rank), action))
					})
				}
			}
		case ReadRank:
			if w.now.Before(w.agents[action.Rank].frozenUntil) {
				continue
			}
			status := w.status(int(action.Rank))
			w.deliver(rank, func(agent *lockstepAgent) { w.perform(rank, agent.leader.ReceiveStatus(w.now, status)) })
		case MapInForce:
			w.activatedMaps++
		}
	}
}

// sendOrder sends an order to the engine of a rank, either directly or through the rank's agent.
func (w *lockstepWorld) sendOrder(from int, action SendLockstepOrder) {
	to := int(action.Rank)
	leader := w.agents[from].incarnation
	answer := func(reply LockstepReply) {
		if to != from && w.lost() {
			return
		}
		if w.agents[from].incarnation == leader {
			w.deliver(from, func(agent *lockstepAgent) { w.perform(from, agent.leader.ReceiveReply(w.now, reply)) })
		}
	}
	give := func() { w.giveOrder(to, action, answer) }
	switch {
	case to == from || action.Direct:
		w.after(w.delay(), give)
	case !w.lost():
		w.deliver(to, func(agent *lockstepAgent) {
			w.passOn(to, agent, action, answer)
			give()
		})
	}
}

// passOn passes a relayed order on to the ranks below a rank. Their replies go to the leader.
func (w *lockstepWorld) passOn(rank int, agent *lockstepAgent, action SendLockstepOrder, answer func(LockstepReply)) {
	for _, target := range agent.filter.Targets(ident.Rank(rank), agent.leader.Fence(), &action.Order, action.Relay) {
		w.relayed++
		if w.lost() || w.random.Float64() < w.faults.relayLoss {
			continue
		}
		next := action
		next.Rank = target
		w.deliver(int(target), func(agent *lockstepAgent) {
			w.passOn(int(target), agent, next, answer)
			w.giveOrder(int(target), next, answer)
		})
	}
}

// giveOrder carries out an order at once, or leaves it unanswered and carries it out 2 to 12 s later. At a frozen VM it
// is carried out when the VM resumes.
func (w *lockstepWorld) giveOrder(rank int, action SendLockstepOrder, answer func(LockstepReply)) {
	reply := LockstepReply{Rank: action.Rank, Sequence: action.Sequence, HasStatus: true}
	if until := w.agents[rank].frozenUntil; w.now.Before(until) {
		w.after(until.Sub(w.now), func() { w.engines[rank].accept(w, rank, action.Order) })
		w.after(40*time.Millisecond, func() {
			reply.Result, reply.HasStatus = LockstepUnanswered, false
			answer(reply)
		})
		return
	}
	if w.random.Float64() < w.faults.unanswered {
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

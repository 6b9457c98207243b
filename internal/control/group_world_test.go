package control

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/expert"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/template"
)

const (
	worldTick     = 50 * time.Millisecond
	orderLifetime = 4 * time.Second
	worldGroup    = ident.Group("g")
)

// groupWorld runs the group part of agents in one process, with engines in lock-step. Its
// network loses, duplicates and reorders messages, and its orders arrive late or stay
// unanswered.
type groupWorld struct {
	now             time.Time
	random          *rand.Rand
	fenced          bool
	injectFaults    bool
	shape           expert.Shape
	roster          expert.Roster
	agents          []*worldAgent
	engines         []*worldEngine
	engineBoot      int
	lastIncarnation ident.Incarnation
	inFlight        []worldDelivery
	maps            map[uint64]expert.Map
	stepsRun        int
	rolloutsDone    int
	// violation is the first violated invariant; "" if there is none.
	violation string
}

// worldAgent is one agent process; group is nil while the process is stopped.
type worldAgent struct {
	vm    ident.VM
	rank  ident.Rank
	self  ident.Instance
	group *group
	// cancelled are the fencing numbers of the orders whose connection was closed.
	cancelled   map[uint64]bool
	pausedUntil time.Time
	restartsAt  time.Time
}

type worldEngine struct {
	state expert.EngineState
}

// worldDelivery is a message, order or answer in flight.
type worldDelivery struct {
	dueAt   time.Time
	deliver func()
}

func newGroupWorld(seed uint64, agents int, fenced bool) *groupWorld {
	w := &groupWorld{
		now:    time.Unix(1_700_000_000, 0),
		random: rand.New(rand.NewPCG(seed, 1)),
		fenced: fenced,
		shape:  expert.Shape{Ranks: agents, Layers: 1, Experts: 6, Slots: 6},
		roster: expert.Roster{Version: 1},
		maps:   map[uint64]expert.Map{},
	}
	for i := range agents {
		vm := ident.VM(fmt.Sprintf("vm%d", i))
		w.roster.Members = append(w.roster.Members, expert.RosterMember{VM: vm, Ranks: []ident.Rank{ident.Rank(i)}})
		w.agents = append(w.agents, &worldAgent{vm: vm, rank: ident.Rank(i)})
		w.engines = append(w.engines, &worldEngine{})
	}
	w.crashEngines()
	for _, agent := range w.agents {
		w.startAgent(agent)
	}
	return w
}

// startAgent starts a new incarnation of the agent beside the running engine.
func (w *groupWorld) startAgent(agent *worldAgent) {
	w.lastIncarnation++
	// An incarnation's fencing numbers count up from the incarnation: the shift keeps them below
	// those of later incarnations.
	agent.self = ident.Instance{VM: agent.vm, Incarnation: w.lastIncarnation << 20}
	started, err := newGroup(w.now, groupConfig{
		name: worldGroup, self: agent.self, ranks: []ident.Rank{agent.rank}, shape: w.shape, fenced: w.fenced,
		settings: GroupSettings{OrderLifetime: orderLifetime, StepWindow: 12, PlanInterval: time.Second, ExpertBytes: 1},
		weights:  template.ExpertWeights{Skew: 1, Rebalancing: 1},
	})
	if err != nil {
		panic(err)
	}
	agent.group = started
	agent.cancelled = map[uint64]bool{}
	started.emit = func(action Action) { w.handleAction(agent, started, action) }
	started.applyConfiguration(w.now, w.roster, started.weights)
}

// running reports whether the process is the agent's current one and not paused.
func (w *groupWorld) running(agent *worldAgent, process *group) bool {
	return process != nil && agent.group == process && !w.now.Before(agent.pausedUntil)
}

func (w *groupWorld) chance(percent int) bool {
	return w.injectFaults && w.random.IntN(100) < percent
}

// sendLater delivers something with a delay up to longest. With faults it may be lost or
// duplicated.
func (w *groupWorld) sendLater(longest time.Duration, lossPercent int, deliver func()) {
	copies := 1
	if w.chance(lossPercent) {
		copies = 2 * w.random.IntN(2)
	}
	for range copies {
		delay := time.Duration(0)
		if w.chance(20) {
			delay = time.Duration(w.random.Int64N(int64(longest)))
		}
		w.inFlight = append(w.inFlight, worldDelivery{dueAt: w.now.Add(delay), deliver: deliver})
	}
}

func (w *groupWorld) handleAction(agent *worldAgent, process *group, action Action) {
	switch action := action.(type) {
	case Send:
		envelope := *action.Body.(*expert.Envelope)
		from := process.self
		w.sendLater(2*time.Second, 20, func() { w.deliver(action.To, from, envelope) })
	case SendEngineOrder:
		w.sendOrder(agent, process, action)
	case CancelOrder:
		agent.cancelled[action.Number] = true
		w.sendLater(time.Second, 0, func() {
			if w.running(agent, process) {
				process.receiveOrderAnswer(w.now, expert.OrderAnswered{Number: action.Number, Answer: expert.AnswerNone})
			}
		})
	case ReadEngine:
		w.sendLater(time.Second, 10, func() {
			if w.running(agent, process) {
				process.receiveRead(w.now, expert.EngineRead{Request: action.Request, State: w.engines[agent.rank].snapshot()})
			}
		})
	case MakePlan:
		plan := expert.Plan{Kind: expert.PlanIncremental, Map: w.randomMap()}
		w.sendLater(time.Second, 0, func() {
			if w.running(agent, process) {
				process.receivePlan(w.now, PlanMade{Number: action.Number, Epoch: action.Epoch, Plan: plan})
			}
		})
	case TimelineEvent:
		if action.Kind == "group-rollout-ended" && slices.Contains(action.Fields, Field{"result", "done"}) &&
			slices.Contains(action.Fields, Field{"forming", "false"}) {
			w.rolloutsDone++
		}
	}
}

// sendOrder delivers an order within its lifetime, even if its process stops before.
func (w *groupWorld) sendOrder(agent *worldAgent, process *group, action SendEngineOrder) {
	w.sendLater(orderLifetime-worldTick, 10, func() {
		answer := w.engines[agent.rank].receiveOrder(w, action.Order)
		w.sendLater(time.Second, 10, func() {
			if w.running(agent, process) && !agent.cancelled[answer.Number] {
				process.receiveOrderAnswer(w.now, answer)
			}
		})
	})
}

func (w *groupWorld) deliver(to ident.VM, from ident.Instance, envelope expert.Envelope) {
	for _, agent := range w.agents {
		if agent.vm == to && w.running(agent, agent.group) {
			agent.group.receive(w.now, from, nil, envelope)
		}
	}
}

// randomMap returns a random valid map.
func (w *groupWorld) randomMap() expert.Map {
	shape := w.shape
	shape.Slots = (shape.Experts+shape.Ranks-1)/shape.Ranks + w.random.IntN(2)
	made := expert.StaticMap(expert.Version{}, shape)
	ranks := made.Layers[0].Ranks
	by := w.random.IntN(len(ranks))
	made.Layers[0].Ranks = append(slices.Clone(ranks[by:]), ranks[:by]...)
	return made
}

// crashEngines restarts all engines: the ranks of a group crash together.
func (w *groupWorld) crashEngines() {
	w.engineBoot++
	for _, engine := range w.engines {
		engine.state = expert.EngineState{Boot: strconv.Itoa(w.engineBoot), Gated: true}
	}
}

func (e *worldEngine) snapshot() expert.EngineState {
	e.switchMap()
	state := e.state
	state.Loaded = slices.Clone(state.Loaded)
	return state
}

func (e *worldEngine) switchMap() {
	if e.state.NextMap != 0 && e.state.Step >= e.state.NextStep {
		e.state.Map, e.state.NextMap, e.state.NextStep = e.state.NextMap, 0, 0
	}
}

// receiveOrder handles an order like an engine.
func (e *worldEngine) receiveOrder(w *groupWorld, sent expert.SendOrder) expert.OrderAnswered {
	answer := expert.OrderAnswered{Number: sent.Number, Answer: expert.AnswerDone}
	if w.fenced && sent.Number < e.state.GreatestFence {
		answer.Answer, answer.GreatestFence = expert.AnswerStale, e.state.GreatestFence
		return answer
	}
	if sent.Order.Boot != "" && sent.Order.Boot != e.state.Boot {
		answer.Answer, answer.Cause = expert.AnswerFailed, "order is for another boot of the engine"
		return answer
	}
	if w.fenced {
		e.state.GreatestFence = sent.Number
	}
	if cause := e.apply(w, sent.Order); cause != "" {
		answer.Answer, answer.Cause = expert.AnswerFailed, cause
	}
	return answer
}

func (e *worldEngine) apply(w *groupWorld, order expert.Order) string {
	s := &e.state
	e.switchMap()
	switch order.Kind {
	case expert.OrderLoadExperts:
		s.Loaded = append(s.Loaded, order.Placements...)
	case expert.OrderActivateMap:
		if order.Step < s.Step {
			return "step of the order has passed"
		}
		s.NextMap, s.NextStep = order.Map.Version.Number(), order.Step
		w.maps[s.NextMap] = order.Map
	case expert.OrderAllowSteps:
		current := s.Map
		if s.NextMap != 0 && s.NextStep < order.Step {
			current = s.NextMap
		}
		if order.MapVersion.Number() != current {
			return "order has another map version than the steps that it allows"
		}
		s.Allowed = max(s.Allowed, order.Step)
	case expert.OrderCloseSteps:
		s.Allowed = min(s.Allowed, s.Step)
	}
	return ""
}

// runStep runs a step on all engines if all of them may run it, and checks their maps.
func (w *groupWorld) runStep() {
	for _, engine := range w.engines {
		if engine.state.Step >= engine.state.Allowed {
			return
		}
	}
	w.stepsRun++
	for rank, engine := range w.engines {
		engine.switchMap()
		w.checkMap(rank, engine)
		engine.state.Step++
	}
}

func (w *groupWorld) checkMap(rank int, engine *worldEngine) {
	first := w.engines[0].state.Map
	if engine.state.Map != first || first == 0 {
		w.violation = fmt.Sprintf("boot %d: rank %d uses map %x in step %d, rank 0 uses %x", w.engineBoot, rank, engine.state.Map, engine.state.Step, first)
		return
	}
	for _, replica := range w.maps[first].Layers[0].Ranks[rank] {
		if !slices.Contains(engine.state.Loaded, expert.Placement{Expert: replica.Expert, Rank: ident.Rank(rank)}) {
			w.violation = fmt.Sprintf("rank %d uses map %x without the weights of expert %d", rank, first, replica.Expert)
		}
	}
}

// injectRandomFault may stop or pause a process, or crash the engines.
func (w *groupWorld) injectRandomFault() {
	agent := w.agents[w.random.IntN(len(w.agents))]
	switch {
	case w.chance(2):
		agent.group = nil
		agent.restartsAt = w.now.Add(time.Duration(w.random.Int64N(int64(2 * time.Second))))
	case w.chance(1):
		agent.pausedUntil = w.now.Add(time.Duration(w.random.Int64N(int64(8 * time.Second))))
	case w.random.IntN(4) == 0 && w.chance(1):
		w.crashEngines()
	}
}

// tick advances the clock by worldTick and runs all that is due.
func (w *groupWorld) tick() {
	w.now = w.now.Add(worldTick)
	w.injectRandomFault()
	due := w.inFlight
	w.inFlight = nil
	if w.injectFaults {
		w.random.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	}
	for _, delivery := range due {
		if delivery.dueAt.After(w.now) {
			w.inFlight = append(w.inFlight, delivery)
			continue
		}
		delivery.deliver()
	}
	for _, agent := range w.agents {
		w.tickAgent(agent)
	}
	for range w.random.IntN(6) {
		w.runStep()
	}
}

func (w *groupWorld) tickAgent(agent *worldAgent) {
	if agent.group == nil {
		if !w.now.Before(agent.restartsAt) {
			w.startAgent(agent)
		}
		return
	}
	if !w.running(agent, agent.group) {
		return
	}
	if !w.chance(20) {
		agent.group.updateEngineState(w.now, w.engines[agent.rank].snapshot())
	}
	agent.group.tick(w.now)
}

// run runs the world for a time, or until the condition holds or an invariant is violated.
func (w *groupWorld) run(length time.Duration, until func() bool) {
	for elapsed := time.Duration(0); elapsed < length && w.violation == "" && !until(); elapsed += worldTick {
		w.tick()
	}
}

package groups

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/experiment"
	"github.com/bramleyspool/bramleyspool/internal/expert"
	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// Parameters of the rollouts.
const (
	rolloutAgents  = 8
	rolloutsPerRun = 20
	// rolloutGap is the time from one proposal to the next.
	rolloutGap = 10 * time.Second
	// Messages take minLatency plus a random time below latencyRange.
	minLatency      = 500 * time.Microsecond
	latencyRange    = 4 * time.Millisecond
	loadTime        = 2 * time.Second
	rolloutStepTime = 40 * time.Millisecond
	leaderPause     = 5 * time.Second
	// electionDelay is the time from the pause of a leader to the election of another.
	electionDelay = 2 * time.Second
)

// fault is one kind of fault during rollouts. loss is the probability that a message is lost.
type fault struct {
	name string
	loss float64
	// pauseLeader pauses the leader at a random time of each rollout, and another leader is elected.
	pauseLeader bool
}

var faults = []fault{
	{name: "none"},
	{name: "1% of messages lost", loss: 0.01},
	{name: "10% of messages lost", loss: 0.1},
	{name: "leader paused 5 s in each rollout", pauseLeader: true},
}

// event is an action scheduled for a time; seq orders events of the same time.
type event struct {
	at     time.Time
	seq    int
	action func()
}

type eventQueue []event

func (o eventQueue) Len() int { return len(o) }

func (o eventQueue) Less(i, j int) bool {
	if o[i].at.Equal(o[j].at) {
		return o[i].seq < o[j].seq
	}
	return o[i].at.Before(o[j].at)
}

func (o eventQueue) Swap(i, j int) { o[i], o[j] = o[j], o[i] }

// Push implements heap.Interface.
func (o *eventQueue) Push(x any) { *o = append(*o, x.(event)) }

// Pop implements heap.Interface.
func (o *eventQueue) Pop() any {
	last := (*o)[len(*o)-1]
	*o = (*o)[:len(*o)-1]
	return last
}

// rolloutGroup simulates the agents of a group on one clock and one network.
type rolloutGroup struct {
	now    time.Time
	seq    int
	queue  eventQueue
	random *rand.Rand
	fault  fault
	shape  expert.Shape
	agents []*rolloutAgent
	// generation and step are the current step of the ranks, allowed the number of ranks that have
	// started it.
	generation expert.Generation
	step       expert.Step
	allowed    int
	messages   int
	// held is the longest time for which a rank was held before a step of the current rollout: from
	// expert.StepHeld to the next expert.AllowStep of its agent.
	held time.Duration
	lost int
	// activeAt is the time of the first step with the map version.
	activeAt time.Time
	// version is the map version of the latest step that all ranks have started.
	version expert.Version
}

type rolloutAgent struct {
	vm       ident.VM
	member   *expert.Member
	leader   *expert.Leader
	paused   bool
	heldFrom time.Time
	tickAt   time.Time
}

func newRolloutGroup(d fault, seed uint64) *rolloutGroup {
	g := &rolloutGroup{
		now:    time.Unix(1_700_000_000, 0),
		random: rand.New(rand.NewPCG(seed, 5)),
		fault:  d,
		shape:  expert.Shape{Ranks: rolloutAgents, Layers: 1, Experts: 16, Slots: 4},
	}
	roster := expert.Roster{Version: 1}
	for i := range rolloutAgents {
		roster.Members = append(roster.Members, expert.RosterMember{VM: ident.VM(fmt.Sprint("vm", i)), Ranks: []ident.Rank{ident.Rank(i)}})
	}
	for _, entry := range roster.Members {
		self := ident.Instance{VM: entry.VM, Incarnation: 1}
		member, err := expert.NewMember(expert.MemberConfig{Group: "g", Self: self, Ranks: entry.Ranks, Shape: g.shape})
		if err != nil {
			panic("invariant: " + err.Error())
		}
		leader, err := expert.NewLeader(expert.LeaderConfig{Group: "g", Self: self, Shape: g.shape})
		if err != nil {
			panic("invariant: " + err.Error())
		}
		agent := &rolloutAgent{vm: entry.VM, member: member, leader: leader}
		g.agents = append(g.agents, agent)
		g.handle(agent, expert.RosterChanged{Roster: roster})
	}
	g.handle(g.agents[0], expert.ElectionChanged{Elected: true})
	return g
}

// after schedules an action after the duration d.
func (g *rolloutGroup) after(d time.Duration, do func()) {
	g.seq++
	heap.Push(&g.queue, event{at: g.now.Add(d), seq: g.seq, action: do})
}

// runUntil executes events until a time, or until a condition is true.
func (g *rolloutGroup) runUntil(until time.Time, condition func() bool) {
	for len(g.queue) > 0 && !g.queue[0].at.After(until) && !condition() {
		next := heap.Pop(&g.queue).(event)
		g.now = next.at
		next.action()
	}
	if !condition() {
		g.now = until
	}
}

func (g *rolloutGroup) handle(agent *rolloutAgent, event expert.Event) {
	if agent.paused {
		return
	}
	actions := append(agent.member.Step(g.now, event), agent.leader.Step(g.now, event)...)
	for _, action := range actions {
		g.perform(agent, action)
	}
	g.scheduleTick(agent)
}

func (g *rolloutGroup) scheduleTick(agent *rolloutAgent) {
	at := agent.leader.NextTick()
	if at.IsZero() || at.Equal(agent.tickAt) {
		return
	}
	agent.tickAt = at
	g.after(at.Sub(g.now), func() { g.handle(agent, expert.Tick{}) })
}

func (g *rolloutGroup) perform(agent *rolloutAgent, action expert.Action) {
	switch a := action.(type) {
	case expert.Send:
		g.send(agent, a)
	case expert.LoadWeights:
		g.after(loadTime, func() { g.handle(agent, expert.WeightsLoaded{Version: a.Version}) })
	case expert.JoinGeneration:
		g.join(agent, a.Generation)
	case expert.StepHeld:
		agent.heldFrom = g.now
	case expert.AllowStep:
		g.countAllowed(agent, a)
	}
}

func (g *rolloutGroup) send(from *rolloutAgent, message expert.Send) {
	g.messages++
	if from.vm != message.To && g.random.Float64() < g.fault.loss {
		g.lost++
		return
	}
	latency := minLatency + time.Duration(g.random.Int64N(int64(latencyRange)))
	for _, agent := range g.agents {
		if agent.vm == message.To {
			g.after(latency, func() { g.handle(agent, expert.Received{Message: message.Message}) })
		}
	}
}

// join requests the first step of a generation for an agent's rank. The first agent that joins resets the
// step counter.
func (g *rolloutGroup) join(agent *rolloutAgent, generation expert.Generation) {
	if g.generation != generation {
		g.generation, g.step, g.allowed = generation, 1, 0
	}
	g.after(0, func() { g.requestStep(agent, generation, 1) })
}

func (g *rolloutGroup) requestStep(agent *rolloutAgent, generation expert.Generation, step expert.Step) {
	if agent.paused {
		g.after(rolloutStepTime, func() { g.requestStep(agent, generation, step) })
		return
	}
	rank := ident.Rank(0)
	for i := range g.agents {
		if g.agents[i] == agent {
			rank = ident.Rank(i)
		}
	}
	g.handle(agent, expert.StepRequested{Rank: rank, Generation: generation, Step: step})
}

// countAllowed counts the ranks that have started the current step. When all have, it schedules the
// next step.
func (g *rolloutGroup) countAllowed(agent *rolloutAgent, allowed expert.AllowStep) {
	if !agent.heldFrom.IsZero() {
		g.held = max(g.held, g.now.Sub(agent.heldFrom))
		agent.heldFrom = time.Time{}
	}
	if allowed.Generation != g.generation || allowed.Step != g.step {
		return
	}
	g.allowed++
	if g.allowed < len(g.agents) {
		return
	}
	if allowed.Version != g.version {
		g.version, g.activeAt = allowed.Version, g.now
	}
	g.step++
	g.allowed = 0
	generation, step := g.generation, g.step
	for _, other := range g.agents {
		g.after(rolloutStepTime, func() { g.requestStep(other, generation, step) })
	}
}

// readyLeader returns an agent whose leader is ready for a proposal, or nil.
func (g *rolloutGroup) readyLeader() *rolloutAgent {
	for _, agent := range g.agents {
		if agent.leader.Ready() && !agent.paused {
			return agent
		}
	}
	return nil
}

// rolloutFigures are means over the rollouts of one simulation.
type rolloutFigures struct {
	// seconds is the time from the proposal to the first step with the new map.
	seconds float64
	// held is the longest time for which a rank was held, in milliseconds.
	held float64
	// messages is the number of messages from the proposal until the new map is in use.
	messages float64
	// completed is the percentage of rollouts completed within rolloutGap.
	completed float64
}

func (g *rolloutGroup) measure() rolloutFigures {
	var sum rolloutFigures
	for i := range rolloutsPerRun {
		g.runUntil(g.now.Add(time.Minute), func() bool { return g.readyLeader() != nil && g.step > 1 })
		leader := g.readyLeader()
		if leader == nil {
			continue
		}
		before, start, messages := g.version, g.now, g.messages
		g.held = 0
		proposed := expert.StaticMap(expert.Version{}, g.shape)
		by := 1 + i%(rolloutAgents-1)
		ranks := proposed.Layers[0].Ranks
		proposed.Layers[0].Ranks = append(append([][]expert.Replica{}, ranks[by:]...), ranks[:by]...)
		g.handle(leader, expert.Propose{Map: proposed})
		if g.fault.pauseLeader {
			g.schedulePause(leader)
		}
		g.runUntil(g.now.Add(rolloutGap), func() bool { return g.version != before })
		if g.version != before {
			sum.completed += 100.0 / rolloutsPerRun
			sum.seconds += g.activeAt.Sub(start).Seconds()
		}
		sum.messages += float64(g.messages-messages) / rolloutsPerRun
		g.runUntil(start.Add(rolloutGap), func() bool { return false })
		sum.held += float64(g.held.Milliseconds()) / rolloutsPerRun
	}
	if sum.completed > 0 {
		sum.seconds /= sum.completed * rolloutsPerRun / 100
	}
	return sum
}

// schedulePause pauses the leader for leaderPause at a random time of its rollout. Another agent is elected
// during the pause, so two agents act as leader from the end of the pause until the first one is notified
// a second later.
func (g *rolloutGroup) schedulePause(leader *rolloutAgent) {
	successor := g.agents[0]
	if successor == leader {
		successor = g.agents[1]
	}
	at := time.Duration(g.random.Int64N(int64(loadTime + time.Second)))
	g.after(at, func() { leader.paused = true })
	g.after(at+electionDelay, func() { g.handle(successor, expert.ElectionChanged{Elected: true}) })
	g.after(at+leaderPause, func() {
		leader.paused = false
		leader.tickAt = time.Time{}
		g.handle(leader, expert.Tick{})
	})
	g.after(at+leaderPause+time.Second, func() { g.handle(leader, expert.ElectionChanged{}) })
}

func runRollouts(ctx context.Context, params experiment.Params) (experiment.Result, error) {
	table := experiment.Table{
		Title:  "Rollouts of an expert map over 8 agents",
		Labels: []string{"disturbance"},
		Columns: []experiment.Column{
			{Name: "done", Unit: "% of rollouts in 10 s"},
			{Name: "proposal to use", Unit: "s, of which 2 loading"},
			{Name: "longest hold", Unit: "ms a rollout"},
			{Name: "messages", Unit: "until used"},
		},
	}
	for i, d := range faults {
		figures := make([]rolloutFigures, params.Seeds)
		err := forEach(ctx, params.Seeds, func(seed int) {
			figures[seed] = newRolloutGroup(d, params.Seed+uint64(seed)).measure()
		})
		if err != nil {
			return experiment.Result{}, err
		}
		column := func(value func(rolloutFigures) float64) experiment.Cell {
			values := make([]float64, len(figures))
			for i, f := range figures {
				values[i] = value(f)
			}
			return newCell(values)
		}
		table.Rows = append(table.Rows, experiment.Row{
			Labels: []string{d.name},
			Cells: []experiment.Cell{
				column(func(f rolloutFigures) float64 { return f.completed }),
				column(func(f rolloutFigures) float64 { return f.seconds }),
				column(func(f rolloutFigures) float64 { return f.held }),
				column(func(f rolloutFigures) float64 { return f.messages }),
			},
		})
		params.ReportProgress(i+1, len(faults))
	}
	return experiment.Result{Tables: []experiment.Table{table}}, nil
}

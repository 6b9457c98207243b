package control

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/expert"
)

// joinRead marks the reads of the engine that a new generation waits for, so that they
// differ from those of the orders.
const joinRead = uint64(1) << 63

// groupEngine is what an agent knows of the engine of its ranks.
type groupEngine struct {
	state expert.EngineState
	known bool
	// closed is true if the engine starts no step that was allowed in an earlier generation
	// or by an earlier agent; closing while the order for it is under way.
	closed  bool
	closing bool

	generation expert.Generation
	base       expert.Map
	// first is the engine's step that is step 1 of the generation, once placed is true.
	first  uint64
	placed bool
	// read is the read that tells the first step; it is repeated at readAt.
	read   uint64
	readAt time.Time

	// active is the map that was ordered last, with its first step. An engine knows one map
	// for a later step: those behind it wait in later until active is in use.
	active expert.Activation
	later  []expert.MapScheduled
	// allowed is the last step of the generation that the gate allowed, under version.
	allowed expert.Step
	version expert.Version
	// ordered is the last step that was ordered to be allowed.
	ordered expert.Step
}

func (e *groupEngine) allow(action expert.AllowStep) {
	if action.Generation == e.generation && action.Step > e.allowed {
		e.allowed = action.Step
		e.version = action.Version
	}
}

// step returns the engine's number of a step of the generation.
func (e *groupEngine) step(step expert.Step) uint64 {
	return e.first + uint64(step) - 1
}

// next returns the generation's number of the engine's next step; 0 if it is not known.
func (e *groupEngine) next() expert.Step {
	if !e.placed || e.state.Step < e.first {
		return 0
	}
	return expert.Step(e.state.Step-e.first) + 1
}

// orderable returns the last allowed step whose map was ordered, and that map.
func (e *groupEngine) orderable() (expert.Step, expert.Version) {
	if len(e.later) > 0 && e.allowed >= e.later[0].Activation.Step {
		return e.later[0].Activation.Step - 1, e.active.Version
	}
	return e.allowed, e.version
}

// reset forgets the generation.
func (e *groupEngine) reset() {
	e.generation = expert.Generation{}
	e.placed = false
	e.readAt = time.Time{}
	e.allowed, e.ordered = 0, 0
	e.active, e.later = expert.Activation{}, nil
	e.closed = false
}

// see takes in the engine's state. An engine that restarted lost all that it held.
func (g *group) see(now time.Time, state expert.EngineState) {
	first := !g.engine.known
	restarted := !first && state.Engine != g.engine.state.Engine
	g.engine.state = state
	g.engine.known = true
	if restarted {
		g.note("engine-restarted", SeverityWarning, "", Field{"engine", state.Engine})
		g.restart(now)
	}
	g.ensureClosed(now)
	g.orderMap(now)
	g.requestSteps(now)
	g.settle(now)
}

// restart makes the member forget what the engine held.
func (g *group) restart(now time.Time) {
	g.engine.reset()
	g.engine.closing = false
	g.counts = groupCounts{sequence: g.counts.sequence}
	g.loads.clear()
	g.carry(now, g.member.Step(now, expert.EngineRestarted{}))
	g.engine.closed = false
	g.ensureClosed(now)
}

// ensureClosed orders the engine to start no step outside a generation.
func (g *group) ensureClosed(now time.Time) {
	if !g.engine.known || g.engine.closed || g.engine.closing || !g.engine.generation.IsZero() {
		return
	}
	g.engine.closing = true
	g.want(now, expert.Order{Kind: expert.OrderCloseSteps})
}

func (g *group) leave(now time.Time, left expert.LeaveGeneration) {
	g.note("group-generation-left", SeverityInfo, "", Field{"generation", left.Generation.String()})
	g.engine.reset()
	g.engine.closing = false
	g.ensureClosed(now)
}

// join begins a generation. Each rank's engine has stopped at the same step: reading it
// tells the first step of the generation.
func (g *group) join(joined expert.JoinGeneration) {
	g.note("group-generation", SeverityInfo, "", Field{"generation", joined.Generation.String()},
		Field{"map", joined.Map.Version.String()})
	g.engine.reset()
	g.engine.generation = joined.Generation
	g.engine.base = joined.Map
	g.readFirst()
}

func (g *group) readFirst() {
	g.engine.read++
	g.out(ReadEngine{Request: g.engine.read | joinRead})
}

func (g *group) retryFirstRead(now time.Time) {
	if g.engine.generation.IsZero() || g.engine.placed {
		return
	}
	if g.engine.readAt.IsZero() {
		g.engine.readAt = now.Add(groupOrderTimeout)
		return
	}
	if !now.Before(g.engine.readAt) {
		g.engine.readAt = now.Add(groupOrderTimeout)
		g.readFirst()
	}
}

// takeRead takes in the answer to a read.
func (g *group) takeRead(now time.Time, read expert.EngineRead) {
	if read.Request&joinRead == 0 {
		if !read.Failed {
			g.see(now, read.State)
		}
		g.carry(now, g.issuer.Step(now, read))
		g.settle(now)
		return
	}
	if read.Failed {
		return
	}
	restarted := read.State.Engine != g.engine.state.Engine
	g.see(now, read.State)
	current := read.Request == g.engine.read|joinRead
	if restarted || !current || g.engine.generation.IsZero() || g.engine.placed {
		return
	}
	g.engine.placed = true
	g.engine.first = read.State.Step
	g.engine.active = expert.Activation{Version: g.engine.base.Version, Step: 1}
	g.want(now, expert.Order{Kind: expert.OrderActivateMap, Map: g.engine.base, Step: g.engine.first})
	g.requestSteps(now)
	g.settle(now)
}

func (g *group) schedule(now time.Time, scheduled expert.MapScheduled) {
	g.note("group-map-scheduled", SeverityInfo, "", Field{"map", scheduled.Activation.Version.String()},
		Field{"step", stepText(scheduled.Activation.Step)})
	g.engine.later = append(g.engine.later, scheduled)
	g.orderMap(now)
}

// orderMap orders the next map once the engine uses the one ordered before.
func (g *group) orderMap(now time.Time) {
	if !g.engine.placed || len(g.engine.later) == 0 || g.engine.state.Map != g.engine.active.Version.Number() {
		return
	}
	scheduled := g.engine.later[0]
	g.engine.later = g.engine.later[1:]
	g.engine.active = scheduled.Activation
	step := g.engine.step(scheduled.Activation.Step)
	g.want(now, expert.Order{Kind: expert.OrderActivateMap, Map: scheduled.Map, Step: step})
}

// requestSteps asks the gate for the steps of the window.
func (g *group) requestSteps(now time.Time) {
	next := g.engine.next()
	if next == 0 || g.engine.generation.IsZero() {
		return
	}
	for g.engine.allowed < next+g.settings.StepWindow-1 {
		before := g.engine.allowed
		request := expert.StepRequested{Rank: g.ranks[0], Generation: g.engine.generation, Step: before + 1}
		g.carry(now, g.member.Step(now, request))
		if g.engine.allowed == before {
			return
		}
	}
}

// orderAllowed orders the engine to run the steps that the gate allowed.
func (g *group) orderAllowed(now time.Time) {
	allowed, version := g.engine.orderable()
	if !g.engine.placed || allowed <= g.engine.ordered {
		return
	}
	g.engine.ordered = allowed
	g.want(now, expert.Order{Kind: expert.OrderAllowSteps, Experts: version, Step: g.engine.step(allowed) + 1})
}

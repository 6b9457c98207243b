package control

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/expert"
)

// joinReadFlag marks the reads of the engine that a new generation waits for, so that they
// differ from those of the orders.
const joinReadFlag = uint64(1) << 63

// groupEngine is what an agent knows of the engine of its ranks.
type groupEngine struct {
	state expert.EngineState
	known bool
	// stepsClosed is true if the engine starts no step that was allowed in an earlier generation
	// or by an earlier agent; closing while the order for it is under way.
	stepsClosed  bool
	closingSteps bool

	generation expert.Generation
	firstMap   expert.Map
	// firstStep is the engine's step that is step 1 of the generation, once placed is true.
	firstStep      uint64
	firstStepKnown bool
	// readNumber is the readNumber that tells the first step; it is repeated at readAt.
	readNumber uint64
	nextReadAt time.Time

	// orderedMap is the map that was ordered last, with its first step. An engine knows one map
	// for a later step: those behind it wait in later until orderedMap is in use.
	orderedMap  expert.Activation
	pendingMaps []expert.MapScheduled
	// allowedStep is the last step of the generation that the gate allowedStep, under version.
	allowedStep    expert.Step
	allowedVersion expert.Version
	// orderedStep is the last step that was orderedStep to be allowed.
	orderedStep expert.Step
}

func (e *groupEngine) allow(action expert.AllowStep) {
	if action.Generation == e.generation && action.Step > e.allowedStep {
		e.allowedStep = action.Step
		e.allowedVersion = action.Version
	}
}

// engineStep returns the engine's number of a engineStep of the generation.
func (e *groupEngine) engineStep(step expert.Step) uint64 {
	return e.firstStep + uint64(step) - 1
}

// nextStep returns the generation's number of the engine's nextStep step; 0 if it is not known.
func (e *groupEngine) nextStep() expert.Step {
	if !e.firstStepKnown || e.state.Step < e.firstStep {
		return 0
	}
	return expert.Step(e.state.Step-e.firstStep) + 1
}

// orderableStep returns the last allowed step whose map was ordered, and that map.
func (e *groupEngine) orderableStep() (expert.Step, expert.Version) {
	if len(e.pendingMaps) > 0 && e.allowedStep >= e.pendingMaps[0].Activation.Step {
		return e.pendingMaps[0].Activation.Step - 1, e.orderedMap.Version
	}
	return e.allowedStep, e.allowedVersion
}

// resetGeneration forgets the generation.
func (e *groupEngine) resetGeneration() {
	e.generation = expert.Generation{}
	e.firstStepKnown = false
	e.nextReadAt = time.Time{}
	e.allowedStep, e.orderedStep = 0, 0
	e.orderedMap, e.pendingMaps = expert.Activation{}, nil
	e.stepsClosed = false
}

// updateEngineState takes in the engine's state. An engine that restarted lost all that it held.
func (g *group) updateEngineState(now time.Time, state expert.EngineState) {
	first := !g.engine.known
	restarted := !first && state.Engine != g.engine.state.Engine
	g.engine.state = state
	g.engine.known = true
	if restarted {
		g.recordEvent("engine-restarted", SeverityWarning, "", Field{"engine", state.Engine})
		g.handleEngineRestart(now)
	}
	g.ensureStepsClosed(now)
	g.orderNextMap(now)
	g.requestSteps(now)
	g.flush(now)
}

// handleEngineRestart makes the member forget what the engine held.
func (g *group) handleEngineRestart(now time.Time) {
	g.engine.resetGeneration()
	g.engine.closingSteps = false
	g.counts = groupCounts{sequence: g.counts.sequence}
	g.loads.clearPending()
	g.handleActions(now, g.member.Step(now, expert.EngineRestarted{}))
	g.engine.stepsClosed = false
	g.ensureStepsClosed(now)
}

// ensureStepsClosed orders the engine to start no step outside a generation.
func (g *group) ensureStepsClosed(now time.Time) {
	if !g.engine.known || g.engine.stepsClosed || g.engine.closingSteps || !g.engine.generation.IsZero() {
		return
	}
	g.engine.closingSteps = true
	g.requestOrder(now, expert.Order{Kind: expert.OrderCloseSteps})
}

func (g *group) leaveGeneration(now time.Time, left expert.LeaveGeneration) {
	g.recordEvent("group-generation-left", SeverityInfo, "", Field{"generation", left.Generation.String()})
	g.engine.resetGeneration()
	g.engine.closingSteps = false
	g.ensureStepsClosed(now)
}

// joinGeneration begins a generation. Each rank's engine has stopped at the same step: reading it
// tells the first step of the generation.
func (g *group) joinGeneration(joined expert.JoinGeneration) {
	g.recordEvent("group-generation", SeverityInfo, "", Field{"generation", joined.Generation.String()},
		Field{"map", joined.Map.Version.String()})
	g.engine.resetGeneration()
	g.engine.generation = joined.Generation
	g.engine.firstMap = joined.Map
	g.readFirstStep()
}

func (g *group) readFirstStep() {
	g.engine.readNumber++
	g.emit(ReadEngine{Request: g.engine.readNumber | joinReadFlag})
}

func (g *group) retryFirstStepRead(now time.Time) {
	if g.engine.generation.IsZero() || g.engine.firstStepKnown {
		return
	}
	if g.engine.nextReadAt.IsZero() {
		g.engine.nextReadAt = now.Add(groupOrderTimeout)
		return
	}
	if !now.Before(g.engine.nextReadAt) {
		g.engine.nextReadAt = now.Add(groupOrderTimeout)
		g.readFirstStep()
	}
}

// receiveRead takes in the answer to a read.
func (g *group) receiveRead(now time.Time, read expert.EngineRead) {
	if read.Request&joinReadFlag == 0 {
		if !read.Failed {
			g.updateEngineState(now, read.State)
		}
		g.handleActions(now, g.issuer.Step(now, read))
		g.flush(now)
		return
	}
	if read.Failed {
		return
	}
	restarted := read.State.Engine != g.engine.state.Engine
	g.updateEngineState(now, read.State)
	current := read.Request == g.engine.readNumber|joinReadFlag
	if restarted || !current || g.engine.generation.IsZero() || g.engine.firstStepKnown {
		return
	}
	g.engine.firstStepKnown = true
	g.engine.firstStep = read.State.Step
	g.engine.orderedMap = expert.Activation{Version: g.engine.firstMap.Version, Step: 1}
	g.requestOrder(now, expert.Order{Kind: expert.OrderActivateMap, Map: g.engine.firstMap, Step: g.engine.firstStep})
	g.requestSteps(now)
	g.flush(now)
}

func (g *group) scheduleMap(now time.Time, scheduled expert.MapScheduled) {
	g.recordEvent("group-map-scheduled", SeverityInfo, "", Field{"map", scheduled.Activation.Version.String()},
		Field{"step", formatStep(scheduled.Activation.Step)})
	g.engine.pendingMaps = append(g.engine.pendingMaps, scheduled)
	g.orderNextMap(now)
}

// orderNextMap orders the next map once the engine uses the one ordered before.
func (g *group) orderNextMap(now time.Time) {
	if !g.engine.firstStepKnown || len(g.engine.pendingMaps) == 0 || g.engine.state.Map != g.engine.orderedMap.Version.Number() {
		return
	}
	scheduled := g.engine.pendingMaps[0]
	g.engine.pendingMaps = g.engine.pendingMaps[1:]
	g.engine.orderedMap = scheduled.Activation
	step := g.engine.engineStep(scheduled.Activation.Step)
	g.requestOrder(now, expert.Order{Kind: expert.OrderActivateMap, Map: scheduled.Map, Step: step})
}

// requestSteps asks the gate for the steps of the window.
func (g *group) requestSteps(now time.Time) {
	next := g.engine.nextStep()
	if next == 0 || g.engine.generation.IsZero() {
		return
	}
	for g.engine.allowedStep < next+g.settings.StepWindow-1 {
		before := g.engine.allowedStep
		request := expert.StepRequested{Rank: g.ranks[0], Generation: g.engine.generation, Step: before + 1}
		g.handleActions(now, g.member.Step(now, request))
		if g.engine.allowedStep == before {
			return
		}
	}
}

// orderAllowedSteps orders the engine to run the steps that the gate allowed.
func (g *group) orderAllowedSteps(now time.Time) {
	allowed, version := g.engine.orderableStep()
	if !g.engine.firstStepKnown || allowed <= g.engine.orderedStep {
		return
	}
	g.engine.orderedStep = allowed
	g.requestOrder(now, expert.Order{Kind: expert.OrderAllowSteps, Experts: version, Step: g.engine.engineStep(allowed) + 1})
}

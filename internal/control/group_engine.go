package control

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/expert"
)

// joinReadFlag marks the reads for the first step of a generation, to tell them from the reads
// of the order issuer.
const joinReadFlag = uint64(1) << 63

// groupEngine is an agent's view of the engine of its ranks.
type groupEngine struct {
	state expert.EngineState
	known bool
	// stepsClosed is true if the engine starts no more steps that were allowed in an earlier
	// generation or by an earlier incarnation of the agent. closingSteps is true while the
	// order for this is pending.
	stepsClosed  bool
	closingSteps bool

	generation expert.Generation
	firstMap   expert.Map
	// firstStep is the engine's step number for step 1 of the generation; valid if
	// firstStepKnown is true.
	firstStep      uint64
	firstStepKnown bool
	// readNumber is the number of the last read for the first step. The read is repeated at
	// nextReadAt.
	readNumber uint64
	nextReadAt time.Time

	// orderedMap is the map ordered last, with its first step. An engine accepts only one map
	// for a later step, so that further maps wait in pendingMaps until orderedMap is in use.
	orderedMap  expert.Activation
	pendingMaps []expert.MapScheduled
	// allowedStep is the last step that the gate allowed, numbered within the generation. It
	// uses the map allowedVersion.
	allowedStep    expert.Step
	allowedVersion expert.Version
	// orderedStep is the last step that the engine was ordered to run, numbered within the
	// generation.
	orderedStep expert.Step
}

// allow records a step that the gate allowed.
func (e *groupEngine) allow(action expert.AllowStep) {
	if action.Generation == e.generation && action.Step > e.allowedStep {
		e.allowedStep = action.Step
		e.allowedVersion = action.Version
	}
}

// engineStep converts a step of the generation to the engine's step number.
func (e *groupEngine) engineStep(step expert.Step) uint64 {
	return e.firstStep + uint64(step) - 1
}

// nextStep returns the engine's next step as a step of the generation; 0 if it is unknown.
func (e *groupEngine) nextStep() expert.Step {
	if !e.firstStepKnown || e.state.Step < e.firstStep {
		return 0
	}
	return expert.Step(e.state.Step-e.firstStep) + 1
}

// orderableStep returns the last allowed step whose map was already ordered, and the version of
// that map.
func (e *groupEngine) orderableStep() (expert.Step, expert.Version) {
	if len(e.pendingMaps) > 0 && e.allowedStep >= e.pendingMaps[0].Activation.Step {
		return e.pendingMaps[0].Activation.Step - 1, e.orderedMap.Version
	}
	return e.allowedStep, e.allowedVersion
}

// resetGeneration clears the state of the generation.
func (e *groupEngine) resetGeneration() {
	e.generation = expert.Generation{}
	e.firstStepKnown = false
	e.nextReadAt = time.Time{}
	e.allowedStep, e.orderedStep = 0, 0
	e.orderedMap, e.pendingMaps = expert.Activation{}, nil
	e.stepsClosed = false
}

// updateEngineState applies the engine's state. An engine that restarted has lost all its
// state.
func (g *group) updateEngineState(now time.Time, state expert.EngineState) {
	first := !g.engine.known
	restarted := !first && state.Boot != g.engine.state.Boot
	g.engine.state = state
	g.engine.known = true
	if restarted {
		g.recordEvent("engine-restarted", SeverityWarning, "", Field{"engine", state.Boot})
		g.handleEngineRestart(now)
	}
	g.ensureStepsClosed(now)
	g.orderNextMap(now)
	g.requestSteps(now)
	g.flush(now)
}

// handleEngineRestart clears the state of the previous boot of the engine.
func (g *group) handleEngineRestart(now time.Time) {
	g.engine.resetGeneration()
	g.engine.closingSteps = false
	g.counts = groupCounts{sequence: g.counts.sequence}
	g.loads.clearPending()
	g.handleActions(now, g.member.Step(now, expert.EngineRestarted{}))
	g.engine.stepsClosed = false
	g.ensureStepsClosed(now)
}

// ensureStepsClosed orders the engine to start no steps while the agent is in no generation.
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

// joinGeneration starts a generation. The engines of all ranks have stopped at the same step,
// so that reading the engine's state returns the first step of the generation.
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

// retryFirstStepRead repeats the read for the first step while it is unanswered.
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

// receiveRead handles the answer to a read.
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
	restarted := read.State.Boot != g.engine.state.Boot
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

// scheduleMap queues a map that the group uses from a later step on.
func (g *group) scheduleMap(now time.Time, scheduled expert.MapScheduled) {
	g.recordEvent("group-map-scheduled", SeverityInfo, "", Field{"map", scheduled.Activation.Version.String()},
		Field{"step", formatStep(scheduled.Activation.Step)})
	g.engine.pendingMaps = append(g.engine.pendingMaps, scheduled)
	g.orderNextMap(now)
}

// orderNextMap orders the next pending map once the engine uses the one ordered before.
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

// requestSteps requests steps from the gate up to the end of the step window.
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

// orderAllowedSteps orders the engine to run the steps that the gate has allowed.
func (g *group) orderAllowedSteps(now time.Time) {
	allowed, version := g.engine.orderableStep()
	if !g.engine.firstStepKnown || allowed <= g.engine.orderedStep {
		return
	}
	g.engine.orderedStep = allowed
	g.requestOrder(now, expert.Order{Kind: expert.OrderAllowSteps, MapVersion: version, Step: g.engine.engineStep(allowed) + 1})
}

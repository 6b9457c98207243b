package expert

import (
	"cmp"
	"slices"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// GateAnswer is a StepGate's answer to a rank that wants to start a step.
type GateAnswer uint8

// The answers of a StepGate.
const (
	// GateAllowed lets the rank start the step.
	GateAllowed GateAnswer = iota + 1
	// GateHeld lets the rank wait because the map of the step is not known.
	GateHeld
	// GateRefused refuses a step of another generation or of a map that ended.
	GateRefused
)

// StepGate lets a rank start a step only under the map that is known for the step. It
// belongs to one agent and covers all of the agent's ranks of a group.
type StepGate struct {
	generation Generation
	previous   Activation
	active     Activation
	next       Activation
	// holdBefore is the first step whose map is undecided; 0 for none.
	holdBefore Step
	started    Step
	waiting    []StepRequested
}

// Generation returns the generation of the gate; zero while it is closed.
func (g *StepGate) Generation() Generation { return g.generation }

// Started returns the greatest step that a rank started in the generation.
func (g *StepGate) Started() Step { return g.started }

// Active returns the map in use.
func (g *StepGate) Active() Activation { return g.active }

// Next returns the map that is scheduled for a later step; zero for none.
func (g *StepGate) Next() Activation { return g.next }

// Waiting returns the requests that are held, by rank.
func (g *StepGate) Waiting() []StepRequested { return slices.Clone(g.waiting) }

// Open starts a generation at step 1 under a map.
func (g *StepGate) Open(generation Generation, version Version) {
	waiting := g.waiting
	*g = StepGate{generation: generation, active: Activation{Version: version, Step: 1}, waiting: waiting}
}

// Close ends the generation; no step starts until Open.
func (g *StepGate) Close() {
	waiting := g.waiting
	*g = StepGate{waiting: waiting}
}

// CanHold reports whether Hold is possible: no step from step on has started, and no
// other map is scheduled.
func (g *StepGate) CanHold(step Step) bool {
	return !g.generation.IsZero() && g.started < step && g.next.Version.IsZero() && step > g.active.Step
}

// Hold keeps steps from step on from starting. A later hold replaces an earlier one.
func (g *StepGate) Hold(step Step) {
	if !g.CanHold(step) {
		panic("invariant: hold before a step that started or has a map")
	}
	g.holdBefore = max(g.holdBefore, step)
}

// Release ends a Hold without a new map.
func (g *StepGate) Release() {
	g.holdBefore = 0
}

// Schedule ends a Hold: the map holds from step on.
func (g *StepGate) Schedule(activation Activation) {
	if g.holdBefore == 0 || activation.Step > g.holdBefore || g.started >= activation.Step {
		panic("invariant: a map was scheduled for a step that was not held")
	}
	g.holdBefore = 0
	g.next = activation
}

// Start asks to start a step on a rank. The version is that of the map to use.
func (g *StepGate) Start(request StepRequested) (GateAnswer, Version) {
	version, answer := g.lookup(request.Generation, request.Step)
	switch answer {
	case GateHeld:
		g.wait(request)
	case GateAllowed:
		g.advance(request.Step)
	}
	return answer, version
}

func (g *StepGate) lookup(generation Generation, step Step) (Version, GateAnswer) {
	switch {
	case g.generation.IsZero() || generation != g.generation:
		return Version{}, GateRefused
	case g.holdBefore != 0 && step >= g.holdBefore:
		return Version{}, GateHeld
	case !g.next.Version.IsZero() && step >= g.next.Step:
		return g.next.Version, GateAllowed
	case step >= g.active.Step:
		return g.active.Version, GateAllowed
	case !g.previous.Version.IsZero() && step >= g.previous.Step:
		return g.previous.Version, GateAllowed
	default:
		return Version{}, GateRefused
	}
}

func (g *StepGate) advance(step Step) {
	g.started = max(g.started, step)
	if g.next.Version.IsZero() || g.started < g.next.Step {
		return
	}
	g.previous = g.active
	g.active = g.next
	g.next = Activation{}
}

func (g *StepGate) wait(request StepRequested) {
	i, found := slices.BinarySearchFunc(g.waiting, request, compareRequests)
	if found {
		g.waiting[i] = request
		return
	}
	g.waiting = slices.Insert(g.waiting, i, request)
}

func compareRequests(a, b StepRequested) int {
	return cmp.Compare(a.Rank, b.Rank)
}

// GateResult is a request that waited, with its answer.
type GateResult struct {
	Request StepRequested
	Answer  GateAnswer
	Version Version
}

// Retry asks again for all waiting requests and returns those that wait no longer.
func (g *StepGate) Retry() []GateResult {
	waiting := g.waiting
	g.waiting = nil
	var results []GateResult
	for _, request := range waiting {
		answer, version := g.Start(request)
		if answer != GateHeld {
			results = append(results, GateResult{Request: request, Answer: answer, Version: version})
		}
	}
	return results
}

// holds reports whether a rank of the gate waits.
func (g *StepGate) holds(rank ident.Rank) bool {
	return slices.ContainsFunc(g.waiting, func(r StepRequested) bool { return r.Rank == rank })
}

package expert

import (
	"cmp"
	"slices"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// GateAnswer is a StepGate's answer to a request to start a step.
type GateAnswer uint8

// The answers of a StepGate.
const (
	// GateAllowed lets the rank start the step.
	GateAllowed GateAnswer = iota + 1
	// GateHeld makes the rank wait because the map of the step is undecided.
	GateHeld
	// GateRefused rejects a step of another generation, or one that precedes all maps that
	// the gate still has.
	GateRefused
)

// StepGate lets a rank start a step only if the map of that step is decided. An agent has
// one gate per group, which covers all of the agent's ranks in the group.
type StepGate struct {
	generation Generation
	previous   Activation
	active     Activation
	next       Activation
	// holdFrom is the first step whose map is undecided: requests for it and for later steps
	// wait; 0 for none.
	holdFrom Step
	started  Step
	waiting  []StepRequested
}

// Generation returns the generation of the gate; zero while it is closed.
func (g *StepGate) Generation() Generation { return g.generation }

// Started returns the greatest step that a rank started in the generation.
func (g *StepGate) Started() Step { return g.started }

// Active returns the map in use.
func (g *StepGate) Active() Activation { return g.active }

// Next returns the map that is scheduled for a later step; zero for none.
func (g *StepGate) Next() Activation { return g.next }

// Waiting returns the held requests, sorted by rank.
func (g *StepGate) Waiting() []StepRequested { return slices.Clone(g.waiting) }

// Open starts a generation whose steps use a map from step 1 on.
func (g *StepGate) Open(generation Generation, version Version) {
	waiting := g.waiting
	*g = StepGate{generation: generation, active: Activation{Version: version, Step: 1}, waiting: waiting}
}

// Close ends the generation. No step starts until the next Open.
func (g *StepGate) Close() {
	waiting := g.waiting
	*g = StepGate{waiting: waiting}
}

// CanHold reports whether Hold(step) is allowed: the gate is open, neither that step nor a
// later one has started, step is greater than the active map's first one, and no other map
// is scheduled.
func (g *StepGate) CanHold(step Step) bool {
	return !g.generation.IsZero() && g.started < step && g.next.Version.IsZero() && step > g.active.Step
}

// Hold makes requests for the given step and all later ones wait. Of several holds, the one
// with the greatest step applies: the leader moves a hold to a later step if a rank has
// already started the earlier one, and a delayed message must not move it back. Hold panics
// unless CanHold.
func (g *StepGate) Hold(step Step) {
	if !g.CanHold(step) {
		panic("invariant: cannot hold a step that has started or whose map is decided")
	}
	g.holdFrom = max(g.holdFrom, step)
}

// Release ends a Hold. The current map stays in use.
func (g *StepGate) Release() {
	g.holdFrom = 0
}

// Schedule ends a Hold: steps from activation.Step on use the new map. It panics unless
// these steps are held.
func (g *StepGate) Schedule(activation Activation) {
	if g.holdFrom == 0 || activation.Step > g.holdFrom || g.started >= activation.Step {
		panic("invariant: map scheduled for a step that is not held")
	}
	g.holdFrom = 0
	g.next = activation
}

// Start handles a rank's request to start a step. If the answer is GateAllowed, the step
// uses the map with the returned version. A held request waits for Retry.
func (g *StepGate) Start(request StepRequested) (GateAnswer, Version) {
	version, answer := g.lookup(request.Generation, request.Step)
	switch answer {
	case GateHeld:
		g.addWaiting(request)
	case GateAllowed:
		g.advance(request.Step)
	}
	return answer, version
}

func (g *StepGate) lookup(generation Generation, step Step) (Version, GateAnswer) {
	switch {
	case g.generation.IsZero() || generation != g.generation:
		return Version{}, GateRefused
	case g.holdFrom != 0 && step >= g.holdFrom:
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

func (g *StepGate) addWaiting(request StepRequested) {
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

// GateResult is the gate's answer to a request. Version is the map of the step if Answer is
// GateAllowed, otherwise it is zero.
type GateResult struct {
	Request StepRequested
	Answer  GateAnswer
	Version Version
}

// Retry evaluates all waiting requests again and returns those that are now allowed or
// refused.
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

// isWaiting reports whether a request of the rank is held.
func (g *StepGate) isWaiting(rank ident.Rank) bool {
	return slices.ContainsFunc(g.waiting, func(r StepRequested) bool { return r.Rank == rank })
}

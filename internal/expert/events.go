package expert

import (
	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// Event is an input of a Leader, Member, OrderIssuer or WeightLoader.
type Event interface {
	isEvent()
}

// Action is an effect that a Leader, Member, OrderIssuer or WeightLoader requests from its
// caller.
type Action interface {
	isAction()
}

// Tick checks timers. It is due at the times that NextTick returns.
type Tick struct{}

// Received is a message from another agent of the group, or from the agent itself.
type Received struct {
	Message Message
}

// RosterChanged carries the group's roster from a published fleet that the agent has newly
// accepted.
type RosterChanged struct {
	Roster Roster
}

// ElectionChanged reports to a Leader whether Elect returns its VM.
type ElectionChanged struct {
	Elected bool
}

// Propose asks a Leader to roll out a map. The Leader assigns the map's version.
type Propose struct {
	Map Map
}

// WeightsLoaded reports to a Member that all weights of a LoadWeights action are in memory.
type WeightsLoaded struct {
	Version Version
}

// WeightsFailed reports to a Member that weights of a LoadWeights action cannot be loaded.
type WeightsFailed struct {
	Version Version
	Cause   string
}

// EngineRestarted reports to a Member that the agent's engine, which runs all of the agent's
// ranks, restarted: it has no weights and is in no generation.
type EngineRestarted struct{}

// StepRequested is a rank's request to start a step.
type StepRequested struct {
	Rank       ident.Rank
	Generation Generation
	Step       Step
}

func (Tick) isEvent()            {}
func (Received) isEvent()        {}
func (RosterChanged) isEvent()   {}
func (ElectionChanged) isEvent() {}
func (Propose) isEvent()         {}
func (WeightsLoaded) isEvent()   {}
func (WeightsFailed) isEvent()   {}
func (EngineRestarted) isEvent() {}
func (StepRequested) isEvent()   {}

// Send sends a message to the agent on a VM. The caller passes a message to the agent's
// own VM to the agent's own Leader and Member.
type Send struct {
	To      ident.VM
	Message Message
}

// LoadWeights loads the weights of placements on the agent's ranks. WeightsLoaded or
// WeightsFailed with the same version answers it.
type LoadWeights struct {
	Version    Version
	Placements []Placement
}

// DropWeights reports that the weights loaded for a version are no longer needed.
type DropWeights struct {
	Version Version
}

// AllowStep answers a StepRequested: the rank may start the step with the map Version.
type AllowStep struct {
	Rank       ident.Rank
	Generation Generation
	Step       Step
	Version    Version
}

// StepHeld reports that a rank waits because the map of its step is undecided. An
// AllowStep or RefuseStep follows.
type StepHeld struct {
	Rank ident.Rank
	Step Step
}

// RefuseStep answers a StepRequested whose generation is not the agent's, or whose step
// precedes all maps that the agent still has.
type RefuseStep struct {
	Rank       ident.Rank
	Generation Generation
	Step       Step
	// Current is the agent's generation; zero while none is formed.
	Current Generation
}

// JoinGeneration makes the agent's engine join a new generation of the group. Its steps
// are numbered from 1 and use the map.
type JoinGeneration struct {
	Generation Generation
	Map        Map
}

// LeaveGeneration reports to the agent's engine that a generation ended.
type LeaveGeneration struct {
	Generation Generation
}

// MapScheduled reports that a map is to be used from the step of its activation on.
type MapScheduled struct {
	Activation Activation
	Map        Map
}

// LeadershipChanged reports whether this agent leads the group in an epoch.
type LeadershipChanged struct {
	Epoch   Epoch
	Leading bool
}

// RolloutResult is the result of a rollout at its leader.
type RolloutResult uint8

// The results of a rollout.
const (
	RolloutDone RolloutResult = iota + 1
	RolloutGivenUp
	// RolloutRefused means that the leader did not start the proposed rollout.
	RolloutRefused
	// RolloutHandedOver means that the leader lost the leadership, or starts a new claim,
	// before the rollout ended. The next claim completes or aborts it.
	RolloutHandedOver
)

// String returns the result as it is logged.
func (r RolloutResult) String() string {
	switch r {
	case RolloutDone:
		return "done"
	case RolloutGivenUp:
		return "given-up"
	case RolloutRefused:
		return "refused"
	case RolloutHandedOver:
		return "handed-over"
	default:
		return "unknown"
	}
}

// RolloutEnded reports the end of a rollout at its leader.
type RolloutEnded struct {
	Version Version
	Result  RolloutResult
	// Cause is the reason why a rollout was given up or refused.
	Cause string
	// Step is the first step that uses the map, if Result is RolloutDone.
	Step Step
	// Forming is true if the rollout formed a generation.
	Forming bool
}

func (Send) isAction()              {}
func (LoadWeights) isAction()       {}
func (DropWeights) isAction()       {}
func (AllowStep) isAction()         {}
func (StepHeld) isAction()          {}
func (RefuseStep) isAction()        {}
func (JoinGeneration) isAction()    {}
func (LeaveGeneration) isAction()   {}
func (MapScheduled) isAction()      {}
func (LeadershipChanged) isAction() {}
func (RolloutEnded) isAction()      {}

package expert

import (
	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// Event is an input of a Leader or a Member.
type Event interface {
	isEvent()
}

// Action is an effect that a Leader or a Member asks for.
type Action interface {
	isAction()
}

// Tick tells that time has passed; it is due at the times that NextTick returns.
type Tick struct{}

// Received is a message from another agent of the group, or from the agent itself.
type Received struct {
	Message Message
}

// RosterChanged is a newly accepted roster of the group.
type RosterChanged struct {
	Roster Roster
}

// ElectionChanged tells a Leader whether Elect chooses its VM.
type ElectionChanged struct {
	Elected bool
}

// Propose asks a leader to roll out a map. Its version is assigned by the leader.
type Propose struct {
	Map Map
}

// WeightsLoaded tells a Member that all weights of a LoadWeights action are in memory.
type WeightsLoaded struct {
	Version Version
}

// WeightsFailed tells a Member that weights of a LoadWeights action cannot be loaded.
type WeightsFailed struct {
	Version Version
	Cause   string
}

// EngineRestarted tells a Member that the engine of its ranks lost its weights and its
// place in the group.
type EngineRestarted struct{}

// StepRequested is a rank's question whether it may start a step.
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

// Send asks to send a message to the agent on a VM. A message to the agent's own VM is
// handed to its own Leader or Member.
type Send struct {
	To      ident.VM
	Message Message
}

// LoadWeights asks to load the weights of placements on the agent's ranks.
type LoadWeights struct {
	Version    Version
	Placements []Placement
}

// DropWeights tells that the weights loaded for a version are not needed.
type DropWeights struct {
	Version Version
}

// AllowStep answers a StepRequested: the rank starts the step under the map.
type AllowStep struct {
	Rank       ident.Rank
	Generation Generation
	Step       Step
	Version    Version
}

// StepHeld tells that a rank waits because the map of its step is not known yet.
// An AllowStep or RefuseStep follows.
type StepHeld struct {
	Rank ident.Rank
	Step Step
}

// RefuseStep answers a StepRequested of a generation that is not the agent's.
type RefuseStep struct {
	Rank       ident.Rank
	Generation Generation
	Step       Step
	// Current is the agent's generation; zero while none is formed.
	Current Generation
}

// JoinGeneration tells the agent's engines to form the group anew: steps start from 1
// under the map.
type JoinGeneration struct {
	Generation Generation
	Map        Map
}

// LeaveGeneration tells the agent's engines that a generation ended.
type LeaveGeneration struct {
	Generation Generation
}

// MapScheduled tells that an agent learnt from which step on a map holds.
type MapScheduled struct {
	Activation Activation
	Map        Map
}

// LeadershipChanged reports that this agent leads the group in an epoch, or no longer does.
type LeadershipChanged struct {
	Epoch   Epoch
	Leading bool
}

// RolloutResult is how a rollout ended.
type RolloutResult uint8

// The results of a rollout.
const (
	RolloutDone RolloutResult = iota + 1
	RolloutGivenUp
	// RolloutRefused is a proposal that the leader did not start.
	RolloutRefused
	// RolloutHandedOver is a rollout whose leader lost the leadership, or claims it anew:
	// the next claim completes or aborts it.
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
	// Cause tells why a rollout was given up or refused.
	Cause string
	// Step is the first step of the map of a rollout that was done.
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

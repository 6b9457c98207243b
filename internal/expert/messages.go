package expert

import (
	"errors"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/template"
)

// Message is a message between the agents of a group.
type Message interface {
	isMessage()
}

// RosterMember is one agent of a group with the ranks of its backend server.
type RosterMember struct {
	VM    ident.VM     `cbor:"1,keyasint" json:"vm"`
	Ranks []ident.Rank `cbor:"2,keyasint" json:"ranks"`
}

// Roster lists the agents of a group in a published fleet, sorted by VM.
type Roster struct {
	Version template.Version `cbor:"1,keyasint" json:"version"`
	Members []RosterMember   `cbor:"2,keyasint" json:"members"`
}

// Header is part of each message of a leader.
type Header struct {
	Group ident.Group `cbor:"1,keyasint"`
	// Epoch is the leader's epoch; Epoch.Leader is the sender.
	Epoch Epoch `cbor:"2,keyasint"`
	// To is the receiver. Incarnation 0 means any incarnation on the VM.
	To ident.Instance `cbor:"3,keyasint"`
}

// Claim asks an agent to promise an epoch. The answer is a Status. If the agent promises the
// epoch, Status.Epoch is that epoch and Status.Maps holds the agent's maps; if it refuses, Maps
// is empty.
type Claim struct {
	Header Header `cbor:"1,keyasint"`
	Roster Roster `cbor:"2,keyasint"`
}

// Heartbeat asks an agent for its Status.
type Heartbeat struct {
	Header Header `cbor:"1,keyasint"`
}

// Prepare asks an agent to load the weights that a map needs on its ranks.
type Prepare struct {
	Header Header `cbor:"1,keyasint"`
	Map    Map    `cbor:"2,keyasint"`
	// Forming is true if the map starts a new generation. The agent then leaves its current
	// one.
	Forming bool `cbor:"3,keyasint"`
	// RosterDigest identifies the agents and ranks of a new generation.
	RosterDigest uint64 `cbor:"4,keyasint"`
}

// Hold asks an agent not to start Step or any later step until it receives an Activate or
// Abort.
type Hold struct {
	Header  Header  `cbor:"1,keyasint"`
	Version Version `cbor:"2,keyasint"`
	Step    Step    `cbor:"3,keyasint"`
}

// Activate instructs an agent to use the map from Step on.
type Activate struct {
	Header     Header     `cbor:"1,keyasint"`
	Version    Version    `cbor:"2,keyasint"`
	Generation Generation `cbor:"3,keyasint"`
	Step       Step       `cbor:"4,keyasint"`
}

// Abort instructs an agent to end a rollout that was given up.
type Abort struct {
	Header  Header  `cbor:"1,keyasint"`
	Version Version `cbor:"2,keyasint"`
}

// Activation is the version of a map and the first step that uses it.
type Activation struct {
	Version Version `cbor:"1,keyasint"`
	Step    Step    `cbor:"2,keyasint"`
}

// RolloutPhase is the progress of a rollout at one agent.
type RolloutPhase uint8

// The phases of a rollout at one agent.
const (
	PhaseNone RolloutPhase = iota
	PhaseLoading
	PhaseLoaded
	PhaseFailed
	PhaseHolding
)

// RolloutState is the rollout that an agent takes part in; zero for none.
type RolloutState struct {
	Version Version      `cbor:"1,keyasint"`
	Phase   RolloutPhase `cbor:"2,keyasint"`
	// HoldFrom is the first held step, in PhaseHolding. Earlier steps are not held.
	HoldFrom Step `cbor:"3,keyasint"`
	// Cause is the reason why loading failed, in PhaseFailed.
	Cause string `cbor:"4,keyasint,omitempty"`
	// Forming is true if the rollout starts a new generation.
	Forming bool `cbor:"5,keyasint,omitempty"`
}

// Status is an agent's state. The agent sends it in answer to each message of a leader, and
// when loading ends or its engine restarts.
type Status struct {
	Group ident.Group    `cbor:"1,keyasint"`
	From  ident.Instance `cbor:"2,keyasint"`
	// Sequence increases with each Status of one instance.
	Sequence uint64 `cbor:"3,keyasint"`
	// Epoch is the greatest promised epoch.
	Epoch Epoch `cbor:"4,keyasint"`
	// RosterVersion is the version of the newest roster that the agent has.
	RosterVersion template.Version `cbor:"5,keyasint"`
	// Generation is zero for an agent that is in no generation.
	Generation Generation `cbor:"6,keyasint"`
	// RosterDigest is the digest of the roster for which the generation that the agent joined
	// last was formed.
	RosterDigest uint64 `cbor:"7,keyasint"`
	// Started is the greatest step that a rank of the agent has started.
	Started Step `cbor:"8,keyasint"`
	// Active is the map in use, Next the one scheduled for a later step.
	Active  Activation   `cbor:"9,keyasint"`
	Next    Activation   `cbor:"10,keyasint"`
	Rollout RolloutState `cbor:"11,keyasint"`
	// Ended is the greatest version whose rollout ended at this agent without activation.
	Ended Version `cbor:"12,keyasint"`
	// Maps holds the active, scheduled and pending maps. It is set only in answer to a Claim
	// whose epoch the agent promises.
	Maps []Map `cbor:"13,keyasint,omitempty"`
}

// Counts reports how many tokens of some ranks were routed to each expert. Counts are scaled
// to one byte each, with a unit per layer: a report of 58 layers and 64 experts takes under
// 4 KB.
type Counts struct {
	Group ident.Group    `cbor:"1,keyasint"`
	From  ident.Instance `cbor:"2,keyasint"`
	// Sequence increases with each report of one instance.
	Sequence uint64 `cbor:"3,keyasint"`
	// Generation is the generation in which Until is numbered.
	Generation Generation `cbor:"9,keyasint"`
	// Until is the last step of the report and Steps the number of steps in it.
	Until Step   `cbor:"4,keyasint"`
	Steps uint32 `cbor:"5,keyasint"`
	// Ranks is the number of ranks that the report covers.
	Ranks  uint16        `cbor:"6,keyasint"`
	Layers []LayerCounts `cbor:"7,keyasint"`
	// StepTime is the mean computing time per step of the slowest covered rank.
	StepTime time.Duration `cbor:"8,keyasint"`
}

// LayerCounts holds the counts of one layer, one byte per expert.
type LayerCounts struct {
	// Unit is the number of tokens per unit of Scaled.
	Unit   float32 `cbor:"1,keyasint"`
	Scaled []byte  `cbor:"2,keyasint"`
}

func (Claim) isMessage()     {}
func (Heartbeat) isMessage() {}
func (Prepare) isMessage()   {}
func (Hold) isMessage()      {}
func (Activate) isMessage()  {}
func (Abort) isMessage()     {}
func (Status) isMessage()    {}
func (Counts) isMessage()    {}

// Envelope is the wire format of a Message. Exactly one field is set.
type Envelope struct {
	Claim     *Claim     `cbor:"1,keyasint,omitempty"`
	Heartbeat *Heartbeat `cbor:"2,keyasint,omitempty"`
	Prepare   *Prepare   `cbor:"3,keyasint,omitempty"`
	Hold      *Hold      `cbor:"4,keyasint,omitempty"`
	Activate  *Activate  `cbor:"5,keyasint,omitempty"`
	Abort     *Abort     `cbor:"6,keyasint,omitempty"`
	Status    *Status    `cbor:"7,keyasint,omitempty"`
	Counts    *Counts    `cbor:"8,keyasint,omitempty"`
}

// ErrEnvelope reports an envelope that does not carry exactly one message.
var ErrEnvelope = errors.New("envelope must carry exactly one message")

// Wrap puts a message into an envelope.
func Wrap(message Message) Envelope {
	switch m := message.(type) {
	case Claim:
		return Envelope{Claim: &m}
	case Heartbeat:
		return Envelope{Heartbeat: &m}
	case Prepare:
		return Envelope{Prepare: &m}
	case Hold:
		return Envelope{Hold: &m}
	case Activate:
		return Envelope{Activate: &m}
	case Abort:
		return Envelope{Abort: &m}
	case Status:
		return Envelope{Status: &m}
	case Counts:
		return Envelope{Counts: &m}
	default:
		panic("invariant: unknown expert message")
	}
}

// Unwrap returns the envelope's message, or ErrEnvelope if there is not exactly one.
func (e Envelope) Unwrap() (Message, error) {
	var found []Message
	if e.Claim != nil {
		found = append(found, *e.Claim)
	}
	if e.Heartbeat != nil {
		found = append(found, *e.Heartbeat)
	}
	if e.Prepare != nil {
		found = append(found, *e.Prepare)
	}
	if e.Hold != nil {
		found = append(found, *e.Hold)
	}
	if e.Activate != nil {
		found = append(found, *e.Activate)
	}
	if e.Abort != nil {
		found = append(found, *e.Abort)
	}
	if e.Status != nil {
		found = append(found, *e.Status)
	}
	if e.Counts != nil {
		found = append(found, *e.Counts)
	}
	if len(found) != 1 {
		return nil, ErrEnvelope
	}
	return found[0], nil
}

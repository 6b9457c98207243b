package control

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/expert"
	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// EngineStateReceived delivers a polled state of the engine.
type EngineStateReceived struct{ State expert.EngineState }

// EngineRead delivers the answer to a ReadEngine action.
type EngineRead struct{ Read expert.EngineRead }

// OrderAnswered reports the result of a SendEngineOrder action.
type OrderAnswered struct{ Answer expert.OrderAnswered }

// CountsReceived delivers the numbers of tokens routed to each expert since the engine started.
type CountsReceived struct {
	// Boot identifies the boot of the engine: it changes with each restart. Step is the step
	// up to which the tokens are counted.
	Boot string
	Step uint64
	// Layers holds the token counts by layer and expert.
	Layers [][]uint64
}

// PlanMade delivers the result of a MakePlan action.
type PlanMade struct {
	Number uint64
	Epoch  expert.Epoch
	Plan   expert.Plan
}

func (EngineStateReceived) isEvent() {}
func (EngineRead) isEvent()          {}
func (OrderAnswered) isEvent()       {}
func (CountsReceived) isEvent()      {}
func (PlanMade) isEvent()            {}

// SendEngineOrder sends an order to the engine, once and without retries.
type SendEngineOrder struct {
	Rank   ident.Rank
	Issuer ident.Instance
	Order  expert.SendOrder
}

// CancelOrder closes the connection of an overdue SendEngineOrder. An OrderAnswered follows.
type CancelOrder struct{ Number uint64 }

// ReadEngine reads the engine's state.
type ReadEngine struct{ Request uint64 }

// MakePlan computes a plan off the control thread.
type MakePlan struct {
	Number  uint64
	Epoch   expert.Epoch
	Planner *expert.Planner
	// Input is the input of the planner.
	Input expert.PlanInput
}

func (SendEngineOrder) isAction() {}
func (CancelOrder) isAction()     {}
func (ReadEngine) isAction()      {}
func (MakePlan) isAction()        {}

// RolloutStatus describes the last rollout that an agent led.
type RolloutStatus struct {
	Version string `json:"version"`
	// Result is empty while the rollout is in progress.
	Result string `json:"result,omitempty"`
	Cause  string `json:"cause,omitempty"`
}

// PlanStatus describes the last plan to operators.
type PlanStatus struct {
	At         time.Time `json:"at"`
	Kind       string    `json:"kind"`
	Moves      int       `json:"moves"`
	Bytes      int64     `json:"bytes"`
	SkewBefore float64   `json:"skew_before"`
	SkewAfter  float64   `json:"skew_after"`
	// Gain is the number of steps that the plan saves, Cost the number of steps that it takes,
	// each multiplied by its weight of the templates; see expert.Plan.
	Gain float64 `json:"gain"`
	Cost float64 `json:"cost"`
}

// GroupStatus describes an agent's part in a model group to operators.
type GroupStatus struct {
	Group ident.Group `json:"group"`
	// Elected is the agent that this agent considers the leader.
	Elected ident.VM `json:"elected"`
	Leading bool     `json:"leading"`
	// LeaderState is the state of this agent's leader part.
	LeaderState string `json:"leader_state"`
	// Epoch is the highest epoch that this agent has promised to follow.
	Epoch      string `json:"epoch"`
	Generation string `json:"generation"`
	// Map is the version in use. Step is the next step of the generation; 0 outside a
	// generation.
	Map     string      `json:"map"`
	NextMap string      `json:"next_map,omitempty"`
	Step    expert.Step `json:"step"`
	// AllowedUntil is the last step of the generation that the step gate has allowed. While a
	// map is pending, the engine may have been ordered fewer steps.
	AllowedUntil expert.Step `json:"allowed_until"`
	// Held is true if a step waits for the decision on its map.
	Held       bool   `json:"held"`
	OrderState string `json:"order_state"`
	// Skew is the load of the most loaded rank divided by the mean, at the leader; 0 at other
	// agents.
	Skew float64 `json:"skew"`
	// BytesLoaded is the size of all weights that the engine loaded on the agent's orders.
	BytesLoaded int64          `json:"bytes_loaded"`
	Rollout     *RolloutStatus `json:"rollout,omitempty"`
	Plan        *PlanStatus    `json:"plan,omitempty"`
}

func (g *group) status() *GroupStatus {
	gate := g.member.Gate()
	status := &GroupStatus{
		Group:        g.name,
		Elected:      g.peers.elected,
		Leading:      g.leader.Leading(),
		LeaderState:  string(g.leader.State()),
		Epoch:        g.member.Epoch().String(),
		Generation:   gate.Generation().String(),
		Map:          g.member.Map().Version.String(),
		Step:         g.engine.nextStep(),
		AllowedUntil: g.engine.allowedStep,
		Held:         len(gate.Waiting()) > 0,
		OrderState:   string(g.issuer.State()),
		BytesLoaded:  g.bytesLoaded,
		Plan:         g.plans.last,
	}
	if next := gate.Next().Version; !next.IsZero() {
		status.NextMap = next.String()
	}
	if g.rollout.Version != "" {
		rollout := g.rollout
		status.Rollout = &rollout
	}
	if g.leader.Leading() && len(g.leader.Map().Layers) > 0 {
		status.Skew = expert.Skew(g.leader.Map(), g.popularity.Load(), nil)
	}
	return status
}

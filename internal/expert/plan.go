package expert

import (
	"cmp"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/template"
)

// PlanKind is how far a plan goes.
type PlanKind uint8

// The kinds of plan.
const (
	// PlanNone keeps the map.
	PlanNone PlanKind = iota
	// PlanShares changes the shares of replicas alone; it moves no weights.
	PlanShares
	// PlanIncremental moves some replicas.
	PlanIncremental
	// PlanFull places all experts anew.
	PlanFull
)

// String returns the kind as it is logged.
func (k PlanKind) String() string {
	switch k {
	case PlanShares:
		return "shares"
	case PlanIncremental:
		return "incremental"
	case PlanFull:
		return "full"
	default:
		return "none"
	}
}

// Defaults of a PlannerConfig.
const (
	DefaultHorizon         = 3000
	DefaultMovesPerRank    = 64
	DefaultMoveShare       = 0.045
	DefaultLeastSaving     = 0.01
	DefaultExpertBytes     = 22 << 20
	DefaultStoreRate       = 1 << 30
	DefaultStepTime        = 40 * time.Millisecond
	DefaultActivationSteps = 1.0
	DefaultLoadSlowdown    = 0.05
)

// PlannerConfig describes what moves cost and what they are worth.
type PlannerConfig struct {
	Shape   Shape
	Weights template.ExpertWeights
	// ExpertBytes is the size of one expert's weights in one layer.
	ExpertBytes int64
	// StoreRate is the weight store's rate for the group in bytes a second.
	StoreRate float64
	// StepTime is the time of a step without skew.
	StepTime time.Duration
	// Horizon is the number of steps for which popularity is expected to stay as it is.
	Horizon float64
	// MovesPerRank is the number of replicas that one rollout may load on a rank, over
	// all layers: they are staged beside the replicas in use.
	MovesPerRank int
	// MoveShare is the part of the group's replicas that may be loaded over a horizon at
	// equal weights of skew and rebalancing; it goes with the root of their ratio.
	MoveShare float64
	// LeastSaving is the part of the worst rank's load in a layer that a move must save.
	LeastSaving float64
	// ActivationSteps is the number of steps by which an activation that moves replicas
	// delays the group.
	ActivationSteps float64
	// LoadSlowdown is the part by which loading weights slows the steps that run meanwhile.
	LoadSlowdown float64
	// EvenShares is true for engines that split an expert's tokens evenly over its replicas.
	EvenShares bool
}

func (c PlannerConfig) withDefaults() PlannerConfig {
	c.ExpertBytes = cmp.Or(c.ExpertBytes, DefaultExpertBytes)
	c.StoreRate = cmp.Or(c.StoreRate, float64(DefaultStoreRate))
	c.StepTime = cmp.Or(c.StepTime, DefaultStepTime)
	c.Horizon = cmp.Or(c.Horizon, float64(DefaultHorizon))
	c.MovesPerRank = cmp.Or(c.MovesPerRank, DefaultMovesPerRank)
	c.MoveShare = cmp.Or(c.MoveShare, DefaultMoveShare)
	c.LeastSaving = cmp.Or(c.LeastSaving, DefaultLeastSaving)
	c.ActivationSteps = cmp.Or(c.ActivationSteps, DefaultActivationSteps)
	c.LoadSlowdown = cmp.Or(c.LoadSlowdown, DefaultLoadSlowdown)
	if c.Weights == (template.ExpertWeights{}) {
		c.Weights = template.ExpertWeights{Skew: 1, Rebalancing: 1}
	}
	return c
}

// Plan is what a planner proposes.
type Plan struct {
	Kind PlanKind
	// Map is the proposed map; its version is zero. It is empty for PlanNone.
	Map Map
	// Moves is the number of replicas to load and Bytes their size.
	Moves int
	Bytes int64
	// SkewBefore and SkewAfter are the predicted skews: the worst rank over the mean.
	SkewBefore float64
	SkewAfter  float64
	// Gain and Cost are in steps over the horizon, with the template's weights.
	Gain float64
	Cost float64
}

// Situation is what a planner decides on.
type Situation struct {
	// Steps is the number of steps that the group has run, over all generations.
	Steps float64
	// Current is the map in use, with no other one scheduled.
	Current Map
	Load    Load
}

// Planner decides when to change a group's map. It is deterministic and not safe for
// concurrent use.
type Planner struct {
	config PlannerConfig
	safe   Map
	budget moveBudget
	trust  trust
}

// NewPlanner returns a planner, or an error if the shape is not valid.
func NewPlanner(config PlannerConfig) (*Planner, error) {
	if err := config.Shape.Validate(); err != nil {
		return nil, err
	}
	config = config.withDefaults()
	return &Planner{
		config: config,
		safe:   StaticMap(Version{}, config.Shape),
		budget: newMoveBudget(config),
		trust:  trust{horizon: config.Horizon},
	}, nil
}

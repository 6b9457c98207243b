package expert

import (
	"cmp"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/template"
)

// PlanKind classifies a plan by how much of the map it changes.
type PlanKind uint8

// The kinds of plan.
const (
	// PlanNone leaves the map unchanged.
	PlanNone PlanKind = iota
	// PlanShares changes only the shares of replicas; no weights are loaded.
	PlanShares
	// PlanIncremental moves or adds some replicas.
	PlanIncremental
	// PlanFull replaces the whole map.
	PlanFull
)

// String returns the name of the kind for logs.
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
	DefaultHorizon         = 3000                  // steps
	DefaultMovesPerRank    = 64                    // replicas
	DefaultMoveShare       = 0.045                 // fraction of the group's replicas
	DefaultMinSaving       = 0.01                  // fraction of the most loaded rank's load
	DefaultExpertBytes     = 22 << 20              // bytes
	DefaultStoreRate       = 1 << 30               // bytes per second
	DefaultStepTime        = 40 * time.Millisecond // without skew
	DefaultActivationSteps = 1.0                   // steps
	DefaultLoadSlowdown    = 0.05                  // fraction of the step time
)

// PlannerConfig sets the costs, weights and limits of a planner. Zero values of all fields
// but Shape and EvenShares are replaced by the defaults.
type PlannerConfig struct {
	Shape Shape
	// Weights are the factors by which the gain of less skew and the cost of rebalancing are
	// multiplied before they are compared; the zero value means 1 for both.
	Weights template.ExpertWeights
	// ExpertBytes is the size of one expert's weights in one layer, in bytes.
	ExpertBytes int64
	// StoreRate is the rate at which the group may read from the weight store, in bytes per second.
	StoreRate float64
	// StepTime is the duration of a step without skew.
	StepTime time.Duration
	// Horizon is the number of steps for which popularity is assumed constant.
	Horizon float64
	// MovesPerRank is the maximum number of replicas that one rollout loads on a rank, over
	// all layers. Their weights take up memory in addition to those of the current map.
	MovesPerRank int
	// MoveShare is the fraction of the group's replicas that may be loaded over a horizon
	// if skew and rebalancing have equal weights. It is multiplied by the square root of
	// Weights.Skew/Weights.Rebalancing.
	MoveShare float64
	// MinSaving is the minimum reduction of the most loaded rank's load in a layer per
	// replica moved, as a fraction of that load.
	MinSaving float64
	// ActivationSteps is the number of steps by which an activation that moves replicas
	// delays the group.
	ActivationSteps float64
	// LoadSlowdown is the relative increase of the step time while weights are loaded.
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
	c.MinSaving = cmp.Or(c.MinSaving, DefaultMinSaving)
	c.ActivationSteps = cmp.Or(c.ActivationSteps, DefaultActivationSteps)
	c.LoadSlowdown = cmp.Or(c.LoadSlowdown, DefaultLoadSlowdown)
	if c.Weights == (template.ExpertWeights{}) {
		c.Weights = template.ExpertWeights{Skew: 1, Rebalancing: 1}
	}
	return c
}

// Plan is a planner's proposal.
type Plan struct {
	Kind PlanKind
	// Map is the proposed map; its version is zero, since the leader assigns it. It is
	// empty for PlanNone.
	Map Map
	// Moves is the number of replicas to load, and Bytes is the size of their weights.
	Moves int
	Bytes int64
	// SkewBefore and SkewAfter are the skews of the current and the proposed map under the
	// estimated load, as Skew returns them.
	SkewBefore float64
	SkewAfter  float64
	// Gain is in steps saved over the horizon, multiplied by PlannerConfig.Weights.Skew. Cost
	// is in steps, multiplied by PlannerConfig.Weights.Rebalancing. They are 0 for PlanFull.
	Gain float64
	Cost float64
}

// PlanInput is the input of Planner.Plan.
type PlanInput struct {
	// Steps is the number of steps that the group has completed over all generations.
	Steps float64
	// Current is the map in use. No other map may be scheduled.
	Current Map
	// Load is the estimated load, in tokens per step.
	Load Load
	// Slowness is the factor by which the work of each rank takes longer than usual, by rank; nil if all are 1. The load of
	// a rank is multiplied by it.
	Slowness []float64
}

// Planner decides when and how to change a group's map. It is deterministic and not safe
// for concurrent use.
type Planner struct {
	config    PlannerConfig
	staticMap Map
	budget    moveBudget
	breaker   benefitBreaker
}

// NewPlanner returns a planner, or an error if config.Shape is not valid.
func NewPlanner(config PlannerConfig) (*Planner, error) {
	if err := config.Shape.Validate(); err != nil {
		return nil, err
	}
	config = config.withDefaults()
	return &Planner{
		config:    config,
		staticMap: StaticMap(Version{}, config.Shape),
		budget:    newMoveBudget(config),
		breaker:   benefitBreaker{horizon: config.Horizon},
	}, nil
}

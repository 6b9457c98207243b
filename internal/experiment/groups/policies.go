package groups

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/expert"
	"github.com/bramleyspool/bramleyspool/internal/template"
)

// staticPolicy keeps the initial map.
type staticPolicy struct{}

func (staticPolicy) plan(int, expert.Map, expert.Load) (expert.Map, bool) {
	return expert.Map{}, false
}

// fullReplan replaces the whole map by a greedy placement at fixed times.
type fullReplan struct {
	shape expert.Shape
}

func (f fullReplan) plan(tick int, _ expert.Map, load expert.Load) (expert.Map, bool) {
	if tick%fullPlanTicks != planTicks {
		return expert.Map{}, false
	}
	return expert.GreedyMap(f.shape, load, nil), true
}

// oracle places experts by the true popularity of each tick, without cost. Its remaining skew comes from
// the random sampling of tokens.
type oracle struct {
	staticPolicy
	shape expert.Shape
}

func (o oracle) greedyMap(popularity expert.Load) expert.Map {
	return expert.ShareByLoad(expert.GreedyMap(o.shape, popularity, nil), popularity, nil)
}

// periodicPlanner calls the planner at fixed times.
type periodicPlanner struct {
	planner *expert.Planner
}

func (p periodicPlanner) plan(tick int, current expert.Map, load expert.Load) (expert.Map, bool) {
	if tick%planTicks != 0 || tick == 0 {
		return expert.Map{}, false
	}
	plan := p.planner.Plan(expert.PlanInput{Steps: float64(tick * stepsPerTick), Current: current, Load: load})
	return plan.Map, plan.Kind != expert.PlanNone
}

// Two sets of weights for comparison: Ndiaye gives more weight to skew, Andina to the cost of rebalancing.
var (
	ndiayeWeights = template.ExpertWeights{Skew: 3, Rebalancing: 1}
	andinaWeights = template.ExpertWeights{Skew: 1, Rebalancing: 3}
)

// plannerConfig returns a configuration whose costs match the simulated group.
func plannerConfig(shape expert.Shape, weights template.ExpertWeights) expert.PlannerConfig {
	return expert.PlannerConfig{
		Shape:           shape,
		Weights:         weights,
		ExpertBytes:     expertBytes,
		StoreRate:       storeRate,
		StepTime:        time.Duration(stepSeconds * float64(time.Second)),
		ActivationSteps: activationDelay,
		LoadSlowdown:    loadSlowdown,
	}
}

// namedPolicy is a policy with its name in the tables.
type namedPolicy struct {
	name  string
	build func(shape expert.Shape) policy
}

func newPeriodicPlanner(config expert.PlannerConfig) policy {
	return periodicPlanner{planner: mustPlanner(config)}
}

func mustPlanner(config expert.PlannerConfig) *expert.Planner {
	planner, err := expert.NewPlanner(config)
	if err != nil {
		panic("invariant: " + err.Error())
	}
	return planner
}

var namedPolicies = []namedPolicy{
	{"static", func(expert.Shape) policy { return staticPolicy{} }},
	{"full re-plan", func(shape expert.Shape) policy { return fullReplan{shape: shape} }},
	{"incremental, even shares", func(shape expert.Shape) policy {
		config := plannerConfig(shape, ndiayeWeights)
		config.EvenShares = true
		return newPeriodicPlanner(config)
	}},
	{"planner without move budget", func(shape expert.Shape) policy {
		config := plannerConfig(shape, ndiayeWeights)
		config.MoveShare = 1
		return newPeriodicPlanner(config)
	}},
	{"planner, Ndiaye", func(shape expert.Shape) policy { return newPeriodicPlanner(plannerConfig(shape, ndiayeWeights)) }},
	{"planner, Andina", func(shape expert.Shape) policy { return newPeriodicPlanner(plannerConfig(shape, andinaWeights)) }},
	{"oracle, free moves", func(shape expert.Shape) policy { return oracle{shape: shape} }},
}

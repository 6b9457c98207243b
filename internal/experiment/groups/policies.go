package groups

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/expert"
	"github.com/bramleyspool/bramleyspool/internal/template"
)

// keepMap never changes the map.
type keepMap struct{}

func (keepMap) plan(int, expert.Map, expert.Load) (expert.Map, bool) {
	return expert.Map{}, false
}

// fullReplan places all experts anew at fixed times.
type fullReplan struct {
	shape expert.Shape
}

func (f fullReplan) plan(tick int, _ expert.Map, load expert.Load) (expert.Map, bool) {
	if tick%fullPlanTicks != planTicks {
		return expert.Map{}, false
	}
	return expert.GreedyMap(f.shape, load), true
}

// oracle knows the popularity and moves for nothing; it shows what sampling leaves.
type oracle struct {
	keepMap
	shape expert.Shape
}

func (o oracle) foresee(popularity expert.Load) expert.Map {
	return expert.ShareByLoad(expert.GreedyMap(o.shape, popularity), popularity)
}

// planned asks the planner at fixed times.
type planned struct {
	planner *expert.Planner
}

func (p planned) plan(tick int, current expert.Map, load expert.Load) (expert.Map, bool) {
	if tick%planTicks != 0 || tick == 0 {
		return expert.Map{}, false
	}
	plan := p.planner.Plan(expert.PlanInput{Steps: float64(tick * stepsPerTick), Current: current, Load: load})
	return plan.Map, plan.Kind != expert.PlanNone
}

// Weights of the two users: one weighs skew more, the other the cost of rebalancing.
var (
	ndiayeWeights = template.ExpertWeights{Skew: 3, Rebalancing: 1}
	andinaWeights = template.ExpertWeights{Skew: 1, Rebalancing: 3}
)

// plannerConfig returns the parameters that match the simulated group.
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

// contender is a policy under its name in the tables.
type contender struct {
	name  string
	build func(shape expert.Shape) policy
}

func newPlanned(config expert.PlannerConfig) policy {
	return planned{planner: mustPlanner(config)}
}

func mustPlanner(config expert.PlannerConfig) *expert.Planner {
	planner, err := expert.NewPlanner(config)
	if err != nil {
		panic("invariant: " + err.Error())
	}
	return planner
}

var contenders = []contender{
	{"static", func(expert.Shape) policy { return keepMap{} }},
	{"full re-plan", func(shape expert.Shape) policy { return fullReplan{shape: shape} }},
	{"incremental, even shares", func(shape expert.Shape) policy {
		config := plannerConfig(shape, ndiayeWeights)
		config.EvenShares = true
		return newPlanned(config)
	}},
	{"planner without move budget", func(shape expert.Shape) policy {
		config := plannerConfig(shape, ndiayeWeights)
		config.MoveShare = 1
		return newPlanned(config)
	}},
	{"planner, Ndiaye", func(shape expert.Shape) policy { return newPlanned(plannerConfig(shape, ndiayeWeights)) }},
	{"planner, Andina", func(shape expert.Shape) policy { return newPlanned(plannerConfig(shape, andinaWeights)) }},
	{"oracle, free moves", func(shape expert.Shape) policy { return oracle{shape: shape} }},
}

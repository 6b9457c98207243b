package expert

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
)

// plannerFingerprint returns a hash over four plans, each based on the plan before.
func plannerFingerprint(c *qt.C, shape Shape, evenShares bool, slowness []float64) uint64 {
	random := rand.New(rand.NewPCG(21, 22))
	hash := fnv.New64a()
	planner, err := NewPlanner(PlannerConfig{Shape: shape, EvenShares: evenShares, MoveShare: 1})
	c.Assert(err, qt.IsNil)
	current := StaticMap(Version{}, shape)
	for i := range 4 {
		plan := planner.Plan(PlanInput{Steps: float64(i) * 500, Current: current, Load: randomLoad(random, shape), Slowness: slowness})
		fmt.Fprint(hash, plan)
		if plan.Kind != PlanNone {
			current = plan.Map
		}
	}
	return hash.Sum64()
}

// Guards against weights that change the plans of groups without slow ranks. The fingerprints are those of the planner
// before it had weights.
func TestPlannerWithoutSlowRanksIsUnchanged(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		shape      Shape
		evenShares bool
		before     uint64
	}{
		{Shape{Ranks: 16, Layers: 8, Experts: 64, Slots: 5}, false, 5411192586950542832},
		{Shape{Ranks: 16, Layers: 8, Experts: 64, Slots: 5}, true, 6683831926802390931},
		{Shape{Ranks: 72, Layers: 12, Experts: 144, Slots: 3}, false, 96193707137798485},
		{Shape{Ranks: 72, Layers: 12, Experts: 144, Slots: 3}, true, 16392515353160889573},
	} {
		c.Check(plannerFingerprint(c, test.shape, test.evenShares, nil), qt.Equals, test.before, qt.Commentf("%+v", test))
		ones := rankWeights(nil, test.shape.Ranks)
		c.Check(plannerFingerprint(c, test.shape, test.evenShares, ones), qt.Equals, test.before, qt.Commentf("all ranks have a slowness of 1: %+v", test))
	}
}

// Guards against a planner that leaves a slow rank as loaded as the others, and against a greedy map that does: the weighted
// skew must come close to that of the same planner without a slow rank.
func TestPlannerRelievesSlowRanks(t *testing.T) {
	c := qt.New(t)
	shape := Shape{Ranks: 16, Layers: 8, Experts: 64, Slots: 5}
	load := randomLoad(rand.New(rand.NewPCG(23, 24)), shape)
	skews := func(slowness []float64) (planned, greedy float64) {
		planner, err := NewPlanner(PlannerConfig{Shape: shape, MoveShare: 1})
		c.Assert(err, qt.IsNil)
		current := StaticMap(Version{}, shape)
		for i := range 6 {
			if plan := planner.Plan(PlanInput{Steps: float64(i) * 3000, Current: current, Load: load, Slowness: slowness}); plan.Kind != PlanNone {
				current = plan.Map
			}
		}
		return Skew(current, load, slowness), Skew(ShareByLoad(GreedyMap(shape, load, slowness), load, slowness), load, slowness)
	}
	planned, greedy := skews(nil)
	for _, factor := range []float64{1.3, 2, 4} {
		slowness := rankWeights(nil, shape.Ranks)
		slowness[3] = factor
		slowPlanned, slowGreedy := skews(slowness)
		ideal := 16 / (15 + 1/factor)
		c.Logf("slowness %v: planned %.3f and %.3f, greedy %.3f and %.3f", factor, planned, slowPlanned, greedy, slowGreedy)
		c.Check(slowPlanned < 1.1*ideal*planned, qt.IsTrue, qt.Commentf("slowness %v", factor))
		c.Check(slowGreedy < 1.1*ideal*greedy, qt.IsTrue, qt.Commentf("slowness %v", factor))
	}
}

package expert

import (
	"math/rand/v2"
	"reflect"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bramleyspool/bramleyspool/internal/template"
)

func drawShape(t *rapid.T) Shape {
	shape := Shape{
		Ranks:   rapid.IntRange(1, 8).Draw(t, "ranks"),
		Layers:  rapid.IntRange(1, 3).Draw(t, "layers"),
		Experts: rapid.IntRange(1, 16).Draw(t, "experts"),
	}
	minSlots := (shape.Experts + shape.Ranks - 1) / shape.Ranks
	shape.Slots = min(shape.Experts, minSlots+rapid.IntRange(0, 2).Draw(t, "spare slots"))
	return shape
}

func drawLoad(t *rapid.T, shape Shape) Load {
	load := NewLoad(shape.Layers, shape.Experts)
	for _, layer := range load {
		for e := range layer {
			layer[e] = float64(rapid.IntRange(0, 1000).Draw(t, "tokens"))
		}
	}
	return load
}

// Guards against plans that are invalid, not deterministic, above the move budget or the staging
// limit of a rank, or predicted to increase the skew.
func TestPlansAreValidAndWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shape := drawShape(t)
		config := PlannerConfig{Shape: shape, MovesPerRank: 2, MoveShare: 0.5, EvenShares: rapid.Bool().Draw(t, "even")}
		planner, err := NewPlanner(config)
		second, _ := NewPlanner(config)
		if err != nil {
			t.Fatal(err)
		}
		current := StaticMap(Version{}, shape)
		if err := current.Validate(shape); err != nil {
			t.Fatal(err)
		}
		for i := range 4 {
			input := PlanInput{Steps: float64(i) * 500, Current: current, Load: drawLoad(t, shape), Slowness: drawSlowness(t, shape)}
			budget := planner.budget
			budget.advance(input.Steps)
			plan := planner.Plan(input)
			if other := second.Plan(input); !reflect.DeepEqual(plan, other) {
				t.Fatalf("planners differ for the same input: %+v, %+v", plan, other)
			}
			if plan.Kind != PlanNone {
				checkPlan(t, shape, plan, current, budget.availableMoves())
				current = plan.Map
			}
		}
	})
}

func checkPlan(t *rapid.T, shape Shape, plan Plan, current Map, budget int) {
	if err := plan.Map.Validate(shape); err != nil {
		t.Fatal(err)
	}
	added := Added(current, plan.Map)
	if len(added) != plan.Moves {
		t.Fatalf("plan has %d moves, its map adds %d replicas", plan.Moves, len(added))
	}
	if plan.Kind == PlanFull {
		return
	}
	if plan.Moves > budget {
		t.Fatalf("%d moves exceed the budget of %d", plan.Moves, budget)
	}
	ranks := make([]int, shape.Ranks)
	for _, placement := range added {
		ranks[placement.Rank]++
		if ranks[placement.Rank] > 2 {
			t.Fatalf("rank %d stages more than 2 replicas", placement.Rank)
		}
	}
	const rounding = 1.002
	if plan.SkewAfter > plan.SkewBefore*rounding {
		t.Fatalf("the plan increases the skew from %v to %v", plan.SkewBefore, plan.SkewAfter)
	}
}

// Guards against shares that are not optimal: the layer can be balanced exactly by shares alone.
func TestSharesAreOptimal(t *testing.T) {
	c := qt.New(t)
	layer := Layer{Ranks: [][]Replica{
		{{Expert: 0, Share: ShareUnit / 2}, {Expert: 1, Share: ShareUnit}},
		{{Expert: 0, Share: ShareUnit / 2}, {Expert: 2, Share: ShareUnit / 2}},
		{{Expert: 2, Share: ShareUnit / 2}},
	}}
	load := Load{{100, 200, 300}}
	shared := ShareByLoad(Map{Layers: []Layer{layer}}, load, nil)
	c.Assert(Skew(shared, load, nil) < 1.001, qt.IsTrue, qt.Commentf("600 tokens on 3 ranks can be split into 200 each"))
}

// Guards against a lower bound that a static or a greedy map undercuts, with and without slow ranks.
func TestLowerBoundHoldsForMaps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shape := drawShape(t)
		load := drawLoad(t, shape)
		slowness := drawSlowness(t, shape)
		greedy := GreedyMap(shape, load, slowness)
		if err := greedy.Validate(shape); err != nil {
			t.Fatal(err)
		}
		for _, m := range []Map{StaticMap(Version{}, shape), ShareByLoad(greedy, load, slowness)} {
			for l, layer := range m.Layers {
				worst := newLayerAssignment(layer, load[l], slowness, false).maxRankLoad()
				if bound := RankLoadLowerBound(shape, load[l], slowness); bound > worst*1.001+1e-9 {
					t.Fatalf("layer %d: lower bound %v exceeds the maximum rank load %v", l, bound, worst)
				}
			}
		}
	})
}

// drawSlowness returns a slowness of each rank, or nil.
func drawSlowness(t *rapid.T, shape Shape) []float64 {
	if rapid.Bool().Draw(t, "no slow ranks") {
		return nil
	}
	slowness := make([]float64, shape.Ranks)
	for rank := range slowness {
		slowness[rank] = rapid.SampledFrom([]float64{1, 1, 1, 1.3, 4}).Draw(t, "slowness")
	}
	return slowness
}

// Guards against a planner that keeps planning while popularity shifts after each activation: the breaker must open, and
// its back-off must grow.
func TestBreakerOpensWhenPlannedMapsAreWorse(t *testing.T) {
	c := qt.New(t)
	breaker := benefitBreaker{horizon: 1000}
	c.Assert(breaker.observe(100, 4, 4), qt.Equals, breakerClosed)
	c.Assert(breaker.observe(200, 6, 4), qt.Equals, breakerTripped)
	c.Assert(breaker.observe(1000, 4, 4), qt.Equals, breakerOpen)
	first := breaker.openUntil
	c.Assert(breaker.observe(first, 6, 4), qt.Equals, breakerTripped)
	c.Assert(breaker.openUntil-first > first-200, qt.IsTrue, qt.Commentf("the back-off grows"))
}

// Guards against a planner that keeps a map with much more skew than the static map, or that plans again during the back-off.
func TestPlannerFallsBackToStaticMap(t *testing.T) {
	c := qt.New(t)
	shape := Shape{Ranks: 4, Layers: 1, Experts: 8, Slots: 3}
	planner, err := NewPlanner(PlannerConfig{Shape: shape})
	c.Assert(err, qt.IsNil)
	skewed := Map{Layers: []Layer{{Ranks: [][]Replica{
		{{0, ShareUnit}, {1, ShareUnit}, {2, ShareUnit}}, {{3, ShareUnit}, {4, ShareUnit}}, {{5, ShareUnit}, {6, ShareUnit}}, {{7, ShareUnit}},
	}}}}
	load := Load{{90, 90, 90, 1, 1, 1, 1, 1}}
	plan := planner.Plan(PlanInput{Steps: 1000, Current: skewed, Load: load})
	c.Assert(plan.Kind, qt.Equals, PlanFull)
	c.Assert(plan.Map, qt.DeepEquals, StaticMap(Version{}, shape))
	c.Assert(planner.Plan(PlanInput{Steps: 1100, Current: plan.Map, Load: load}).Kind, qt.Equals, PlanNone)
}

// Guards against a weight of rebalancing that does not reduce the number of moves.
func TestRebalancingWeightReducesMoves(t *testing.T) {
	c := qt.New(t)
	shape := Shape{Ranks: 16, Layers: 8, Experts: 64, Slots: 5}
	load := randomLoad(rand.New(rand.NewPCG(3, 3)), shape)
	moves := func(weights template.ExpertWeights) int {
		planner, err := NewPlanner(PlannerConfig{Shape: shape, Weights: weights})
		c.Assert(err, qt.IsNil)
		return planner.Plan(PlanInput{Steps: 100, Current: StaticMap(Version{}, shape), Load: load}).Moves
	}
	skewFirst := moves(template.ExpertWeights{Skew: 3, Rebalancing: 1})
	costFirst := moves(template.ExpertWeights{Skew: 1, Rebalancing: 3})
	c.Assert(costFirst > 0, qt.IsTrue)
	c.Assert(costFirst < skewFirst, qt.IsTrue, qt.Commentf("%d moves with more weight on rebalancing, %d with more on skew", costFirst, skewFirst))
}

// Guards against panics and changes if the map or the load does not match the planner's shape, or if there is no load.
func TestPlannerIgnoresInputOfOtherShape(t *testing.T) {
	c := qt.New(t)
	shape := Shape{Ranks: 2, Layers: 2, Experts: 2, Slots: 2}
	planner, err := NewPlanner(PlannerConfig{Shape: shape})
	c.Assert(err, qt.IsNil)
	c.Assert(planner.Plan(PlanInput{Load: NewLoad(2, 2)}).Kind, qt.Equals, PlanNone)
	current := StaticMap(Version{}, shape)
	c.Assert(planner.Plan(PlanInput{Current: current, Load: NewLoad(1, 2)}).Kind, qt.Equals, PlanNone)
	c.Assert(planner.Plan(PlanInput{Current: current, Load: NewLoad(2, 2)}).Kind, qt.Equals, PlanNone)
}

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
	least := (shape.Experts + shape.Ranks - 1) / shape.Ranks
	shape.Slots = min(shape.Experts, least+rapid.IntRange(0, 2).Draw(t, "spare slots"))
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

// TestPlansKeepTheRules checks that plans are valid maps, deterministic, within the
// budget and the staging of each rank, and never predicted to be worse.
func TestPlansKeepTheRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shape := drawShape(t)
		config := PlannerConfig{Shape: shape, MovesPerRank: 2, MoveShare: 0.5, EvenShares: rapid.Bool().Draw(t, "even")}
		planner, err := NewPlanner(config)
		twin, _ := NewPlanner(config)
		if err != nil {
			t.Fatal(err)
		}
		current := StaticMap(Version{}, shape)
		if err := current.Validate(shape); err != nil {
			t.Fatal(err)
		}
		for i := range 4 {
			situation := Situation{Steps: float64(i) * 500, Current: current, Load: drawLoad(t, shape)}
			left := planner.budget
			left.advance(situation.Steps)
			plan := planner.Plan(situation)
			if other := twin.Plan(situation); !reflect.DeepEqual(plan, other) {
				t.Fatalf("two plans for one situation: %+v, %+v", plan, other)
			}
			if plan.Kind != PlanNone {
				checkPlan(t, shape, plan, current, left.availableMoves())
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
		t.Fatalf("plan says %d moves, map has %d", plan.Moves, len(added))
	}
	if plan.Kind == PlanFull {
		return
	}
	if plan.Moves > budget {
		t.Fatalf("%d moves over the budget of %d", plan.Moves, budget)
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
		t.Fatalf("the plan takes skew from %v to %v", plan.SkewBefore, plan.SkewAfter)
	}
}

// TestSharesReachTheBestSplit compares shares with the best split of two experts.
func TestSharesReachTheBestSplit(t *testing.T) {
	c := qt.New(t)
	layer := Layer{Ranks: [][]Replica{
		{{Expert: 0, Share: ShareUnit / 2}, {Expert: 1, Share: ShareUnit}},
		{{Expert: 0, Share: ShareUnit / 2}, {Expert: 2, Share: ShareUnit / 2}},
		{{Expert: 2, Share: ShareUnit / 2}},
	}}
	load := Load{{100, 200, 300}}
	shared := ShareByLoad(Map{Layers: []Layer{layer}}, load)
	c.Assert(Skew(shared, load) < 1.001, qt.IsTrue, qt.Commentf("600 tokens over 3 ranks split to 200 each"))
}

// TestBoundIsBelowAllPlacements checks the bound against greedy and planned maps.
func TestBoundIsBelowAllPlacements(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shape := drawShape(t)
		load := drawLoad(t, shape)
		greedy := GreedyMap(shape, load)
		if err := greedy.Validate(shape); err != nil {
			t.Fatal(err)
		}
		for _, m := range []Map{StaticMap(Version{}, shape), ShareByLoad(greedy, load)} {
			for l, layer := range m.Layers {
				worst := newLayerAssignment(layer, load[l], false).maxRankLoad()
				if bound := Bound(shape, load[l]); bound > worst*1.001+1e-9 {
					t.Fatalf("layer %d: bound %v over a placement's worst rank %v", l, bound, worst)
				}
			}
		}
	})
}

// TestTrustIsLostToAnAdversary lets popularity turn against each new map.
func TestTrustIsLostToAnAdversary(t *testing.T) {
	c := qt.New(t)
	state := benefitBreaker{horizon: 1000}
	c.Assert(state.observe(100, 4, 4), qt.Equals, breakerClosed)
	c.Assert(state.observe(200, 6, 4), qt.Equals, breakerTripped)
	c.Assert(state.observe(1000, 4, 4), qt.Equals, breakerOpen)
	first := state.openUntil
	c.Assert(state.observe(first, 6, 4), qt.Equals, breakerTripped)
	c.Assert(state.openUntil-first > first-200, qt.IsTrue, qt.Commentf("the back-off grows"))
}

func TestRetreatReturnsToTheStaticMap(t *testing.T) {
	c := qt.New(t)
	shape := Shape{Ranks: 4, Layers: 1, Experts: 8, Slots: 3}
	planner, err := NewPlanner(PlannerConfig{Shape: shape})
	c.Assert(err, qt.IsNil)
	bad := Map{Layers: []Layer{{Ranks: [][]Replica{
		{{0, ShareUnit}, {1, ShareUnit}, {2, ShareUnit}}, {{3, ShareUnit}, {4, ShareUnit}}, {{5, ShareUnit}, {6, ShareUnit}}, {{7, ShareUnit}},
	}}}}
	load := Load{{90, 90, 90, 1, 1, 1, 1, 1}}
	plan := planner.Plan(Situation{Steps: 1000, Current: bad, Load: load})
	c.Assert(plan.Kind, qt.Equals, PlanFull)
	c.Assert(plan.Map, qt.DeepEquals, StaticMap(Version{}, shape))
	c.Assert(planner.Plan(Situation{Steps: 1100, Current: plan.Map, Load: load}).Kind, qt.Equals, PlanNone)
}

// TestWeightsBoundTheMoves checks that weighing rebalancing more moves less.
func TestWeightsBoundTheMoves(t *testing.T) {
	c := qt.New(t)
	shape := Shape{Ranks: 16, Layers: 8, Experts: 64, Slots: 5}
	load := randomLoad(rand.New(rand.NewPCG(3, 3)), shape)
	moves := func(weights template.ExpertWeights) int {
		planner, err := NewPlanner(PlannerConfig{Shape: shape, Weights: weights})
		c.Assert(err, qt.IsNil)
		return planner.Plan(Situation{Steps: 100, Current: StaticMap(Version{}, shape), Load: load}).Moves
	}
	skewFirst := moves(template.ExpertWeights{Skew: 3, Rebalancing: 1})
	costFirst := moves(template.ExpertWeights{Skew: 1, Rebalancing: 3})
	c.Assert(costFirst > 0, qt.IsTrue)
	c.Assert(costFirst < skewFirst, qt.IsTrue, qt.Commentf("%d against %d", costFirst, skewFirst))
}

func TestPlanRefusesAForeignMap(t *testing.T) {
	c := qt.New(t)
	shape := Shape{Ranks: 2, Layers: 2, Experts: 2, Slots: 2}
	planner, err := NewPlanner(PlannerConfig{Shape: shape})
	c.Assert(err, qt.IsNil)
	c.Assert(planner.Plan(Situation{Load: NewLoad(2, 2)}).Kind, qt.Equals, PlanNone)
	current := StaticMap(Version{}, shape)
	c.Assert(planner.Plan(Situation{Current: current, Load: NewLoad(1, 2)}).Kind, qt.Equals, PlanNone)
	c.Assert(planner.Plan(Situation{Current: current, Load: NewLoad(2, 2)}).Kind, qt.Equals, PlanNone)
}

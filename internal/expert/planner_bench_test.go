package expert

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/bramleyspool/bramleyspool/internal/template"
)

var largeShape = Shape{Ranks: 64, Layers: 58, Experts: 64, Slots: 2}

// randomLoad returns a log-normal load with 512 tokens per rank and layer.
func randomLoad(random *rand.Rand, shape Shape) Load {
	load := NewLoad(shape.Layers, shape.Experts)
	for _, layer := range load {
		sum := 0.0
		for e := range layer {
			layer[e] = math.Exp(random.NormFloat64())
			sum += layer[e]
		}
		for e := range layer {
			layer[e] *= float64(512*shape.Ranks) / sum
		}
	}
	return load
}

func benchmarkPlan(b *testing.B, weights template.ExpertWeights) {
	random := rand.New(rand.NewPCG(1, 1))
	load := randomLoad(random, largeShape)
	current := StaticMap(Version{}, largeShape)
	b.ReportAllocs()
	for b.Loop() {
		planner, err := NewPlanner(PlannerConfig{Shape: largeShape, Weights: weights})
		if err != nil {
			b.Fatal(err)
		}
		plan := planner.Plan(PlanInput{Steps: 100, Current: current, Load: load})
		b.ReportMetric(float64(plan.Moves), "moves")
		b.ReportMetric(plan.SkewAfter/plan.SkewBefore, "skew-after/before")
	}
}

// BenchmarkPlan measures one plan for 64 ranks, 64 experts and 58 layers.
func BenchmarkPlan(b *testing.B) {
	b.Run("skew first", func(b *testing.B) { benchmarkPlan(b, template.ExpertWeights{Skew: 3, Rebalancing: 1}) })
	b.Run("cost first", func(b *testing.B) { benchmarkPlan(b, template.ExpertWeights{Skew: 1, Rebalancing: 3}) })
}

// BenchmarkGreedyMap measures a greedy map of the same size.
func BenchmarkGreedyMap(b *testing.B) {
	load := randomLoad(rand.New(rand.NewPCG(1, 1)), largeShape)
	b.ReportAllocs()
	for b.Loop() {
		GreedyMap(largeShape, load, nil)
	}
}

package expert

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// startPlacement assigns experts to ranks in round-robin order, as in a newly started group.
func startPlacement(layers, ranks, experts int) LayerPlacements {
	placement := make(LayerPlacements, layers)
	for layer := range placement {
		placement[layer] = make([][]Expert, ranks)
		for expert := range experts {
			placement[layer][expert%ranks] = append(placement[layer][expert%ranks], Expert(expert))
		}
	}
	return placement
}

// peakedLoad returns a random load in which the two most popular experts of a layer have about a third of the choices,
// as on the users' deployments.
func peakedLoad(random *rand.Rand, layers, experts int) Load {
	load := NewLoad(layers, experts)
	for layer := range load {
		for place, expert := range random.Perm(experts) {
			load[layer][expert] = 1000 / math.Pow(float64(place+1), 1.1) * (0.8 + 0.4*random.Float64())
		}
	}
	return load
}

// Guards against plans that exceed the limits, lose an expert, or have more skew than the placement they replace.
func TestCopyPlansStayWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		shape := rapid.SampledFrom([][4]int{{6, 8, 64, 11}, {12, 32, 128, 5}, {16, 96, 192, 3}, {2, 4, 8, 2}, {3, 2, 4, 4}}).Draw(t, "shape")
		layers, ranks, experts, slots := shape[0], shape[1], shape[2], shape[3]
		limits := CopyLimits{Slots: slots, PerRank: rapid.IntRange(0, 6).Draw(t, "per rank"), PerLayer: rapid.IntRange(1, 4).Draw(t, "per layer"), MinGain: rapid.SampledFrom([]float64{0, 0.001, 0.004}).Draw(t, "least gain")}
		if rapid.Bool().Draw(t, "slow ranks") {
			limits.Slowness = make([]float64, ranks)
			for rank := range limits.Slowness {
				limits.Slowness[rank] = rapid.SampledFrom([]float64{1, 1, 1, 1.3, 4}).Draw(t, "slowness")
			}
		}
		current := startPlacement(layers, ranks, experts)
		for range 4 {
			load := peakedLoad(random, layers, experts)
			plan := PlanCopies(current, load, limits)
			if plan.SkewAfter > plan.SkewBefore+1e-9 {
				t.Fatalf("skew %f became %f", plan.SkewBefore, plan.SkewAfter)
			}
			checkCopyPlan(t, current, plan, limits, experts)
			current = plan.Placement
		}
	})
}

func checkCopyPlan(t *rapid.T, current LayerPlacements, plan CopyPlan, limits CopyLimits, experts int) {
	loaded := make([]int, len(current[0]))
	for layer, ranks := range plan.Placement {
		hosted := make([]bool, experts)
		for rank, held := range ranks {
			if len(held) > limits.Slots || !slices.IsSorted(held) || len(slices.Compact(slices.Clone(held))) != len(held) {
				t.Fatalf("layer %d, rank %d holds %v", layer, rank, held)
			}
			added := 0
			for _, expert := range held {
				hosted[expert] = true
				if !slices.Contains(current[layer][rank], expert) {
					added++
				}
			}
			if added > limits.PerLayer {
				t.Fatalf("layer %d, rank %d loads %d experts", layer, rank, added)
			}
			loaded[rank] += added
		}
		if slices.Contains(hosted, false) {
			t.Fatalf("layer %d: an expert has no copy", layer)
		}
	}
	if most := slices.Max(loaded); most > limits.PerRank {
		t.Fatalf("a rank loads %d experts, limit is %d", most, limits.PerRank)
	}
}

// Replays jumps in demand and guards against plans that reduce the skew too little. One copy per rank, which is loaded in
// half the time of two, must remove more than half of the excess over the mean; two copies must bring the skew below 1.5,
// and three more below 1.25.
func TestReplayJumpsInDemand(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(3, 4))
	current := startPlacement(6, 8, 64)
	singleSkew, roughSkew, refinedSkew, skewBefore := 0.0, 0.0, 0.0, 0.0
	const jumps = 20
	for range jumps {
		load := peakedLoad(random, 6, 64)
		single := PlanCopies(current, load, CopyLimits{Slots: 11, PerRank: 1, PerLayer: 4, MinGain: 0.004})
		rough := PlanCopies(current, load, CopyLimits{Slots: 11, PerRank: 2, PerLayer: 4, MinGain: 0.004})
		refined := PlanCopies(rough.Placement, load, CopyLimits{Slots: 11, PerRank: 3, PerLayer: 4, MinGain: 0.004})
		skewBefore += rough.SkewBefore / jumps
		singleSkew += single.SkewAfter / jumps
		roughSkew += rough.SkewAfter / jumps
		refinedSkew += refined.SkewAfter / jumps
		current = refined.Placement
	}
	c.Logf("mean skew after a jump %.2f, with the first map %.2f, refined %.2f", skewBefore, roughSkew, refinedSkew)
	c.Assert(skewBefore > 1.8, qt.IsTrue)
	c.Assert(singleSkew-1 < (skewBefore-1)/2, qt.IsTrue, qt.Commentf("skew %.2f with one copy a rank", singleSkew))
	c.Assert(roughSkew < 1.5, qt.IsTrue)
	c.Assert(refinedSkew < 1.25, qt.IsTrue)
}

// choices returns the counts of one report for a load.
func choices(load Load, scale float64) ChoiceCounts {
	var counts ChoiceCounts
	for _, layer := range load {
		tokens := make([]uint64, len(layer))
		for expert, n := range layer {
			tokens[expert] = uint64(n * scale)
		}
		counts.Layers = append(counts.Layers, ScaleCounts(tokens))
	}
	return counts
}

// Guards against missed or false jumps: stable demand is averaged, and the first bucket that differs discards all earlier
// counts.
func TestDemandResetsOnJump(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(5, 6))
	before, after := peakedLoad(random, 6, 64), peakedLoad(random, 6, 64)
	demand := NewDemand(6, 64)
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for i := range 10 {
		demand.Add(at.Add(time.Duration(i)*60*time.Millisecond), choices(before, 1))
	}
	jumps := demand.Jumps()
	c.Assert(jumps, qt.Equals, 0)
	_, buckets := demand.Estimate()
	c.Assert(buckets >= 4, qt.IsTrue)
	for i := 10; i < 14; i++ {
		demand.Add(at.Add(time.Duration(i)*60*time.Millisecond), choices(after, 1))
	}
	// A bucket with counts from before and after the jump may count as a jump of its own.
	jumps = demand.Jumps()
	c.Assert(jumps == 1 || jumps == 2, qt.IsTrue, qt.Commentf("%d jumps", jumps))
	estimate, _ := demand.Estimate()
	for layer := range estimate {
		c.Assert(cosine(estimate[layer], after[layer]) > 0.98, qt.IsTrue, qt.Commentf("layer %d", layer))
	}
	c.Assert(demand.Add(at, ChoiceCounts{}), qt.IsFalse, qt.Commentf("counts with a wrong number of layers are ignored"))
}

func BenchmarkPlanCopies(b *testing.B) {
	for _, shape := range [][4]int{{6, 8, 64, 11}, {12, 32, 128, 5}, {16, 96, 192, 3}} {
		b.Run(fmt.Sprint(shape), func(b *testing.B) {
			random := rand.New(rand.NewPCG(7, 8))
			current := startPlacement(shape[0], shape[1], shape[2])
			load := peakedLoad(random, shape[0], shape[2])
			for b.Loop() {
				PlanCopies(current, load, CopyLimits{Slots: shape[3], PerRank: 2, PerLayer: 4, MinGain: 0.004})
			}
		})
	}
}

// Replays jumps in a group of 32 ranks with 160 slots for 128 experts. With so few spare slots, copies alone reach a skew
// of only 1.48; swaps of experts between ranks are needed to come closer to the mean.
func TestReplayJumpsInATightGroup(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	current := startPlacement(12, 32, 128)
	first, second := 0.0, 0.0
	const jumps = 6
	for range jumps {
		load := NewLoad(12, 128)
		for layer := range load {
			for place, expert := range random.Perm(128) {
				load[layer][expert] = 1000 / math.Pow(float64(place+1), 0.82)
			}
		}
		limits := CopyLimits{Slots: 5, PerRank: 4, PerLayer: 2, MinGain: 0.001}
		rough := PlanCopies(current, load, limits)
		limits.PerRank = 12
		refined := PlanCopies(rough.Placement, load, limits)
		first += rough.SkewAfter / jumps
		second += refined.SkewAfter / jumps
		current = refined.Placement
	}
	c.Logf("mean skew with the first map %.2f, refined %.2f", first, second)
	c.Assert(first < 1.5, qt.IsTrue)
	c.Assert(second < 1.3, qt.IsTrue)
}

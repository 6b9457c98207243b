package expert

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

// planFingerprint returns a hash over the plans for four jumps in demand, each based on the plan before.
func planFingerprint(shape [4]int, limits CopyLimits) uint64 {
	random := rand.New(rand.NewPCG(11, 12))
	hash := fnv.New64a()
	current := startPlacement(shape[0], shape[1], shape[2])
	for range 4 {
		plan := PlanCopies(current, peakedLoad(random, shape[0], shape[2]), limits)
		fmt.Fprint(hash, plan.Placement, plan.Copies, plan.MaxPerRank, plan.SkewBefore, plan.SkewAfter)
		current = plan.Placement
	}
	return hash.Sum64()
}

// Guards against weights that change the plans of groups without slow ranks. The fingerprints are those of the planner
// before it had weights.
func TestPlansWithoutSlowRanksAreUnchanged(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		shape  [4]int
		before uint64
	}{
		{[4]int{12, 72, 144, 3}, 9433106678405097039},
		{[4]int{12, 32, 128, 5}, 4241681317084126720},
		{[4]int{6, 8, 64, 11}, 17006245850671223367},
	} {
		limits := CopyLimits{Slots: test.shape[3], PerRank: 10, PerLayer: 2, MinGain: 0.0004}
		c.Check(planFingerprint(test.shape, limits), qt.Equals, test.before)
		limits.Slowness = rankWeights(nil, test.shape[1])
		c.Check(planFingerprint(test.shape, limits), qt.Equals, test.before, qt.Commentf("all ranks have a slowness of 1"))
	}
}

// Guards against maps that leave a slow rank as loaded as the others. At twice the work it must not be the rank that
// determines the expert part of passes, so that the weighted skew is close to that without a slow rank.
func TestSlowRanksLoseTheirExperts(t *testing.T) {
	c := qt.New(t)
	for _, shape := range [][4]int{{12, 72, 144, 3}, {12, 32, 128, 5}} {
		for _, factor := range []float64{2, 4, 8} {
			random := rand.New(rand.NewPCG(13, 14))
			load := peakedLoad(random, shape[0], shape[2])
			limits := CopyLimits{Slots: shape[3], PerRank: 10, PerLayer: 2, MinGain: 0.0004}
			balanced := PlanCopies(startPlacement(shape[0], shape[1], shape[2]), load, limits)
			balanced = PlanCopies(balanced.Placement, load, limits)
			limits.Slowness = rankWeights(nil, shape[1])
			limits.Slowness[5] = factor
			plan := PlanCopies(balanced.Placement, load, limits)
			c.Logf("shape %v, slowness %v: skew %.2f with all ranks as usual; %.2f, then %.2f with a slow rank, %d copies, at most %d a rank",
				shape, factor, balanced.SkewAfter, plan.SkewBefore, plan.SkewAfter, plan.Copies, plan.MaxPerRank)
			c.Check(plan.SkewAfter < 1.1*balanced.SkewAfter, qt.IsTrue, qt.Commentf("shape %v, slowness %v", shape, factor))
			c.Check(PlacementSkew(balanced.Placement, load, limits.Slowness), qt.Equals, plan.SkewBefore)
		}
	}
}

// Guards against copies on ranks that are about to leave. Only their experts may be copied elsewhere.
func TestNoCopyGoesToALeavingRank(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(15, 16))
	for _, shape := range [][4]int{{12, 72, 144, 3}, {12, 32, 128, 5}} {
		current := startPlacement(shape[0], shape[1], shape[2])
		limits := CopyLimits{Slots: shape[3], PerRank: 10, PerLayer: 2, Leaving: make([]bool, shape[1])}
		limits.Leaving[0], limits.Leaving[7] = true, true
		for range 3 {
			plan := PlanCopies(current, peakedLoad(random, shape[0], shape[2]), limits)
			c.Assert(plan.Copies > 0, qt.IsTrue)
			for layer := range plan.Placement {
				for _, rank := range []int{0, 7} {
					for _, held := range plan.Placement[layer][rank] {
						c.Assert(slices.Contains(current[layer][rank], held), qt.IsTrue, qt.Commentf("layer %d, rank %d loads %d", layer, rank, held))
					}
				}
			}
			current = plan.Placement
		}
	}
}

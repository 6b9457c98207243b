package groups

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against maps that do not follow slow ranks: with one rank of 72 at 2, 4 or 8 times its work for 7 s, passes must take
// less time than with maps that ignore speeds, and nearly as little as with the true speeds. While all ranks are as fast as
// usual, the passes must be the same. The load pattern has jumps in demand every 2.7 to 3.5 s.
func TestMapsFollowSlowRanks(t *testing.T) {
	c := qt.New(t)
	const seeds = 3
	for _, factor := range []float64{1, 2, 4, 8} {
		var passes [3]float64
		for policy := range passes {
			for seed := range uint64(seeds) {
				parameters := slowCase{ranks: 72, experts: 144, slots: 3, slowRanks: 1, factor: factor, duration: 7 * time.Second}
				figures := newSlowGroup(parameters, speedPolicy(policy), seed).run()
				passes[policy] += figures.pass / seeds
				if speedPolicy(policy) == speedsEstimated && factor > 1 {
					c.Check(figures.detected <= 0.3, qt.IsTrue, qt.Commentf("detected after %v s", figures.detected))
					c.Check(figures.recovered <= 0.3, qt.IsTrue, qt.Commentf("recovery detected after %v s", figures.recovered))
				}
			}
		}
		c.Logf("%v times the work: mean pass %.1f ms without speeds, %.1f ms with the estimate, %.1f ms with the true speeds", factor, passes[0], passes[1], passes[2])
		if factor == 1 {
			c.Check(passes[speedsEstimated], qt.Equals, passes[speedsUnknown])
			continue
		}
		c.Check(passes[speedsEstimated] < passes[speedsUnknown], qt.IsTrue)
		// An estimate that is right 0.3 s after the change costs at most 0.3 s of 7 s with the former passes.
		lag := 0.3 / 7 * (passes[speedsUnknown] - passes[speedsKnown])
		c.Check(passes[speedsEstimated] < 1.05*(passes[speedsKnown]+lag), qt.IsTrue)
	}
}

package expert

import "math"

// moveBudget bounds the replicas that are loaded over a horizon.
type moveBudget struct {
	// rate is in moves a step, level and limit in moves.
	rate  float64
	limit float64
	level float64
	steps float64
}

func newMoveBudget(config PlannerConfig) moveBudget {
	shape := config.Shape
	replicas := float64(shape.Ranks * shape.Slots * shape.Layers)
	ratio := math.Sqrt(config.Weights.Skew / max(config.Weights.Rebalancing, 1e-6))
	limit := max(1, replicas*min(1, config.MoveShare*ratio))
	return moveBudget{rate: limit / config.Horizon, limit: limit, level: limit}
}

func (b *moveBudget) advance(steps float64) {
	if steps > b.steps {
		b.level = min(b.limit, b.level+(steps-b.steps)*b.rate)
	}
	b.steps = steps
}

// moves returns the number of replicas that may be loaded now.
func (b *moveBudget) moves() int {
	return max(0, int(b.level))
}

// take books loads; more than there is goes into debt.
func (b *moveBudget) take(moves int) {
	b.level -= float64(moves)
}

// trustState says whether the planner's maps are worth more than the static map.
type trustState uint8

const (
	trustKept trustState = iota + 1
	trustLost
	trustWaiting
)

// Parameters of trust.
const (
	// leastBenefit is the mean benefit over the static map below which trust is lost.
	leastBenefit = -0.01
	// goodBenefit restores the first back-off.
	goodBenefit   = 0.05
	firstBackOff  = 4.0
	backOffFactor = 4.0
	maxBackOff    = 64.0
)

// trust compares the skew under the planner's maps with that under the static map, as
// popularity turned out. Popularity that moves whenever a map is activated makes the
// static map the better one: trust is lost for a time that grows with each loss.
type trust struct {
	horizon float64
	steps   float64
	// benefit is the mean part of the static map's skew that was saved, over a horizon.
	benefit float64
	// backOff is in horizons; until is the step at which trust is tried again.
	backOff float64
	until   float64
}

func (t *trust) observe(steps, skew, safeSkew float64) trustState {
	elapsed := max(0, steps-t.steps)
	t.steps = steps
	if steps < t.until {
		return trustWaiting
	}
	weight := 1 - math.Exp2(-elapsed/t.horizon)
	t.benefit += weight * ((safeSkew-skew)/safeSkew - t.benefit)
	if t.benefit > goodBenefit {
		t.backOff = 0
	}
	if t.benefit >= leastBenefit {
		return trustKept
	}
	t.backOff = min(maxBackOff, max(firstBackOff, t.backOff*backOffFactor))
	t.until = steps + t.backOff*t.horizon
	t.benefit = 0
	return trustLost
}

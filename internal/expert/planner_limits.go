package expert

import "math"

// moveBudget is a token bucket that limits the replicas loaded over a horizon.
type moveBudget struct {
	// rate is in moves per step; limit and level are in moves.
	rate  float64
	limit float64
	level float64
	// steps is the step count at the last refill.
	steps float64
	// minBatch is the level below which no moves are made. Larger batches of moves need
	// fewer activations.
	minBatch float64
}

func newMoveBudget(config PlannerConfig) moveBudget {
	shape := config.Shape
	replicas := float64(shape.Ranks * shape.Slots * shape.Layers)
	ratio := math.Sqrt(config.Weights.Skew / max(config.Weights.Rebalancing, 1e-6))
	limit := max(1, replicas*min(1, config.MoveShare*ratio))
	return moveBudget{rate: limit / config.Horizon, limit: limit, level: limit, minBatch: limit * min(maxBatchShare, minBatchShare/(ratio*ratio))}
}

// advance refills the budget for the steps since the last call.
func (b *moveBudget) advance(steps float64) {
	if steps > b.steps {
		b.level = min(b.limit, b.level+(steps-b.steps)*b.rate)
	}
	b.steps = steps
}

// availableMoves returns the number of replicas that may be loaded now.
func (b *moveBudget) availableMoves() int {
	if b.level < b.minBatch {
		return 0
	}
	return max(0, int(b.level))
}

// spend deducts moves. The level becomes negative if there are more than available, as on a
// fallback to the static map.
func (b *moveBudget) spend(moves int) {
	b.level -= float64(moves)
}

// The fraction of the budget that must be available before moves are made is
// minBatchShare * Weights.Rebalancing / Weights.Skew, but at most maxBatchShare.
const (
	minBatchShare = 0.15
	maxBatchShare = 0.5
)

// breakerState says whether planned maps are used.
type breakerState uint8

const (
	// breakerClosed allows planned maps.
	breakerClosed breakerState = iota + 1
	// breakerTripped is returned once when the breaker opens: the planner falls back to the static map.
	breakerTripped
	// breakerOpen lasts for the back-off: the planner proposes no change.
	breakerOpen
)

// Parameters of a benefitBreaker. Benefits are fractions of the static map's skew, back-offs
// are in horizons.
const (
	// minBenefit is the mean benefit below which the breaker opens.
	minBenefit = -0.01
	// resetBenefit is the mean benefit above which the back-off is reset.
	resetBenefit  = 0.05
	firstBackOff  = 4.0
	backOffFactor = 4.0
	maxBackOff    = 64.0
)

// benefitBreaker is a circuit breaker for planned maps. It compares the skew of the current
// map with the skew of the static map under the same load. If popularity shifts whenever a
// map is activated, planned maps are worse than the static map: the breaker opens for a
// back-off that grows each time.
type benefitBreaker struct {
	// horizon is in steps; steps is the step count at the last observation.
	horizon float64
	steps   float64
	// meanBenefit is the moving average of the relative reduction of the static map's skew.
	// A sample loses half its weight over a horizon.
	meanBenefit float64
	// backOff is in horizons; openUntil is the step count at which the breaker closes again.
	backOff   float64
	openUntil float64
}

// observe records a sample of the skews of the current and the static map at a step count and
// returns the state of the breaker.
func (b *benefitBreaker) observe(steps, skew, staticSkew float64) breakerState {
	elapsed := max(0, steps-b.steps)
	b.steps = steps
	if steps < b.openUntil {
		return breakerOpen
	}
	weight := 1 - math.Exp2(-elapsed/b.horizon)
	b.meanBenefit += weight * ((staticSkew-skew)/staticSkew - b.meanBenefit)
	if b.meanBenefit > resetBenefit {
		b.backOff = 0
	}
	if b.meanBenefit >= minBenefit {
		return breakerClosed
	}
	b.backOff = min(maxBackOff, max(firstBackOff, b.backOff*backOffFactor))
	b.openUntil = steps + b.backOff*b.horizon
	b.meanBenefit = 0
	return breakerTripped
}

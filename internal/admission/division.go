package admission

import (
	"math"
	"slices"
)

// maxHeadroom is the greatest factor by which a part exceeds the measured demand.
const maxHeadroom = 1.3

// division is the max-min fair division of a pool between demands.
type division struct {
	// headroom multiplies each demand; it is greater than 1 while the pool has spare capacity.
	headroom float64
	// maxPart is the greatest part of one holder.
	maxPart float64
}

// divide divides the pool: if all demands fit, each gets its demand with some headroom; otherwise each demand is capped
// at the part at which all parts add up to the pool. It may sort demands in place.
func divide(demands []float64, pool float64) division {
	sum := 0.0
	for _, demand := range demands {
		sum += demand
	}
	if sum <= pool {
		return division{headroom: min(maxHeadroom, pool/max(sum, math.SmallestNonzeroFloat64)), maxPart: pool}
	}
	return division{headroom: 1, maxPart: maxMinLevel(demands, pool)}
}

// part returns the part for a demand.
func (d division) part(demand float64) float64 {
	return min(demand*d.headroom, d.maxPart)
}

// wholePart returns the part for a demand in whole units, at least one unless the demand is 0.
func (d division) wholePart(demand int) int {
	if demand == 0 {
		return 0
	}
	return max(1, int(min(math.Ceil(float64(demand)*d.headroom), math.Floor(d.maxPart))))
}

// maxMinLevel returns the cap at which the capped demands add up to the pool.
func maxMinLevel(demands []float64, pool float64) float64 {
	slices.Sort(demands)
	remaining := pool
	for i, demand := range demands {
		equalShare := remaining / float64(len(demands)-i)
		if demand > equalShare {
			return equalShare
		}
		remaining -= demand
	}
	return pool
}

package admission

import (
	"math"
	"slices"
)

// maxHeadroom is the greatest factor by which a part exceeds the demand that was seen.
const maxHeadroom = 1.3

// division is the max-min fair division of a pool between wants.
type division struct {
	// headroom multiplies each want; it is greater than 1 while the pool has room.
	headroom float64
	// level is the greatest part of one holder.
	level float64
}

// divide returns the division of the pool: all wants with some headroom if they fit,
// else each want cut to the level at which the parts fill the pool.
func divide(wants []float64, pool float64) division {
	sum := 0.0
	for _, want := range wants {
		sum += want
	}
	if sum <= pool {
		return division{headroom: min(maxHeadroom, pool/max(sum, math.SmallestNonzeroFloat64)), level: pool}
	}
	return division{headroom: 1, level: maxMinLevel(wants, pool)}
}

// part returns the part for a want.
func (d division) part(want float64) float64 {
	return min(want*d.headroom, d.level)
}

// wholePart returns the part for a want in whole units, at least one for any want.
func (d division) wholePart(want int) int {
	if want == 0 {
		return 0
	}
	return max(1, int(min(math.Ceil(float64(want)*d.headroom), math.Floor(d.level))))
}

// maxMinLevel returns the level at which the wants, each cut to the level, fill the pool.
func maxMinLevel(wants []float64, pool float64) float64 {
	slices.Sort(wants)
	left := pool
	for i, want := range wants {
		equal := left / float64(len(wants)-i)
		if want > equal {
			return equal
		}
		left -= want
	}
	return pool
}

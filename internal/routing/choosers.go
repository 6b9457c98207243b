package routing

import "math"

// Cheapest picks the candidate with the least cost, at random among equal ones.
type Cheapest struct{}

// Choose implements Chooser.
func (Cheapest) Choose(draw uint64, scored []Scored) int {
	best, ties := 0, uint64(1)
	for i := 1; i < len(scored); i++ {
		switch {
		case scored[i].Cost < scored[best].Cost:
			best, ties = i, 1
		case scored[i].Cost == scored[best].Cost:
			ties++
			if mix(draw^uint64(i))%ties == 0 {
				best = i
			}
		}
	}
	return best
}

// TwoChoices picks the cheaper of two random candidates.
type TwoChoices struct{}

// Choose implements Chooser.
func (TwoChoices) Choose(draw uint64, scored []Scored) int {
	count := uint64(len(scored))
	first := int(draw % count)
	if count == 1 {
		return first
	}
	second := int(mix(draw) % (count - 1))
	if second >= first {
		second++
	}
	if scored[second].Cost < scored[first].Cost {
		return second
	}
	return first
}

// Random picks any candidate with equal probability.
type Random struct{}

// Choose implements Chooser.
func (Random) Choose(draw uint64, scored []Scored) int {
	return int(draw % uint64(len(scored)))
}

// Sampled picks the cheapest among the candidate with the longest cached prefix and a few random ones. The random ones
// differ between entries, so that entries with the same load reports do not all pick the same candidate.
type Sampled struct {
	// Count is the number of random candidates.
	Count int
}

// Choose implements Chooser.
func (s Sampled) Choose(draw uint64, scored []Scored) int {
	first := longestMatch(draw, scored)
	best := first
	others := len(scored) - 1
	for range min(s.Count, others) {
		draw = mix(draw)
		next := (first + 1 + int(draw%uint64(others))) % len(scored)
		if scored[next].Cost < scored[best].Cost {
			best = next
		}
	}
	return best
}

// longestMatch returns the cheapest of the candidates with the longest cached prefix; a random one if no candidate has
// any part of the prompt cached.
func longestMatch(draw uint64, scored []Scored) int {
	best := int(draw % uint64(len(scored)))
	for i := range scored {
		longer := scored[i].Match.Blocks > scored[best].Match.Blocks
		cheaper := scored[i].Match.Blocks == scored[best].Match.Blocks && scored[i].Match.Blocks > 0 && scored[i].Cost < scored[best].Cost
		if longer || cheaper {
			best = i
		}
	}
	return best
}

// Softmin picks at random, with a probability that falls exponentially with the cost, so that entries with the same load
// reports do not all pick the same backend server.
type Softmin struct {
	// Temperature is the difference in cost, in seconds, that makes a candidate e times less likely.
	Temperature float64
}

// Choose implements Chooser.
func (s Softmin) Choose(draw uint64, scored []Scored) int {
	least := math.Inf(1)
	for i := range scored {
		least = min(least, scored[i].Cost)
	}
	total := 0.0
	for i := range scored {
		total += s.weight(scored[i].Cost - least)
	}
	remaining := total * float64(draw>>11) / (1 << 53)
	for i := range scored {
		remaining -= s.weight(scored[i].Cost - least)
		if remaining < 0 {
			return i
		}
	}
	return len(scored) - 1
}

func (s Softmin) weight(excess float64) float64 {
	return math.Exp(-excess / s.Temperature)
}

// mix hashes a number with the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

package groups

import (
	"math"
	"math/rand/v2"
	"slices"

	"github.com/bramleyspool/bramleyspool/internal/expert"
)

// Pattern is the way in which the popularity of experts changes over time.
type Pattern string

// Steady popularity never changes. Drifting popularity moves linearly between random states, Flipping
// popularity jumps between two states at random times, and Bursty popularity raises one expert of a
// layer for a random time. Adversarial popularity raises experts that have few or no
// replicas on other ranks.
const (
	Steady      Pattern = "steady"
	Drifting    Pattern = "drifting"
	Flipping    Pattern = "flipping"
	Bursty      Pattern = "bursty"
	Adversarial Pattern = "adversarial"
)

// Patterns lists all patterns in the order in which the tables show them.
var Patterns = []Pattern{Steady, Drifting, Flipping, Bursty, Adversarial}

// Parameters of the demand. Times are in ticks of stepsPerTick steps.
const (
	stepsPerTick = 25
	// driftTicks is the time in which popularity moves from one random state to the next.
	driftTicks   = 240
	flipMinTicks = 40
	flipMaxTicks = 200
	// burstGapTicks is the mean time between two bursts of a layer, burstTicks their mean duration.
	burstGapTicks = 60
	burstTicks    = 30
	burstFactor   = 8
	// adversarialTicks is the longest time between two changes of the adversarial pattern.
	adversarialTicks = 120
	// popularityLogDeviation is the standard deviation of the log of the experts' popularity.
	popularityLogDeviation = 1.0
	// expertChoicesPerRank is the number of choices of experts per rank, layer and step: 64 tokens with 8
	// experts each.
	expertChoicesPerRank = 64 * 8
)

// demand generates the popularity of experts over time.
type demand struct {
	pattern Pattern
	shape   expert.Shape
	random  *rand.Rand
	from    expert.Load
	to      expert.Load
	current expert.Load
	flipped bool
	next    int
	// bursts holds the burst of each layer.
	bursts []burst
}

// burst raises the popularity of one expert by burstFactor until a tick.
type burst struct {
	until  int
	expert int
}

func newDemand(pattern Pattern, shape expert.Shape, seed uint64) *demand {
	d := &demand{pattern: pattern, shape: shape, random: rand.New(rand.NewPCG(seed, 1))}
	d.from = d.draw()
	d.to = d.draw()
	d.current = d.from
	d.bursts = make([]burst, shape.Layers)
	return d
}

// draw returns a random popularity: the expected tokens of each expert in one step.
func (d *demand) draw() expert.Load {
	load := expert.NewLoad(d.shape.Layers, d.shape.Experts)
	for _, layer := range load {
		for e := range layer {
			layer[e] = math.Exp(popularityLogDeviation * d.random.NormFloat64())
		}
		d.normalise(layer)
	}
	return load
}

// normalise scales the weights of a layer so that they add up to the tokens of a step.
func (d *demand) normalise(layer []float64) {
	sum := 0.0
	for _, weight := range layer {
		sum += weight
	}
	for e := range layer {
		layer[e] *= float64(d.shape.Ranks*expertChoicesPerRank) / sum
	}
}

// popularityAt advances the demand to a tick and returns its popularity. Only the adversarial pattern
// uses the current map and whether it was activated in this tick.
func (d *demand) popularityAt(tick int, current expert.Map, activated bool) expert.Load {
	switch d.pattern {
	case Drifting:
		d.drift(tick)
	case Flipping:
		d.flip(tick)
	case Bursty:
		d.burst(tick)
	case Adversarial:
		if tick >= d.next || activated {
			d.setAdversarialLoad(current)
			d.next = tick + adversarialTicks
		}
	}
	return d.current
}

func (d *demand) drift(tick int) {
	if tick > 0 && tick%driftTicks == 0 {
		d.from, d.to = d.to, d.draw()
	}
	part := float64(tick%driftTicks) / driftTicks
	mixed := expert.NewLoad(d.shape.Layers, d.shape.Experts)
	for l, layer := range mixed {
		for e := range layer {
			layer[e] = d.from[l][e]*(1-part) + d.to[l][e]*part
		}
	}
	d.current = mixed
}

func (d *demand) flip(tick int) {
	if tick < d.next {
		return
	}
	d.current = d.from
	if d.flipped {
		d.current = d.to
	}
	d.flipped = !d.flipped
	d.next = tick + flipMinTicks + d.random.IntN(flipMaxTicks-flipMinTicks)
}

func (d *demand) burst(tick int) {
	now := expert.NewLoad(d.shape.Layers, d.shape.Experts)
	for l, layer := range now {
		copy(layer, d.from[l])
		b := &d.bursts[l]
		if tick >= b.until && d.random.IntN(burstGapTicks) == 0 {
			*b = burst{until: tick + 1 + d.random.IntN(2*burstTicks), expert: d.random.IntN(d.shape.Experts)}
		}
		if tick < b.until {
			layer[b.expert] *= burstFactor
			d.normalise(layer)
		}
	}
	d.current = now
}

// setAdversarialLoad gives the greatest popularity to the experts of the ranks whose experts have the
// fewest replicas on other ranks (see expertsByExclusiveLoad).
func (d *demand) setAdversarialLoad(current expert.Map) {
	now := expert.NewLoad(d.shape.Layers, d.shape.Experts)
	for l, layer := range now {
		weights := slices.Clone(d.from[l])
		slices.Sort(weights)
		slices.Reverse(weights)
		for i, e := range d.expertsByExclusiveLoad(current.Layers[l]) {
			layer[e] = weights[i]
		}
	}
	d.current = now
}

// expertsByExclusiveLoad returns the experts of a layer, grouped by the rank that holds the largest share
// of them. Ranks come first whose experts have few replicas on other ranks.
func (d *demand) expertsByExclusiveLoad(layer expert.Layer) []int {
	alone := make([]float64, d.shape.Experts)
	home := make([]int, d.shape.Experts)
	for rank, replicas := range layer.Ranks {
		for _, replica := range replicas {
			share := float64(replica.Share) / expert.ShareUnit
			if share > alone[replica.Expert] {
				alone[replica.Expert] = share
				home[replica.Expert] = rank
			}
		}
	}
	burden := make([]float64, d.shape.Ranks)
	for e, share := range alone {
		burden[home[e]] += share
	}
	order := d.random.Perm(d.shape.Experts)
	slices.SortStableFunc(order, func(a, b int) int {
		if burden[home[a]] != burden[home[b]] {
			return compareDescending(burden[home[a]], burden[home[b]])
		}
		return home[a] - home[b]
	})
	return order
}

func compareDescending(a, b float64) int {
	if a > b {
		return -1
	}
	return 1
}

// sample returns a random number of tokens for each expert, with the given means. It approximates
// Poisson distributions by normal ones.
func sample(random *rand.Rand, popularity []float64) []float64 {
	tokens := make([]float64, len(popularity))
	for e, mean := range popularity {
		tokens[e] = max(0, mean+math.Sqrt(mean)*random.NormFloat64())
	}
	return tokens
}

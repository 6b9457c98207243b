package groups

import (
	"math/rand/v2"
	"slices"

	"github.com/bramleyspool/bramleyspool/internal/expert"
)

// Parameters of a simulation.
const (
	// runTicks is the length of a simulation, planTicks and fullPlanTicks the times between two plans, and
	// activationTicks the time to activate a map, all in ticks.
	runTicks        = 960
	planTicks       = 10
	fullPlanTicks   = 120
	activationTicks = 1
	// expertBytes is the size of an expert's weights in bytes, storeRate the rate of loading them in
	// bytes per second.
	expertBytes = 22 << 20
	storeRate   = 1 << 30
	// stepSeconds is the duration of a step.
	stepSeconds = 0.04
	// loadSlowdown is the fraction by which steps are slower while weights are loaded.
	loadSlowdown = 0.05
	// activationDelay is the delay of an activation that moves replicas, in steps.
	activationDelay = 1.0
)

// policy decides when a group gets a new expert map, and which.
type policy interface {
	// plan returns a new map for the observed load, or false to keep the current one.
	plan(tick int, current expert.Map, load expert.Load) (expert.Map, bool)
}

// runFigures are the results of one simulation.
type runFigures struct {
	// skew is the load of the worst rank divided by the mean load, averaged over the ticks.
	skew float64
	// waitFraction is the fraction of the ranks' time spent waiting for the worst rank.
	waitFraction float64
	// bound is a lower bound on the skew of any map, from a relaxation of the placement problem.
	bound float64
	// bytes is the amount of loaded weights, moves the number of replicas added on a rank.
	bytes float64
	moves float64
	// rollouts is the number of activated maps.
	rollouts float64
	// delayed is the delay caused by loading and activating maps, in steps.
	delayed float64
}

// group simulates one lock-step group of ranks.
type group struct {
	shape      expert.Shape
	policy     policy
	popularity *expert.Popularity
	current    expert.Map
	pending    expert.Map
	// readyAt is the tick at which the pending map is activated if rolloutActive; loading is true if
	// weights are loaded until then.
	readyAt       int
	rolloutActive bool
	loading       bool
	figures       runFigures
}

// simulate runs a policy on one demand for runTicks.
func simulate(pattern Pattern, shape expert.Shape, chosen policy, seed uint64) runFigures {
	return simulateTicks(runTicks, pattern, shape, chosen, seed)
}

// simulateTicks runs a policy on one demand. The same seed gives the same demand and results.
func simulateTicks(ticks int, pattern Pattern, shape expert.Shape, chosen policy, seed uint64) runFigures {
	g := &group{
		shape:      shape,
		policy:     chosen,
		popularity: expert.NewPopularity(expert.PopularityConfig{Shape: shape}),
		current:    expert.StaticMap(expert.Version{}, shape),
	}
	source := newDemand(pattern, shape, seed)
	agents := newReporters(shape, seed)
	noise := rand.New(rand.NewPCG(seed, 3))
	for tick := range ticks {
		activated := g.activate(tick)
		popularity := source.popularityAt(tick, g.current, activated)
		if o, ok := g.policy.(oracle); ok {
			g.current = o.greedyMap(popularity)
		}
		g.recordStep(noise, popularity)
		for _, report := range agents.count(tick, popularity) {
			g.popularity.Add(report)
		}
		g.plan(tick)
	}
	g.figures.skew /= float64(ticks)
	g.figures.waitFraction /= float64(ticks)
	g.figures.bound /= float64(ticks)
	return g.figures
}

// activate activates the pending map if it is due. It reports whether that moved replicas.
func (g *group) activate(tick int) bool {
	if !g.rolloutActive || tick < g.readyAt {
		return false
	}
	moved := g.loading
	g.current = g.pending
	g.rolloutActive, g.loading = false, false
	g.figures.rollouts++
	if moved {
		g.figures.delayed += activationDelay
	}
	return moved
}

func (g *group) recordStep(noise *rand.Rand, popularity expert.Load) {
	worst, mean, bound := 0.0, 0.0, 0.0
	for l, layer := range g.current.Layers {
		tokens := sample(noise, popularity[l])
		ranks := make([]float64, g.shape.Ranks)
		for rank, replicas := range layer.Ranks {
			for _, replica := range replicas {
				ranks[rank] += tokens[replica.Expert] * float64(replica.Share) / expert.ShareUnit
			}
		}
		worst += slices.Max(ranks)
		for _, load := range ranks {
			mean += load / float64(len(ranks))
		}
		bound += expert.RankLoadLowerBound(g.shape, tokens, nil)
	}
	g.figures.skew += worst / mean
	g.figures.waitFraction += 1 - mean/worst
	g.figures.bound += bound / mean
	if g.loading {
		g.figures.delayed += loadSlowdown * stepsPerTick
	}
}

func (g *group) plan(tick int) {
	if g.rolloutActive {
		return
	}
	next, found := g.policy.plan(tick, g.current, g.popularity.Load())
	if !found {
		return
	}
	moves := float64(len(expert.Added(g.current, next)))
	bytes := moves * expertBytes
	g.figures.moves += moves
	g.figures.bytes += bytes
	g.pending = next
	g.rolloutActive = true
	g.loading = moves > 0
	loadTicks := int(bytes / storeRate / stepSeconds / stepsPerTick)
	g.readyAt = tick + 1 + activationTicks + loadTicks
}

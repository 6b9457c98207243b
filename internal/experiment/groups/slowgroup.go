package groups

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/expert"
	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// The engine model of the simulated groups, and the times of a rollout.
const (
	slowLayers       = 12
	stepsPerPass     = 7
	idleStep         = 4840 * time.Microsecond
	perWriter        = 435 * time.Microsecond
	expertShare      = 0.85
	expertLoadTime   = 16 * time.Millisecond
	loadingFactor    = 1.15
	newPerLayer      = 2
	promptChunkTime  = 512 * time.Second / 74_800
	passesPerStream  = 158 / stepsPerPass
	chunksPerPrompt  = 2
	meanWriters      = 4
	writersDeviation = 1
	// popularityExponent is the exponent of the power law by which the popularity of experts falls.
	popularityExponent = 0.6
	// longestPause is the greatest pause between two events of a stream that is on time, and lateValue the value of a
	// stream that is not.
	longestPause = 120 * time.Millisecond
	lateValue    = 0.4
	// orderTime is the time in which an order reaches all ranks and their replies the leader; pollTime is the time until
	// the leader learns of a change at its ranks.
	orderTime = 30 * time.Millisecond
	pollTime  = 25 * time.Millisecond
	// simulationTick is the resolution of the simulation; reportTime is the interval of the ranks' reports, lostReports the
	// fraction of them that is lost.
	simulationTick = 5 * time.Millisecond
	reportTime     = 100 * time.Millisecond
	lostReports    = 0.01
	// warmUp is the time before ranks become slow, coolDown that after they recovered.
	warmUp   = 4 * time.Second
	coolDown = 2 * time.Second
)

// speedPolicy determines by which speeds a group plans.
type speedPolicy int

const (
	// speedsUnknown plans as if all ranks were as fast as usual, as leaders did before they estimated speeds.
	speedsUnknown speedPolicy = iota
	// speedsEstimated plans by expert.RankSpeeds.
	speedsEstimated
	// speedsKnown plans by the true speeds, from the moment at which they change.
	speedsKnown
)

// slowCase is one combination of parameters for a group.
type slowCase struct {
	ranks, experts, slots int
	slowRanks             int
	factor                float64
	duration              time.Duration
	// flapPeriod is the period in which the ranks are slow for one half and as usual for the other; 0 for slow all the time.
	flapPeriod time.Duration
}

// slowFigures are the results of one simulation for the time in which ranks are slow.
type slowFigures struct {
	// value is the mean value of the streams that start in it, pass the mean duration of a pass, maps the number of maps
	// in force.
	value, pass, maps float64
	// detected and mapped are the times from the change until an estimate and a map for it; NaN if there is none.
	// recovered is the time from the end until no rank is estimated to be slow.
	detected, mapped, recovered float64
}

// slowGroup simulates a lock-step group some of whose ranks become slow.
type slowGroup struct {
	slowCase
	policy  speedPolicy
	random  *rand.Rand
	now     time.Duration
	writers []int
	load    expert.Load
	jumpAt  time.Duration

	step      uint64
	passEnds  time.Duration
	passes    []slowPass
	placement expert.LayerPlacements
	rollout   slowRollout

	// nextReport is the time of the next report of each rank, and reported the pace in the last one.
	nextReport []time.Duration
	reported   []float64
	demand     *expert.Demand
	counted    expert.Load
	speeds     *expert.RankSpeeds
	known      []float64
	trigger    expert.MapTrigger
	lastPass   time.Duration
	figures    slowFigures
}

// slowPass is the beginning and the duration of a pass.
type slowPass struct{ at, duration time.Duration }

// slowRollout is the map being rolled out.
type slowRollout struct {
	target            expert.LayerPlacements
	loadedAt, forceAt time.Duration
	forSpeed          bool
}

var simulationStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newSlowGroup(parameters slowCase, policy speedPolicy, seed uint64) *slowGroup {
	g := &slowGroup{
		slowCase: parameters, policy: policy, random: rand.New(rand.NewPCG(seed, 5)), demand: expert.NewDemand(slowLayers, parameters.experts),
		counted: expert.NewLoad(slowLayers, parameters.experts), speeds: expert.NewRankSpeeds(), writers: make([]int, parameters.ranks),
		nextReport: make([]time.Duration, parameters.ranks), reported: make([]float64, parameters.ranks),
		placement: make(expert.LayerPlacements, slowLayers),
		figures:   slowFigures{detected: math.NaN(), mapped: math.NaN(), recovered: math.NaN()},
	}
	for rank := range g.writers {
		g.nextReport[rank], g.reported[rank] = time.Duration(g.random.Int64N(int64(reportTime))), 1
		g.writers[rank] = max(1, int(math.Round(meanWriters+writersDeviation*g.random.NormFloat64())))
	}
	for layer := range g.placement {
		g.placement[layer] = make([][]expert.Expert, g.ranks)
		for e := range g.experts {
			g.placement[layer][e%g.ranks] = append(g.placement[layer][e%g.ranks], expert.Expert(e))
		}
	}
	return g
}

// slownessOf returns the true slowness of a rank at the present time.
func (g *slowGroup) slownessOf(rank int) float64 {
	since := g.now - warmUp
	if rank >= g.slowRanks || since < 0 || since >= g.duration || g.flapPeriod > 0 && since%g.flapPeriod >= g.flapPeriod/2 {
		return 1
	}
	return g.factor
}

func (g *slowGroup) trueSlowness() []float64 {
	slowness := make([]float64, g.ranks)
	for rank := range slowness {
		slowness[rank] = g.slownessOf(rank)
	}
	return slowness
}

// run runs the simulation and returns its figures.
func (g *slowGroup) run() slowFigures {
	end := warmUp + g.duration + coolDown
	for ; g.now < end; g.now += simulationTick {
		if g.now >= g.jumpAt {
			g.load = peakedDemand(g.random, g.experts)
			g.jumpAt = g.now + 2700*time.Millisecond + time.Duration(g.random.Int64N(int64(800*time.Millisecond)))
		}
		g.advanceRollout()
		if g.now >= g.passEnds {
			g.beginPass()
		}
		g.report()
		g.plan()
	}
	g.measure()
	return g.figures
}

// peakedDemand returns the choices of each expert per 1,000.
func peakedDemand(random *rand.Rand, experts int) expert.Load {
	load := expert.NewLoad(slowLayers, experts)
	for layer := range load {
		sum := 0.0
		for place, e := range random.Perm(experts) {
			load[layer][e] = math.Pow(float64(place+1), -popularityExponent) * (0.8 + 0.4*random.Float64())
			sum += load[layer][e]
		}
		for e := range load[layer] {
			load[layer][e] *= 1000 / sum
		}
	}
	return load
}

// beginPass begins a pass and computes its duration.
func (g *slowGroup) beginPass() {
	slowness := g.trueSlowness()
	own, writers := time.Duration(0), 0
	for rank, n := range g.writers {
		work := stepsPerPass * (idleStep + time.Duration((1-expertShare)*float64(perWriter)*float64(n)))
		if g.random.Float64() < chunksPerPrompt*float64(n)/passesPerStream {
			work += promptChunkTime
		}
		own = max(own, time.Duration(slowness[rank]*float64(work)))
		writers += n
	}
	skew := expert.PlacementSkew(g.placement, g.load, slowness)
	duration := own + time.Duration(skew*float64(g.expertPart()))
	if g.rollout.target != nil && g.now < g.rollout.loadedAt {
		duration = time.Duration(loadingFactor * float64(duration))
	}
	g.step++
	g.passEnds, g.lastPass = g.now+duration, duration
	g.passes = append(g.passes, slowPass{g.now, duration})
	tokens := float64(writers*stepsPerPass) / 1000
	for layer := range g.counted {
		for e := range g.counted[layer] {
			mean := tokens * g.load[layer][e]
			g.counted[layer][e] += max(0, math.Round(mean+math.Sqrt(mean)*g.random.NormFloat64()))
		}
	}
}

// expertPart returns the part of a pass that is spent in experts with a skew of 1.
func (g *slowGroup) expertPart() time.Duration {
	writers := 0
	for _, n := range g.writers {
		writers += n
	}
	return time.Duration(stepsPerPass * expertShare * float64(perWriter) * float64(writers) / float64(g.ranks))
}

// report delivers the reports of ranks. All ranks' counts are delivered together, in half the usual interval, because the
// ranks of a real group report at different times.
func (g *slowGroup) report() {
	for rank := range g.ranks {
		pace := g.slownessOf(rank)
		if g.now < g.nextReport[rank] {
			continue
		}
		g.nextReport[rank] = g.now + reportTime
		if pace != g.reported[rank] {
			g.reported[rank], g.nextReport[rank] = pace, g.now+pollTime
		}
		if g.random.Float64() < lostReports {
			continue
		}
		g.speeds.Observe(simulationStart.Add(g.now), &expert.RankStatus{
			Epoch: 1, Rank: ident.Rank(rank), Size: g.ranks, Open: true, Step: g.step, Pace: pace, Running: g.writers[rank],
		})
	}
	if g.now%(reportTime/2) == 0 {
		counts := expert.ChoiceCounts{}
		for layer := range g.counted {
			tokens := make([]uint64, g.experts)
			for e := range tokens {
				tokens[e] = uint64(g.counted[layer][e])
			}
			clear(g.counted[layer])
			counts.Layers = append(counts.Layers, expert.ScaleCounts(tokens))
		}
		g.demand.Add(simulationStart.Add(g.now), counts)
	}
}

// plan decides on a map, as leaders do with each change of the estimates.
func (g *slowGroup) plan() {
	changed := false
	switch g.policy {
	case speedsEstimated:
		changed = g.now%(4*simulationTick) == 0 && len(g.speeds.Update(simulationStart.Add(g.now), stepsPerPass*idleStep)) > 0
		g.known = g.speeds.Slowness()
	case speedsKnown:
		slowness := g.trueSlowness()
		for rank := range slowness {
			changed = changed || len(g.known) > 0 && g.known[rank] != slowness[rank]
		}
		g.known = slowness
	case speedsUnknown:
	}
	if changed {
		g.recordChange()
	}
	if _, buckets := g.demand.Estimate(); buckets == 0 || !changed && g.now%reportTime != 0 {
		return
	}
	loading := g.rollout.target != nil && g.now < g.rollout.loadedAt
	proposal, found := g.trigger.Decide(&expert.MapInput{
		Now: simulationStart.Add(g.now), Placement: g.placement, Demand: g.demand, Slowness: g.known, Slots: g.slots, NewPerLayer: newPerLayer,
		LoadsWithin: func(limit time.Duration) int { return max(int(limit/expertLoadTime), 1) }, LoadTime: expertLoadTime,
		Ready: g.rollout.target == nil, MayReplace: loading, Pass: g.lastPass, ExpertPart: g.expertPart(),
	})
	if found {
		loaded := g.now + orderTime + time.Duration(proposal.Plan.MaxPerRank)*expertLoadTime + pollTime
		g.rollout = slowRollout{
			target: proposal.Plan.Placement, loadedAt: loaded, forceAt: loaded + 2*orderTime, forSpeed: g.rollout.forSpeed || proposal.SpeedChanged,
		}
	}
}

// recordChange records the time of the first estimate of slow ranks, and that of their recovery.
func (g *slowGroup) recordChange() {
	slow := 0
	for _, slowness := range g.known {
		if slowness > 1 {
			slow++
		}
	}
	if since := g.now - warmUp; since >= 0 && slow > 0 && math.IsNaN(g.figures.detected) {
		g.figures.detected = since.Seconds()
	}
	if since := g.now - warmUp - g.duration; since >= 0 && slow == 0 && math.IsNaN(g.figures.recovered) {
		g.figures.recovered = since.Seconds()
	}
}

// advanceRollout puts the map of a rollout in force with the first pass after all ranks are armed.
func (g *slowGroup) advanceRollout() {
	if g.rollout.target == nil || g.now < g.rollout.forceAt || g.now < g.passEnds {
		return
	}
	g.placement = g.rollout.target
	if since := g.now - warmUp; since >= 0 {
		if g.rollout.forSpeed && math.IsNaN(g.figures.mapped) {
			g.figures.mapped = since.Seconds()
		}
		if since < g.duration {
			g.figures.maps++
		}
	}
	g.rollout = slowRollout{}
}

// measure computes the value of the streams that start while ranks are slow, and the mean pass.
func (g *slowGroup) measure() {
	streams := 0.0
	for i, first := range g.passes {
		if first.at < warmUp || first.at >= warmUp+g.duration {
			continue
		}
		streams++
		g.figures.pass += first.duration.Seconds()
		value := 1.0
		for _, pass := range g.passes[i:min(i+passesPerStream, len(g.passes))] {
			if pass.duration > longestPause {
				value = lateValue
			}
		}
		g.figures.value += value
	}
	g.figures.value /= streams
	g.figures.pass *= 1000 / streams
}

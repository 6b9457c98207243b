package expert

import (
	"cmp"
	"math"
	"slices"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// Limits and thresholds of the search for changes in one layer.
const (
	// maxChangesPerLayer is the number of changes that one plan makes in a layer.
	maxChangesPerLayer = 4
	// maxSourceExperts is the number of the most loaded rank's experts that are tried.
	maxSourceExperts = 3
	// maxTargetRanks is the number of least loaded ranks that are tried as targets.
	maxTargetRanks = 8
	// rankLoadTolerance is the relative difference up to which rank loads count as equal.
	rankLoadTolerance = 1e-3
	// minSkewGain is the minimum gain of a plan as a fraction of the horizon, before weighting.
	minSkewGain = 0.002
)

// layerChange is one change that the search proposes for a layer.
type layerChange struct {
	layer int
	// moves holds the replicas to load.
	moves      []Placement
	assignment *layerAssignment
	// savedLoad is the reduction of the most loaded rank's load, in tokens per step.
	savedLoad float64
}

// Plan proposes a change of the current map. It returns PlanNone if no change is worth its
// cost, or if the map or the load does not match the shape. Call it at a fixed interval of
// about 250 steps, whatever the skew is. Each call compares the current map's skew with the
// static map's (see benefitBreaker), and samples taken only at times of high skew would
// underrate the planned maps.
func (p *Planner) Plan(input PlanInput) Plan {
	current, load, slowness := input.Current, input.Load, input.Slowness
	if current.Validate(p.config.Shape) != nil || len(load) != len(current.Layers) {
		return Plan{}
	}
	plan := Plan{SkewBefore: Skew(current, load, slowness)}
	plan.SkewAfter = plan.SkewBefore
	p.budget.advance(input.Steps)
	switch p.breaker.observe(input.Steps, plan.SkewBefore, Skew(p.staticMap, load, slowness)) {
	case breakerTripped:
		return p.fallBackToStatic(plan, input)
	case breakerOpen:
		return plan
	}
	result := p.searchAll(input)
	if result.totalMean == 0 {
		return plan
	}
	selected, saved := p.selectChanges(result.changes, result.totalMean)
	moves := 0
	for _, c := range selected {
		result.assignments[c.layer] = c.assignment
		moves += len(c.moves)
	}
	plan.Gain = p.gain(result.savedByShares+saved, result.totalMean)
	plan.Cost = p.cost(moves)
	if plan.Gain <= max(plan.Cost, p.config.Weights.Skew*minSkewGain*p.config.Horizon) {
		return plan
	}
	return p.propose(plan, input, result.assignments)
}

// searchResult is the result of the search in all layers.
type searchResult struct {
	// assignments holds the assignment of each layer with new shares, before any of changes.
	assignments []*layerAssignment
	// savedByShares is the reduction of the most loaded ranks' load by new shares alone,
	// summed over layers, in tokens per step.
	savedByShares float64
	// totalMean is the mean load of a rank, summed over layers, in tokens per step.
	totalMean float64
	changes   []layerChange
}

// searchAll assigns new shares in each layer and then searches it for changes.
func (p *Planner) searchAll(input PlanInput) searchResult {
	current := input.Current
	result := searchResult{assignments: make([]*layerAssignment, len(current.Layers))}
	for i, layer := range current.Layers {
		a := newLayerAssignment(layer, input.Load[i], input.Slowness, p.config.EvenShares)
		before := a.maxRankLoad()
		result.totalMean += a.meanRankLoad()
		a.splitLoads()
		result.savedByShares += before - a.maxRankLoad()
		result.assignments[i] = a
		result.changes = append(result.changes, p.searchLayer(i, a)...)
	}
	return result
}

// propose completes the plan with the new map and deducts its moves from the budget.
func (p *Planner) propose(plan Plan, input PlanInput, assignments []*layerAssignment) Plan {
	plan.Map = Map{Layers: make([]Layer, len(assignments))}
	for i, a := range assignments {
		plan.Map.Layers[i] = a.toLayer()
	}
	plan.Moves = len(Added(input.Current, plan.Map))
	plan.Bytes = int64(plan.Moves) * p.config.ExpertBytes
	plan.SkewAfter = Skew(plan.Map, input.Load, input.Slowness)
	plan.Kind = PlanIncremental
	if plan.Moves == 0 {
		plan.Kind = PlanShares
	}
	p.budget.spend(plan.Moves)
	return plan
}

// fallBackToStatic proposes the static map. If popularity shifts after each activation, the
// static map has less skew than a map that was planned for the previous load.
func (p *Planner) fallBackToStatic(plan Plan, input PlanInput) Plan {
	plan.Map = p.staticMap.Clone()
	plan.Moves = len(Added(input.Current, plan.Map))
	plan.Bytes = int64(plan.Moves) * p.config.ExpertBytes
	plan.SkewAfter = Skew(plan.Map, input.Load, input.Slowness)
	plan.Kind = PlanFull
	p.budget.spend(plan.Moves)
	return plan
}

// gain returns the weighted gain of reducing the most loaded ranks' load by saved, in steps
// over the horizon.
func (p *Planner) gain(saved, totalMean float64) float64 {
	return p.config.Weights.Skew * saved / totalMean * p.config.Horizon
}

// moveCost returns the weighted cost of loading replicas, in steps.
func (p *Planner) moveCost(moves int) float64 {
	seconds := float64(moves) * float64(p.config.ExpertBytes) / p.config.StoreRate
	steps := seconds / p.config.StepTime.Seconds()
	return p.config.Weights.Rebalancing * steps * p.config.LoadSlowdown
}

// cost returns the weighted cost of a plan in steps: loading its replicas and, if there are
// any, the delay of the activation.
func (p *Planner) cost(moves int) float64 {
	if moves == 0 {
		return 0
	}
	return p.moveCost(moves) + p.config.Weights.Rebalancing*p.config.ActivationSteps
}

// selectChanges returns the changes whose gain exceeds the cost of loading their replicas,
// and the load that they save. It selects by descending ratio of gain to cost, within the
// move budget and MovesPerRank. The changes of a layer depend on each other and are selected
// in order.
func (p *Planner) selectChanges(changes []layerChange, totalMean float64) ([]layerChange, float64) {
	gainPerCost := func(c layerChange) float64 { return p.gain(c.savedLoad, totalMean) / p.moveCost(len(c.moves)) }
	order := slices.Clone(changes)
	slices.SortStableFunc(order, func(a, b layerChange) int {
		return cmp.Or(cmp.Compare(gainPerCost(b), gainPerCost(a)), cmp.Compare(a.layer, b.layer))
	})
	staged := make([]int, p.config.Shape.Ranks)
	applied := make([]int, p.config.Shape.Layers)
	var selected []layerChange
	saved := 0.0
	remaining := p.budget.availableMoves()
	for progress := true; progress; {
		progress = false
		for _, c := range order {
			if gainPerCost(c) <= 1 || applied[c.layer] != indexInLayer(changes, c) || len(c.moves) > remaining || !p.reserveStaging(staged, c) {
				continue
			}
			remaining -= len(c.moves)
			applied[c.layer]++
			selected = append(selected, c)
			saved += c.savedLoad
			progress = true
		}
	}
	return selected, saved
}

// indexInLayer returns the number of changes before c that belong to the same layer.
func indexInLayer(changes []layerChange, c layerChange) int {
	n := 0
	for _, other := range changes {
		if other.layer != c.layer {
			continue
		}
		if other.assignment == c.assignment {
			return n
		}
		n++
	}
	return n
}

// reserveStaging adds the change's moves to the staged counts of their ranks. It returns
// false and changes nothing if a rank could exceed MovesPerRank. The check counts all moves
// of the change for each rank, which is one too many in a swap: its two moves load one
// replica on each of two ranks.
func (p *Planner) reserveStaging(staged []int, c layerChange) bool {
	for _, move := range c.moves {
		if staged[move.Rank]+len(c.moves) > p.config.MovesPerRank {
			return false
		}
	}
	for _, move := range c.moves {
		staged[move.Rank]++
	}
	return true
}

// searchLayer returns successive changes of a layer, each based on the one before.
func (p *Planner) searchLayer(layer int, a *layerAssignment) []layerChange {
	var changes []layerChange
	current := a
	for range maxChangesPerLayer {
		best, found := p.bestChange(layer, current)
		if !found {
			return changes
		}
		changes = append(changes, best)
		current = best.assignment
	}
	return changes
}

// bestChange returns the change that saves most load of the most loaded rank per move.
func (p *Planner) bestChange(layer int, a *layerAssignment) (layerChange, bool) {
	worst := a.maxRankLoad()
	var best layerChange
	found := false
	scratch := &layerAssignment{}
	consider := func(moves []Placement) {
		saved := worst - scratch.maxRankLoad()
		if saved < p.config.MinSaving*worst*float64(len(moves)) {
			return
		}
		if found && saved*float64(len(best.moves)) <= best.savedLoad*float64(len(moves)) {
			return
		}
		spare := best.assignment
		if spare == nil {
			spare = &layerAssignment{}
		}
		best = layerChange{layer: layer, moves: moves, assignment: scratch, savedLoad: saved}
		scratch = spare
		found = true
	}
	rank := a.mostLoadedRank()
	targets := a.leastLoadedRanks()
	for _, expert := range a.heaviestExperts(rank) {
		for _, target := range targets {
			if slices.Contains(a.hosts[expert], target) {
				continue
			}
			if scratch.replicate(a, expert, target, p.config.Shape.Slots) {
				consider([]Placement{newPlacement(layer, expert, target)})
			}
			if partner, ok := scratch.swap(a, expert, rank, target); ok {
				consider([]Placement{newPlacement(layer, expert, target), newPlacement(layer, partner, rank)})
			}
		}
	}
	return best, found
}

// mostLoadedRank returns the first rank with the highest load, up to rankLoadTolerance.
func (a *layerAssignment) mostLoadedRank() int {
	worst := 0
	for rank, load := range a.rankLoads {
		if load > a.rankLoads[worst]*(1+rankLoadTolerance) {
			worst = rank
		}
	}
	return worst
}

// heaviestExperts returns up to maxSourceExperts experts of a rank, by descending load.
func (a *layerAssignment) heaviestExperts(rank int) []Expert {
	experts := slices.Clone(a.rankExperts[rank])
	slices.SortStableFunc(experts, func(x, y Expert) int {
		return cmp.Or(cmp.Compare(a.replicaLoad(y, rank), a.replicaLoad(x, rank)), cmp.Compare(x, y))
	})
	return experts[:min(len(experts), maxSourceExperts)]
}

func (a *layerAssignment) replicaLoad(expert Expert, rank int) float64 {
	return a.replicaLoads[expert][slices.Index(a.hosts[expert], rank)]
}

// leastLoadedRanks returns up to maxTargetRanks ranks, by ascending load.
func (a *layerAssignment) leastLoadedRanks() []int {
	ranks := make([]int, len(a.rankLoads))
	for i := range ranks {
		ranks[i] = i
	}
	slices.SortStableFunc(ranks, func(x, y int) int { return cmp.Compare(a.rankLoads[x], a.rankLoads[y]) })
	return ranks[:min(len(ranks), maxTargetRanks)]
}

// replicate sets a to a copy of from with a further replica of the expert on the target
// rank. If the target has no free slot, the replica replaces one of an expert that other
// ranks hold too; without such an expert, replicate returns false.
func (a *layerAssignment) replicate(from *layerAssignment, expert Expert, target, slots int) bool {
	full := len(from.rankExperts[target]) >= slots
	evicted, found := from.evictionCandidate(target)
	if full && !found {
		return false
	}
	a.copyFrom(from)
	if full {
		a.removeReplica(evicted, target)
	}
	a.addReplica(expert, target)
	a.splitLoads()
	return true
}

// evictionCandidate returns the expert with the least load on a rank among those that other
// ranks hold too, and false if there is none.
func (a *layerAssignment) evictionCandidate(rank int) (Expert, bool) {
	var evicted Expert
	found := false
	for _, expert := range a.rankExperts[rank] {
		if len(a.hosts[expert]) < 2 {
			continue
		}
		if !found || a.replicaLoad(expert, rank) < a.replicaLoad(evicted, rank) {
			evicted, found = expert, true
		}
	}
	return evicted, found
}

// swap sets a to a copy of from in which the expert on rank and an expert on target exchange
// ranks. It returns the target's expert, which is chosen so that the exchange comes closest
// to equal loads of the two ranks. It returns false if target has no expert that rank lacks.
func (a *layerAssignment) swap(from *layerAssignment, expert Expert, rank, target int) (Expert, bool) {
	idealLoad := from.replicaLoad(expert, rank) - (from.rankLoads[rank]-from.rankLoads[target])/(from.weights[rank]+from.weights[target])
	var partner Expert
	found := false
	distance := 0.0
	for _, other := range from.rankExperts[target] {
		if slices.Contains(from.hosts[other], rank) {
			continue
		}
		d := math.Abs(from.replicaLoad(other, target) - idealLoad)
		if !found || d < distance {
			partner, distance, found = other, d, true
		}
	}
	if !found {
		return 0, false
	}
	a.copyFrom(from)
	a.moveReplica(expert, rank, target)
	a.moveReplica(partner, target, rank)
	a.splitLoads()
	return partner, true
}

// moveReplica moves a replica and its load to another rank.
func (a *layerAssignment) moveReplica(expert Expert, from, to int) {
	part := a.replicaLoad(expert, from)
	i := slices.Index(a.hosts[expert], from)
	a.hosts[expert][i] = to
	at := slices.Index(a.rankExperts[from], expert)
	a.rankExperts[from] = slices.Delete(a.rankExperts[from], at, at+1)
	a.rankExperts[to] = append(a.rankExperts[to], expert)
	a.rankLoads[from] -= a.weights[from] * part
	a.rankLoads[to] += a.weights[to] * part
}

func newPlacement(layer int, expert Expert, rank int) Placement {
	return Placement{Layer: layer, Expert: expert, Rank: ident.Rank(rank)}
}

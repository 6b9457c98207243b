package expert

import (
	"cmp"
	"math"
	"slices"
)

// Parameters of the search for copies.
const (
	// smoothExponent is the exponent of the norm of a layer's rank loads. The norm is the layer's cost: it
	// approximates the maximum, but also decreases if only one of two equally loaded ranks is relieved.
	smoothExponent = 8
	// copySourceExperts is the number of the most loaded rank's experts that are tried, and
	// copyTargetRanks is the number of target ranks that are tried for each of them.
	copySourceExperts = 5
	copyTargetRanks   = 5
)

// CopyLimits limits the experts that one plan loads.
type CopyLimits struct {
	// Slots is the maximum number of experts that a rank holds in a layer.
	Slots int
	// PerRank is the maximum number of experts that a rank loads over all layers. Ranks load in parallel,
	// each one expert at a time, so this limit determines the time until the map can be activated.
	PerRank int
	// PerLayer is the maximum number of experts that a rank loads in one layer.
	PerLayer int
	// MinGain is the gain that a change must exceed. The gain is the reduction of the approximate maximum
	// of its layer's rank loads, as a fraction of the mean rank load summed over all layers.
	MinGain float64
	// Slowness is the factor by which the work of each rank takes longer than usual, by rank; nil if all are 1. The load
	// of a rank is multiplied by it.
	Slowness []float64
	// Leaving is true for the ranks that load no experts because they are leaving, by rank; nil if none is.
	Leaving []bool
}

// mayHost reports whether a rank that does not hold an expert may load it.
func (l *CopyLimits) mayHost(rank int) bool {
	return rank >= len(l.Leaving) || !l.Leaving[rank]
}

// CopyPlan is a changed placement with the numbers of experts to load for it and its skews.
type CopyPlan struct {
	// Placement is the new placement. It shares no memory with the current one.
	Placement LayerPlacements
	// Copies is the number of experts to load over all ranks, and MaxPerRank the maximum of one rank.
	Copies, MaxPerRank int
	// SkewBefore and SkewAfter are the skews of the current and the new placement: the maximum rank load of each
	// layer, weighted by slowness and summed over layers, divided by the sum of the mean rank loads without weights.
	SkewBefore, SkewAfter float64
}

// copySearch improves a placement one change at a time. The tokens of an expert are split evenly over its
// copies.
type copySearch struct {
	limits CopyLimits
	layers []*copyLayer
	// loaded is the number of experts to load, by rank.
	loaded []int
}

// copyLayer is the placement of one layer and the resulting load of each rank.
type copyLayer struct {
	// expertLoads holds the load of each expert.
	expertLoads []float64
	// rankExperts holds the experts of each rank, and hosts the ranks of each expert.
	rankExperts [][]Expert
	hosts       [][]int
	// rankLoads holds the load of each rank, multiplied by its weight. A weight is the rank's slowness.
	rankLoads []float64
	weights   []float64
	// added holds the experts to load, by rank.
	added      [][]Expert
	bestChange copyChange
	// bestValid is true if bestChange matches the current state of the search.
	bestValid bool
}

// copyChange adds a copy of an expert on a rank, drops one, or both.
type copyChange struct {
	// gain is the reduction of the layer's cost; for a swap, which loads two experts, half of it.
	gain float64
	// expert is added on addRank; addRank is -1 if nothing is added.
	expert  Expert
	addRank int
	// dropRank is the rank that drops the expert; -1 if none does.
	dropRank int
	// evicted is dropped on addRank to free a slot if evict is true.
	evicted Expert
	evict   bool
	// swap is true if evicted is added on dropRank, so that the two experts exchange ranks.
	swap bool
}

// PlanCopies returns a placement that reduces the load of the most loaded ranks by a few changes within the
// limits. It is a greedy search: each change is the one with the highest gain.
// It is meant for jumps in demand: a rough map that is active soon is worth more than an optimal one that
// takes long to load, and the next call can refine it. current must have at least one layer, and load
// must have the same layers and all experts.
func PlanCopies(current LayerPlacements, load Load, limits CopyLimits) CopyPlan {
	search := &copySearch{limits: limits, loaded: make([]int, len(current[0]))}
	sum := 0.0
	weights := rankWeights(limits.Slowness, len(current[0]))
	for layer, ranks := range current {
		search.layers = append(search.layers, newCopyLayer(ranks, load[layer], weights))
		sum += total(load[layer])
	}
	plan := CopyPlan{SkewBefore: search.skew()}
	minGain := limits.MinGain * sum / float64(len(current[0]))
	// The limits allow PerRank loads on each rank. Changes that only drop a copy load nothing; the factor 2 leaves
	// room for them.
	for range limits.PerRank * len(search.loaded) * 2 {
		layer := search.bestLayer()
		if layer == nil || layer.bestChange.gain <= minGain {
			break
		}
		search.applyBest(layer)
	}
	plan.SkewAfter = search.skew()
	plan.Placement = make(LayerPlacements, len(search.layers))
	for i, layer := range search.layers {
		plan.Placement[i] = layer.rankExperts
		for _, experts := range layer.rankExperts {
			slices.Sort(experts)
		}
	}
	for _, n := range search.loaded {
		plan.Copies += n
		plan.MaxPerRank = max(plan.MaxPerRank, n)
	}
	return plan
}

// rankWeights returns the slowness of each rank: 1 for ranks that slowness lacks.
func rankWeights(slowness []float64, ranks int) []float64 {
	weights := make([]float64, ranks)
	for rank := range weights {
		weights[rank] = 1
		if rank < len(slowness) && slowness[rank] > 1 {
			weights[rank] = slowness[rank]
		}
	}
	return weights
}

// PlacementSkew returns the skew of a placement as in CopyPlan.SkewBefore. slowness is as in CopyLimits. placement must
// have at least one layer, and load must have the same layers and all experts.
func PlacementSkew(placement LayerPlacements, load Load, slowness []float64) float64 {
	search := &copySearch{}
	weights := rankWeights(slowness, len(placement[0]))
	for layer, ranks := range placement {
		search.layers = append(search.layers, newCopyLayer(ranks, load[layer], weights))
	}
	return search.skew()
}

func newCopyLayer(ranks [][]Expert, load, weights []float64) *copyLayer {
	layer := &copyLayer{
		expertLoads: load, rankExperts: make([][]Expert, len(ranks)), hosts: make([][]int, len(load)),
		rankLoads: make([]float64, len(ranks)), weights: weights, added: make([][]Expert, len(ranks)),
	}
	for rank, experts := range ranks {
		layer.rankExperts[rank] = slices.Clone(experts)
		for _, expert := range experts {
			layer.hosts[expert] = append(layer.hosts[expert], rank)
		}
	}
	layer.computeRankLoads()
	return layer
}

// computeRankLoads computes the load of each rank and invalidates bestChange.
func (c *copyLayer) computeRankLoads() {
	clear(c.rankLoads)
	for expert, hosts := range c.hosts {
		for _, rank := range hosts {
			c.rankLoads[rank] += c.weights[rank] * (c.expertLoads[expert] / float64(len(hosts)))
		}
	}
	c.bestValid = false
}

// skew returns the maximum weighted rank load of each layer, summed over layers, divided by the sum of the means
// without weights.
func (s *copySearch) skew() float64 {
	worst, mean := 0.0, 0.0
	for _, layer := range s.layers {
		worst += slices.Max(layer.rankLoads)
		sum := 0.0
		for rank, load := range layer.rankLoads {
			sum += load / layer.weights[rank]
		}
		mean += sum / float64(len(layer.rankLoads))
	}
	if mean == 0 {
		return 1
	}
	return worst / mean
}

// bestLayer returns the layer whose best change has the highest gain.
func (s *copySearch) bestLayer() *copyLayer {
	var best *copyLayer
	for _, layer := range s.layers {
		if !layer.bestValid {
			layer.bestChange = s.searchLayer(layer)
			layer.bestValid = true
		}
		if best == nil || layer.bestChange.gain > best.bestChange.gain {
			best = layer
		}
	}
	return best
}

// searchLayer returns the best change of a layer within the limits.
func (s *copySearch) searchLayer(layer *copyLayer) copyChange {
	worst := 0
	for rank, load := range layer.rankLoads {
		if load > layer.rankLoads[worst] {
			worst = rank
		}
	}
	order := make([]int, len(layer.rankLoads))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(layer.rankLoads[a], layer.rankLoads[b]) })
	best := copyChange{addRank: -1, dropRank: -1}
	before := smoothMax(layer.rankLoads)
	scratch := make([]float64, len(layer.rankLoads))
	consider := func(change copyChange) {
		copy(scratch, layer.rankLoads)
		layer.applyToLoads(scratch, change)
		change.gain = before - smoothMax(scratch)
		if change.swap {
			change.gain /= 2 // for each of two experts to load
		}
		if change.gain > best.gain {
			best = change
		}
	}
	for _, expert := range layer.heaviestExperts(worst) {
		if len(layer.hosts[expert]) > 1 {
			consider(copyChange{expert: expert, addRank: -1, dropRank: worst})
		}
		tried := 0
		for _, target := range order {
			if tried >= copyTargetRanks || target == worst {
				break
			}
			change, ok := s.addChange(layer, expert, target)
			if !ok {
				continue
			}
			tried++
			consider(change)
			change.dropRank = worst
			consider(change)
		}
		for _, target := range order[:min(copyTargetRanks, len(order))] {
			if change, ok := s.swapChange(layer, expert, worst, target); ok {
				consider(change)
			}
		}
	}
	return best
}

// swapChange returns the change that exchanges the most loaded rank's expert with the least loaded expert of another
// rank. It returns false if the limits or the placement do not allow it. Groups need swaps if experts with a single
// copy take up nearly all slots.
func (s *copySearch) swapChange(layer *copyLayer, expert Expert, worst, target int) (copyChange, bool) {
	change := copyChange{expert: expert, addRank: target, dropRank: worst, swap: true}
	if target == worst || slices.Contains(layer.rankExperts[target], expert) || !s.mayLoad(layer, target) || !s.mayLoad(layer, worst) ||
		slices.Contains(layer.added[worst], expert) {
		return change, false
	}
	lightest := math.Inf(1)
	for _, held := range layer.rankExperts[target] {
		if slices.Contains(layer.rankExperts[worst], held) || slices.Contains(layer.added[target], held) {
			continue
		}
		if part := layer.expertLoads[held] / float64(len(layer.hosts[held])); part < lightest {
			lightest, change.evicted, change.evict = part, held, true
		}
	}
	return change, change.evict
}

// mayLoad reports whether the limits allow a rank to load another expert of the layer.
func (s *copySearch) mayLoad(layer *copyLayer, rank int) bool {
	return s.limits.mayHost(rank) && s.loaded[rank] < s.limits.PerRank && len(layer.added[rank]) < s.limits.PerLayer
}

// addChange returns the change that adds an expert on a rank. If the rank has no free slot, it evicts the least loaded
// expert that other ranks hold too. It returns false if the limits or the placement do not allow it.
func (s *copySearch) addChange(layer *copyLayer, expert Expert, target int) (copyChange, bool) {
	change := copyChange{expert: expert, addRank: target, dropRank: -1}
	if slices.Contains(layer.rankExperts[target], expert) || !s.mayLoad(layer, target) {
		return change, false
	}
	if len(layer.rankExperts[target]) < s.limits.Slots {
		return change, true
	}
	lightest := math.Inf(1)
	for _, held := range layer.rankExperts[target] {
		if len(layer.hosts[held]) < 2 || slices.Contains(layer.added[target], held) {
			continue
		}
		if part := layer.expertLoads[held] / float64(len(layer.hosts[held])); part < lightest {
			lightest, change.evicted, change.evict = part, held, true
		}
	}
	return change, change.evict
}

// heaviestExperts returns up to copySourceExperts experts of a rank, by descending load.
func (c *copyLayer) heaviestExperts(rank int) []Expert {
	experts := slices.Clone(c.rankExperts[rank])
	part := func(e Expert) float64 { return c.expertLoads[e] / float64(len(c.hosts[e])) }
	slices.SortFunc(experts, func(a, b Expert) int { return cmp.Or(cmp.Compare(part(b), part(a)), cmp.Compare(a, b)) })
	return experts[:min(len(experts), copySourceExperts)]
}

// applyToLoads updates rank loads for a change without applying the change to the layer.
func (c *copyLayer) applyToLoads(rankLoads []float64, change copyChange) {
	switch {
	case change.swap:
		c.redistribute(rankLoads, change.evicted, change.dropRank, change.addRank)
	case change.evict:
		c.redistribute(rankLoads, change.evicted, -1, change.addRank)
	}
	c.redistribute(rankLoads, change.expert, change.addRank, change.dropRank)
}

// redistribute updates rank loads for an expert that is added on one rank and dropped on another; -1 means no rank.
func (c *copyLayer) redistribute(rankLoads []float64, expert Expert, add, drop int) {
	hosts := c.hosts[expert]
	after := len(hosts)
	if add >= 0 {
		after++
	}
	if drop >= 0 {
		after--
	}
	old, part := c.expertLoads[expert]/float64(len(hosts)), c.expertLoads[expert]/float64(after)
	for _, rank := range hosts {
		rankLoads[rank] -= c.weights[rank] * old
		if rank != drop {
			rankLoads[rank] += c.weights[rank] * part
		}
	}
	if add >= 0 {
		rankLoads[add] += c.weights[add] * part
	}
}

// smoothMax returns the norm of the rank loads with smoothExponent, which approximates their maximum.
func smoothMax(rankLoads []float64) float64 {
	worst := slices.Max(rankLoads)
	if worst == 0 {
		return 0
	}
	sum := 0.0
	for _, load := range rankLoads {
		ratio := load / worst
		square := ratio * ratio
		fourth := square * square
		sum += fourth * fourth
	}
	return worst * math.Pow(sum, 1.0/smoothExponent)
}

// applyBest applies the best change of a layer.
func (s *copySearch) applyBest(layer *copyLayer) {
	change := layer.bestChange
	if change.evict {
		layer.dropExpert(change.evicted, change.addRank)
	}
	if change.swap {
		s.addExpert(layer, change.evicted, change.dropRank)
	}
	if change.addRank >= 0 {
		s.addExpert(layer, change.expert, change.addRank)
	}
	if change.dropRank >= 0 {
		layer.dropExpert(change.expert, change.dropRank)
	}
	layer.computeRankLoads()
}

// addExpert adds an expert on a rank that has to load it.
func (s *copySearch) addExpert(layer *copyLayer, expert Expert, rank int) {
	layer.rankExperts[rank] = append(layer.rankExperts[rank], expert)
	layer.hosts[expert] = append(layer.hosts[expert], rank)
	layer.added[rank] = append(layer.added[rank], expert)
	s.loaded[rank]++
	if s.loaded[rank] >= s.limits.PerRank {
		s.invalidateLayers(rank)
	}
}

// invalidateLayers discards the best changes that load an expert on a rank that has reached its limit.
func (s *copySearch) invalidateLayers(rank int) {
	for _, layer := range s.layers {
		if layer.bestChange.addRank == rank || layer.bestChange.swap && layer.bestChange.dropRank == rank {
			layer.bestValid = false
		}
	}
}

func (c *copyLayer) dropExpert(expert Expert, rank int) {
	at := slices.Index(c.rankExperts[rank], expert)
	c.rankExperts[rank] = slices.Delete(c.rankExperts[rank], at, at+1)
	at = slices.Index(c.hosts[expert], rank)
	c.hosts[expert] = slices.Delete(c.hosts[expert], at, at+1)
}

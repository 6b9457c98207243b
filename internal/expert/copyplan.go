package expert

import (
	"cmp"
	"math"
	"slices"
)

// Constants of the search for copies.
const (
	// smoothExponent makes the cost of a layer a smooth maximum over its ranks, so that a change that
	// helps the second of two equal ranks counts too.
	smoothExponent = 8
	// copySources and copyTargets bound the experts of the worst rank and the ranks that are tried.
	copySources = 5
	copyTargets = 5
)

// CopyLimits bound what one map may load.
type CopyLimits struct {
	// Slots is the number of experts that a rank holds in a layer.
	Slots int
	// PerRank is the number of experts that a rank may load over all layers. Ranks load side by side,
	// one expert after the other, so that it sets the time until the map is in force.
	PerRank int
	// PerLayer is the number of experts that a rank may load in one layer.
	PerLayer int
	// LeastGain is the part of all layers' mean load that a copy must take off the worst ranks, to be worth its loading.
	LeastGain float64
}

// CopyPlan is a change of a placement.
type CopyPlan struct {
	Placement LayerPlacements
	// Copies is the number of experts to load over all ranks, and Longest the most of one rank.
	Copies, Longest int
	// Before and After are the loads of the most loaded rank over the mean, weighed over all layers.
	Before, After float64
}

// copySearch improves a placement step by step. Tokens of an expert are shared evenly by its copies.
type copySearch struct {
	limits CopyLimits
	layers []*copyLayer
	loaded []int
}

// copyLayer is the placement of one layer under a load.
type copyLayer struct {
	load  []float64
	held  [][]Expert
	hosts [][]int
	ranks []float64
	// added has, for each rank, the experts that the new map loads there.
	added [][]Expert
	best  copyChange
	fresh bool
}

// copyChange adds an expert at a rank, drops one, or both.
type copyChange struct {
	gain float64
	// expert is added at target; target is -1 if nothing is added.
	expert Expert
	target int
	// from is the rank that drops the expert; -1 if none does.
	from int
	// evicted is dropped at target to make room if evict is true.
	evicted Expert
	evict   bool
	// swap is true if the evicted expert is added at from, which drops expert: the two change places.
	swap bool
}

// PlanCopies returns the few copies that take most load off the worst ranks. It answers a jump in
// demand: a rough map soon is worth more than a perfect one after the experts have been loaded, and
// the next call goes on from there.
func PlanCopies(current LayerPlacements, load Load, limits CopyLimits) CopyPlan {
	search := &copySearch{limits: limits, loaded: make([]int, len(current[0]))}
	sum := 0.0
	for layer, ranks := range current {
		search.layers = append(search.layers, newCopyLayer(ranks, load[layer]))
		sum += total(load[layer])
	}
	plan := CopyPlan{Before: search.skew()}
	least := limits.LeastGain * sum / float64(len(current[0]))
	for range limits.PerRank * len(search.loaded) * 2 {
		layer := search.bestLayer()
		if layer == nil || layer.best.gain <= least {
			break
		}
		search.apply(layer)
	}
	plan.After = search.skew()
	plan.Placement = make(LayerPlacements, len(search.layers))
	for i, layer := range search.layers {
		plan.Placement[i] = layer.held
		for _, experts := range layer.held {
			slices.Sort(experts)
		}
	}
	for _, n := range search.loaded {
		plan.Copies += n
		plan.Longest = max(plan.Longest, n)
	}
	return plan
}

func newCopyLayer(ranks [][]Expert, load []float64) *copyLayer {
	layer := &copyLayer{
		load: load, held: make([][]Expert, len(ranks)), hosts: make([][]int, len(load)),
		ranks: make([]float64, len(ranks)), added: make([][]Expert, len(ranks)),
	}
	for rank, experts := range ranks {
		layer.held[rank] = slices.Clone(experts)
		for _, expert := range experts {
			layer.hosts[expert] = append(layer.hosts[expert], rank)
		}
	}
	layer.sum()
	return layer
}

// sum computes the load of each rank.
func (c *copyLayer) sum() {
	clear(c.ranks)
	for expert, hosts := range c.hosts {
		for _, rank := range hosts {
			c.ranks[rank] += c.load[expert] / float64(len(hosts))
		}
	}
	c.fresh = false
}

// skew returns the worst ranks' load over the mean, over all layers.
func (s *copySearch) skew() float64 {
	worst, mean := 0.0, 0.0
	for _, layer := range s.layers {
		worst += slices.Max(layer.ranks)
		mean += total(layer.ranks) / float64(len(layer.ranks))
	}
	if mean == 0 {
		return 1
	}
	return worst / mean
}

func (s *copySearch) bestLayer() *copyLayer {
	var best *copyLayer
	for _, layer := range s.layers {
		if !layer.fresh {
			layer.best = s.search(layer)
			layer.fresh = true
		}
		if best == nil || layer.best.gain > best.best.gain {
			best = layer
		}
	}
	return best
}

// search returns the best change of a layer within the limits.
func (s *copySearch) search(layer *copyLayer) copyChange {
	worst := 0
	for rank, load := range layer.ranks {
		if load > layer.ranks[worst] {
			worst = rank
		}
	}
	order := make([]int, len(layer.ranks))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(layer.ranks[a], layer.ranks[b]) })
	best := copyChange{target: -1, from: -1}
	before := smoothMax(layer.ranks)
	scratch := make([]float64, len(layer.ranks))
	consider := func(change copyChange) {
		copy(scratch, layer.ranks)
		layer.shift(scratch, change)
		change.gain = before - smoothMax(scratch)
		if change.swap {
			change.gain /= 2 // for each of two experts to load
		}
		if change.gain > best.gain {
			best = change
		}
	}
	for _, expert := range layer.heaviest(worst) {
		if len(layer.hosts[expert]) > 1 {
			consider(copyChange{expert: expert, target: -1, from: worst})
		}
		tried := 0
		for _, target := range order {
			if tried >= copyTargets || target == worst {
				break
			}
			change, ok := s.place(layer, expert, target)
			if !ok {
				continue
			}
			tried++
			consider(change)
			change.from = worst
			consider(change)
		}
		for _, target := range order[:min(copyTargets, len(order))] {
			if change, ok := s.exchange(layer, expert, worst, target); ok {
				consider(change)
			}
		}
	}
	return best
}

// exchange returns the change in which the worst rank's expert and the lightest expert of another rank change places. It
// serves groups whose slots are nearly all taken by experts with one copy.
func (s *copySearch) exchange(layer *copyLayer, expert Expert, worst, target int) (copyChange, bool) {
	change := copyChange{expert: expert, target: target, from: worst, swap: true}
	if target == worst || slices.Contains(layer.held[target], expert) || !s.mayLoad(layer, target) || !s.mayLoad(layer, worst) ||
		slices.Contains(layer.added[worst], expert) {
		return change, false
	}
	lightest := math.Inf(1)
	for _, held := range layer.held[target] {
		if slices.Contains(layer.held[worst], held) || slices.Contains(layer.added[target], held) {
			continue
		}
		if part := layer.load[held] / float64(len(layer.hosts[held])); part < lightest {
			lightest, change.evicted, change.evict = part, held, true
		}
	}
	return change, change.evict
}

// mayLoad reports whether the limits allow a rank to load one more expert.
func (s *copySearch) mayLoad(layer *copyLayer, rank int) bool {
	return s.loaded[rank] < s.limits.PerRank && len(layer.added[rank]) < s.limits.PerLayer
}

// place returns the change that adds an expert at a rank, if the limits allow it.
func (s *copySearch) place(layer *copyLayer, expert Expert, target int) (copyChange, bool) {
	change := copyChange{expert: expert, target: target, from: -1}
	if slices.Contains(layer.held[target], expert) || !s.mayLoad(layer, target) {
		return change, false
	}
	if len(layer.held[target]) < s.limits.Slots {
		return change, true
	}
	lightest := math.Inf(1)
	for _, held := range layer.held[target] {
		if len(layer.hosts[held]) < 2 || slices.Contains(layer.added[target], held) {
			continue
		}
		if part := layer.load[held] / float64(len(layer.hosts[held])); part < lightest {
			lightest, change.evicted, change.evict = part, held, true
		}
	}
	return change, change.evict
}

// heaviest returns the experts that put most load on a rank.
func (c *copyLayer) heaviest(rank int) []Expert {
	experts := slices.Clone(c.held[rank])
	part := func(e Expert) float64 { return c.load[e] / float64(len(c.hosts[e])) }
	slices.SortFunc(experts, func(a, b Expert) int { return cmp.Or(cmp.Compare(part(b), part(a)), cmp.Compare(a, b)) })
	return experts[:min(len(experts), copySources)]
}

// shift changes the ranks' loads as a change would.
func (c *copyLayer) shift(ranks []float64, change copyChange) {
	switch {
	case change.swap:
		c.respread(ranks, change.evicted, change.from, change.target)
	case change.evict:
		c.respread(ranks, change.evicted, -1, change.target)
	}
	c.respread(ranks, change.expert, change.target, change.from)
}

// respread moves an expert's load to its hosts with one added and one dropped; -1 is none.
func (c *copyLayer) respread(ranks []float64, expert Expert, add, drop int) {
	hosts := c.hosts[expert]
	after := len(hosts)
	if add >= 0 {
		after++
	}
	if drop >= 0 {
		after--
	}
	old, part := c.load[expert]/float64(len(hosts)), c.load[expert]/float64(after)
	for _, rank := range hosts {
		ranks[rank] -= old
		if rank != drop {
			ranks[rank] += part
		}
	}
	if add >= 0 {
		ranks[add] += part
	}
}

func smoothMax(ranks []float64) float64 {
	worst := slices.Max(ranks)
	if worst == 0 {
		return 0
	}
	sum := 0.0
	for _, load := range ranks {
		ratio := load / worst
		square := ratio * ratio
		fourth := square * square
		sum += fourth * fourth
	}
	return worst * math.Pow(sum, 1.0/smoothExponent)
}

func (s *copySearch) apply(layer *copyLayer) {
	change := layer.best
	if change.evict {
		layer.drop(change.evicted, change.target)
	}
	if change.swap {
		s.load(layer, change.evicted, change.from)
	}
	if change.target >= 0 {
		s.load(layer, change.expert, change.target)
	}
	if change.from >= 0 {
		layer.drop(change.expert, change.from)
	}
	layer.sum()
}

// load adds an expert at a rank.
func (s *copySearch) load(layer *copyLayer, expert Expert, rank int) {
	layer.held[rank] = append(layer.held[rank], expert)
	layer.hosts[expert] = append(layer.hosts[expert], rank)
	layer.added[rank] = append(layer.added[rank], expert)
	s.loaded[rank]++
	if s.loaded[rank] >= s.limits.PerRank {
		s.forget(rank)
	}
}

// forget makes the layers search again whose best change loads an expert at a rank that can load no more.
func (s *copySearch) forget(rank int) {
	for _, layer := range s.layers {
		if layer.best.target == rank || layer.best.swap && layer.best.from == rank {
			layer.fresh = false
		}
	}
}

func (c *copyLayer) drop(expert Expert, rank int) {
	at := slices.Index(c.held[rank], expert)
	c.held[rank] = slices.Delete(c.held[rank], at, at+1)
	at = slices.Index(c.hosts[expert], rank)
	c.hosts[expert] = slices.Delete(c.hosts[expert], at, at+1)
}

package expert

import (
	"cmp"
	"math"
	"slices"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// Limits of the search in one layer.
const (
	maxChanges      = 4
	maxMovedExperts = 3
	maxTargets      = 8
	worstRankSlack  = 1e-3
	leastSkewGain   = 0.002
)

// change is a step of the search in one layer: its placement and what it loads.
type change struct {
	layer   int
	moves   []Placement
	balance *balance
	// saved is what the change saves of the worst rank's load.
	saved float64
}

// Plan proposes a change of the current map, or PlanNone if none is worth its cost or if
// the situation does not fit the shape. It is
// meant to be called at regular numbers of steps, some 250, without regard to the skew:
// calls at times of great skew alone would make the maps look worse than they are.
func (p *Planner) Plan(situation Situation) Plan {
	current, load := situation.Current, situation.Load
	if current.Validate(p.config.Shape) != nil || len(load) != len(current.Layers) {
		return Plan{}
	}
	plan := Plan{SkewBefore: Skew(current, load)}
	plan.SkewAfter = plan.SkewBefore
	p.budget.advance(situation.Steps)
	switch p.trust.observe(situation.Steps, plan.SkewBefore, Skew(p.safe, load)) {
	case trustLost:
		return p.retreat(plan, current, load)
	case trustWaiting:
		return plan
	}
	found := p.searchAll(current, load)
	if found.totalMean == 0 {
		return plan
	}
	taken, saved := p.choose(found.changes, found.totalMean)
	moves := 0
	for _, c := range taken {
		found.layers[c.layer] = c.balance
		moves += len(c.moves)
	}
	plan.Gain = p.gain(found.saved+saved, found.totalMean)
	plan.Cost = p.cost(moves)
	if plan.Gain <= max(plan.Cost, p.config.Weights.Skew*leastSkewGain*p.config.Horizon) {
		return plan
	}
	return p.propose(plan, current, found.layers, load)
}

// searched is the result of the search in all layers.
type searched struct {
	layers []*balance
	// saved is what new shares alone save of the worst ranks' load.
	saved     float64
	totalMean float64
	changes   []change
}

func (p *Planner) searchAll(current Map, load Load) searched {
	found := searched{layers: make([]*balance, len(current.Layers))}
	for i, layer := range current.Layers {
		b := newBalance(layer, load[i], p.config.EvenShares)
		before := b.max()
		found.totalMean += b.mean()
		b.share()
		found.saved += before - b.max()
		found.layers[i] = b
		found.changes = append(found.changes, p.search(i, b)...)
	}
	return found
}

func (p *Planner) propose(plan Plan, current Map, layers []*balance, load Load) Plan {
	plan.Map = Map{Layers: make([]Layer, len(layers))}
	for i, b := range layers {
		plan.Map.Layers[i] = b.layer()
	}
	plan.Moves = len(Added(current, plan.Map))
	plan.Bytes = int64(plan.Moves) * p.config.ExpertBytes
	plan.SkewAfter = Skew(plan.Map, load)
	plan.Kind = PlanIncremental
	if plan.Moves == 0 {
		plan.Kind = PlanShares
	}
	p.budget.take(plan.Moves)
	return plan
}

// retreat proposes the static map, whose replicas no popularity can exploit as much.
func (p *Planner) retreat(plan Plan, current Map, load Load) Plan {
	plan.Map = p.safe.Clone()
	plan.Moves = len(Added(current, plan.Map))
	plan.Bytes = int64(plan.Moves) * p.config.ExpertBytes
	plan.SkewAfter = Skew(plan.Map, load)
	plan.Kind = PlanFull
	p.budget.take(plan.Moves)
	return plan
}

// gain returns what a cut of the worst ranks' load is worth, in steps over the horizon.
func (p *Planner) gain(saved, totalMean float64) float64 {
	return p.config.Weights.Skew * saved / totalMean * p.config.Horizon
}

// moveCost returns what loading replicas costs, in steps.
func (p *Planner) moveCost(moves int) float64 {
	seconds := float64(moves) * float64(p.config.ExpertBytes) / p.config.StoreRate
	steps := seconds / p.config.StepTime.Seconds()
	return p.config.Weights.Rebalancing * steps * p.config.LoadSlowdown
}

func (p *Planner) cost(moves int) float64 {
	if moves == 0 {
		return 0
	}
	return p.moveCost(moves) + p.config.Weights.Rebalancing*p.config.ActivationSteps
}

// choose takes the changes that are worth their loads, the best first, within the moves
// that a rank can stage. Changes of a layer build on each other and go in order.
func (p *Planner) choose(changes []change, totalMean float64) ([]change, float64) {
	worth := func(c change) float64 { return p.gain(c.saved, totalMean) / p.moveCost(len(c.moves)) }
	order := slices.Clone(changes)
	slices.SortStableFunc(order, func(a, b change) int {
		return cmp.Or(cmp.Compare(worth(b), worth(a)), cmp.Compare(a.layer, b.layer))
	})
	staged := make([]int, p.config.Shape.Ranks)
	done := make([]int, p.config.Shape.Layers)
	var taken []change
	saved := 0.0
	left := p.budget.moves()
	for progress := true; progress; {
		progress = false
		for _, c := range order {
			if worth(c) <= 1 || done[c.layer] != indexInLayer(changes, c) || len(c.moves) > left || !p.stage(staged, c) {
				continue
			}
			left -= len(c.moves)
			done[c.layer]++
			taken = append(taken, c)
			saved += c.saved
			progress = true
		}
	}
	return taken, saved
}

// indexInLayer returns how many changes of the layer come before c.
func indexInLayer(changes []change, c change) int {
	n := 0
	for _, other := range changes {
		if other.layer != c.layer {
			continue
		}
		if other.balance == c.balance {
			return n
		}
		n++
	}
	return n
}

// stage books the change's loads on their ranks if they fit.
func (p *Planner) stage(staged []int, c change) bool {
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

// search improves a layer change by change.
func (p *Planner) search(layer int, b *balance) []change {
	var changes []change
	current := b
	for range maxChanges {
		best, found := p.bestChange(layer, current)
		if !found {
			return changes
		}
		changes = append(changes, best)
		current = best.balance
	}
	return changes
}

// bestChange returns the change that saves most of the worst rank's load a move.
func (p *Planner) bestChange(layer int, b *balance) (change, bool) {
	worst := b.max()
	var best change
	found := false
	scratch := &balance{}
	consider := func(moves []Placement) {
		saved := worst - scratch.max()
		if saved < p.config.LeastSaving*worst*float64(len(moves)) {
			return
		}
		if found && saved*float64(len(best.moves)) <= best.saved*float64(len(moves)) {
			return
		}
		spare := best.balance
		if spare == nil {
			spare = &balance{}
		}
		best = change{layer: layer, moves: moves, balance: scratch, saved: saved}
		scratch = spare
		found = true
	}
	rank := b.worstRank()
	targets := b.lightest()
	for _, expert := range b.heaviest(rank) {
		for _, target := range targets {
			if slices.Contains(b.hosts[expert], target) {
				continue
			}
			if scratch.replicate(b, expert, target, p.config.Shape.Slots) {
				consider([]Placement{place(layer, expert, target)})
			}
			if partner, ok := scratch.swap(b, expert, rank, target); ok {
				consider([]Placement{place(layer, expert, target), place(layer, partner, rank)})
			}
		}
	}
	return best, found
}

// worstRank returns the first of the ranks with the greatest load.
func (b *balance) worstRank() int {
	worst := 0
	for rank, load := range b.ranks {
		if load > b.ranks[worst]*(1+worstRankSlack) {
			worst = rank
		}
	}
	return worst
}

// heaviest returns the experts of a rank that put most load on it.
func (b *balance) heaviest(rank int) []Expert {
	experts := slices.Clone(b.slots[rank])
	slices.SortStableFunc(experts, func(x, y Expert) int {
		return cmp.Or(cmp.Compare(b.part(y, rank), b.part(x, rank)), cmp.Compare(x, y))
	})
	return experts[:min(len(experts), maxMovedExperts)]
}

func (b *balance) part(expert Expert, rank int) float64 {
	return b.parts[expert][slices.Index(b.hosts[expert], rank)]
}

// lightest returns the ranks with the least load.
func (b *balance) lightest() []int {
	ranks := make([]int, len(b.ranks))
	for i := range ranks {
		ranks[i] = i
	}
	slices.SortStableFunc(ranks, func(x, y int) int { return cmp.Compare(b.ranks[x], b.ranks[y]) })
	return ranks[:min(len(ranks), maxTargets)]
}

// replicate makes b what becomes of from when the target gets a further replica of the
// expert, in place of one that other ranks hold too. It returns false if there is none.
func (b *balance) replicate(from *balance, expert Expert, target, slots int) bool {
	full := len(from.slots[target]) >= slots
	victim, found := from.victim(target)
	if full && !found {
		return false
	}
	b.copyFrom(from)
	if full {
		b.remove(victim, target)
	}
	b.add(expert, target)
	b.share()
	return true
}

// victim returns the replica that puts least load on a rank and is not the last one.
func (b *balance) victim(rank int) (Expert, bool) {
	var victim Expert
	found := false
	for _, expert := range b.slots[rank] {
		if len(b.hosts[expert]) < 2 {
			continue
		}
		if !found || b.part(expert, rank) < b.part(victim, rank) {
			victim, found = expert, true
		}
	}
	return victim, found
}

// swap makes b what becomes of from when the rank's expert and one of the target change
// places: the one whose load is nearest to half the gap below it, which is returned.
func (b *balance) swap(from *balance, expert Expert, rank, target int) (Expert, bool) {
	wanted := from.part(expert, rank) - (from.ranks[rank]-from.ranks[target])/2
	var partner Expert
	found := false
	distance := 0.0
	for _, other := range from.slots[target] {
		if slices.Contains(from.hosts[other], rank) {
			continue
		}
		d := math.Abs(from.part(other, target) - wanted)
		if !found || d < distance {
			partner, distance, found = other, d, true
		}
	}
	if !found {
		return 0, false
	}
	b.copyFrom(from)
	b.replace(expert, rank, target)
	b.replace(partner, target, rank)
	b.share()
	return partner, true
}

// replace moves a replica with its load.
func (b *balance) replace(expert Expert, from, to int) {
	part := b.part(expert, from)
	i := slices.Index(b.hosts[expert], from)
	b.hosts[expert][i] = to
	at := slices.Index(b.slots[from], expert)
	b.slots[from] = slices.Delete(b.slots[from], at, at+1)
	b.slots[to] = append(b.slots[to], expert)
	b.ranks[from] -= part
	b.ranks[to] += part
}

func place(layer int, expert Expert, rank int) Placement {
	return Placement{Layer: layer, Expert: expert, Rank: ident.Rank(rank)}
}

package expert

import (
	"cmp"
	"math"
	"slices"
)

// Limits of the search for shares.
const (
	shareSweeps    = 40
	shareTolerance = 1e-4
)

// balance is one layer's placement under a load, with the load of each rank.
type balance struct {
	load []float64
	// hosts holds the ranks of each expert's replicas, parts the load that each takes.
	hosts [][]int
	parts [][]float64
	ranks []float64
	// slots holds the experts of each rank.
	slots [][]Expert
	even  bool
}

// newBalance returns a layer's balance with the shares of the layer.
func newBalance(layer Layer, load []float64, even bool) *balance {
	b := &balance{
		load:  load,
		hosts: make([][]int, len(load)),
		parts: make([][]float64, len(load)),
		ranks: make([]float64, len(layer.Ranks)),
		slots: make([][]Expert, len(layer.Ranks)),
		even:  even,
	}
	for rank, replicas := range layer.Ranks {
		for _, replica := range replicas {
			part := load[replica.Expert] * float64(replica.Share) / ShareUnit
			b.hosts[replica.Expert] = append(b.hosts[replica.Expert], rank)
			b.parts[replica.Expert] = append(b.parts[replica.Expert], part)
			b.ranks[rank] += part
			b.slots[rank] = append(b.slots[rank], replica.Expert)
		}
	}
	return b
}

// copyFrom makes b a copy of other that shares only the load; it reuses b's memory.
func (b *balance) copyFrom(other *balance) {
	b.load = other.load
	b.even = other.even
	b.ranks = append(b.ranks[:0], other.ranks...)
	b.hosts = copyRows(b.hosts, other.hosts)
	b.parts = copyRows(b.parts, other.parts)
	b.slots = copyRows(b.slots, other.slots)
}

func copyRows[T any](to, from [][]T) [][]T {
	if len(to) != len(from) {
		to = make([][]T, len(from))
	}
	for i, row := range from {
		to[i] = append(to[i][:0], row...)
	}
	return to
}

func (b *balance) max() float64 {
	return slices.Max(b.ranks)
}

func (b *balance) mean() float64 {
	sum := 0.0
	for _, load := range b.ranks {
		sum += load
	}
	return sum / float64(len(b.ranks))
}

// add places a replica without load on a rank.
func (b *balance) add(expert Expert, rank int) {
	b.hosts[expert] = append(b.hosts[expert], rank)
	b.parts[expert] = append(b.parts[expert], 0)
	b.slots[rank] = append(b.slots[rank], expert)
}

// remove takes a replica off a rank; another one takes its load.
func (b *balance) remove(expert Expert, rank int) {
	i := slices.Index(b.hosts[expert], rank)
	part := b.parts[expert][i]
	b.ranks[rank] -= part
	b.hosts[expert] = slices.Delete(b.hosts[expert], i, i+1)
	b.parts[expert] = slices.Delete(b.parts[expert], i, i+1)
	at := slices.Index(b.slots[rank], expert)
	b.slots[rank] = slices.Delete(b.slots[rank], at, at+1)
	if len(b.hosts[expert]) > 0 {
		b.parts[expert][0] += part
		b.ranks[b.hosts[expert][0]] += part
	}
}

// share splits the load of all experts over their replicas: evenly for engines that do
// so, else to the least sum of squares, which also minimises the worst rank.
func (b *balance) share() {
	if b.even {
		for expert := range b.hosts {
			b.shareEvenly(expert)
		}
		return
	}
	tolerance := shareTolerance * b.mean()
	for range shareSweeps {
		change := 0.0
		for expert := range b.hosts {
			if len(b.hosts[expert]) > 1 {
				change = max(change, b.fill(expert))
			}
		}
		if change <= tolerance {
			return
		}
	}
}

func (b *balance) shareEvenly(expert int) {
	part := b.load[expert] / float64(len(b.hosts[expert]))
	for i, rank := range b.hosts[expert] {
		b.ranks[rank] += part - b.parts[expert][i]
		b.parts[expert][i] = part
	}
}

// fill spreads one expert's load so that its ranks come to one level as far as they can,
// and returns the greatest change of a part.
func (b *balance) fill(expert int) float64 {
	hosts := b.hosts[expert]
	parts := b.parts[expert]
	for i, rank := range hosts {
		b.ranks[rank] -= parts[i]
	}
	level := b.level(hosts, b.load[expert])
	change := 0.0
	for i, rank := range hosts {
		part := max(0, level-b.ranks[rank])
		change = max(change, math.Abs(part-parts[i]))
		parts[i] = part
		b.ranks[rank] += part
	}
	return change
}

// level returns the level to which load fills the ranks, the lowest first.
func (b *balance) level(hosts []int, load float64) float64 {
	var buffer [16]float64
	bases := buffer[:0]
	for _, rank := range hosts {
		bases = append(bases, b.ranks[rank])
	}
	slices.Sort(bases)
	sum := load
	for i, base := range bases {
		sum += base
		level := sum / float64(i+1)
		if i+1 == len(bases) || level <= bases[i+1] {
			return level
		}
	}
	return sum
}

// layer returns the placement with its shares, which add up to ShareUnit.
func (b *balance) layer() Layer {
	layer := Layer{Ranks: make([][]Replica, len(b.ranks))}
	for expert, hosts := range b.hosts {
		shares := roundShares(b.parts[expert], b.load[expert])
		for i, rank := range hosts {
			layer.Ranks[rank] = append(layer.Ranks[rank], Replica{Expert: Expert(expert), Share: shares[i]})
		}
	}
	layer.sort()
	return layer
}

// roundShares returns the parts in 1/ShareUnit of the load; an expert without load is
// shared evenly.
func roundShares(parts []float64, load float64) []uint16 {
	shares := make([]uint16, len(parts))
	given := 0
	sum := 0.0
	for i, part := range parts {
		if load > 0 {
			sum += part / load
		} else {
			sum = float64(i+1) / float64(len(parts))
		}
		until := min(ShareUnit, int(math.Round(sum*ShareUnit)))
		if i == len(parts)-1 {
			until = ShareUnit
		}
		shares[i] = uint16(until - given)
		given = until
	}
	return shares
}

// ShareByLoad returns the map with the shares that balance a load best.
func ShareByLoad(m Map, load Load) Map {
	shared := Map{Version: m.Version, Layers: make([]Layer, len(m.Layers))}
	for i, layer := range m.Layers {
		b := newBalance(layer, load[i], false)
		b.share()
		shared.Layers[i] = b.layer()
	}
	return shared
}

// LayerSkew returns the load of the worst rank over the mean; 1 without load.
func LayerSkew(layer Layer, load []float64) float64 {
	b := newBalance(layer, load, false)
	mean := b.mean()
	if mean == 0 {
		return 1
	}
	return b.max() / mean
}

// Skew returns the sum over layers of the worst rank's load over the sum of the means.
func Skew(m Map, load Load) float64 {
	worst, mean := 0.0, 0.0
	for i, layer := range m.Layers {
		b := newBalance(layer, load[i], false)
		worst += b.max()
		mean += b.mean()
	}
	if mean == 0 {
		return 1
	}
	return worst / mean
}

// Bound returns a lower bound on the worst rank's load in any placement of a layer: the
// least load at which the replicas that the experts need at most fill all slots.
func Bound(shape Shape, load []float64) float64 {
	sum := 0.0
	for _, tokens := range load {
		sum += tokens
	}
	low := sum / float64(shape.Ranks)
	high := max(low, slices.Max(load))
	if fits(shape, load, low) {
		return low
	}
	const halvings = 40
	for range halvings {
		middle := (low + high) / 2
		if fits(shape, load, middle) {
			high = middle
		} else {
			low = middle
		}
	}
	return low
}

// fits reports whether each expert split into parts of at most limit fits the slots.
func fits(shape Shape, load []float64, limit float64) bool {
	slots := 0
	for _, tokens := range load {
		slots += max(1, int(math.Ceil(tokens/limit*(1-1e-9))))
	}
	return slots <= shape.Ranks*shape.Slots
}

// GreedyMap places all experts anew: spare slots go one by one to the expert with the
// greatest load a replica, and replicas go by load to the least loaded rank.
func GreedyMap(shape Shape, load Load) Map {
	layers := make([]Layer, shape.Layers)
	for i := range layers {
		layers[i] = greedyLayer(shape, load[i])
	}
	return Map{Layers: layers}
}

func greedyLayer(shape Shape, load []float64) Layer {
	copies := make([]int, shape.Experts)
	for expert := range copies {
		copies[expert] = 1
	}
	for range shape.Ranks*shape.Slots - shape.Experts {
		hottest := -1
		for expert := range copies {
			if copies[expert] < shape.Ranks && (hottest < 0 || load[expert]*float64(copies[hottest]) > load[hottest]*float64(copies[expert])) {
				hottest = expert
			}
		}
		if hottest < 0 {
			break
		}
		copies[hottest]++
	}
	return pack(shape, load, copies)
}

func pack(shape Shape, load []float64, copies []int) Layer {
	order := make([]Expert, shape.Experts)
	for expert := range order {
		order[expert] = Expert(expert)
	}
	part := func(e Expert) float64 { return load[e] / float64(copies[e]) }
	slices.SortStableFunc(order, func(a, b Expert) int { return cmp.Compare(part(b), part(a)) })
	layer := Layer{Ranks: make([][]Replica, shape.Ranks)}
	ranks := make([]float64, shape.Ranks)
	placed := make([]int, shape.Experts)
	for _, expert := range order {
		for range copies[expert] {
			rank := leastLoaded(layer, ranks, expert, shape.Slots)
			if rank < 0 {
				continue
			}
			layer.Ranks[rank] = append(layer.Ranks[rank], Replica{Expert: expert})
			ranks[rank] += part(expert)
			placed[expert]++
		}
	}
	layer.sort()
	layer.shareEvenly(shape.Experts)
	return layer
}

func leastLoaded(layer Layer, ranks []float64, expert Expert, slots int) int {
	best := -1
	for rank := range ranks {
		if len(layer.Ranks[rank]) >= slots || layer.Holds(rank, expert) {
			continue
		}
		if best < 0 || ranks[rank] < ranks[best] {
			best = rank
		}
	}
	return best
}

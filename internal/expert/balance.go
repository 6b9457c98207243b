package expert

import (
	"cmp"
	"math"
	"slices"
)

// Limits of the iteration that splits loads over replicas.
const (
	// maxShareSweeps is the maximum number of iterations over all experts.
	maxShareSweeps = 40
	// shareTolerance is the change of a replica's load, as a fraction of the mean rank load,
	// at which the iteration stops.
	shareTolerance = 1e-4
)

// layerAssignment holds the replicas of one layer, the load of each replica and the
// resulting load of each rank. Loads are in tokens per step.
type layerAssignment struct {
	expertLoads []float64
	// hosts holds the ranks of each expert's replicas, and replicaLoads the load of each replica,
	// both by expert and in the same order.
	hosts        [][]int
	replicaLoads [][]float64
	// rankLoads holds the load of each rank, multiplied by its weight. A weight is the rank's slowness.
	rankLoads []float64
	weights   []float64
	// rankExperts holds the experts of each rank.
	rankExperts [][]Expert
	evenShares  bool
}

// newLayerAssignment splits the load over the replicas by the shares of the layer. slowness is as in PlanInput.
func newLayerAssignment(layer Layer, load, slowness []float64, even bool) *layerAssignment {
	a := &layerAssignment{
		expertLoads:  load,
		hosts:        make([][]int, len(load)),
		replicaLoads: make([][]float64, len(load)),
		rankLoads:    make([]float64, len(layer.Ranks)),
		weights:      rankWeights(slowness, len(layer.Ranks)),
		rankExperts:  make([][]Expert, len(layer.Ranks)),
		evenShares:   even,
	}
	for rank, replicas := range layer.Ranks {
		for _, replica := range replicas {
			part := load[replica.Expert] * float64(replica.Share) / ShareUnit
			a.hosts[replica.Expert] = append(a.hosts[replica.Expert], rank)
			a.replicaLoads[replica.Expert] = append(a.replicaLoads[replica.Expert], part)
			a.rankLoads[rank] += a.weights[rank] * part
			a.rankExperts[rank] = append(a.rankExperts[rank], replica.Expert)
		}
	}
	return a
}

// copyFrom copies other into a and reuses a's memory. The two share only expertLoads and weights.
func (a *layerAssignment) copyFrom(other *layerAssignment) {
	a.expertLoads, a.weights = other.expertLoads, other.weights
	a.evenShares = other.evenShares
	a.rankLoads = append(a.rankLoads[:0], other.rankLoads...)
	a.hosts = copyRows(a.hosts, other.hosts)
	a.replicaLoads = copyRows(a.replicaLoads, other.replicaLoads)
	a.rankExperts = copyRows(a.rankExperts, other.rankExperts)
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

func (a *layerAssignment) maxRankLoad() float64 {
	return slices.Max(a.rankLoads)
}

// meanRankLoad returns the mean load of a rank without weights.
func (a *layerAssignment) meanRankLoad() float64 {
	sum := 0.0
	for rank, load := range a.rankLoads {
		sum += load / a.weights[rank]
	}
	return sum / float64(len(a.rankLoads))
}

// addReplica adds a replica with no load to a rank.
func (a *layerAssignment) addReplica(expert Expert, rank int) {
	a.hosts[expert] = append(a.hosts[expert], rank)
	a.replicaLoads[expert] = append(a.replicaLoads[expert], 0)
	a.rankExperts[rank] = append(a.rankExperts[rank], expert)
}

// removeReplica removes a replica from a rank and adds its load to the expert's first
// remaining replica, if there is one.
func (a *layerAssignment) removeReplica(expert Expert, rank int) {
	i := slices.Index(a.hosts[expert], rank)
	part := a.replicaLoads[expert][i]
	a.rankLoads[rank] -= a.weights[rank] * part
	a.hosts[expert] = slices.Delete(a.hosts[expert], i, i+1)
	a.replicaLoads[expert] = slices.Delete(a.replicaLoads[expert], i, i+1)
	at := slices.Index(a.rankExperts[rank], expert)
	a.rankExperts[rank] = slices.Delete(a.rankExperts[rank], at, at+1)
	if len(a.hosts[expert]) > 0 {
		a.replicaLoads[expert][0] += part
		a.rankLoads[a.hosts[expert][0]] += a.weights[a.hosts[expert][0]] * part
	}
}

// splitLoads splits the load of all experts over their replicas: evenly if evenShares is set,
// otherwise so that the weighted rank loads become as equal as possible, which minimizes the
// maximum.
func (a *layerAssignment) splitLoads() {
	if a.evenShares {
		for expert := range a.hosts {
			a.splitEvenly(expert)
		}
		return
	}
	tolerance := shareTolerance * a.meanRankLoad()
	for range maxShareSweeps {
		change := 0.0
		for expert := range a.hosts {
			if len(a.hosts[expert]) > 1 {
				change = max(change, a.waterFill(expert))
			}
		}
		if change <= tolerance {
			return
		}
	}
}

func (a *layerAssignment) splitEvenly(expert int) {
	part := a.expertLoads[expert] / float64(len(a.hosts[expert]))
	for i, rank := range a.hosts[expert] {
		a.rankLoads[rank] += a.weights[rank] * (part - a.replicaLoads[expert][i])
		a.replicaLoads[expert][i] = part
	}
}

// waterFill splits one expert's load over its replicas so that the loads of their ranks become
// as equal as possible. It returns the largest change of a replica's load.
func (a *layerAssignment) waterFill(expert int) float64 {
	hosts := a.hosts[expert]
	parts := a.replicaLoads[expert]
	for i, rank := range hosts {
		a.rankLoads[rank] -= a.weights[rank] * parts[i]
	}
	level := a.waterLevel(hosts, a.expertLoads[expert])
	change := 0.0
	for i, rank := range hosts {
		part := max(0, level-a.rankLoads[rank]) / a.weights[rank]
		change = max(change, math.Abs(part-parts[i]))
		parts[i] = part
		a.rankLoads[rank] += a.weights[rank] * part
	}
	return change
}

// waterLevel returns the weighted rank load that is reached when load is added to the least
// loaded of the ranks first.
func (a *layerAssignment) waterLevel(hosts []int, load float64) float64 {
	var buffer [16]int
	order := append(buffer[:0], hosts...)
	slices.SortFunc(order, func(x, y int) int { return cmp.Compare(a.rankLoads[x], a.rankLoads[y]) })
	sum, speed, level := load, 0.0, load
	for i, rank := range order {
		sum += a.rankLoads[rank] / a.weights[rank]
		speed += 1 / a.weights[rank]
		level = sum / speed
		if i+1 == len(order) || level <= a.rankLoads[order[i+1]] {
			break
		}
	}
	return level
}

// toLayer returns the replicas with their shares. The shares of an expert add up to ShareUnit.
func (a *layerAssignment) toLayer() Layer {
	layer := Layer{Ranks: make([][]Replica, len(a.rankLoads))}
	for expert, hosts := range a.hosts {
		shares := roundShares(a.replicaLoads[expert], a.expertLoads[expert])
		for i, rank := range hosts {
			layer.Ranks[rank] = append(layer.Ranks[rank], Replica{Expert: Expert(expert), Share: shares[i]})
		}
	}
	layer.sort()
	return layer
}

// roundShares returns the parts of a load in 1/ShareUnit. They add up to ShareUnit. If the
// load is 0, all parts are equal up to rounding.
func roundShares(parts []float64, load float64) []uint16 {
	shares := make([]uint16, len(parts))
	assigned := 0
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
		shares[i] = uint16(until - assigned)
		assigned = until
	}
	return shares
}

// ShareByLoad returns a copy of the map with the shares that minimize the maximum rank load
// of each layer under the load, weighted by slowness as in PlanInput. Replicas stay on their ranks.
func ShareByLoad(m Map, load Load, slowness []float64) Map {
	shared := Map{Version: m.Version, Layers: make([]Layer, len(m.Layers))}
	for i, layer := range m.Layers {
		a := newLayerAssignment(layer, load[i], slowness, false)
		a.splitLoads()
		shared.Layers[i] = a.toLayer()
	}
	return shared
}

// Skew returns the maximum rank load of each layer, weighted by slowness as in PlanInput and
// summed over layers, divided by the sum of the mean rank loads without weights. It is 1 if
// there is no load.
func Skew(m Map, load Load, slowness []float64) float64 {
	worst, mean := 0.0, 0.0
	for i, layer := range m.Layers {
		a := newLayerAssignment(layer, load[i], slowness, false)
		worst += a.maxRankLoad()
		mean += a.meanRankLoad()
	}
	if mean == 0 {
		return 1
	}
	return worst / mean
}

// RankLoadLowerBound returns a lower bound of the maximum rank load that any placement of a layer can
// reach, weighted by slowness as in PlanInput. It is the smallest limit that the load of the layer does not
// exceed over all ranks, and for which the slots suffice if each expert is split into replicas with at most
// the load that the fastest rank takes within that limit.
func RankLoadLowerBound(shape Shape, load, slowness []float64) float64 {
	weights := rankWeights(slowness, shape.Ranks)
	fastest, speed := slices.Min(weights), 0.0
	for _, weight := range weights {
		speed += 1 / weight
	}
	sum := 0.0
	for _, tokens := range load {
		sum += tokens
	}
	low := sum / speed
	high := max(low, fastest*slices.Max(load))
	if fitsSlots(shape, load, low/fastest) {
		return low
	}
	const halvings = 40
	for range halvings {
		middle := (low + high) / 2
		if fitsSlots(shape, load, middle/fastest) {
			high = middle
		} else {
			low = middle
		}
	}
	return low
}

// fitsSlots reports whether the slots of all ranks suffice if each expert is split into replicas
// with a load of at most limit.
func fitsSlots(shape Shape, load []float64, limit float64) bool {
	slots := 0
	for _, tokens := range load {
		slots += max(1, int(math.Ceil(tokens/limit*(1-1e-9))))
	}
	return slots <= shape.Ranks*shape.Slots
}

// GreedyMap returns a map that does not depend on a current one. Each spare slot goes to the
// expert with the highest load per replica; then replicas are placed by descending load on
// the rank with a free slot that is least loaded with it, weighted by slowness as in PlanInput.
// Its version is zero.
func GreedyMap(shape Shape, load Load, slowness []float64) Map {
	layers := make([]Layer, shape.Layers)
	for i := range layers {
		layers[i] = greedyLayer(shape, load[i], slowness)
	}
	return Map{Layers: layers}
}

func greedyLayer(shape Shape, load, slowness []float64) Layer {
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
	return packLayer(shape, load, slowness, copies)
}

func packLayer(shape Shape, load, slowness []float64, copies []int) Layer {
	order := make([]Expert, shape.Experts)
	for expert := range order {
		order[expert] = Expert(expert)
	}
	part := func(e Expert) float64 { return load[e] / float64(copies[e]) }
	slices.SortStableFunc(order, func(a, b Expert) int { return cmp.Compare(part(b), part(a)) })
	layer := Layer{Ranks: make([][]Replica, shape.Ranks)}
	rankLoads, weights := make([]float64, shape.Ranks), rankWeights(slowness, shape.Ranks)
	placed := make([]int, shape.Experts)
	for _, expert := range order {
		added := part(expert)
		for range copies[expert] {
			rank := leastLoaded(layer, expert, shape.Slots, func(rank int) float64 {
				// The added load matters only between ranks of different speed.
				return weights[rank]*rankLoads[rank] + (weights[rank]-1)*added
			})
			if rank < 0 {
				continue
			}
			layer.Ranks[rank] = append(layer.Ranks[rank], Replica{Expert: expert})
			rankLoads[rank] += added
			placed[expert]++
		}
	}
	layer.sort()
	layer.shareEvenly(shape.Experts)
	return layer
}

// leastLoaded returns the least loaded rank that has a free slot and no replica of the expert,
// or -1 if there is none. rankLoad returns the load of a rank.
func leastLoaded(layer Layer, expert Expert, slots int, rankLoad func(rank int) float64) int {
	best, bestLoad := -1, 0.0
	for rank := range layer.Ranks {
		if len(layer.Ranks[rank]) >= slots || layer.HasReplica(rank, expert) {
			continue
		}
		if load := rankLoad(rank); best < 0 || load < bestLoad {
			best, bestLoad = rank, load
		}
	}
	return best
}

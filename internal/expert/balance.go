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
	rankLoads    []float64
	// rankExperts holds the experts of each rank.
	rankExperts [][]Expert
	evenShares  bool
}

// newLayerAssignment splits the load over the replicas by the shares of the layer.
func newLayerAssignment(layer Layer, load []float64, even bool) *layerAssignment {
	a := &layerAssignment{
		expertLoads:  load,
		hosts:        make([][]int, len(load)),
		replicaLoads: make([][]float64, len(load)),
		rankLoads:    make([]float64, len(layer.Ranks)),
		rankExperts:  make([][]Expert, len(layer.Ranks)),
		evenShares:   even,
	}
	for rank, replicas := range layer.Ranks {
		for _, replica := range replicas {
			part := load[replica.Expert] * float64(replica.Share) / ShareUnit
			a.hosts[replica.Expert] = append(a.hosts[replica.Expert], rank)
			a.replicaLoads[replica.Expert] = append(a.replicaLoads[replica.Expert], part)
			a.rankLoads[rank] += part
			a.rankExperts[rank] = append(a.rankExperts[rank], replica.Expert)
		}
	}
	return a
}

// copyFrom copies other into a and reuses a's memory. The two share only expertLoads.
func (a *layerAssignment) copyFrom(other *layerAssignment) {
	a.expertLoads = other.expertLoads
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

func (a *layerAssignment) meanRankLoad() float64 {
	sum := 0.0
	for _, load := range a.rankLoads {
		sum += load
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
	a.rankLoads[rank] -= part
	a.hosts[expert] = slices.Delete(a.hosts[expert], i, i+1)
	a.replicaLoads[expert] = slices.Delete(a.replicaLoads[expert], i, i+1)
	at := slices.Index(a.rankExperts[rank], expert)
	a.rankExperts[rank] = slices.Delete(a.rankExperts[rank], at, at+1)
	if len(a.hosts[expert]) > 0 {
		a.replicaLoads[expert][0] += part
		a.rankLoads[a.hosts[expert][0]] += part
	}
}

// splitLoads splits the load of all experts over their replicas: evenly if evenShares is set,
// otherwise so that the sum of the squared rank loads is minimal, which also minimizes the
// maximum rank load.
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
		a.rankLoads[rank] += part - a.replicaLoads[expert][i]
		a.replicaLoads[expert][i] = part
	}
}

// waterFill splits one expert's load over its replicas so that the loads of their ranks become
// as equal as possible. It returns the largest change of a replica's load.
func (a *layerAssignment) waterFill(expert int) float64 {
	hosts := a.hosts[expert]
	parts := a.replicaLoads[expert]
	for i, rank := range hosts {
		a.rankLoads[rank] -= parts[i]
	}
	level := a.waterLevel(hosts, a.expertLoads[expert])
	change := 0.0
	for i, rank := range hosts {
		part := max(0, level-a.rankLoads[rank])
		change = max(change, math.Abs(part-parts[i]))
		parts[i] = part
		a.rankLoads[rank] += part
	}
	return change
}

// waterLevel returns the rank load that is reached when load is added to the least loaded of
// the ranks first.
func (a *layerAssignment) waterLevel(hosts []int, load float64) float64 {
	var buffer [16]float64
	bases := buffer[:0]
	for _, rank := range hosts {
		bases = append(bases, a.rankLoads[rank])
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
// of each layer under the load. Replicas stay on their ranks.
func ShareByLoad(m Map, load Load) Map {
	shared := Map{Version: m.Version, Layers: make([]Layer, len(m.Layers))}
	for i, layer := range m.Layers {
		a := newLayerAssignment(layer, load[i], false)
		a.splitLoads()
		shared.Layers[i] = a.toLayer()
	}
	return shared
}

// LayerSkew returns the maximum rank load divided by the mean rank load, or 1 if there is no
// load.
func LayerSkew(layer Layer, load []float64) float64 {
	a := newLayerAssignment(layer, load, false)
	mean := a.meanRankLoad()
	if mean == 0 {
		return 1
	}
	return a.maxRankLoad() / mean
}

// Skew returns the maximum rank load of each layer, summed over layers, divided by the sum of
// the mean rank loads. It is 1 if there is no load.
func Skew(m Map, load Load) float64 {
	worst, mean := 0.0, 0.0
	for i, layer := range m.Layers {
		a := newLayerAssignment(layer, load[i], false)
		worst += a.maxRankLoad()
		mean += a.meanRankLoad()
	}
	if mean == 0 {
		return 1
	}
	return worst / mean
}

// RankLoadLowerBound returns a lower bound of the maximum rank load that any placement of a layer can
// reach. It is the smallest limit for which the slots suffice if each expert is split into
// replicas with at most that load.
func RankLoadLowerBound(shape Shape, load []float64) float64 {
	sum := 0.0
	for _, tokens := range load {
		sum += tokens
	}
	low := sum / float64(shape.Ranks)
	high := max(low, slices.Max(load))
	if fitsSlots(shape, load, low) {
		return low
	}
	const halvings = 40
	for range halvings {
		middle := (low + high) / 2
		if fitsSlots(shape, load, middle) {
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
// the least loaded rank with a free slot. Its version is zero.
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
	return packLayer(shape, load, copies)
}

func packLayer(shape Shape, load []float64, copies []int) Layer {
	order := make([]Expert, shape.Experts)
	for expert := range order {
		order[expert] = Expert(expert)
	}
	part := func(e Expert) float64 { return load[e] / float64(copies[e]) }
	slices.SortStableFunc(order, func(a, b Expert) int { return cmp.Compare(part(b), part(a)) })
	layer := Layer{Ranks: make([][]Replica, shape.Ranks)}
	rankLoads := make([]float64, shape.Ranks)
	placed := make([]int, shape.Experts)
	for _, expert := range order {
		for range copies[expert] {
			rank := leastLoaded(layer, rankLoads, expert, shape.Slots)
			if rank < 0 {
				continue
			}
			layer.Ranks[rank] = append(layer.Ranks[rank], Replica{Expert: expert})
			rankLoads[rank] += part(expert)
			placed[expert]++
		}
	}
	layer.sort()
	layer.shareEvenly(shape.Experts)
	return layer
}

// leastLoaded returns the least loaded rank that has a free slot and no replica of the expert,
// or -1 if there is none.
func leastLoaded(layer Layer, rankLoads []float64, expert Expert, slots int) int {
	best := -1
	for rank := range rankLoads {
		if len(layer.Ranks[rank]) >= slots || layer.HasReplica(rank, expert) {
			continue
		}
		if best < 0 || rankLoads[rank] < rankLoads[best] {
			best = rank
		}
	}
	return best
}

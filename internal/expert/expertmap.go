package expert

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// Expert is the index of an expert in its layer, from 0.
type Expert uint16

// ShareUnit is the sum of the shares of all replicas of an expert in a layer.
const ShareUnit = 1 << 14

// Replica is one copy of an expert on a rank.
type Replica struct {
	Expert Expert `cbor:"1,keyasint" json:"expert"`
	// Share is the fraction of the expert's tokens routed to this replica, in 1/ShareUnit.
	Share uint16 `cbor:"2,keyasint" json:"share"`
}

// Layer holds the replicas of one layer, by rank, sorted by expert.
type Layer struct {
	Ranks [][]Replica `cbor:"1,keyasint" json:"ranks"`
}

// Map is an expert map: for each layer, the replicas that each rank holds.
type Map struct {
	Version Version `cbor:"1,keyasint" json:"version"`
	Layers  []Layer `cbor:"2,keyasint" json:"layers"`
}

// Placement identifies a replica by its layer, expert and rank.
type Placement struct {
	Layer  int        `cbor:"1,keyasint" json:"layer"`
	Expert Expert     `cbor:"2,keyasint" json:"expert"`
	Rank   ident.Rank `cbor:"3,keyasint" json:"rank"`
}

// Shape holds the dimensions of a group: its ranks, layers, experts per layer and slots.
type Shape struct {
	Ranks   int `json:"ranks"`
	Layers  int `json:"layers"`
	Experts int `json:"experts"`
	// Slots is the maximum number of replicas that a rank holds in a layer.
	Slots int `json:"slots"`
}

// Validate returns an error if a dimension is less than 1 or the slots of all ranks cannot
// hold every expert.
func (s Shape) Validate() error {
	if s.Ranks < 1 || s.Layers < 1 || s.Experts < 1 {
		return fmt.Errorf("shape %+v: ranks, layers and experts must be at least 1", s)
	}
	if s.Ranks*s.Slots < s.Experts {
		return fmt.Errorf("shape %+v: %d slots cannot hold %d experts", s, s.Ranks*s.Slots, s.Experts)
	}
	return nil
}

// Clone returns a deep copy of m.
func (m Map) Clone() Map {
	layers := make([]Layer, len(m.Layers))
	for i := range m.Layers {
		layers[i] = m.Layers[i].Clone()
	}
	return Map{Version: m.Version, Layers: layers}
}

// Clone returns a deep copy of l.
func (l Layer) Clone() Layer {
	ranks := make([][]Replica, len(l.Ranks))
	for i, replicas := range l.Ranks {
		ranks[i] = slices.Clone(replicas)
	}
	return Layer{Ranks: ranks}
}

// HasReplica reports whether the rank holds a replica of the expert.
func (l Layer) HasReplica(rank int, expert Expert) bool {
	for _, replica := range l.Ranks[rank] {
		if replica.Expert == expert {
			return true
		}
	}
	return false
}

// Validate returns an error for the first mismatch between the map and the shape: a wrong
// number of layers or ranks, a missing or unknown expert, more replicas on a rank than
// slots, unsorted or duplicate replicas, or shares that do not add up to ShareUnit.
func (m Map) Validate(shape Shape) error {
	if len(m.Layers) != shape.Layers {
		return fmt.Errorf("map %s has %d layers, the shape has %d", m.Version, len(m.Layers), shape.Layers)
	}
	for i, layer := range m.Layers {
		if err := layer.validate(shape); err != nil {
			return fmt.Errorf("map %s, layer %d: %w", m.Version, i, err)
		}
	}
	return nil
}

func (l Layer) validate(shape Shape) error {
	if len(l.Ranks) != shape.Ranks {
		return fmt.Errorf("%d ranks, the shape has %d", len(l.Ranks), shape.Ranks)
	}
	shares := make([]int, shape.Experts)
	replicas := make([]int, shape.Experts)
	for rank, held := range l.Ranks {
		if len(held) > shape.Slots {
			return fmt.Errorf("rank %d holds %d replicas in %d slots", rank, len(held), shape.Slots)
		}
		for i, replica := range held {
			if int(replica.Expert) >= shape.Experts {
				return fmt.Errorf("rank %d holds unknown expert %d", rank, replica.Expert)
			}
			if i > 0 && held[i-1].Expert >= replica.Expert {
				return fmt.Errorf("rank %d: replicas not sorted or duplicated at expert %d", rank, replica.Expert)
			}
			shares[replica.Expert] += int(replica.Share)
			replicas[replica.Expert]++
		}
	}
	for expert, share := range shares {
		if replicas[expert] == 0 {
			return fmt.Errorf("expert %d has no replica", expert)
		}
		if share != ShareUnit {
			return fmt.Errorf("expert %d: shares add up to %d instead of %d", expert, share, ShareUnit)
		}
	}
	return nil
}

// Added returns the placements of next that current lacks, ordered by layer, rank and
// expert. Their weights must be loaded before next is activated.
func Added(current, next Map) []Placement {
	var added []Placement
	for i, layer := range next.Layers {
		for rank, replicas := range layer.Ranks {
			for _, replica := range replicas {
				if i < len(current.Layers) && rank < len(current.Layers[i].Ranks) && current.Layers[i].HasReplica(rank, replica.Expert) {
					continue
				}
				added = append(added, Placement{Layer: i, Expert: replica.Expert, Rank: ident.Rank(rank)})
			}
		}
	}
	return added
}

// StaticMap returns a map that ignores popularity: each rank gets a contiguous range of
// experts, and the remaining slots are filled with further replicas in round-robin order.
func StaticMap(version Version, shape Shape) Map {
	layers := make([]Layer, shape.Layers)
	for i := range layers {
		layers[i] = staticLayer(shape)
	}
	return Map{Version: version, Layers: layers}
}

func staticLayer(shape Shape) Layer {
	layer := Layer{Ranks: make([][]Replica, shape.Ranks)}
	copies := make([]int, shape.Experts)
	perRank := (shape.Experts + shape.Ranks - 1) / shape.Ranks
	for expert := range shape.Experts {
		rank := expert / perRank
		layer.Ranks[rank] = append(layer.Ranks[rank], Replica{Expert: Expert(expert)})
		copies[expert]++
	}
	expert := shape.Experts / 2
	for slot := range shape.Slots {
		for rank := range layer.Ranks {
			if len(layer.Ranks[rank]) > slot || len(layer.Ranks[rank]) >= shape.Experts {
				continue
			}
			for layer.HasReplica(rank, Expert(expert%shape.Experts)) {
				expert++
			}
			layer.Ranks[rank] = append(layer.Ranks[rank], Replica{Expert: Expert(expert % shape.Experts)})
			copies[expert%shape.Experts]++
			expert++
		}
	}
	layer.sort()
	layer.shareEvenly(shape.Experts)
	return layer
}

func (l Layer) sort() {
	for _, replicas := range l.Ranks {
		slices.SortFunc(replicas, func(a, b Replica) int { return cmp.Compare(a.Expert, b.Expert) })
	}
}

// shareEvenly sets equal shares, up to rounding, for all replicas of an expert.
func (l Layer) shareEvenly(experts int) {
	copies := make([]int, experts)
	for _, replicas := range l.Ranks {
		for _, replica := range replicas {
			copies[replica.Expert]++
		}
	}
	assigned := make([]int, experts)
	for _, replicas := range l.Ranks {
		for i := range replicas {
			expert := replicas[i].Expert
			n := copies[expert]
			k := assigned[expert]
			replicas[i].Share = uint16(ShareUnit*(k+1)/n - ShareUnit*k/n)
			assigned[expert]++
		}
	}
}

package expert

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// Expert is the position of an expert in its layer, from 0.
type Expert uint16

// ShareUnit is the sum of the shares of all replicas of an expert, up to rounding.
const ShareUnit = 1 << 14

// Replica is one copy of an expert on a rank.
type Replica struct {
	Expert Expert `cbor:"1,keyasint" json:"expert"`
	// Share is the part of the expert's tokens that this replica takes, in 1/ShareUnit.
	Share uint16 `cbor:"2,keyasint" json:"share"`
}

// Layer is the placement of one layer's experts: the replicas of each rank, sorted by expert.
type Layer struct {
	Ranks [][]Replica `cbor:"1,keyasint" json:"ranks"`
}

// Map says which rank holds replicas of which experts in each layer.
type Map struct {
	Version Version `cbor:"1,keyasint" json:"version"`
	Layers  []Layer `cbor:"2,keyasint" json:"layers"`
}

// Placement names one replica of a map by its place.
type Placement struct {
	Layer  int        `cbor:"1,keyasint" json:"layer"`
	Expert Expert     `cbor:"2,keyasint" json:"expert"`
	Rank   ident.Rank `cbor:"3,keyasint" json:"rank"`
}

// Shape is the size of a group's expert layers.
type Shape struct {
	Ranks   int `json:"ranks"`
	Layers  int `json:"layers"`
	Experts int `json:"experts"`
	// Slots is the number of replicas that a rank holds in a layer.
	Slots int `json:"slots"`
}

// Validate reports what is wrong with the shape.
func (s Shape) Validate() error {
	if s.Ranks < 1 || s.Layers < 1 || s.Experts < 1 {
		return fmt.Errorf("shape %+v: ranks, layers and experts must be at least 1", s)
	}
	if s.Ranks*s.Slots < s.Experts {
		return fmt.Errorf("shape %+v: %d slots hold no %d experts", s, s.Ranks*s.Slots, s.Experts)
	}
	return nil
}

// Clone returns a copy that shares nothing with m.
func (m Map) Clone() Map {
	layers := make([]Layer, len(m.Layers))
	for i := range m.Layers {
		layers[i] = m.Layers[i].Clone()
	}
	return Map{Version: m.Version, Layers: layers}
}

// Clone returns a copy that shares nothing with l.
func (l Layer) Clone() Layer {
	ranks := make([][]Replica, len(l.Ranks))
	for i, replicas := range l.Ranks {
		ranks[i] = slices.Clone(replicas)
	}
	return Layer{Ranks: ranks}
}

// Holds reports whether the rank holds a replica of the expert.
func (l Layer) Holds(rank int, expert Expert) bool {
	for _, replica := range l.Ranks[rank] {
		if replica.Expert == expert {
			return true
		}
	}
	return false
}

// Validate reports the first fault of the map for the shape: a missing expert, a rank
// over its slots, a doubled replica, or shares that do not add up.
func (m Map) Validate(shape Shape) error {
	if len(m.Layers) != shape.Layers {
		return fmt.Errorf("map %s has %d layers, want %d", m.Version, len(m.Layers), shape.Layers)
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
		return fmt.Errorf("%d ranks, want %d", len(l.Ranks), shape.Ranks)
	}
	shares := make([]int, shape.Experts)
	replicas := make([]int, shape.Experts)
	for rank, held := range l.Ranks {
		if len(held) > shape.Slots {
			return fmt.Errorf("rank %d holds %d replicas in %d slots", rank, len(held), shape.Slots)
		}
		for i, replica := range held {
			if int(replica.Expert) >= shape.Experts {
				return fmt.Errorf("rank %d holds the unknown expert %d", rank, replica.Expert)
			}
			if i > 0 && held[i-1].Expert >= replica.Expert {
				return fmt.Errorf("rank %d: replicas unsorted or doubled at expert %d", rank, replica.Expert)
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
			return fmt.Errorf("expert %d: shares add up to %d, want %d", expert, share, ShareUnit)
		}
	}
	return nil
}

// Added returns the placements of next that current lacks, in order of layer, rank and
// expert: what must be loaded before next is used.
func Added(current, next Map) []Placement {
	var added []Placement
	for i, layer := range next.Layers {
		for rank, replicas := range layer.Ranks {
			for _, replica := range replicas {
				if i < len(current.Layers) && rank < len(current.Layers[i].Ranks) && current.Layers[i].Holds(rank, replica.Expert) {
					continue
				}
				added = append(added, Placement{Layer: i, Expert: replica.Expert, Rank: ident.Rank(rank)})
			}
		}
	}
	return added
}

// StaticMap returns the map without regard to popularity: experts in turn over the
// ranks, and spare slots filled with second replicas in turn.
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
			for layer.Holds(rank, Expert(expert%shape.Experts)) {
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

// shareEvenly gives all replicas of an expert the same share, up to rounding.
func (l Layer) shareEvenly(experts int) {
	copies := make([]int, experts)
	for _, replicas := range l.Ranks {
		for _, replica := range replicas {
			copies[replica.Expert]++
		}
	}
	given := make([]int, experts)
	for _, replicas := range l.Ranks {
		for i := range replicas {
			expert := replicas[i].Expert
			n := copies[expert]
			k := given[expert]
			replicas[i].Share = uint16(ShareUnit*(k+1)/n - ShareUnit*k/n)
			given[expert]++
		}
	}
}

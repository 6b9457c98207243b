package expert

import (
	"cmp"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// Epoch is one term of leadership over a group. All agents of the group promise an
// epoch before its leader acts, and then refuse smaller ones. The zero Epoch is before
// all others.
type Epoch struct {
	Number uint64         `cbor:"1,keyasint" json:"number"`
	Leader ident.Instance `cbor:"2,keyasint" json:"leader"`
}

// Compare orders epochs by number, then by leader.
func (e Epoch) Compare(other Epoch) int {
	return cmp.Or(
		cmp.Compare(e.Number, other.Number),
		cmp.Compare(e.Leader.VM, other.Leader.VM),
		cmp.Compare(e.Leader.Incarnation, other.Leader.Incarnation),
	)
}

// IsZero reports whether e is before all epochs of leaders.
func (e Epoch) IsZero() bool {
	return e == Epoch{}
}

// String returns the number and the leader.
func (e Epoch) String() string {
	return fmt.Sprintf("%d@%s", e.Number, e.Leader)
}

// Version identifies an expert map and the rollout that introduces it.
type Version struct {
	Epoch    Epoch  `cbor:"1,keyasint" json:"epoch"`
	Sequence uint64 `cbor:"2,keyasint" json:"sequence"`
}

// Compare orders versions by epoch, then by sequence.
func (v Version) Compare(other Version) int {
	return cmp.Or(v.Epoch.Compare(other.Epoch), cmp.Compare(v.Sequence, other.Sequence))
}

// IsZero reports whether v is no version.
func (v Version) IsZero() bool {
	return v == Version{}
}

// String returns epoch and sequence.
func (v Version) String() string {
	return fmt.Sprintf("%s/%d", v.Epoch, v.Sequence)
}

// Number returns a number that stands for v at engines; no other version of a group has
// it, up to collisions of a 64-bit hash. It is not 0.
func (v Version) Number() uint64 {
	return max(xxhash.Sum64String(v.String()), 1)
}

// Generation identifies one formation of a group. Its value is the epoch whose leader
// formed it. Steps are numbered from 1 in each generation. A group in which a rank was
// replaced forms a new generation.
type Generation = Epoch

// Step numbers the lock-step iterations of a generation, from 1.
type Step uint64

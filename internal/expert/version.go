package expert

import (
	"cmp"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// Epoch identifies a leader's term in a group. Before a leader acts, all agents of the group
// promise its epoch; from then on they reject smaller epochs. The zero Epoch is smaller than
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

// IsZero reports whether e is the zero Epoch, which no leader has.
func (e Epoch) IsZero() bool {
	return e == Epoch{}
}

// String returns the epoch as "number@leader".
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

// IsZero reports whether v is the zero Version, which no rollout has.
func (v Version) IsZero() bool {
	return v == Version{}
}

// String returns the version as "epoch/sequence".
func (v Version) String() string {
	return fmt.Sprintf("%s/%d", v.Epoch, v.Sequence)
}

// Number returns the number that identifies v in orders to engines. It is a 64-bit hash and never
// 0. Two versions have the same number only if their hashes collide.
func (v Version) Number() uint64 {
	return max(xxhash.Sum64String(v.String()), 1)
}

// Generation identifies a period in which a group has the same ranks. Its value is the epoch of
// the leader that formed the group. Steps are numbered from 1 in each generation. A group forms
// a new generation when a rank is replaced.
type Generation = Epoch

// Step is the number of a lock-step iteration in a generation, from 1.
type Step uint64

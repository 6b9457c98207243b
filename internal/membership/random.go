package membership

import (
	"github.com/cespare/xxhash/v2"
)

// random is a small deterministic generator (SplitMix64).
type random struct{ state uint64 }

func (r *random) next() uint64 {
	r.state += 0x9e3779b97f4a7c15
	return mix(r.state)
}

// below returns a number from 0 to limit-1; limit must be positive.
func (r *random) below(limit int) int {
	return int(r.next() % uint64(limit))
}

// mix spreads the bits of a number (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// score returns the rendezvous score of a pair of hashed names.
func score(a, b uint64) uint64 {
	return mix(a ^ mix(b))
}

func hashName(name string) uint64 {
	return xxhash.Sum64String(name)
}

package attempt

import (
	"maps"
	"math/rand/v2"
	"slices"
)

// sortedKeys returns the keys of a map in an order that does not depend on the map: decisions must not depend on its iteration order.
func sortedKeys[K comparable, V any](m map[K]V, compare func(a, b K) int) []K {
	return slices.SortedFunc(maps.Keys(m), compare)
}

// shuffledKeys returns the keys of a map in an order that depends on the state of the source only.
func shuffledKeys[K comparable, V any](random *rand.Rand, m map[K]V, compare func(a, b K) int) []K {
	keys := sortedKeys(m, compare)
	random.Shuffle(len(keys), func(i, j int) { keys[i], keys[j] = keys[j], keys[i] })
	return keys
}

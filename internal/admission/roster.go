package admission

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// roster is the sorted list of the VMs of all entries in the fleet document, with its digest.
type roster struct {
	vms          []ident.VM
	digest       uint64
	coordinators []ident.VM
	// input is the list that the roster was built from.
	input []ident.VM
}

const separator = "\x1f"

// update returns the roster of the VMs. It returns r if the list is unchanged.
func (r roster) update(vms []ident.VM, maxCoordinators int) roster {
	if r.vms != nil && slices.Equal(vms, r.input) {
		return r
	}
	return newRoster(vms, maxCoordinators)
}

// newRoster sorts the VMs and selects those that coordinate limits by rendezvous hashing.
func newRoster(vms []ident.VM, maxCoordinators int) roster {
	sorted := slices.Clone(vms)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	digest := xxhash.New()
	for _, vm := range sorted {
		_, _ = digest.WriteString(string(vm))
		_, _ = digest.WriteString(separator)
	}
	ranked := slices.Clone(sorted)
	slices.SortFunc(ranked, func(a, b ident.VM) int {
		return cmp.Or(cmp.Compare(rendezvousWeight("coordinator", b), rendezvousWeight("coordinator", a)), cmp.Compare(a, b))
	})
	ranked = ranked[:min(len(ranked), maxCoordinators)]
	return roster{vms: sorted, digest: digest.Sum64(), coordinators: ranked, input: slices.Clone(vms)}
}

func rendezvousWeight(key string, vm ident.VM) uint64 {
	return xxhash.Sum64String(key + separator + string(vm))
}

// coordinator returns the VM that coordinates the customer's limits; "" for an empty roster.
func (r roster) coordinator(customer ident.Customer) ident.VM {
	var best ident.VM
	var bestWeight uint64
	for _, vm := range r.coordinators {
		weight := rendezvousWeight(string(customer), vm)
		if best == "" || weight > bestWeight {
			best, bestWeight = vm, weight
		}
	}
	return best
}

func (r roster) contains(vm ident.VM) bool {
	_, found := slices.BinarySearch(r.vms, vm)
	return found
}

// rankOf returns how many VMs come before vm in the rendezvous order of the key.
func (r roster) rankOf(key ClassKey, vm ident.VM) int {
	name := string(key.Customer) + separator + string(key.Class)
	ownWeight := rendezvousWeight(name, vm)
	before := 0
	for _, other := range r.vms {
		weight := rendezvousWeight(name, other)
		if weight > ownWeight || weight == ownWeight && other < vm {
			before++
		}
	}
	return before
}

// takeoverQuorum returns the number of confirmations that a coordinator needs to become active.
func (r roster) takeoverQuorum(fraction float64) int {
	n := len(r.vms)
	// Rounds up; 1e-9 is the tolerance for rounding errors of the product.
	need := int(float64(n)*fraction + 1 - 1e-9)
	return max(need, r.majority())
}

// majority returns the number of confirmations that a coordinator needs to stay active.
func (r roster) majority() int {
	return len(r.vms)/2 + 1
}

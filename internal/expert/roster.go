package expert

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleyspool/bramleyspool/internal/fleet"
	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// RosterOf returns the roster of a group in a published fleet.
func RosterOf(published fleet.Fleet, group ident.Group) Roster {
	roster := Roster{Version: published.Version}
	for _, service := range published.Services {
		for _, backend := range service.Backends {
			if backend.Group != group {
				continue
			}
			ranks := slices.Clone(backend.Ranks)
			slices.Sort(ranks)
			roster.Members = append(roster.Members, RosterMember{VM: backend.VM, Ranks: ranks})
		}
	}
	slices.SortFunc(roster.Members, func(a, b RosterMember) int { return cmp.Compare(a.VM, b.VM) })
	return roster
}

// Member returns the roster's entry for a VM.
func (r Roster) Member(vm ident.VM) (RosterMember, bool) {
	i, found := slices.BinarySearchFunc(r.Members, vm, func(m RosterMember, vm ident.VM) int { return cmp.Compare(m.VM, vm) })
	if !found {
		return RosterMember{}, false
	}
	return r.Members[i], true
}

// Ranks returns the number of ranks of the group.
func (r Roster) Ranks() int {
	ranks := 0
	for _, member := range r.Members {
		ranks += len(member.Ranks)
	}
	return ranks
}

// Covers reports whether each rank from 0 to ranks-1 belongs to exactly one agent.
func (r Roster) Covers(ranks int) bool {
	seen := make([]bool, ranks)
	for _, member := range r.Members {
		for _, rank := range member.Ranks {
			if int(rank) >= ranks || rank < 0 || seen[rank] {
				return false
			}
			seen[rank] = true
		}
	}
	return !slices.Contains(seen, false)
}

// Digest returns a hash of the VMs and their ranks. It does not depend on the version.
func (r Roster) Digest() uint64 {
	var buffer []byte
	for _, member := range r.Members {
		buffer = append(buffer, member.VM...)
		buffer = append(buffer, 0)
		for _, rank := range member.Ranks {
			buffer = binary.LittleEndian.AppendUint64(buffer, uint64(rank)+1)
		}
		buffer = append(buffer, 0)
	}
	return xxhash.Sum64(buffer)
}

// Elect returns the VM that leads the group: the live member of the roster with the
// greatest rendezvous weight, or "" if no member is live. Agents that disagree about which
// members are live may elect different leaders. This is safe, because each agent accepts
// messages only from the leader of the epoch that it promised last.
func Elect(group ident.Group, roster Roster, live func(ident.VM) bool) ident.VM {
	var elected ident.VM
	var best uint64
	for _, member := range roster.Members {
		if !live(member.VM) {
			continue
		}
		weight := xxhash.Sum64String(string(group) + "\x1f" + string(member.VM))
		if elected == "" || weight > best {
			elected = member.VM
			best = weight
		}
	}
	return elected
}

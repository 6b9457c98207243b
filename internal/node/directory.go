package node

import (
	"sync"

	"github.com/bramleyspool/bramleyspool/internal/fleet"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/settings"
	"github.com/bramleyspool/bramleyspool/internal/wire"
)

// member is the published data of one process. A seed has no role.
type member struct {
	zone    ident.Zone
	role    settings.Role
	address string
}

// Directory holds the addresses, zones and roles of the fleet's processes. It is safe for
// concurrent use.
type Directory struct {
	mu sync.RWMutex
	// seeds come from the settings. They are used for processes that are not in members.
	seeds map[ident.VM]member
	// members come from the published fleet; nil before the first one.
	members map[ident.VM]member
}

// NewDirectory returns a directory that contains only the seeds.
func NewDirectory(seeds []settings.Seed) *Directory {
	d := &Directory{seeds: map[ident.VM]member{}}
	for _, seed := range seeds {
		d.seeds[seed.VM] = member{zone: seed.Zone, address: seed.Address}
	}
	return d
}

// SetFleet replaces the members by those of a published fleet. The seeds remain.
func (d *Directory) SetFleet(published *fleet.Fleet) {
	members := map[ident.VM]member{}
	for _, entry := range published.Entries {
		members[entry.VM] = member{zone: entry.Zone, role: settings.RoleEntry, address: entry.Address}
	}
	for i := range published.Services {
		for _, backend := range published.Services[i].Backends {
			members[backend.VM] = member{zone: backend.Zone, role: settings.RoleAgent, address: backend.Address}
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.members = members
}

// Target returns the address of the process on a VM. An unknown process has no address: it is
// reachable only over a connection that it opened itself.
func (d *Directory) Target(vm ident.VM) wire.Target {
	d.mu.RLock()
	defer d.mu.RUnlock()
	found, ok := d.members[vm]
	if !ok {
		found = d.seeds[vm]
	}
	return wire.Target{VM: vm, Address: found.address}
}

// Authorize returns an error if a peer must not connect. Once a fleet is known, a peer must be a
// member with the published role and zone. Before that, every peer with a valid certificate is
// accepted.
func (d *Directory) Authorize(peer wire.Identity) error {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if d.members == nil {
		return nil
	}
	found, ok := d.members[peer.VM]
	if !ok {
		return errNotInFleet
	}
	if found.zone != peer.Zone || string(found.role) != peer.Role {
		return errZoneOrRoleMismatch
	}
	return nil
}

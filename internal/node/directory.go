package node

import (
	"sync"

	"github.com/bramleyspool/bramleyspool/internal/fleet"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/settings"
	"github.com/bramleyspool/bramleyspool/internal/wire"
)

// member is what the directory knows of one process.
type member struct {
	zone    ident.Zone
	role    settings.Role
	address string
}

// Directory knows the processes of the fleet. It is safe for concurrent use.
type Directory struct {
	mu      sync.RWMutex
	seeds   map[ident.VM]member
	members map[ident.VM]member
}

// NewDirectory returns a directory that knows the seeds.
func NewDirectory(seeds []settings.Seed) *Directory {
	d := &Directory{seeds: map[ident.VM]member{}}
	for _, seed := range seeds {
		d.seeds[seed.VM] = member{zone: seed.Zone, address: seed.Address}
	}
	return d
}

// Use replaces what is known by a published fleet.
func (d *Directory) Use(published *fleet.Fleet) {
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

// Target returns where the process of a VM listens. A process that is not known can be
// reached over its own connection only.
func (d *Directory) Target(vm ident.VM) wire.Target {
	d.mu.RLock()
	defer d.mu.RUnlock()
	found, ok := d.members[vm]
	if !ok {
		found = d.seeds[vm]
	}
	return wire.Target{VM: vm, Address: found.address}
}

// Authorize decides whether a peer is let in: once a fleet is known, only its members with
// their role and zone. Before that every holder of a certificate of the fleet is.
func (d *Directory) Authorize(peer wire.Identity) error {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if d.members == nil {
		return nil
	}
	found, ok := d.members[peer.VM]
	if !ok {
		return errNotPublished
	}
	if found.zone != peer.Zone || string(found.role) != peer.Role {
		return errOtherPlace
	}
	return nil
}

package control

import (
	"sort"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/fleet"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/membership"
)

// attemptRetention is how long the records of ended attempts are kept after their lease
// expired.
const attemptRetention = 2 * time.Minute

// leaseWindow tracks the leases that were granted. It derives which lease numbers may still
// start runs, and which are so old that the records of their attempts may be deleted.
type leaseWindow struct {
	issued []issuedLease
	// limits are the limits of lease numbers returned last.
	limits attempt.LeaseAdvanced
}

type issuedLease struct {
	number  attempt.Number
	expires time.Time
}

func (w *leaseWindow) recordGrant(now time.Time, grant membership.LeaseGrant) {
	if grant.Number == 0 {
		return
	}
	w.issued = append(w.issued, issuedLease{attempt.Number(grant.Number), now.Add(grant.Duration.Duration())})
}

// advance returns the limits of lease numbers that apply from now on, and whether they changed.
func (w *leaseWindow) advance(now time.Time) (attempt.LeaseAdvanced, bool) {
	next := w.limits
	for len(w.issued) > 0 && now.Sub(w.issued[0].expires) > attemptRetention {
		next.MinKept = max(next.MinKept, w.issued[0].number+1)
		w.issued = w.issued[1:]
	}
	for _, lease := range w.issued {
		next.Current = max(next.Current, lease.number)
		if lease.expires.Before(now) {
			next.MinStart = max(next.MinStart, lease.number+1)
		}
	}
	// The number below MinStart must be at least MinKept, because invalidNumber returns it.
	next.MinStart = max(next.MinStart, next.MinKept+1)
	if next == w.limits {
		return next, false
	}
	w.limits = next
	return next, true
}

// invalidNumber returns a lease number under which no run may start and no record may be
// deleted yet.
func (w *leaseWindow) invalidNumber() attempt.Number {
	return max(w.limits.MinStart, 1) - 1
}

// publishedVMs returns the VMs of all entries and backend servers.
func publishedVMs(published *fleet.Fleet) []ident.VM {
	var vms []ident.VM
	for i := range published.Entries {
		vms = append(vms, published.Entries[i].VM)
	}
	for i := range published.Services {
		for _, backend := range published.Services[i].Backends {
			vms = append(vms, backend.VM)
		}
	}
	return vms
}

// absenceTracker records since when published VMs are missing from the platform's list.
type absenceTracker struct {
	absentSince map[ident.VM]time.Time
	removed     map[ident.VM]bool
}

// update applies a new list. It returns the VMs that newly count as removed: those that have
// now been missing for removedVMTimeout.
func (a *absenceTracker) update(now time.Time, published *fleet.Fleet, listed []ListedVM) []ident.VM {
	if a.absentSince == nil {
		a.absentSince = map[ident.VM]time.Time{}
		a.removed = map[ident.VM]bool{}
	}
	present := make(map[ident.VM]bool, len(listed))
	for _, vm := range listed {
		present[vm.VM] = true
		delete(a.absentSince, vm.VM)
		delete(a.removed, vm.VM)
	}
	var removed []ident.VM
	for _, vm := range publishedVMs(published) {
		if present[vm] || a.removed[vm] {
			continue
		}
		if _, absent := a.absentSince[vm]; !absent {
			a.absentSince[vm] = now
		}
		if now.Sub(a.absentSince[vm]) >= removedVMTimeout {
			a.removed[vm] = true
			removed = append(removed, vm)
		}
	}
	sort.Slice(removed, func(i, j int) bool { return removed[i] < removed[j] })
	return removed
}

package attempt

import (
	"slices"
	"sort"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// eligibility says whether a key that is not in the table may run.
type eligibility uint8

const (
	// eligible means that the key never ran and that no other incarnation of an agent can run it.
	eligible eligibility = iota + 1
	// eligibilityPending means that answers are outstanding.
	eligibilityPending
	// eligibilityInDoubt means that the key may have run.
	eligibilityInDoubt
)

// evaluateKey decides whether a key that is not in the table may run. For a key in doubt it
// also returns the time after which the key can run if no further answer arrives.
func (o *Owner) evaluateKey(now time.Time, service *ownedService, dispatch Dispatch) (eligibility, time.Duration) {
	if o.config.Doubt == DoubtIgnore {
		return eligible, 0
	}
	if now.Before(service.published.OpenedAt) {
		return eligibilityPending, 0
	}
	if !service.fenced || !o.acceptedBy(service, dispatch.ID.Entry) {
		return eligibilityPending, 0
	}
	if o.config.Doubt == DoubtRefuse {
		return o.evaluateByAge(now, service)
	}
	if o.unreleasedOwner(now, service, dispatch.RunKey) != "" {
		return eligibilityPending, 0
	}
	if o.logsCover(now, service) || service.covers(dispatch.RunKey, o.config.Self.VM) || o.handedOver(now, service, dispatch.RunKey) {
		return eligible, 0
	}
	if now.Sub(service.listSince) < o.config.HoldLimit {
		return eligibilityPending, 0
	}
	return eligibilityInDoubt, o.uncoveredFor(now, service)
}

// evaluateByAge lets keys run once the agent has owned them for the whole retention.
func (o *Owner) evaluateByAge(now time.Time, service *ownedService) (eligibility, time.Duration) {
	opened := !service.published.OpenedAt.Before(service.listSince)
	wait := service.listSince.Add(retentionOf(service.published)).Sub(now)
	if opened || wait <= 0 {
		return eligible, 0
	}
	return eligibilityInDoubt, wait
}

// acceptedBy reports whether this incarnation of the entry accepted the claim.
func (o *Owner) acceptedBy(service *ownedService, entry ident.Instance) bool {
	claim := service.claims[entry.VM]
	return claim != nil && claim.accepted && claim.entry == entry
}

// earlierOwner is the VM of an agent, with the ID of the earlier list under which it owned a key.
type earlierOwner struct {
	vm   ident.VM
	list uint64
}

// earlierOwnersOf returns the owners of the key under the lists that earlierLists returns.
func (o *Owner) earlierOwnersOf(now time.Time, service *ownedService, key ident.RunKey) []earlierOwner {
	var owners []earlierOwner
	for _, list := range o.earlierLists(now, service) {
		owners = append(owners, earlierOwner{vm: RendezvousVM(string(key), list.vms), list: list.id})
	}
	return owners
}

// earlierLists returns the distinct lists, other than the current one, that the agent or an
// entry had in force within the window of windowOf.
func (o *Owner) earlierLists(now time.Time, service *ownedService) []earlierList {
	window := o.windowOf(service)
	seen := map[uint64]bool{service.listID: true}
	var lists []earlierList
	add := func(earlier []earlierList) {
		for _, list := range earlier {
			if now.Sub(list.replacedAt) > window || seen[list.id] {
				continue
			}
			seen[list.id] = true
			lists = append(lists, list)
		}
	}
	add(service.earlier)
	for _, vm := range service.claimedEntries() {
		add(service.claims[vm].earlier)
	}
	return lists
}

// claimedEntries returns the VMs of the entries that this agent has sent claims to in this round.
func (s *ownedService) claimedEntries() []ident.VM {
	vms := make([]ident.VM, 0, len(s.claims))
	for vm := range s.claims {
		vms = append(vms, vm)
	}
	sort.Slice(vms, func(i, j int) bool { return vms[i] < vms[j] })
	return vms
}

// unreleasedOwner returns an earlier owner that may still run the key, or "".
func (o *Owner) unreleasedOwner(now time.Time, service *ownedService, key ident.RunKey) ident.VM {
	for _, earlier := range o.earlierOwnersOf(now, service, key) {
		if earlier.vm != o.config.Self.VM && !o.isRemoved(earlier.vm) && !service.hasReleased(earlier.vm) {
			return earlier.vm
		}
	}
	return ""
}

func (s *ownedService) hasReleased(vm ident.VM) bool {
	released, ok := s.released[vm]
	return ok && released.version >= s.listVersion
}

// releasedAll reports whether the earlier owner released its keys and knew every run of them.
func (s *ownedService) releasedAll(earlier earlierOwner) bool {
	return s.hasReleased(earlier.vm) && s.released[earlier.vm].completeFor == earlier.list
}

// covers reports whether the agent owns the key under the current list and knows every run of the
// keys that it owns under this list.
func (s *ownedService) covers(key ident.RunKey, self ident.VM) bool {
	return s.covered != nil && RendezvousVM(string(key), s.covered) == self && sameVMs(s.covered, s.list)
}

// handedOver reports whether all earlier owners of the key released it and knew every run of it.
func (o *Owner) handedOver(now time.Time, service *ownedService, key ident.RunKey) bool {
	if !o.knowsOwnRuns(now, service) {
		return false
	}
	for _, earlier := range o.earlierOwnersOf(now, service, key) {
		if earlier.vm != o.config.Self.VM && !service.releasedAll(earlier) {
			return false
		}
	}
	return true
}

// knowsOwnRuns reports whether the agent knows every run of earlier incarnations on its VM.
func (o *Owner) knowsOwnRuns(now time.Time, service *ownedService) bool {
	return service.covered != nil || service.predecessorCovers() || service.isNewVM(now, o.config.Self.VM)
}

// predecessorCovers reports whether the VM's previous incarnation handed over its keys and knew
// every run of them.
func (s *ownedService) predecessorCovers() bool {
	if s.predecessor == nil || s.predecessor.CompleteFor != s.listID {
		return false
	}
	matched := false
	for _, claim := range s.claims {
		if claim.accepted && claim.previous != 0 && claim.previous != s.predecessor.From.Incarnation {
			return false
		}
		matched = matched || (claim.accepted && claim.previous != 0)
	}
	return s.fenced && matched
}

// isNewVM reports whether the VM had no earlier incarnation that could have run a key: no entry
// knows one, and within the retention an entry had a list without the VM.
func (s *ownedService) isNewVM(now time.Time, self ident.VM) bool {
	wasAbsent := false
	for _, claim := range s.claims {
		if claim.accepted && claim.previous != 0 {
			return false
		}
		for _, list := range claim.earlier {
			recent := now.Sub(list.replacedAt) <= retentionOf(s.published)
			wasAbsent = wasAbsent || (recent && !slices.Contains(list.vms, self))
		}
	}
	return wasAbsent && s.fenced
}

// windowOf returns the time after a dispatch for which its run must be remembered.
func (o *Owner) windowOf(service *ownedService) time.Duration {
	return retentionOf(service.published) + o.config.StartsWithin
}

func (o *Owner) logsCover(now time.Time, service *ownedService) bool {
	return o.uncoveredFor(now, service) == 0
}

// uncoveredFor returns the time until the logs of all entries cover the window; 0 if they do.
// The window starts when the service opened, or one windowOf ago if that is later.
func (o *Owner) uncoveredFor(now time.Time, service *ownedService) time.Duration {
	window := o.windowOf(service)
	start := later(now.Add(-window), service.published.OpenedAt.Add(-o.config.ClockSkew))
	var wait time.Duration
	for _, claim := range service.claims {
		if claim.accepted && claim.logCoversSince.After(start) {
			wait = max(wait, claim.logCoversSince.Add(window).Sub(now))
		}
		for _, removed := range claim.removed {
			wait = max(wait, o.uncoveredByRemoved(now, service, removed, start))
		}
	}
	for vm, at := range o.removedEntries {
		wait = max(wait, o.uncoveredByRemoved(now, service, removedEntry{vm: vm, at: at}, start))
	}
	return wait
}

// uncoveredByRemoved returns the time for which keys that a removed entry dispatched may be
// missing; 0 if none can be. If the entry accepted the claim, its log is known. Otherwise it may
// keep dispatching to agents that do not know of its removal, until its VM leaves the platform's list.
func (o *Owner) uncoveredByRemoved(now time.Time, service *ownedService, removed removedEntry, start time.Time) time.Duration {
	claim := service.claims[removed.vm]
	if claim != nil && claim.accepted {
		return 0
	}
	removedAt, ok := o.removedVMs[removed.vm]
	switch {
	case !ok:
		return o.windowOf(service)
	case !removedAt.After(start):
		return 0
	}
	return max(0, removedAt.Add(o.windowOf(service)).Sub(now))
}

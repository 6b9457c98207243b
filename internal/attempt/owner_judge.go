package attempt

import (
	"slices"
	"sort"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// verdict says whether a key that is not in the table may run.
type verdict uint8

const (
	// verdictClear means that the key never ran and no other run of an agent can run it.
	verdictClear verdict = iota + 1
	// verdictPending means that answers are outstanding.
	verdictPending
	// verdictDoubt means that the key may have run.
	verdictDoubt
)

// judge decides on a key that is not in the table. For a key in doubt it returns the time
// until it can run if nothing more is learned.
func (o *Owner) judge(now time.Time, service *ownedService, dispatch Dispatch) (verdict, time.Duration) {
	if o.config.Doubt == DoubtIgnore {
		return verdictClear, 0
	}
	if now.Before(service.published.OpenedAt) {
		return verdictPending, 0
	}
	if !service.fenced || !o.accepted(service, dispatch.ID.Entry) {
		return verdictPending, 0
	}
	if o.config.Doubt == DoubtRefuse {
		return o.judgeByAge(now, service)
	}
	if o.unreleased(now, service, dispatch.RunKey) != "" {
		return verdictPending, 0
	}
	if o.logsCover(now, service) || service.covers(dispatch.RunKey, o.config.Self.VM) || o.handedOver(now, service, dispatch.RunKey) {
		return verdictClear, 0
	}
	if now.Sub(service.since) < o.config.HoldLimit {
		return verdictPending, 0
	}
	return verdictDoubt, o.uncoveredFor(now, service)
}

// judgeByAge lets keys run once the agent has owned them for the whole retention.
func (o *Owner) judgeByAge(now time.Time, service *ownedService) (verdict, time.Duration) {
	opened := !service.published.OpenedAt.Before(service.since)
	wait := service.since.Add(retentionOf(service.published)).Sub(now)
	if opened || wait <= 0 {
		return verdictClear, 0
	}
	return verdictDoubt, wait
}

// accepted reports whether the entry's present run accepted the claim.
func (o *Owner) accepted(service *ownedService, entry ident.Instance) bool {
	claim := service.claims[entry.VM]
	return claim != nil && claim.accepted && claim.entry == entry
}

// priorOwner is an agent's VM with the list under which it owned a key.
type priorOwner struct {
	vm   ident.VM
	list uint64
}

// priorOwners returns who owned the key under lists that were in force within the retention.
func (o *Owner) priorOwners(now time.Time, service *ownedService, key ident.RunKey) []priorOwner {
	var owners []priorOwner
	for _, list := range o.earlierLists(now, service) {
		owners = append(owners, priorOwner{vm: Highest(string(key), list.vms), list: list.id})
	}
	return owners
}

// earlierLists returns the different lists, other than the present one, that the agent or an
// entry saw in force within the retention.
func (o *Owner) earlierLists(now time.Time, service *ownedService) []earlierList {
	window := o.windowOf(service)
	seen := map[uint64]bool{service.listID: true}
	var lists []earlierList
	note := func(earlier []earlierList) {
		for _, list := range earlier {
			if now.Sub(list.replacedAt) > window || seen[list.id] {
				continue
			}
			seen[list.id] = true
			lists = append(lists, list)
		}
	}
	note(service.earlier)
	for _, vm := range service.claimants() {
		note(service.claims[vm].earlier)
	}
	return lists
}

func (s *ownedService) claimants() []ident.VM {
	vms := make([]ident.VM, 0, len(s.claims))
	for vm := range s.claims {
		vms = append(vms, vm)
	}
	sort.Slice(vms, func(i, j int) bool { return vms[i] < vms[j] })
	return vms
}

// unreleased returns an earlier owner of the key that may still run it, or "".
func (o *Owner) unreleased(now time.Time, service *ownedService, key ident.RunKey) ident.VM {
	for _, prior := range o.priorOwners(now, service, key) {
		if prior.vm != o.config.Self.VM && !o.isGone(prior.vm) && !service.hasReleased(prior.vm) {
			return prior.vm
		}
	}
	return ""
}

func (s *ownedService) hasReleased(vm ident.VM) bool {
	released, ok := s.released[vm]
	return ok && released.version >= s.listVersion
}

// releasedAll reports whether the earlier owner released its keys and knew every run of them.
func (s *ownedService) releasedAll(prior priorOwner) bool {
	return s.hasReleased(prior.vm) && s.released[prior.vm].completeFor == prior.list
}

// covers reports whether the agent has known every run of the key since an earlier claim.
func (s *ownedService) covers(key ident.RunKey, self ident.VM) bool {
	return s.covered != nil && Highest(string(key), s.covered) == self && sameVMs(s.covered, s.list)
}

// handedOver reports whether the key's earlier owners handed over all that they knew.
func (o *Owner) handedOver(now time.Time, service *ownedService, key ident.RunKey) bool {
	if !o.knowsOwnRuns(now, service) {
		return false
	}
	for _, prior := range o.priorOwners(now, service, key) {
		if prior.vm != o.config.Self.VM && !service.releasedAll(prior) {
			return false
		}
	}
	return true
}

// knowsOwnRuns reports whether the agent knows all that its VM ran.
func (o *Owner) knowsOwnRuns(now time.Time, service *ownedService) bool {
	return service.covered != nil || service.predecessorCovers() || service.newcomer(now, o.config.Self.VM)
}

// predecessorCovers reports whether the VM's latest earlier run handed over all that it knew.
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

// newcomer reports whether the VM had no earlier run that could have run a key: no entry
// knows one, and an entry saw the list without the VM.
func (s *ownedService) newcomer(now time.Time, self ident.VM) bool {
	sawAbsent := false
	for _, claim := range s.claims {
		if claim.accepted && claim.previous != 0 {
			return false
		}
		for _, list := range claim.earlier {
			recent := now.Sub(list.replacedAt) <= retentionOf(s.published)
			sawAbsent = sawAbsent || (recent && !slices.Contains(list.vms, self))
		}
	}
	return sawAbsent && s.fenced
}

// windowOf returns the time after a dispatch over which its run matters.
func (o *Owner) windowOf(service *ownedService) time.Duration {
	return retentionOf(service.published) + o.config.StartsWithin
}

func (o *Owner) logsCover(now time.Time, service *ownedService) bool {
	return o.uncoveredFor(now, service) == 0
}

// uncoveredFor returns the time until the entries' logs cover the whole window: since the
// service's opening, or over the time after a dispatch over which its run matters.
func (o *Owner) uncoveredFor(now time.Time, service *ownedService) time.Duration {
	retention := o.windowOf(service)
	start := later(now.Add(-retention), service.published.OpenedAt.Add(-o.config.ClockSkew))
	var wait time.Duration
	for _, claim := range service.claims {
		if claim.accepted && claim.coversSince.After(start) {
			wait = max(wait, claim.coversSince.Add(retention).Sub(now))
		}
		for _, removed := range claim.removed {
			wait = max(wait, o.removedFor(now, service, removed, start))
		}
	}
	for vm, at := range o.removed {
		wait = max(wait, o.removedFor(now, service, removedEntry{vm: vm, at: at}, start))
	}
	return wait
}

// removedFor returns the time for which keys may be missing that an entry dispatched which was
// taken off the roster. The log of one that accepted the claim before is known. Any other may
// go on dispatching to agents that have not heard of its removal, until its VM is gone.
func (o *Owner) removedFor(now time.Time, service *ownedService, removed removedEntry, start time.Time) time.Duration {
	claim := service.claims[removed.vm]
	if claim != nil && claim.accepted {
		return 0
	}
	gone, ok := o.gone[removed.vm]
	switch {
	case !ok:
		return o.windowOf(service)
	case !gone.After(start):
		return 0
	}
	return max(0, gone.Add(o.windowOf(service)).Sub(now))
}

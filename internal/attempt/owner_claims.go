package attempt

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
)

func (o *Owner) tick(now time.Time) {
	for _, name := range o.serviceNames() {
		service := o.services[name]
		o.expireKeys(now, service)
		if service.isDue(now) {
			o.refreshFence(now, service)
		}
	}
	o.tickets.expire(now)
}

func (o *Owner) expireKeys(now time.Time, service *ownedService) {
	for key, due := service.expiry.next(now); due; key, due = service.expiry.next(now) {
		record := service.keys[key]
		if record == nil || (record.state != keyServed && record.state != keyInDoubt) {
			continue
		}
		if !now.After(record.expires) {
			service.expiry.add(record.expires, key)
			continue
		}
		o.keyEvent(now, record, "expire")
	}
}

// coverageInterval is the time between two looks at whether the agent now knows every run
// of its keys, while all entries have accepted its claim.
const coverageInterval = time.Second

// isDue reports whether time alone may change what the agent knows or has to ask.
func (s *ownedService) isDue(now time.Time) bool {
	if s.settled {
		return false
	}
	return !s.fenced || now.Sub(s.refreshedAt) >= coverageInterval
}

// refreshFence asks the entries and agents whose answers are missing.
func (o *Owner) refreshFence(now time.Time, service *ownedService) {
	service.refreshedAt = now
	if !service.owns(o.config.Self.VM) {
		service.fenced = false
		return
	}
	for _, entry := range o.fleet.Entries {
		o.claimAt(now, service, entry.VM)
	}
	o.askReleases(now, service)
	o.updateFence(now, service)
}

func (o *Owner) claimAt(now time.Time, service *ownedService, vm ident.VM) {
	claim := service.claims[vm]
	if claim == nil {
		claim = &claimState{parts: map[int]bool{}}
		service.claims[vm] = claim
	} else if (claim.accepted && !service.contradicted(vm)) || now.Sub(claim.askedAt) < o.config.AskAgain {
		return
	}
	claim.askedAt = now
	o.act(SendClaim{To: vm, Claim: Claim{
		Claimant: o.config.Self, Service: service.published.Name,
		FleetVersion: service.listVersion, Round: service.round, List: service.listID,
	}})
}

// contradicted reports whether another entry heard of a later run of the VM than the one
// that accepted the claim.
func (s *ownedService) contradicted(vm ident.VM) bool {
	return s.newestPeers[vm] > s.claims[vm].entry.Incarnation
}

// notePeers remembers the latest run of each entry that any entry has heard of.
func (s *ownedService) notePeers(peers []ident.Instance) {
	for _, peer := range peers {
		s.newestPeers[peer.VM] = max(s.newestPeers[peer.VM], peer.Incarnation)
	}
}

func (o *Owner) hearClaim(now time.Time, answer ClaimAnswer) {
	service := o.services[answer.Service]
	if service == nil || answer.Claimant != o.config.Self || answer.Round != service.round {
		return
	}
	if answer.Refused == ClaimSuperseded {
		o.act(OwnerSuperseded{answer.Superseding})
		o.stopping = true
		o.superseded = true
		return
	}
	claim := service.claims[answer.Entry.VM]
	if claim == nil || answer.Refused != ClaimAccepted || answer.Entry.Incarnation < claim.entry.Incarnation {
		return
	}
	if claim.entry != answer.Entry {
		service.claims[answer.Entry.VM] = claimOf(now, claim.askedAt, answer)
		claim = service.claims[answer.Entry.VM]
	}
	service.notePeers(answer.Peers)
	o.doubtKeys(now, service, answer.Keys)
	claim.notePart(answer)
	if claim.accepted && !service.fencedAt.IsZero() && claim.knowsSince.After(service.fencedAt) {
		// The entry cannot tell whether a later run claimed the VM: ask all entries again.
		service.newRound()
	}
	o.refreshFence(now, service)
}

// notePart counts the parts of the entry's latest answer. An answer that is complete stays so.
func (c *claimState) notePart(answer ClaimAnswer) {
	if answer.Serial < c.serial || c.accepted {
		return
	}
	if answer.Serial > c.serial {
		c.serial = answer.Serial
		c.parts = map[int]bool{}
	}
	c.parts[answer.Part] = true
	c.accepted = len(c.parts) == answer.Parts
}

func claimOf(now, askedAt time.Time, answer ClaimAnswer) *claimState {
	claim := &claimState{
		serial: answer.Serial, askedAt: askedAt, parts: map[int]bool{}, entry: answer.Entry,
		coversSince: now.Add(-answer.Covers), knowsSince: now.Add(-answer.Knows),
		previous: answer.Previous,
	}
	for _, list := range answer.Earlier {
		claim.earlier = append(claim.earlier, newEarlierList(list.VMs, now.Add(-list.Age)))
	}
	for _, removed := range answer.Removed {
		claim.removed = append(claim.removed, removedEntry{vm: removed.VM, at: now.Add(-removed.Age)})
	}
	return claim
}

// doubtKeys notes the keys that other runs of agents may have run.
func (o *Owner) doubtKeys(now time.Time, service *ownedService, keys []DispatchedKey) {
	if o.config.Doubt == DoubtIgnore {
		return
	}
	for _, key := range keys {
		if service.ownerOf(key.RunKey) != o.config.Self.VM || service.resolves(key.Target) {
			continue
		}
		record := service.keys[key.RunKey]
		if record == nil {
			record = o.newRecord(service, key.RunKey, key.Body)
		}
		if record.state == keyNew || record.state == keyHeld || record.state == keyInDoubt {
			record.noteSource(key.Target, now.Add(-key.Age))
			record.fromLogs = record.fromLogs || record.state == keyNew || record.state == keyHeld
		}
		record.refusal = o.doubt(key.RunKey, 0)
		before := record.state
		o.keyEvent(now, record, "doubt")
		if before != record.state {
			record.expires = now.Add(-key.Age).Add(o.windowOf(service)).Add(o.config.ClockSkew)
			service.expiry.add(record.expires, key.RunKey)
		}
	}
}

func (r *keyRecord) noteSource(target ident.Instance, at time.Time) {
	if r.sources == nil {
		r.sources = map[ident.Instance]time.Time{}
	}
	r.sources[target] = later(r.sources[target], at)
}

// resolves reports whether the run of an agent handed over all keys that it ran.
func (s *ownedService) resolves(target ident.Instance) bool {
	if s.predecessor != nil && s.predecessor.From == target {
		return true
	}
	return s.hasReleased(target.VM) && s.released[target.VM].from == target
}

// seeEntry claims at a run of an entry that has not accepted the claim.
func (o *Owner) seeEntry(now time.Time, entry ident.Instance) {
	if _, known := o.removed[entry.VM]; !known && !o.listsEntry(entry.VM) {
		o.removed[entry.VM] = now
	}
	for _, name := range o.serviceNames() {
		service := o.services[name]
		claim := service.claims[entry.VM]
		if claim == nil || claim.entry == entry || entry.Incarnation < claim.entry.Incarnation {
			continue
		}
		if claim.accepted {
			claim.accepted = false
			claim.parts = map[int]bool{}
			claim.askedAt = time.Time{}
		}
		o.refreshFence(now, service)
	}
}

func (o *Owner) listsEntry(vm ident.VM) bool {
	for _, entry := range o.fleet.Entries {
		if entry.VM == vm {
			return true
		}
	}
	return false
}

func (o *Owner) updateFence(now time.Time, service *ownedService) {
	fenced := len(o.fleet.Entries) > 0
	for _, entry := range o.fleet.Entries {
		claim := service.claims[entry.VM]
		if claim == nil || !claim.accepted || service.contradicted(entry.VM) {
			fenced = false
		}
	}
	if fenced && !service.fenced {
		service.fencedAt = now
	}
	service.fenced = fenced
	o.noteCoverage(now, service)
	service.settled = fenced && service.covered != nil && sameVMs(service.covered, service.list)
}

// noteCoverage remembers that the agent knows every run of its keys under the present list.
func (o *Owner) noteCoverage(now time.Time, service *ownedService) {
	if !service.fenced || (service.covered != nil && sameVMs(service.covered, service.list)) {
		return
	}
	if trusted := service.trusted; trusted != nil && service.unchangedSince(trusted.fencedAt) {
		service.covered = trusted.covered
	}
	service.trusted = nil
	if service.covered != nil && sameVMs(service.covered, service.list) {
		return
	}
	complete := o.logsCover(now, service) || o.allHandedOver(now, service)
	for _, vm := range o.earlierOwners(now, service) {
		complete = complete && (o.isGone(vm) || service.hasReleased(vm))
	}
	if complete {
		service.covered = append([]ident.VM(nil), service.list...)
	}
	if complete != service.reported {
		service.reported = complete
		o.act(OwnershipChanged{Service: service.published.Name, Complete: complete, InDoubt: service.inDoubt()})
	}
}

// unchangedSince reports whether every entry knows all claims since the time, and no other
// list was in force since.
func (s *ownedService) unchangedSince(at time.Time) bool {
	for _, claim := range s.claims {
		if !claim.accepted || claim.knowsSince.After(at) {
			return false
		}
		for _, list := range claim.earlier {
			if list.replacedAt.After(at) {
				return false
			}
		}
	}
	return true
}

func (s *ownedService) inDoubt() int {
	count := 0
	for _, record := range s.keys {
		if record.state == keyInDoubt {
			count++
		}
	}
	return count
}

// advanceOwnership starts held keys that have become clear, and refuses those that waited too long.
func (o *Owner) advanceOwnership(now time.Time) {
	for _, name := range o.serviceNames() {
		service := o.services[name]
		for _, record := range service.heldRecords() {
			o.advanceHeld(now, service, record)
		}
	}
}

func (o *Owner) advanceHeld(now time.Time, service *ownedService, record *keyRecord) {
	held := o.attempts[record.waiters[0]]
	if service.ownerOf(record.key) != o.config.Self.VM {
		record.refusal = outcome.Refused(outcome.CauseNotOwner)
		o.keyEvent(now, record, "expire")
		return
	}
	verdict, retryAfter := o.judge(now, service, held.dispatch)
	taken := o.alone != nil && *o.alone != held.dispatch.ID
	refusedStart := o.stopping || held.dispatch.Lease < o.lease.Start || taken || (held.dispatch.Alone && o.running > 0)
	switch {
	case verdict == verdictClear && !refusedStart:
		o.keyEvent(now, record, "clear")
	case verdict == verdictDoubt || !now.Before(held.deadline) || o.stopping:
		record.refusal = o.doubt(record.key, retryAfter)
		if verdict == verdictClear {
			record.refusal = outcome.Refused(outcome.CauseBackendsFull)
		}
		o.keyEvent(now, record, "expire")
	}
}

// distrust forgets what the agent held to be true before it was paused.
func (o *Owner) distrust(now time.Time) {
	for _, name := range o.serviceNames() {
		service := o.services[name]
		if service.covered != nil && !service.fencedAt.IsZero() {
			service.trusted = &trustedCoverage{covered: service.covered, fencedAt: service.fencedAt}
		}
		service.covered = nil
		service.predecessor = nil
		service.released = map[ident.VM]release{}
		service.since = now
		service.newRound()
		o.refreshFence(now, service)
	}
}

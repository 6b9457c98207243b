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
		if service.needsRefresh(now) {
			o.requestMissingAnswers(now, service)
		}
	}
	o.tickets.expire(now)
}

func (o *Owner) expireKeys(now time.Time, service *ownedService) {
	for key, due := service.expiry.popExpired(now); due; key, due = service.expiry.popExpired(now) {
		record := service.keys[key]
		if record == nil || (record.state != keyServed && record.state != keyInDoubt) {
			continue
		}
		if !now.After(record.expires) {
			service.expiry.add(record.expires, key)
			continue
		}
		o.fireKey(now, record, "expire")
	}
}

// coverageInterval is the time between two checks whether the agent knows every run of its
// keys, while all entries have accepted its claim.
const coverageInterval = time.Second

// needsRefresh reports whether the passing of time may change what the agent knows, or requires
// another message.
func (s *ownedService) needsRefresh(now time.Time) bool {
	if s.complete {
		return false
	}
	return !s.fenced || now.Sub(s.refreshedAt) >= coverageInterval
}

// requestMissingAnswers sends claims to the entries, and release requests to the agents, whose
// answers are missing.
func (o *Owner) requestMissingAnswers(now time.Time, service *ownedService) {
	service.refreshedAt = now
	if !service.owns(o.config.Self.VM) {
		service.fenced = false
		return
	}
	for _, entry := range o.fleet.Entries {
		o.sendClaim(now, service, entry.VM)
	}
	o.requestReleases(now, service)
	o.updateFence(now, service)
}

func (o *Owner) sendClaim(now time.Time, service *ownedService, vm ident.VM) {
	claim := service.claims[vm]
	if claim == nil {
		claim = &claimState{parts: map[int]bool{}}
		service.claims[vm] = claim
	} else if (claim.accepted && !service.hasLaterIncarnation(vm)) || now.Sub(claim.sentAt) < o.config.ResendAfter {
		return
	}
	claim.sentAt = now
	o.act(SendClaim{To: vm, Claim: Claim{
		Claimant: o.config.Self, Service: service.published.Name,
		FleetVersion: service.listVersion, Round: service.round, List: service.listID,
	}})
}

// hasLaterIncarnation reports whether another entry knows a later incarnation of the entry on
// the VM than the one that accepted the claim.
func (s *ownedService) hasLaterIncarnation(vm ident.VM) bool {
	return s.newestPeers[vm] > s.claims[vm].entry.Incarnation
}

// recordPeers records the latest incarnation of each entry that any entry knows.
func (s *ownedService) recordPeers(peers []ident.Instance) {
	for _, peer := range peers {
		s.newestPeers[peer.VM] = max(s.newestPeers[peer.VM], peer.Incarnation)
	}
}

func (o *Owner) receiveClaimAnswer(now time.Time, answer ClaimAnswer) {
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
		service.claims[answer.Entry.VM] = newClaimState(now, claim.sentAt, answer)
		claim = service.claims[answer.Entry.VM]
	}
	service.recordPeers(answer.Peers)
	o.markKeysInDoubt(now, service, answer.Keys)
	claim.recordPart(answer)
	if claim.accepted && !service.fencedAt.IsZero() && claim.claimsKnownSince.After(service.fencedAt) {
		// The entry may have missed a claim of a later incarnation of the agent since fencedAt: ask
		// all entries again.
		service.newRound()
	}
	o.requestMissingAnswers(now, service)
}

// recordPart records a part of the entry's answer. A later answer replaces an incomplete one;
// a complete answer stays.
func (c *claimState) recordPart(answer ClaimAnswer) {
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

func newClaimState(now, askedAt time.Time, answer ClaimAnswer) *claimState {
	claim := &claimState{
		serial: answer.Serial, sentAt: askedAt, parts: map[int]bool{}, entry: answer.Entry,
		logCoversSince: now.Add(-answer.Covers), claimsKnownSince: now.Add(-answer.ClaimsKnownFor),
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

// markKeysInDoubt puts the keys in doubt that other incarnations of agents may have run.
func (o *Owner) markKeysInDoubt(now time.Time, service *ownedService, keys []DispatchedKey) {
	if o.config.Doubt == DoubtIgnore {
		return
	}
	for _, key := range keys {
		if service.ownerOf(key.RunKey) != o.config.Self.VM || service.hasAllKeysOf(key.Target) {
			continue
		}
		record := service.keys[key.RunKey]
		if record == nil {
			record = o.newRecord(service, key.RunKey, key.Body)
		}
		if record.state == keyNew || record.state == keyHeld || record.state == keyInDoubt {
			record.recordSource(key.Target, now.Add(-key.Age))
			record.doubtFromLogs = record.doubtFromLogs || record.state == keyNew || record.state == keyHeld
		}
		record.refusal = o.inDoubtOutcome(key.RunKey, 0)
		before := record.state
		o.fireKey(now, record, "doubt")
		if before != record.state {
			record.expires = now.Add(-key.Age).Add(o.windowOf(service)).Add(o.config.ClockSkew)
			service.expiry.add(record.expires, key.RunKey)
		}
	}
}

func (r *keyRecord) recordSource(target ident.Instance, at time.Time) {
	if r.sources == nil {
		r.sources = map[ident.Instance]time.Time{}
	}
	r.sources[target] = later(r.sources[target], at)
}

// hasAllKeysOf reports whether the target, another incarnation of an agent, has handed over to
// this agent all keys that it ran and that this agent owns now.
func (s *ownedService) hasAllKeysOf(target ident.Instance) bool {
	if s.predecessor != nil && s.predecessor.From == target {
		return true
	}
	return s.hasReleased(target.VM) && s.released[target.VM].from == target
}

// observeEntry repeats the claims if the entry's incarnation has not accepted them, and
// records an entry that is not on the roster.
func (o *Owner) observeEntry(now time.Time, entry ident.Instance) {
	if _, known := o.removedEntries[entry.VM]; !known && !o.listsEntry(entry.VM) {
		o.removedEntries[entry.VM] = now
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
			claim.sentAt = time.Time{}
		}
		o.requestMissingAnswers(now, service)
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

// updateFence recomputes whether the VM is fenced: all entries of the roster have accepted the
// claim, so that none dispatches keys to another incarnation on this VM.
func (o *Owner) updateFence(now time.Time, service *ownedService) {
	fenced := len(o.fleet.Entries) > 0
	for _, entry := range o.fleet.Entries {
		claim := service.claims[entry.VM]
		if claim == nil || !claim.accepted || service.hasLaterIncarnation(entry.VM) {
			fenced = false
		}
	}
	if fenced && !service.fenced {
		service.fencedAt = now
	}
	service.fenced = fenced
	o.updateCoverage(now, service)
	service.complete = fenced && service.covered != nil && sameVMs(service.covered, service.list)
}

// updateCoverage records the current list as covered once the agent knows every run of its
// keys under it, and reports that once per round. Neither the loss of coverage when a new round starts
// nor its restoration after a pause is reported.
func (o *Owner) updateCoverage(now time.Time, service *ownedService) {
	if !service.fenced || (service.covered != nil && sameVMs(service.covered, service.list)) {
		return
	}
	if prePause := service.prePause; prePause != nil && service.unchangedSince(prePause.fencedAt) {
		service.covered = prePause.covered
	}
	service.prePause = nil
	if service.covered != nil && sameVMs(service.covered, service.list) {
		return
	}
	complete := o.logsCover(now, service) || o.allHandedOver(now, service)
	for _, vm := range o.allEarlierOwners(now, service) {
		complete = complete && (o.isRemoved(vm) || service.hasReleased(vm))
	}
	if complete {
		service.covered = append([]ident.VM(nil), service.list...)
	}
	if complete != service.coverageReported {
		service.coverageReported = complete
		o.act(OwnershipChanged{Service: service.published.Name, Complete: complete, InDoubt: service.keysInDoubt()})
	}
}

// unchangedSince reports whether every entry has known all claims since the time, and no other
// list was in force after it.
func (s *ownedService) unchangedSince(at time.Time) bool {
	for _, claim := range s.claims {
		if !claim.accepted || claim.claimsKnownSince.After(at) {
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

func (s *ownedService) keysInDoubt() int {
	count := 0
	for _, record := range s.keys {
		if record.state == keyInDoubt {
			count++
		}
	}
	return count
}

// advanceOwnership starts held keys that may run now, and refuses those that waited too long.
func (o *Owner) advanceOwnership(now time.Time) {
	for _, name := range o.serviceNames() {
		service := o.services[name]
		for _, record := range service.heldRecords() {
			o.advanceHeld(now, service, record)
		}
	}
}

func (o *Owner) advanceHeld(now time.Time, service *ownedService, record *keyRecord) {
	attempt := o.attempts[record.waiters[0]]
	if service.ownerOf(record.key) != o.config.Self.VM {
		record.refusal = outcome.Refused(outcome.CauseNotOwner)
		// "expire" refuses a held key with record.refusal.
		o.fireKey(now, record, "expire")
		return
	}
	result, retryAfter := o.evaluateKey(now, service, attempt.dispatch)
	blocked := o.aloneAttempt != nil && *o.aloneAttempt != attempt.dispatch.ID
	refusedStart := o.stopping || attempt.dispatch.Lease < o.lease.MinStart || blocked || (attempt.dispatch.Alone && o.running > 0)
	switch {
	case result == eligible && !refusedStart:
		// "clear" starts a held key.
		o.fireKey(now, record, "clear")
	case result == eligibilityInDoubt || !now.Before(attempt.deadline) || o.stopping:
		record.refusal = o.inDoubtOutcome(record.key, retryAfter)
		if result == eligible {
			record.refusal = outcome.Refused(outcome.CauseBackendsFull)
		}
		o.fireKey(now, record, "expire")
	}
}

// revalidate is called after a pause of the process. It discards what the agent knew, since
// another incarnation may have claimed the VM, and starts a new round of claims.
func (o *Owner) revalidate(now time.Time) {
	for _, name := range o.serviceNames() {
		service := o.services[name]
		if service.covered != nil && !service.fencedAt.IsZero() {
			service.prePause = &prePauseCoverage{covered: service.covered, fencedAt: service.fencedAt}
		}
		service.covered = nil
		service.predecessor = nil
		service.released = map[ident.VM]release{}
		service.listSince = now
		service.newRound()
		o.requestMissingAnswers(now, service)
	}
}

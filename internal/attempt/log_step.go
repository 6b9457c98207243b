package attempt

import (
	"cmp"
	"sort"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/fleet"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/template"
)

// LogEvent is an event of a Log.
type LogEvent interface{ isLogEvent() }

// LogFleetChanged carries the published fleet; a version that is not later is ignored.
type LogFleetChanged struct{ Fleet fleet.Fleet }

// ClaimReceived carries an agent's claim.
type ClaimReceived struct{ Claim Claim }

// PeerQuestionReceived carries another entry's question.
type PeerQuestionReceived struct{ Question PeerQuestion }

// PeerAnswerReceived carries another entry's answer.
type PeerAnswerReceived struct{ Answer PeerAnswer }

// LogStop makes the entry stop dispatching run keys and hand its log over.
type LogStop struct{}

// LogHandOverReceived carries the log of an entry that is stopping.
type LogHandOverReceived struct{ HandOver LogHandOver }

// LogHandOverAckReceived reports that another entry stored the log.
type LogHandOverAckReceived struct{ Ack LogHandOverAck }

// LogClockGap reports that the process was paused, so that another incarnation may have
// replaced it in that time.
type LogClockGap struct{}

// LogTick advances the time: it repeats unanswered messages and drops expired keys.
type LogTick struct{}

func (LogFleetChanged) isLogEvent()        {}
func (ClaimReceived) isLogEvent()          {}
func (PeerQuestionReceived) isLogEvent()   {}
func (PeerAnswerReceived) isLogEvent()     {}
func (LogTick) isLogEvent()                {}
func (LogClockGap) isLogEvent()            {}
func (LogStop) isLogEvent()                {}
func (LogHandOverReceived) isLogEvent()    {}
func (LogHandOverAckReceived) isLogEvent() {}

// LogAction is an action of a Log.
type LogAction interface{ isLogAction() }

// SendClaimAnswer sends one part of an answer to the claimant's VM.
type SendClaimAnswer struct{ Answer ClaimAnswer }

// SendPeerQuestion sends a question to the entry on a VM.
type SendPeerQuestion struct {
	To       ident.VM
	Question PeerQuestion
}

// SendPeerAnswer sends an answer to the entry that asked.
type SendPeerAnswer struct{ Answer PeerAnswer }

// SendLogHandOver sends the log to the entry that is to store it.
type SendLogHandOver struct{ HandOver LogHandOver }

// SendLogHandOverAck confirms that a log is stored.
type SendLogHandOverAck struct{ Ack LogHandOverAck }

// LogStopped reports that the log is handed over, or that there is no entry to store it.
type LogStopped struct{}

// NeedFleet reports that a peer has a later fleet version, which should be fetched.
type NeedFleet struct{ Version template.Version }

// Superseded reports that a later incarnation of this VM is known. The process must stop and
// restart with an incarnation greater than By.
type Superseded struct{ By ident.Incarnation }

func (SendClaimAnswer) isLogAction()  {}
func (SendPeerQuestion) isLogAction() {}
func (SendPeerAnswer) isLogAction()   {}
func (NeedFleet) isLogAction()        {}

func (SendLogHandOver) isLogAction()    {}
func (SendLogHandOverAck) isLogAction() {}
func (LogStopped) isLogAction()         {}
func (Superseded) isLogAction()         {}

// Step handles one event.
func (l *Log) Step(now time.Time, event LogEvent) []LogAction {
	actions := l.handle(now, event)
	l.lastStep = now
	return actions
}

func (l *Log) handle(now time.Time, event LogEvent) []LogAction {
	switch event := event.(type) {
	case LogFleetChanged:
		return l.setFleet(now, event.Fleet)
	case ClaimReceived:
		return l.answerClaim(now, event.Claim)
	case PeerQuestionReceived:
		return l.answerPeer(now, event.Question)
	case PeerAnswerReceived:
		return l.receivePeerAnswer(now, event.Answer)
	case LogTick:
		l.expire(now)
		return append(l.askPeers(now), l.sendLog(now)...)
	case LogClockGap:
		return l.revalidate(now)
	case LogStop:
		l.stop.stopping = true
		return l.sendLog(now)
	case LogHandOverReceived:
		return l.storeLog(now, event.HandOver)
	case LogHandOverAckReceived:
		return l.receiveLogAck(event.Ack)
	}
	return nil
}

func (l *Log) setFleet(now time.Time, next fleet.Fleet) []LogAction {
	if next.Version <= l.fleet.Version {
		return nil
	}
	l.recordRemovedEntries(now, next)
	for _, service := range next.Services {
		l.setService(now, service)
	}
	l.fleet = next
	return l.askPeers(now)
}

func (l *Log) recordRemovedEntries(now time.Time, next fleet.Fleet) {
	present := map[ident.VM]bool{}
	for _, entry := range next.Entries {
		present[entry.VM] = true
		delete(l.removed, entry.VM)
	}
	for _, entry := range l.fleet.Entries {
		if !present[entry.VM] {
			l.removed[entry.VM] = now
			delete(l.answeredPeers, entry.VM)
		}
	}
}

func (l *Log) setService(now time.Time, service fleet.Service) {
	log := l.services[service.Name]
	if log == nil {
		l.services[service.Name] = &serviceLog{
			service: service, listID: ListID(backendVMs(service)), keys: map[ident.RunKey]*loggedKey{},
		}
		return
	}
	if before := backendVMs(log.service); !sameVMs(before, backendVMs(service)) {
		log.earlier = append(log.earlier, newEarlierList(before, now))
		log.byOwner = nil
		log.listID = ListID(backendVMs(service))
	}
	log.service = service
}

func sameVMs(a, b []ident.VM) bool {
	if len(a) != len(b) {
		return false
	}
	members := map[ident.VM]bool{}
	for _, vm := range a {
		members[vm] = true
	}
	for _, vm := range b {
		if !members[vm] {
			return false
		}
	}
	return true
}

func (l *Log) answerClaim(now time.Time, claim Claim) []LogAction {
	answer := ClaimAnswer{
		Entry: l.config.Self, Claimant: claim.Claimant, Service: claim.Service, Round: claim.Round,
		Parts: 1, FleetVersion: l.fleet.Version, Previous: l.previousTo(claim.Claimant),
	}
	if refusal := l.claimRefusal(claim); refusal != ClaimAccepted {
		answer.Refused = refusal
		answer.Superseding = l.claims[claim.Claimant.VM].Current
		actions := []LogAction{SendClaimAnswer{answer}}
		if refusal == ClaimBehind {
			actions = append(actions, NeedFleet{claim.FleetVersion})
		}
		return actions
	}
	recordLatestIncarnation(l.claims, KnownIncarnation{VM: claim.Claimant.VM, Current: claim.Claimant.Incarnation})
	answer.Covers = now.Sub(l.completeSince)
	answer.ClaimsKnownFor = now.Sub(l.claimsKnownSince)
	answer.Peers = l.knownPeers()
	answer.Removed = l.removedEntries(now)
	log := l.services[claim.Service]
	if log == nil {
		return []LogAction{SendClaimAnswer{answer}}
	}
	log.expire(now, l.config.StartsWithin)
	for _, earlier := range log.earlier {
		answer.Earlier = append(answer.Earlier, EarlierList{VMs: earlier.vms, Age: now.Sub(earlier.replacedAt)})
	}
	l.serial++
	answer.Serial = l.serial
	return splitAnswer(l.config.KeysPerPart, answer, log.keysForClaim(now, claim, claim.FleetVersion == l.fleet.Version))
}

// previousTo returns the latest incarnation that claimed the VM before the claimant; 0 for none.
func (l *Log) previousTo(claimant ident.Instance) ident.Incarnation {
	return incarnationBefore(l.claims[claimant.VM], claimant.Incarnation)
}

func incarnationBefore(known KnownIncarnation, incarnation ident.Incarnation) ident.Incarnation {
	if known.Current == incarnation {
		return known.Previous
	}
	return known.Current
}

// recordLatestIncarnation records a VM's incarnation unless a later one is known.
func recordLatestIncarnation(latest map[ident.VM]KnownIncarnation, received KnownIncarnation) {
	current := latest[received.VM]
	switch {
	case received.Current > current.Current:
		received.Previous = max(received.Previous, current.Current)
		latest[received.VM] = received
	case received.Current == current.Current:
		current.Previous = max(current.Previous, received.Previous)
		latest[received.VM] = current
	}
}

func (l *Log) heldClaims() []KnownIncarnation {
	claims := make([]KnownIncarnation, 0, len(l.claims))
	for _, claim := range l.claims {
		claims = append(claims, claim)
	}
	sort.Slice(claims, func(i, j int) bool { return claims[i].VM < claims[j].VM })
	return claims
}

func (l *Log) claimRefusal(claim Claim) ClaimRefusal {
	switch {
	case claim.FleetVersion > l.fleet.Version:
		return ClaimBehind
	case claim.Claimant.Incarnation < l.claims[claim.Claimant.VM].Current:
		return ClaimSuperseded
	case !l.PeersAnswered():
		return ClaimPeersPending
	case l.hasOtherList(claim):
		return ClaimOtherList
	}
	return ClaimAccepted
}

// hasOtherList reports whether the claimant's list differs from the entry's under the same
// version. Two agents could then own one run key.
func (l *Log) hasOtherList(claim Claim) bool {
	log := l.services[claim.Service]
	return log != nil && claim.FleetVersion == l.fleet.Version && claim.List != log.listID
}

// keysForClaim returns the keys of the claimant's VM that were dispatched to other incarnations
// or VMs. If the versions differ the claimant's list is unknown, so it returns all owners' keys.
func (s *serviceLog) keysForClaim(now time.Time, claim Claim, sameVersion bool) []DispatchedKey {
	names := s.keysOwnedBy(claim.Claimant.VM)
	if !sameVersion {
		names = sortedKeys(s.keys, cmp.Compare)
	}
	var keys []DispatchedKey
	for _, name := range names {
		if s.keys[name] == nil {
			continue
		}
		for _, target := range s.keys[name].targets {
			if target.instance == claim.Claimant || (target.open == 0 && !target.served) {
				continue
			}
			keys = append(keys, target.dispatched(now, name))
		}
	}
	return keys
}

func splitAnswer(keysPerPart int, answer ClaimAnswer, keys []DispatchedKey) []LogAction {
	answer.Parts = max(1, (len(keys)+keysPerPart-1)/keysPerPart)
	actions := make([]LogAction, 0, answer.Parts)
	for part := range answer.Parts {
		answer.Part = part
		answer.Keys = keys[part*keysPerPart : min(len(keys), (part+1)*keysPerPart)]
		actions = append(actions, SendClaimAnswer{answer})
	}
	return actions
}

func (l *Log) knownPeers() []ident.Instance {
	instances := make([]ident.Instance, 0, len(l.peers))
	for _, peer := range l.peers {
		instances = append(instances, ident.Instance{VM: peer.VM, Incarnation: peer.Current})
	}
	sort.Slice(instances, func(i, j int) bool { return instances[i].VM < instances[j].VM })
	return instances
}

// removedEntries returns the entries that left the roster, and the known entries that are not on it.
func (l *Log) removedEntries(now time.Time) []RemovedEntry {
	since := map[ident.VM]time.Time{}
	for vm := range l.peers {
		since[vm] = now
	}
	for vm, at := range l.removed {
		since[vm] = at
	}
	for _, entry := range l.fleet.Entries {
		delete(since, entry.VM)
	}
	removed := make([]RemovedEntry, 0, len(since))
	for vm, at := range since {
		removed = append(removed, RemovedEntry{VM: vm, Age: now.Sub(at)})
	}
	sort.Slice(removed, func(i, j int) bool { return removed[i].VM < removed[j].VM })
	return removed
}

func (l *Log) askPeers(now time.Time) []LogAction {
	var actions []LogAction
	for _, vm := range l.unansweredPeers() {
		if asked, ok := l.peerAskedAt[vm]; ok && now.Sub(asked) < l.config.ResendAfter {
			continue
		}
		l.peerAskedAt[vm] = now
		actions = append(actions, SendPeerQuestion{To: vm, Question: PeerQuestion{Asker: l.config.Self}})
	}
	return actions
}

func (l *Log) expire(now time.Time) {
	var longest time.Duration
	for _, log := range l.services {
		log.expire(now, l.config.StartsWithin)
		longest = max(longest, retentionOf(log.service)+l.config.StartsWithin)
	}
	for vm, kept := range l.stop.stored {
		if now.Sub(kept.receivedAt) > longest {
			delete(l.stop.stored, vm)
		}
	}
}

func (s *serviceLog) expire(now time.Time, startsWithin time.Duration) {
	keptFor := retentionOf(s.service) + startsWithin
	for name, due := s.expiry.popExpired(now); due; name, due = s.expiry.popExpired(now) {
		if key := s.keys[name]; key != nil && key.expire(now, keptFor) {
			delete(s.keys, name)
		}
	}
	kept := s.earlier[:0]
	for _, earlier := range s.earlier {
		if now.Sub(earlier.replacedAt) <= keptFor {
			kept = append(kept, earlier)
		}
	}
	s.earlier = kept
}

// expire drops the targets whose last dispatch is older than keptFor, and reports whether none is left.
func (k *loggedKey) expire(now time.Time, keptFor time.Duration) bool {
	kept := k.targets[:0]
	for _, target := range k.targets {
		if now.Sub(target.at) <= keptFor {
			kept = append(kept, target)
		}
	}
	k.targets = kept
	return len(kept) == 0
}

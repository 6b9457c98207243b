package attempt

import (
	"slices"
	"sort"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// handOvers is the agent's state for planned moves of run keys.
type handOvers struct {
	// custody holds the final hand-overs of other agents' incarnations, by VM and service.
	custody map[custodyKey]*custody
	// unacknowledged holds the final hand-overs that were sent and not acknowledged.
	unacknowledged map[handOverKey]HandOver
	sentAt         time.Time
	finalSent      bool
	serial         uint64
	// partial holds the parts of hand-overs that have not arrived in full.
	partial map[partialHandOverKey]*partialHandOver
}

type partialHandOverKey struct {
	from    ident.Instance
	service ident.Service
	custody bool
}

// partialHandOver holds the parts of one hand-over by their number.
type partialHandOver struct {
	serial uint64
	parts  map[int]HandOver
}

// sendHandOver sends a hand-over in parts.
func (o *Owner) sendHandOver(handOver HandOver) {
	o.handOvers.serial++
	handOver.Serial = o.handOvers.serial
	groups := o.splitKeys(handOver.Keys)
	handOver.Parts = len(groups)
	for part, keys := range groups {
		handOver.Part = part
		handOver.Keys = keys
		o.act(SendHandOver{handOver})
	}
}

// splitKeys returns at least one group of keys within the bounds of a part.
func (o *Owner) splitKeys(keys []KeyTransfer) [][]KeyTransfer {
	groups := [][]KeyTransfer{nil}
	bytes := 0
	for _, key := range keys {
		last := len(groups) - 1
		full := len(groups[last]) >= o.config.KeysPerPart || bytes+len(key.Content) > o.config.BytesPerPart
		if full && len(groups[last]) > 0 {
			groups = append(groups, nil)
			last++
			bytes = 0
		}
		groups[last] = append(groups[last], key)
		bytes += len(key.Content)
	}
	return groups
}

// assemble returns the whole hand-over once its last part has arrived. Parts with an older
// serial are ignored.
func (o *Owner) assemble(part HandOver) (HandOver, bool) {
	if part.Parts <= 1 {
		return part, true
	}
	key := partialHandOverKey{part.From, part.Service, part.Custody}
	incomplete := o.handOvers.partial[key]
	if incomplete == nil || part.Serial > incomplete.serial {
		incomplete = &partialHandOver{serial: part.Serial, parts: map[int]HandOver{}}
		o.handOvers.partial[key] = incomplete
	}
	if part.Serial < incomplete.serial {
		return HandOver{}, false
	}
	incomplete.parts[part.Part] = part
	if len(incomplete.parts) < part.Parts {
		return HandOver{}, false
	}
	delete(o.handOvers.partial, key)
	whole := part
	whole.Keys = nil
	for i := range part.Parts {
		whole.Keys = append(whole.Keys, incomplete.parts[i].Keys...)
	}
	return whole, true
}

type custodyKey struct {
	vm      ident.VM
	service ident.Service
}

// custody is a final hand-over that the agent keeps for the next incarnation of the sender's VM.
type custody struct {
	handOver HandOver
	// receiver is the incarnation that requested the keys first; no other gets them. 0 for none.
	receiver ident.Incarnation
}

type handOverKey struct {
	to      ident.VM
	service ident.Service
}

// requestReleases asks earlier owners for their keys, and the custodian for the keys of the
// VM's previous incarnation.
func (o *Owner) requestReleases(now time.Time, service *ownedService) {
	vms := o.allEarlierOwners(now, service)
	if custodian := service.custodianOf(o.config.Self.VM); custodian != "" && service.predecessor == nil {
		vms = append(vms, custodian)
	}
	for _, vm := range vms {
		asked, wasAsked := service.releaseAskedAt[vm]
		if vm == o.config.Self.VM || o.isRemoved(vm) || service.hasReleased(vm) {
			continue
		}
		if wasAsked && now.Sub(asked) < o.config.ResendAfter {
			continue
		}
		service.releaseAskedAt[vm] = now
		o.act(SendRelease{To: vm, Request: ReleaseRequest{
			Asker: o.config.Self, Service: service.published.Name, FleetVersion: service.listVersion, Round: service.round,
		}})
	}
}

// ownersUnder returns the VMs that may have owned, under the earlier list, keys that the agent
// owns now. With rendezvous hashing a key moves only away from a VM that left the list, or to
// a VM that joined it.
func (s *ownedService) ownersUnder(earlier earlierList, self ident.VM) []ident.VM {
	if !slices.Contains(earlier.vms, self) {
		return earlier.vms
	}
	members := make(map[ident.VM]bool, len(s.list))
	for _, vm := range s.list {
		members[vm] = true
	}
	var former []ident.VM
	for _, vm := range earlier.vms {
		if !members[vm] {
			former = append(former, vm)
		}
	}
	return former
}

// allEarlierOwners returns the VMs, without this one, that may have owned keys of this agent under
// any list that earlierLists returns.
func (o *Owner) allEarlierOwners(now time.Time, service *ownedService) []ident.VM {
	seen := map[ident.VM]bool{o.config.Self.VM: true}
	var owners []ident.VM
	for _, list := range o.earlierLists(now, service) {
		for _, vm := range service.ownersUnder(list, o.config.Self.VM) {
			if !seen[vm] {
				seen[vm] = true
				owners = append(owners, vm)
			}
		}
	}
	sort.Slice(owners, func(i, j int) bool { return owners[i] < owners[j] })
	return owners
}

// allHandedOver reports whether every earlier owner handed over its keys and knew every run of them.
func (o *Owner) allHandedOver(now time.Time, service *ownedService) bool {
	if !o.knowsOwnRuns(now, service) {
		return false
	}
	for _, list := range o.earlierLists(now, service) {
		for _, vm := range service.ownersUnder(list, o.config.Self.VM) {
			if vm != o.config.Self.VM && !service.releasedAll(earlierOwner{vm: vm, list: list.id}) {
				return false
			}
		}
	}
	return true
}

// receiveReleaseRequest sends the asker the keys that the asker owns now, and those that this agent
// keeps in custody for it.
func (o *Owner) receiveReleaseRequest(now time.Time, request ReleaseRequest) {
	if request.FleetVersion > o.fleet.Version {
		o.act(OwnerNeedsFleet{request.FleetVersion})
		return
	}
	service := o.services[request.Service]
	if service == nil || request.Asker.VM == o.config.Self.VM {
		return
	}
	o.sendCustody(request)
	handOver := o.handOverTo(now, service, request.Asker.VM)
	handOver.Round = request.Round
	o.sendHandOver(handOver)
}

func (o *Owner) sendCustody(request ReleaseRequest) {
	kept := o.handOvers.custody[custodyKey{request.Asker.VM, request.Service}]
	if kept == nil || kept.handOver.From == request.Asker {
		return
	}
	if kept.receiver != 0 && kept.receiver != request.Asker.Incarnation {
		return
	}
	kept.receiver = request.Asker.Incarnation
	o.sendHandOver(kept.handOver)
}

// handOverTo returns the hand-over of the keys that the VM owns under the current list.
func (o *Owner) handOverTo(now time.Time, service *ownedService, to ident.VM) HandOver {
	handOver := HandOver{
		From: o.config.Self, To: to, Service: service.published.Name, FleetVersion: o.fleet.Version,
		List: service.listID, CompleteFor: service.completeFor(),
	}
	for _, record := range service.sortedRecords() {
		if service.ownerOf(record.key) == to && record.movable() {
			handOver.Keys = append(handOver.Keys, record.transfer(now))
		}
	}
	return handOver
}

// completeFor identifies the list under which the agent knows every run of its keys: the
// current list, or the previous one if the current one is not covered yet; 0 for none.
func (s *ownedService) completeFor() uint64 {
	if s.covered == nil {
		return 0
	}
	latest := len(s.earlier) - 1
	if sameVMs(s.covered, s.list) || (latest >= 0 && sameVMs(s.covered, s.earlier[latest].vms)) {
		return ListID(s.covered)
	}
	return 0
}

// movable reports whether the key's new owner needs the record. A held key has not run, and a
// ticket's key can run at no other agent.
func (r *keyRecord) movable() bool {
	return !r.ticket && r.state != keyHeld
}

func (r *keyRecord) transfer(now time.Time) KeyTransfer {
	return KeyTransfer{
		RunKey: r.key, Body: r.body, Status: r.status(), ExpiresIn: max(0, r.expires.Sub(now)),
		Outcome: r.outcome, Answer: r.answer, Content: r.content,
	}
}

// forwardKey sends a key whose run ended after the key had moved to its new owner.
func (o *Owner) forwardKey(now time.Time, service *ownedService, record *keyRecord) {
	owner := service.ownerOf(record.key)
	if owner == o.config.Self.VM || owner == "" || !record.movable() || service.keys[record.key] == nil {
		return
	}
	o.sendHandOver(HandOver{
		From: o.config.Self, To: owner, Service: service.published.Name, FleetVersion: o.fleet.Version,
		List: service.listID, CompleteFor: service.completeFor(), Keys: []KeyTransfer{record.transfer(now)},
	})
}

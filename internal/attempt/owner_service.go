package attempt

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleyspool/bramleyspool/internal/fleet"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/template"
)

// ownedService is the agent's state of one service's run keys.
type ownedService struct {
	published fleet.Service
	// list holds the VMs of the published backend servers; listID identifies it.
	list   []ident.VM
	listID uint64
	// listVersion is the fleet version at which the agent first received the current list.
	listVersion template.Version
	// listSince is when the current list came into force, or the end of the last pause.
	listSince time.Time
	earlier   []earlierList
	keys      map[ident.RunKey]*keyRecord
	held      map[ident.RunKey]*keyRecord
	expiry    expiryQueue[ident.RunKey]
	round     uint64
	claims    map[ident.VM]*claimState
	// newestPeers holds the latest incarnation of each entry that an entry named in this round.
	newestPeers map[ident.VM]ident.Incarnation
	// fenced is true while all entries of the roster have accepted the claim, so that none of them
	// dispatches keys to another incarnation on this VM.
	fenced bool
	// complete is true while fenced holds and the agent knows every run of its keys. No message is
	// then sent until an event changes that.
	complete    bool
	refreshedAt time.Time
	// covered is the list under which the agent knows every run of its keys, or nil.
	covered []ident.VM
	// fencedAt is when fenced last became true in this round; zero before.
	fencedAt time.Time
	// prePause is what the agent knew before a pause of the process, or nil.
	prePause       *prePauseCoverage
	released       map[ident.VM]release
	releaseAskedAt map[ident.VM]time.Time
	// predecessor is the final hand-over of the VM's previous incarnation, or nil.
	predecessor      *HandOver
	coverageReported bool
}

// prePauseCoverage is restored once all entries answer that no other incarnation has claimed
// the VM since fencedAt.
type prePauseCoverage struct {
	covered  []ident.VM
	fencedAt time.Time
}

// release is an earlier owner's answer to the release request.
type release struct {
	version template.Version
	from    ident.Instance
	// completeFor identifies the list under which the sender knew every run of its keys; 0 for none.
	completeFor uint64
}

// claimState is an entry's answer to the claim of the current round.
type claimState struct {
	sentAt   time.Time
	parts    map[int]bool
	serial   uint64
	entry    ident.Instance
	accepted bool
	// logCoversSince and claimsKnownSince are times on this agent's clock.
	logCoversSince   time.Time
	claimsKnownSince time.Time
	previous         ident.Incarnation
	earlier          []earlierList
	removed          []removedEntry
}

// removedEntry is a known entry that is not on the roster. at is the time at which that was detected;
// nothing depends on it.
type removedEntry struct {
	vm ident.VM
	at time.Time
}

func (o *Owner) setFleet(now time.Time, next fleet.Fleet) {
	if next.Version <= o.fleet.Version {
		return
	}
	o.recordRemovedEntries(now, next)
	o.fleet = next
	for _, published := range next.Services {
		o.setService(now, published)
	}
	for _, name := range o.serviceNames() {
		o.requestMissingAnswers(now, o.services[name])
	}
}

func (o *Owner) recordRemovedEntries(now time.Time, next fleet.Fleet) {
	listed := map[ident.VM]bool{}
	for _, entry := range next.Entries {
		listed[entry.VM] = true
		delete(o.removedEntries, entry.VM)
	}
	for _, entry := range o.fleet.Entries {
		if !listed[entry.VM] {
			o.removedEntries[entry.VM] = now
		}
	}
}

func (o *Owner) recordRemovedVMs(now time.Time, vms []ident.VM) {
	for _, vm := range vms {
		if !o.isRemoved(vm) {
			o.removedVMs[vm] = now
		}
	}
}

func (o *Owner) isRemoved(vm ident.VM) bool {
	_, removed := o.removedVMs[vm]
	return removed
}

func (o *Owner) setService(now time.Time, published fleet.Service) {
	list := backendVMs(published)
	service := o.services[published.Name]
	if service == nil {
		service = &ownedService{
			published: published, list: list, listID: ListID(list), listVersion: o.fleet.Version, listSince: now,
			keys: map[ident.RunKey]*keyRecord{}, held: map[ident.RunKey]*keyRecord{},
			released: map[ident.VM]release{},
		}
		o.services[published.Name] = service
		service.newRound()
		return
	}
	before := service.list
	service.published = published
	service.list = list
	service.listID = ListID(list)
	if sameVMs(before, list) {
		return
	}
	service.earlier = append(service.earlier, newEarlierList(before, now))
	service.listVersion = o.fleet.Version
	service.listSince = now
	service.newRound()
}

func (s *ownedService) newRound() {
	s.round++
	s.claims = map[ident.VM]*claimState{}
	s.newestPeers = map[ident.VM]ident.Incarnation{}
	s.complete = false
	s.releaseAskedAt = map[ident.VM]time.Time{}
	s.fenced = false
	s.fencedAt = time.Time{}
	s.coverageReported = false
}

func (s *ownedService) heldRecords() []*keyRecord {
	records := make([]*keyRecord, 0, len(s.held))
	for _, record := range s.held {
		records = append(records, record)
	}
	sort.Slice(records, func(i, j int) bool { return records[i].key < records[j].key })
	return records
}

func (s *ownedService) ownerOf(key ident.RunKey) ident.VM {
	return RendezvousVM(string(key), s.list)
}

func (s *ownedService) owns(vm ident.VM) bool {
	for _, member := range s.list {
		if member == vm {
			return true
		}
	}
	return false
}

// ListID identifies a list of VMs regardless of its order.
func ListID(vms []ident.VM) uint64 {
	sorted := append([]ident.VM(nil), vms...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	digest := xxhash.New()
	for _, vm := range sorted {
		_, _ = digest.WriteString(string(vm) + hashSeparator)
	}
	return digest.Sum64()
}

func (o *Owner) serviceNames() []ident.Service {
	names := make([]ident.Service, 0, len(o.services))
	for name := range o.services {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}

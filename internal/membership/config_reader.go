package membership

import (
	"sort"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

const (
	// heartbeatLifetime is how long after its last sign of life a reader counts as alive.
	heartbeatLifetime = 15 * time.Second
	// polledHeartbeatLifetime is the same for the processes next in line, which ask the readers themselves.
	polledHeartbeatLifetime = 3 * time.Second
	// takeoverDelay is the time between two processes in line before they replace a reader.
	takeoverDelay = 2 * time.Second
	// stopReadingDelay is how long better readers must be alive before a reader stands back.
	stopReadingDelay = 5 * time.Second
)

// reader decides whether the process watches the configuration service and does so.
type reader struct {
	active bool
	// rank is the process's place in the zone's order of readers, from 0.
	rank int
	// order lists the members of the zone by rendezvous, the process itself included.
	order  []ident.VM
	rankOf map[ident.VM]int
	// otherZoneReaders lists the first readers of the other zones.
	otherZoneReaders []ident.VM
	// heartbeats tells when each reader of the zone last gave a sign of life.
	heartbeats map[ident.VM]time.Time
	// tooFewSince and spareSince tell since when there are too few or enough better readers.
	tooFewSince  time.Time
	surplusSince time.Time
	nextPollAt   time.Time
	fallbackAt   time.Time
	serviceCalls
}

// rankReaders orders the members of each zone by rendezvous.
func (n *ConfigNode) rankReaders() {
	self := Peer{VM: n.settings.Self, Zone: n.settings.Zone, Agent: n.settings.Agent}
	zones := map[ident.Zone][]Peer{self.Zone: {self}}
	for _, peer := range n.peers {
		zones[peer.Zone] = append(zones[peer.Zone], peer)
	}
	names := make([]ident.Zone, 0, len(zones))
	for zone := range zones {
		names = append(names, zone)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	n.reader.otherZoneReaders = nil
	for _, zone := range names {
		if zone != n.settings.Zone {
			order := readerOrder(zone, zones[zone])
			n.reader.otherZoneReaders = append(n.reader.otherZoneReaders, order[:min(n.settings.Readers, len(order))]...)
		}
	}
	n.reader.setOrder(n.settings.Self, readerOrder(n.settings.Zone, zones[n.settings.Zone]))
}

// readerOrder orders the members of a zone by rendezvous, agents before entries.
func readerOrder(zone ident.Zone, members []Peer) []ident.VM {
	type ranked struct {
		Peer
		score uint64
	}
	zoneHash := hashName("readers/" + string(zone))
	list := make([]ranked, len(members))
	for i, peer := range members {
		list[i] = ranked{Peer: peer, score: score(zoneHash, hashName(string(peer.VM)))}
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].Agent != list[j].Agent {
			return list[i].Agent
		}
		if list[i].score != list[j].score {
			return list[i].score > list[j].score
		}
		return list[i].VM < list[j].VM
	})
	order := make([]ident.VM, len(list))
	for i, entry := range list {
		order[i] = entry.VM
	}
	return order
}

func (r *reader) setOrder(self ident.VM, order []ident.VM) {
	r.order = order
	r.rankOf = make(map[ident.VM]int, len(order))
	for i, vm := range order {
		r.rankOf[vm] = i
	}
	r.rank = r.rankOf[self]
	for vm := range r.heartbeats {
		if _, member := r.rankOf[vm]; !member {
			delete(r.heartbeats, vm)
		}
	}
}

// zoneReaders returns the zone's first readers but the process itself.
func (n *ConfigNode) zoneReaders() []ident.VM {
	var list []ident.VM
	for _, vm := range n.reader.order[:min(n.settings.Readers, len(n.reader.order))] {
		if vm != n.settings.Self {
			list = append(list, vm)
		}
	}
	return list
}

// reset drops signs of life that are not to be trusted after a pause of the process, and
// calls whose answers may be lost.
func (r *reader) reset() {
	clear(r.heartbeats)
	r.mainCall = 0
	r.download = partsDownload{}
	r.tooFewSince, r.surplusSince = time.Time{}, time.Time{}
}

// recordHeartbeats notes signs of life that a peer of the zone passed on.
func (r *reader) recordHeartbeats(now time.Time, self ident.VM, beats []ReaderBeat) {
	for _, beat := range beats {
		at := now.Add(-beat.Age.Duration())
		if _, member := r.rankOf[beat.VM]; !member || beat.VM == self {
			continue
		}
		if at.After(r.heartbeats[beat.VM]) {
			r.heartbeats[beat.VM] = at
		}
	}
}

// heartbeatsToSend returns the signs of life to pass on, freshest first; at most the best few.
func (r *reader) heartbeatsToSend(now time.Time, self ident.VM) []ReaderBeat {
	const most = 3
	var list []ReaderBeat
	if r.active {
		list = append(list, ReaderBeat{VM: self})
	}
	for vm, at := range r.heartbeats {
		if age := now.Sub(at); age < heartbeatLifetime {
			list = append(list, ReaderBeat{VM: vm, Age: ToMilliseconds(age)})
		}
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].Age != list[j].Age {
			return list[i].Age < list[j].Age
		}
		return list[i].VM < list[j].VM
	})
	return list[:min(len(list), most)]
}

// countReaders counts the readers heard of within the lifetime: all, and those ranked before the process.
func (r *reader) countReaders(now time.Time, lifetime time.Duration) (all, better int) {
	for vm, at := range r.heartbeats {
		if now.Sub(at) >= lifetime {
			continue
		}
		all++
		if r.rankOf[vm] < r.rank {
			better++
		}
	}
	return all, better
}

func (n *ConfigNode) tickReader(now time.Time) {
	if n.asking.phase != askDone {
		return
	}
	n.pollReaders(now)
	if n.reader.active {
		n.stopReadingIfSurplus(now)
	} else {
		n.startReadingIfNeeded(now)
	}
	n.tickService(now)
}

// isStandby reports whether the process replaces one of the first readers when it dies.
func (n *ConfigNode) isStandby() bool {
	return n.reader.rank >= n.settings.Readers && n.reader.rank < 2*n.settings.Readers
}

// pollReaders has the processes next in line ask the readers for a sign of life.
func (n *ConfigNode) pollReaders(now time.Time) {
	if n.reader.active || !n.isStandby() || now.Before(n.reader.nextPollAt) {
		return
	}
	n.reader.nextPollAt = now.Add(time.Second)
	for _, vm := range n.zoneReaders() {
		n.send(vm, ConfigDigest{Held: n.stamp(), Ask: true})
	}
}

func (n *ConfigNode) startReadingIfNeeded(now time.Time) {
	r := &n.reader
	lifetime := heartbeatLifetime
	if n.isStandby() {
		lifetime = polledHeartbeatLifetime
	}
	all, _ := r.countReaders(now, lifetime)
	if all >= n.settings.Readers {
		r.tooFewSince = time.Time{}
		return
	}
	if r.tooFewSince.IsZero() {
		r.tooFewSince = now
	}
	if now.Sub(r.tooFewSince) >= r.startDelay(n.settings.Readers) {
		r.active = true
		r.surplusSince = time.Time{}
		r.backoff = 0
		r.nextCallAt = now
	}
}

// startDelay is how long too few readers must be alive before the process becomes one. It lets
// those before it in the order go first, and a fresh process hear of the others.
func (r *reader) startDelay(readers int) time.Duration {
	if r.rank < readers {
		return 0
	}
	if r.rank < 2*readers {
		return time.Duration(r.rank-readers+1) * takeoverDelay
	}
	return heartbeatLifetime + time.Duration(r.rank-2*readers+1)*takeoverDelay
}

func (n *ConfigNode) stopReadingIfSurplus(now time.Time) {
	r := &n.reader
	if _, better := r.countReaders(now, polledHeartbeatLifetime*2); better < n.settings.Readers {
		r.surplusSince = time.Time{}
		return
	}
	if r.surplusSince.IsZero() {
		r.surplusSince = now
	}
	if now.Sub(r.surplusSince) >= stopReadingDelay {
		r.active = false
		r.tooFewSince = time.Time{}
	}
}

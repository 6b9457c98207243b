package membership

import (
	"sort"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

const (
	// beatLifetime is how long after its last sign of life a reader counts as alive.
	beatLifetime = 15 * time.Second
	// checkedLifetime is the same for the processes next in line, which ask the readers themselves.
	checkedLifetime = 3 * time.Second
	// takeoverDelay is the time between two processes in line before they replace a reader.
	takeoverDelay = 2 * time.Second
	// handbackDelay is how long better readers must be alive before a reader stands back.
	handbackDelay = 5 * time.Second
)

// reader decides whether the process watches the configuration service and does so.
type reader struct {
	active bool
	// rank is the process's place in the zone's order of readers, from 0.
	rank int
	// order lists the members of the zone by rendezvous, the process itself included.
	order []ident.VM
	place map[ident.VM]int
	// ofOtherZones lists the first readers of the other zones.
	ofOtherZones []ident.VM
	// beats tells when each reader of the zone last gave a sign of life.
	beats map[ident.VM]time.Time
	// lackingSince and spareSince tell since when there are too few or enough better readers.
	lackingSince time.Time
	spareSince   time.Time
	nextCheck    time.Time
	fallback     time.Time
	service
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
	n.reader.ofOtherZones = nil
	for _, zone := range names {
		if zone != n.settings.Zone {
			order := readerOrder(zone, zones[zone])
			n.reader.ofOtherZones = append(n.reader.ofOtherZones, order[:min(n.settings.Readers, len(order))]...)
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
	r.place = make(map[ident.VM]int, len(order))
	for i, vm := range order {
		r.place[vm] = i
	}
	r.rank = r.place[self]
	for vm := range r.beats {
		if _, member := r.place[vm]; !member {
			delete(r.beats, vm)
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

// forget drops signs of life that are not to be trusted after a pause of the process, and
// calls whose answers may be lost.
func (r *reader) forget() {
	clear(r.beats)
	r.main = 0
	r.load = partsLoad{}
	r.lackingSince, r.spareSince = time.Time{}, time.Time{}
}

// hear notes signs of life that a peer of the zone passed on.
func (r *reader) hear(now time.Time, self ident.VM, beats []ReaderBeat) {
	for _, beat := range beats {
		at := now.Add(-beat.Age.Duration())
		if _, member := r.place[beat.VM]; !member || beat.VM == self {
			continue
		}
		if at.After(r.beats[beat.VM]) {
			r.beats[beat.VM] = at
		}
	}
}

// report returns the signs of life to pass on, freshest first; at most the best few.
func (r *reader) report(now time.Time, self ident.VM) []ReaderBeat {
	const most = 3
	var list []ReaderBeat
	if r.active {
		list = append(list, ReaderBeat{VM: self})
	}
	for vm, at := range r.beats {
		if age := now.Sub(at); age < beatLifetime {
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

// alive counts the readers heard of within the lifetime: all, and those ranked before the process.
func (r *reader) alive(now time.Time, lifetime time.Duration) (all, better int) {
	for vm, at := range r.beats {
		if now.Sub(at) >= lifetime {
			continue
		}
		all++
		if r.place[vm] < r.rank {
			better++
		}
	}
	return all, better
}

func (n *ConfigNode) tickReader(now time.Time) {
	if n.asking.phase != askDone {
		return
	}
	n.checkReaders(now)
	if n.reader.active {
		n.standBack(now)
	} else {
		n.takeOver(now)
	}
	n.tickService(now)
}

// nextInLine reports whether the process replaces one of the first readers when it dies.
func (n *ConfigNode) nextInLine() bool {
	return n.reader.rank >= n.settings.Readers && n.reader.rank < 2*n.settings.Readers
}

// checkReaders has the processes next in line ask the readers for a sign of life.
func (n *ConfigNode) checkReaders(now time.Time) {
	if n.reader.active || !n.nextInLine() || now.Before(n.reader.nextCheck) {
		return
	}
	n.reader.nextCheck = now.Add(time.Second)
	for _, vm := range n.zoneReaders() {
		n.send(vm, ConfigDigest{Held: n.stamp(), Ask: true})
	}
}

func (n *ConfigNode) takeOver(now time.Time) {
	r := &n.reader
	lifetime := beatLifetime
	if n.nextInLine() {
		lifetime = checkedLifetime
	}
	all, _ := r.alive(now, lifetime)
	if all >= n.settings.Readers {
		r.lackingSince = time.Time{}
		return
	}
	if r.lackingSince.IsZero() {
		r.lackingSince = now
	}
	if now.Sub(r.lackingSince) >= r.delay(n.settings.Readers) {
		r.active = true
		r.spareSince = time.Time{}
		r.backoff = 0
		r.nextCall = now
	}
}

// delay is how long too few readers must be alive before the process becomes one. It lets
// those before it in the order go first, and a fresh process hear of the others.
func (r *reader) delay(readers int) time.Duration {
	if r.rank < readers {
		return 0
	}
	if r.rank < 2*readers {
		return time.Duration(r.rank-readers+1) * takeoverDelay
	}
	return beatLifetime + time.Duration(r.rank-2*readers+1)*takeoverDelay
}

func (n *ConfigNode) standBack(now time.Time) {
	r := &n.reader
	if _, better := r.alive(now, checkedLifetime*2); better < n.settings.Readers {
		r.spareSince = time.Time{}
		return
	}
	if r.spareSince.IsZero() {
		r.spareSince = now
	}
	if now.Sub(r.spareSince) >= handbackDelay {
		r.active = false
		r.lackingSince = time.Time{}
	}
}

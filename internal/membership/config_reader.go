package membership

import (
	"sort"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

const (
	// heartbeatLifetime is how long after its last heartbeat a reader counts as running.
	heartbeatLifetime = 15 * time.Second
	// polledHeartbeatLifetime replaces heartbeatLifetime in standby processes, which poll the readers.
	polledHeartbeatLifetime = 3 * time.Second
	// takeoverDelay is how much longer each process waits than the one before it in the order of
	// preference, before it replaces a reader; see startDelay.
	takeoverDelay = 2 * time.Second
	// stopReadingDelay is the time after which a reader stops if at least ConfigSettings.Readers readers
	// that are preferred to it have been running all that time.
	stopReadingDelay = 5 * time.Second
)

// serviceAccess decides whether the process is a reader, that is, watches the configuration service. It
// holds the state of the process's calls to the service. Processes that are not readers have one too.
type serviceAccess struct {
	// reading is true while the process is a reader.
	reading bool
	// position is the index of the process in the field order; 0 is the most preferred.
	position int
	// order lists the processes of the zone, this one included, in order of preference as readers.
	order []ident.VM
	// positionOf is the index of each process in the field order.
	positionOf map[ident.VM]int
	// otherZoneReaders lists the preferred readers of the other zones.
	otherZoneReaders []ident.VM
	// heartbeats is the time of the last heartbeat of each reader of the zone.
	heartbeats map[ident.VM]time.Time
	// tooFewSince is when the running readers became fewer than ConfigSettings.Readers; zero if they are
	// not.
	tooFewSince time.Time
	// surplusSince is the time since which at least ConfigSettings.Readers readers that are preferred to this
	// process have been running; zero if fewer are.
	surplusSince time.Time
	nextPollAt   time.Time
	// fallbackAt is the time from which a process that is not a reader reads the service if no peer has a
	// configuration.
	fallbackAt time.Time
	serviceCalls
}

// orderReaders orders the processes of each zone by preference as readers.
func (n *ConfigNode) orderReaders() {
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
	n.access.otherZoneReaders = nil
	for _, zone := range names {
		if zone != n.settings.Zone {
			order := readerOrder(zone, zones[zone])
			n.access.otherZoneReaders = append(n.access.otherZoneReaders, order[:min(n.settings.Readers, len(order))]...)
		}
	}
	n.access.setOrder(n.settings.Self, readerOrder(n.settings.Zone, zones[n.settings.Zone]))
}

// readerOrder orders the processes of a zone by preference as readers: agents before entries, then by
// rendezvous score.
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
	for i, process := range list {
		order[i] = process.VM
	}
	return order
}

func (a *serviceAccess) setOrder(self ident.VM, order []ident.VM) {
	a.order = order
	a.positionOf = make(map[ident.VM]int, len(order))
	for i, vm := range order {
		a.positionOf[vm] = i
	}
	a.position = a.positionOf[self]
	for vm := range a.heartbeats {
		if _, member := a.positionOf[vm]; !member {
			delete(a.heartbeats, vm)
		}
	}
}

// preferredReaders returns the first ConfigSettings.Readers processes in the zone's order of preference,
// running or not, without the process itself.
func (n *ConfigNode) preferredReaders() []ident.VM {
	var list []ident.VM
	for _, vm := range n.access.order[:min(n.settings.Readers, len(n.access.order))] {
		if vm != n.settings.Self {
			list = append(list, vm)
		}
	}
	return list
}

// reset drops heartbeats, which are outdated after a pause of the process, and calls whose answers may
// be lost.
func (a *serviceAccess) reset() {
	clear(a.heartbeats)
	a.mainCall = 0
	a.download = partsDownload{}
	a.tooFewSince, a.surplusSince = time.Time{}, time.Time{}
}

// recordHeartbeats records heartbeats of readers that a peer in the zone passed on.
func (a *serviceAccess) recordHeartbeats(now time.Time, self ident.VM, received []ReaderHeartbeat) {
	for _, heartbeat := range received {
		at := now.Add(-heartbeat.Age.Duration())
		if _, member := a.positionOf[heartbeat.VM]; !member || heartbeat.VM == self {
			continue
		}
		if at.After(a.heartbeats[heartbeat.VM]) {
			a.heartbeats[heartbeat.VM] = at
		}
	}
}

// heartbeatsToSend returns the most recent heartbeats of the zone's readers, newest first, to send to
// a peer in the zone.
func (a *serviceAccess) heartbeatsToSend(now time.Time, self ident.VM) []ReaderHeartbeat {
	const maxHeartbeats = 3
	var list []ReaderHeartbeat
	if a.reading {
		list = append(list, ReaderHeartbeat{VM: self})
	}
	for vm, at := range a.heartbeats {
		if age := now.Sub(at); age < heartbeatLifetime {
			list = append(list, ReaderHeartbeat{VM: vm, Age: ToMilliseconds(age)})
		}
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].Age != list[j].Age {
			return list[i].Age < list[j].Age
		}
		return list[i].VM < list[j].VM
	})
	return list[:min(len(list), maxHeartbeats)]
}

// countReaders counts the readers with a heartbeat within the lifetime: all of them, and those that are
// preferred to the process.
func (a *serviceAccess) countReaders(now time.Time, lifetime time.Duration) (all, morePreferred int) {
	for vm, at := range a.heartbeats {
		if now.Sub(at) >= lifetime {
			continue
		}
		all++
		if a.positionOf[vm] < a.position {
			morePreferred++
		}
	}
	return all, morePreferred
}

func (n *ConfigNode) tickReader(now time.Time) {
	if n.asking.phase != askDone {
		return
	}
	n.pollReaders(now)
	if n.access.reading {
		n.stopReadingIfSurplus(now)
	} else {
		n.startReadingIfNeeded(now)
	}
	n.tickService(now)
}

// isStandby reports whether the process is among the first to replace a failed reader.
func (n *ConfigNode) isStandby() bool {
	return n.access.position >= n.settings.Readers && n.access.position < 2*n.settings.Readers
}

// pollReaders makes a standby process ask the preferred readers for their heartbeats once a second.
func (n *ConfigNode) pollReaders(now time.Time) {
	if n.access.reading || !n.isStandby() || now.Before(n.access.nextPollAt) {
		return
	}
	n.access.nextPollAt = now.Add(time.Second)
	for _, vm := range n.preferredReaders() {
		n.send(vm, ConfigDigest{Held: n.stamp(), Ask: true})
	}
}

func (n *ConfigNode) startReadingIfNeeded(now time.Time) {
	a := &n.access
	lifetime := heartbeatLifetime
	if n.isStandby() {
		lifetime = polledHeartbeatLifetime
	}
	all, _ := a.countReaders(now, lifetime)
	if all >= n.settings.Readers {
		a.tooFewSince = time.Time{}
		return
	}
	if a.tooFewSince.IsZero() {
		a.tooFewSince = now
	}
	if now.Sub(a.tooFewSince) >= a.startDelay(n.settings.Readers) {
		a.reading = true
		a.surplusSince = time.Time{}
		a.backoff = 0
		a.nextCallAt = now
	}
}

// startDelay is how long there must be too few readers before the process becomes one. It lets
// processes that are preferred to this one go first, and gives a new process time to receive the heartbeats
// of others.
func (a *serviceAccess) startDelay(readers int) time.Duration {
	if a.position < readers {
		return 0
	}
	if a.position < 2*readers {
		return time.Duration(a.position-readers+1) * takeoverDelay
	}
	return heartbeatLifetime + time.Duration(a.position-2*readers+1)*takeoverDelay
}

// stopReadingIfSurplus stops reading once at least ConfigSettings.Readers readers that are preferred to
// this process have been running for stopReadingDelay. A reader does not poll the others and receives their
// heartbeats only in periodic ConfigDigest messages and offers; each counts for twice
// polledHeartbeatLifetime.
func (n *ConfigNode) stopReadingIfSurplus(now time.Time) {
	a := &n.access
	if _, morePreferred := a.countReaders(now, polledHeartbeatLifetime*2); morePreferred < n.settings.Readers {
		a.surplusSince = time.Time{}
		return
	}
	if a.surplusSince.IsZero() {
		a.surplusSince = now
	}
	if now.Sub(a.surplusSince) >= stopReadingDelay {
		a.reading = false
		a.tooFewSince = time.Time{}
	}
}

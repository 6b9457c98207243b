package membership

import (
	"sort"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

const (
	// heartbeatLifetime is how long after its last heartbeat a reader counts as running.
	heartbeatLifetime = 15 * time.Second
	// polledHeartbeatLifetime is the same for standby processes, which poll the readers.
	polledHeartbeatLifetime = 3 * time.Second
	// takeoverDelay is the extra time that each process in the order of preference waits before it
	// replaces a reader.
	takeoverDelay = 2 * time.Second
	// stopReadingDelay is the time after which a reader stops if enough more preferred readers have been
	// running all that time.
	stopReadingDelay = 5 * time.Second
)

// reader decides whether the process watches the configuration service, and holds the state of its
// calls.
type reader struct {
	active bool
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
	// tooFewSince is when the running readers became too few; zero if they are not. surplusSince is
	// when enough more preferred readers were running; zero if they are not.
	tooFewSince  time.Time
	surplusSince time.Time
	nextPollAt   time.Time
	fallbackAt   time.Time
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
	n.reader.otherZoneReaders = nil
	for _, zone := range names {
		if zone != n.settings.Zone {
			order := readerOrder(zone, zones[zone])
			n.reader.otherZoneReaders = append(n.reader.otherZoneReaders, order[:min(n.settings.Readers, len(order))]...)
		}
	}
	n.reader.setOrder(n.settings.Self, readerOrder(n.settings.Zone, zones[n.settings.Zone]))
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
	for i, entry := range list {
		order[i] = entry.VM
	}
	return order
}

func (r *reader) setOrder(self ident.VM, order []ident.VM) {
	r.order = order
	r.positionOf = make(map[ident.VM]int, len(order))
	for i, vm := range order {
		r.positionOf[vm] = i
	}
	r.position = r.positionOf[self]
	for vm := range r.heartbeats {
		if _, member := r.positionOf[vm]; !member {
			delete(r.heartbeats, vm)
		}
	}
}

// preferredReaders returns the first ConfigSettings.Readers processes in the zone's order of preference,
// running or not, without the process itself.
func (n *ConfigNode) preferredReaders() []ident.VM {
	var list []ident.VM
	for _, vm := range n.reader.order[:min(n.settings.Readers, len(n.reader.order))] {
		if vm != n.settings.Self {
			list = append(list, vm)
		}
	}
	return list
}

// reset drops heartbeats, which are outdated after a pause of the process, and calls whose answers may
// be lost.
func (r *reader) reset() {
	clear(r.heartbeats)
	r.mainCall = 0
	r.download = partsDownload{}
	r.tooFewSince, r.surplusSince = time.Time{}, time.Time{}
}

// recordHeartbeats records heartbeats of readers that a peer in the zone passed on.
func (r *reader) recordHeartbeats(now time.Time, self ident.VM, received []ReaderHeartbeat) {
	for _, heartbeat := range received {
		at := now.Add(-heartbeat.Age.Duration())
		if _, member := r.positionOf[heartbeat.VM]; !member || heartbeat.VM == self {
			continue
		}
		if at.After(r.heartbeats[heartbeat.VM]) {
			r.heartbeats[heartbeat.VM] = at
		}
	}
}

// heartbeatsToSend returns the most recent heartbeats of the zone's readers, newest first, to send to
// a peer in the zone.
func (r *reader) heartbeatsToSend(now time.Time, self ident.VM) []ReaderHeartbeat {
	const maxHeartbeats = 3
	var list []ReaderHeartbeat
	if r.active {
		list = append(list, ReaderHeartbeat{VM: self})
	}
	for vm, at := range r.heartbeats {
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
// more preferred than the process.
func (r *reader) countReaders(now time.Time, lifetime time.Duration) (all, morePreferred int) {
	for vm, at := range r.heartbeats {
		if now.Sub(at) >= lifetime {
			continue
		}
		all++
		if r.positionOf[vm] < r.position {
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
	if n.reader.active {
		n.stopReadingIfSurplus(now)
	} else {
		n.startReadingIfNeeded(now)
	}
	n.tickService(now)
}

// isStandby reports whether the process is among the first to replace a failed reader.
func (n *ConfigNode) isStandby() bool {
	return n.reader.position >= n.settings.Readers && n.reader.position < 2*n.settings.Readers
}

// pollReaders makes a standby process ask the preferred readers for their heartbeats once a second.
func (n *ConfigNode) pollReaders(now time.Time) {
	if n.reader.active || !n.isStandby() || now.Before(n.reader.nextPollAt) {
		return
	}
	n.reader.nextPollAt = now.Add(time.Second)
	for _, vm := range n.preferredReaders() {
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

// startDelay is how long there must be too few readers before the process becomes one. It lets
// more preferred processes go first, and gives a new process time to receive the heartbeats of others.
func (r *reader) startDelay(readers int) time.Duration {
	if r.position < readers {
		return 0
	}
	if r.position < 2*readers {
		return time.Duration(r.position-readers+1) * takeoverDelay
	}
	return heartbeatLifetime + time.Duration(r.position-2*readers+1)*takeoverDelay
}

// stopReadingIfSurplus stops reading once enough more preferred readers have been running for
// stopReadingDelay. A reader does not poll the others and receives their heartbeats only in periodic
// digests and offers; each counts for twice polledHeartbeatLifetime.
func (n *ConfigNode) stopReadingIfSurplus(now time.Time) {
	r := &n.reader
	if _, morePreferred := r.countReaders(now, polledHeartbeatLifetime*2); morePreferred < n.settings.Readers {
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

package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/template"
)

// Defaults of a ConfigNode.
const (
	// DefaultReaders is the number of processes in a zone that watch the configuration service.
	DefaultReaders = 2
	// DefaultFanout is the default of ConfigSettings.Fanout.
	DefaultFanout = 4
	// DefaultDigestInterval is the default of ConfigSettings.DigestInterval.
	DefaultDigestInterval = time.Second
	// DefaultAskTimeout is how long a starting process waits for the answers of its peers.
	DefaultAskTimeout = time.Second
	// DefaultConfigMaxGap is the longest time between two calls of Step that is not a gap.
	DefaultConfigMaxGap = 2 * time.Second
	// neighboursInZone and neighboursInOtherZones are the numbers of peers that a process sends
	// ConfigDigest messages to, as offers and periodically. The neighbours rarely change, so that
	// connections to them are reused.
	neighboursInZone       = 6
	neighboursInOtherZones = 4
	// On average, in one of roundsPerRandomPeer periodic rounds, one random peer receives a ConfigDigest
	// instead of the neighbours. This is drawn separately for peers in the zone and in other zones.
	roundsPerRandomPeer = 30
	// maxRecent is how many earlier configurations are kept as bases of deltas.
	maxRecent = 8
	// maxRefused is how many refused stamps are kept.
	maxRefused = 16
)

// pastConfiguration lists the chunks of an earlier configuration.
type pastConfiguration struct {
	stamp   Stamp
	digests []Digest
}

// ConfigNode keeps the configuration of one process up to date. It is not safe for concurrent use.
type ConfigNode struct {
	settings       ConfigSettings
	random         random
	peers          []Peer
	zonePeers      []ident.VM
	otherZonePeers []ident.VM
	// zoneNeighbours and otherZoneNeighbours are the process's neighbours.
	zoneNeighbours      []ident.VM
	otherZoneNeighbours []ident.VM

	current     *configuration
	recent      []pastConfiguration
	newest      Stamp
	refused     []Stamp
	lastRefused *ReportRefused

	ready               bool
	lastStep            time.Time
	nextConfigDigestsAt time.Time
	asking              asking
	fetch               fetch
	access              serviceAccess
	out                 []ConfigAction
}

// NewConfigNode returns a node that waits for the list of its peers. It panics if settings have no
// Accept.
func NewConfigNode(settings ConfigSettings) *ConfigNode {
	if settings.Accept == nil {
		panic("invariant: ConfigSettings.Accept is nil")
	}
	if settings.Readers <= 0 {
		settings.Readers = DefaultReaders
	}
	if settings.Fanout <= 0 {
		settings.Fanout = DefaultFanout
	}
	setDefault(&settings.DigestInterval, DefaultDigestInterval)
	setDefault(&settings.AskTimeout, DefaultAskTimeout)
	setDefault(&settings.MaxGap, DefaultConfigMaxGap)
	node := &ConfigNode{settings: settings, random: random{state: settings.Seed ^ hashName(string(settings.Self))}}
	node.access.heartbeats = map[ident.VM]time.Time{}
	return node
}

// Step handles one event.
func (n *ConfigNode) Step(now time.Time, event ConfigEvent) []ConfigAction {
	n.out = nil
	n.checkGap(now)
	switch event := event.(type) {
	case PeersChanged:
		n.setPeers(now, event.Peers)
	case ConfigReceived:
		n.handleMessage(now, event.From, event.Message)
	case VersionReceived:
		n.handleVersion(event)
	case ServiceAnswered:
		n.handleServiceAnswer(now, event)
	case ServiceFailed:
		n.handleServiceFailure(now, event)
	case ConfigTick:
		n.tick(now)
	}
	n.checkReady(now)
	return n.out
}

// Status returns the state of the configuration, for operators.
func (n *ConfigNode) Status() ConfigStatus {
	return ConfigStatus{
		InForce:         n.stamp(),
		Newest:          n.newest,
		Ready:           n.ready,
		Reader:          n.access.reading,
		ServiceCalls:    n.access.calls,
		ServiceFailures: n.access.failures,
		Refused:         n.lastRefused,
	}
}

// stamp returns the stamp of the configuration in force; zero if there is none.
func (n *ConfigNode) stamp() Stamp {
	if n.current == nil {
		return Stamp{}
	}
	return n.current.stamp
}

func (n *ConfigNode) emit(action ConfigAction) {
	n.out = append(n.out, action)
}

func (n *ConfigNode) send(to ident.VM, message ConfigMessage) {
	n.emit(SendConfig{To: to, Message: message})
}

func (n *ConfigNode) setPeers(now time.Time, peers []Peer) {
	hadNoPeers := n.asking.phase == askDone && len(n.peers) == 0
	n.peers = make([]Peer, 0, len(peers))
	for _, peer := range peers {
		if peer.VM != n.settings.Self {
			n.peers = append(n.peers, peer)
		}
	}
	slices.SortFunc(n.peers, func(a, b Peer) int { return cmp.Compare(a.VM, b.VM) })
	n.peers = slices.CompactFunc(n.peers, func(a, b Peer) bool { return a.VM == b.VM })
	n.zonePeers, n.otherZonePeers = nil, nil
	for _, peer := range n.peers {
		if peer.Zone == n.settings.Zone {
			n.zonePeers = append(n.zonePeers, peer.VM)
		} else {
			n.otherZonePeers = append(n.otherZonePeers, peer.VM)
		}
	}
	n.zoneNeighbours = n.selectNeighbours(n.zonePeers, neighboursInZone)
	n.otherZoneNeighbours = n.selectNeighbours(n.otherZonePeers, neighboursInOtherZones)
	n.orderReaders()
	// A process without peers had none to ask, so it asks as soon as it has some.
	if n.asking.phase == askIdle || hadNoPeers && len(n.peers) > 0 {
		n.startAsking(now)
	}
}

// selectNeighbours returns the peers of the list with the highest rendezvous scores for the process.
func (n *ConfigNode) selectNeighbours(list []ident.VM, count int) []ident.VM {
	self := hashName("neighbours/" + string(n.settings.Self))
	members := make([]*hashedMember, len(list))
	for i, vm := range list {
		members[i] = &hashedMember{Member: Member{VM: vm}, hash: hashName(string(vm))}
	}
	selected := make([]ident.VM, 0, count)
	for _, best := range highestScored(self, members, count) {
		selected = append(selected, best.member.VM)
	}
	return selected
}

// isInZone reports whether a peer is known to be in the process's own zone.
func (n *ConfigNode) isInZone(vm ident.VM) bool {
	at, found := slices.BinarySearchFunc(n.peers, vm, func(peer Peer, vm ident.VM) int { return cmp.Compare(peer.VM, vm) })
	return found && n.peers[at].Zone == n.settings.Zone
}

// checkGap makes the process ask its peers again after it was paused.
func (n *ConfigNode) checkGap(now time.Time) {
	last := n.lastStep
	n.lastStep = now
	if last.IsZero() {
		return
	}
	gap := Gap(last, now)
	if gap > n.settings.MaxGap && n.asking.phase == askDone {
		n.access.reset()
		n.startAsking(now)
	}
}

func (n *ConfigNode) tick(now time.Time) {
	n.tickAsking(now)
	n.tickFetch(now)
	n.tickReader(now)
	if !now.Before(n.nextConfigDigestsAt) {
		n.nextConfigDigestsAt = now.Add(n.settings.DigestInterval)
		n.sendConfigDigests(now)
	}
}

// sendConfigDigests sends the stamp of the configuration in force to a few peers.
func (n *ConfigNode) sendConfigDigests(now time.Time) {
	inZone := 1
	if n.access.reading {
		inZone = n.settings.Fanout
	}
	targets := append(n.configDigestTargets(n.zoneNeighbours, n.zonePeers, inZone), n.configDigestTargets(n.otherZoneNeighbours, n.otherZonePeers, 1)...)
	for _, vm := range targets {
		n.send(vm, n.newConfigDigest(now, vm))
	}
}

// configDigestTargets returns random neighbours, or sometimes one random peer of the list instead.
func (n *ConfigNode) configDigestTargets(neighbours, list []ident.VM, count int) []ident.VM {
	if n.random.below(roundsPerRandomPeer) == 0 {
		return n.sample(list, 1)
	}
	return n.sample(neighbours, count)
}

// sendOffers offers a new configuration to neighbours in this and other zones. One that came from
// another zone is also offered to the preferred readers of this zone, because starting processes ask them.
func (n *ConfigNode) sendOffers(now time.Time, source ident.VM) {
	inZone := (n.settings.Fanout + 1) / 2
	targets := n.sample(n.zoneNeighbours, inZone)
	targets = append(targets, n.sample(n.otherZoneNeighbours, n.settings.Fanout-len(targets))...)
	if source != "" && !n.isInZone(source) {
		targets = append(targets, n.preferredReaders()...)
	}
	for i, vm := range targets {
		if !slices.Contains(targets[:i], vm) {
			n.send(vm, n.newConfigDigest(now, vm))
		}
	}
}

func (n *ConfigNode) newConfigDigest(now time.Time, to ident.VM) ConfigDigest {
	message := ConfigDigest{Held: n.stamp()}
	if n.isInZone(to) {
		message.Readers = n.access.heartbeatsToSend(now, n.settings.Self)
	}
	return message
}

// sample returns up to count different random members of the list.
func (n *ConfigNode) sample(list []ident.VM, count int) []ident.VM {
	if count >= len(list) {
		return append([]ident.VM(nil), list...)
	}
	chosen := make([]ident.VM, 0, count)
	for len(chosen) < count {
		vm := list[n.random.below(len(list))]
		if !slices.Contains(chosen, vm) {
			chosen = append(chosen, vm)
		}
	}
	return chosen
}

// putInForce puts a configuration in force if it is newer and valid. The source is the peer that sent
// it; "" for the configuration service.
func (n *ConfigNode) putInForce(now time.Time, source ident.VM, stamp Stamp, chunks []chunk) {
	if !n.stamp().Less(stamp) || n.isRefused(stamp) {
		return
	}
	candidate := &configuration{stamp: stamp, chunks: chunks}
	value := candidate.value()
	accepted, err := n.settings.Accept(value)
	switch {
	case err != nil:
		n.refuse(stamp, err.Error())
		return
	case accepted != stamp.Version:
		n.refuse(stamp, "the version in the value differs from the version in its manifest or in the peer's stamp")
		return
	}
	if n.current != nil {
		n.recent = append(n.recent, pastConfiguration{stamp: n.current.stamp, digests: n.current.digests()})
		n.recent = n.recent[max(0, len(n.recent)-maxRecent):]
	}
	n.current = candidate
	n.raiseNewest(stamp)
	n.emit(PutInForce{Stamp: stamp, Value: value})
	n.sendOffers(now, source)
}

func (n *ConfigNode) raiseNewest(stamp Stamp) {
	if n.newest.Less(stamp) && !n.isRefused(stamp) {
		n.newest = stamp
	}
}

// refuse records and reports a configuration that failed validation.
func (n *ConfigNode) refuse(stamp Stamp, reason string) {
	n.refused = append(n.refused, stamp)
	n.refused = n.refused[max(0, len(n.refused)-maxRefused):]
	n.lastRefused = &ReportRefused{Digest: stamp.Digest, Reason: reason}
	n.emit(*n.lastRefused)
	if n.newest == stamp {
		n.newest = n.stamp()
	}
}

func (n *ConfigNode) isRefused(stamp Stamp) bool {
	for _, refused := range n.refused {
		if refused == stamp {
			return true
		}
	}
	return false
}

// handleVersion asks a peer for a ConfigDigest if the peer announced a version that is newer than those in
// force, being fetched or refused.
func (n *ConfigNode) handleVersion(event VersionReceived) {
	// A newer version that was offered but is not the target of the fetch doesn't count, so n.newest is not
	// compared.
	known := max(n.stamp().Version, n.fetch.target.Version, n.newestRefused())
	if event.Version > known {
		n.send(event.From, ConfigDigest{Held: n.stamp(), Ask: true})
	}
}

func (n *ConfigNode) newestRefused() template.Version {
	var newest template.Version
	for _, stamp := range n.refused {
		newest = max(newest, stamp.Version)
	}
	return newest
}

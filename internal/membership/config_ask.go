package membership

import (
	"slices"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// askPhase is how far a starting process has come.
type askPhase uint8

const (
	askIdle askPhase = iota
	askWaiting
	// askFetching means that the answers are in and the newest configuration is being fetched.
	askFetching
	askDone
)

const (
	// askAllUpTo is the number of peers up to which a starting process asks all of them.
	askAllUpTo = 64
	// askInZone and askOutside are the numbers of random peers asked in a larger fleet.
	askInZone       = 8
	askInOtherZones = 8
	// askZones is the number of other zones one of whose readers is asked in a larger fleet.
	askZones = 6
	// askRounds is how often unanswered peers are asked within the timeout.
	askRounds = 3
	// catchUpTimeout is how long a starting process tries to fetch a newer configuration.
	catchUpTimeout = 4 * time.Second
	// fallbackDelay lets the readers fetch a first configuration and pass it on.
	fallbackDelay = 8 * time.Second
	// coldStartsPerSecond is the number of processes a second that turn to the configuration
	// service because they find no peer with a configuration.
	coldStartsPerSecond = 5
)

// asking is the state of a starting process.
type asking struct {
	phase       askPhase
	unanswered  []ident.VM
	started     time.Time
	deadline    time.Time
	nextAskAt   time.Time
	anyAnswered bool
}

// startAsking asks peers which configuration they have before the process serves.
func (n *ConfigNode) startAsking(now time.Time) {
	n.asking = asking{
		phase:      askWaiting,
		unanswered: n.askTargets(),
		started:    now,
		deadline:   now.Add(n.settings.AskTimeout),
	}
	n.sendAsks(now)
}

// askTargets returns all peers of a small fleet; of a large one the readers of the own and
// of some other zones, who hear first of every version in their zone, and random others.
func (n *ConfigNode) askTargets() []ident.VM {
	if len(n.peers) <= askAllUpTo {
		return n.sample(append(append([]ident.VM(nil), n.zonePeers...), n.otherZonePeers...), askAllUpTo)
	}
	targets := n.zoneReaders()
	targets = append(targets, n.sample(n.reader.otherZoneReaders, askZones)...)
	for _, vm := range append(n.sample(n.zonePeers, askInZone), n.sample(n.otherZonePeers, askInOtherZones)...) {
		if !slices.Contains(targets, vm) {
			targets = append(targets, vm)
		}
	}
	return targets
}

func (n *ConfigNode) sendAsks(now time.Time) {
	n.asking.nextAskAt = now.Add(n.settings.AskTimeout / askRounds)
	for _, vm := range n.asking.unanswered {
		n.send(vm, ConfigDigest{Held: n.stamp(), Ask: true})
	}
}

// recordAnswer notes the answer of a peer to a starting process.
func (n *ConfigNode) recordAnswer(from ident.VM, digest ConfigDigest) {
	if n.asking.phase != askWaiting || digest.Ask {
		return
	}
	for i, vm := range n.asking.unanswered {
		if vm == from {
			n.asking.unanswered = append(n.asking.unanswered[:i], n.asking.unanswered[i+1:]...)
			n.asking.anyAnswered = true
			return
		}
	}
}

func (n *ConfigNode) tickAsking(now time.Time) {
	if n.asking.phase == askWaiting && !now.Before(n.asking.nextAskAt) && now.Before(n.asking.deadline) {
		n.sendAsks(now)
	}
}

// checkReady moves a starting process on, and reports a change of readiness.
func (n *ConfigNode) checkReady(now time.Time) {
	if n.asking.phase == askWaiting && (len(n.asking.unanswered) == 0 || !now.Before(n.asking.deadline)) {
		n.asking.phase = askFetching
		n.asking.deadline = now.Add(catchUpTimeout)
		if !n.fetch.active() {
			n.fetchFromRandom(now)
		}
	}
	if n.asking.phase == askFetching && n.caughtUp(now) {
		n.asking.phase = askDone
		n.startFallback(now)
	}
	ready := n.asking.phase == askDone && n.current != nil
	if ready != n.ready {
		n.ready = ready
		n.emit(ReadinessChanged{Ready: ready})
	}
}

// caughtUp reports whether the newest configuration heard of is in force, or can't be had.
func (n *ConfigNode) caughtUp(now time.Time) bool {
	return !n.stamp().Less(n.newest) || !now.Before(n.asking.deadline)
}

// startFallback sets when a process that found no configuration at its peers reads the
// configuration service itself. The time is spread by the size of the fleet.
func (n *ConfigNode) startFallback(now time.Time) {
	spread := time.Duration(len(n.peers)+1) * time.Second / coldStartsPerSecond
	n.reader.fallbackAt = now.Add(fallbackDelay + time.Duration(n.random.below(int(spread))))
}

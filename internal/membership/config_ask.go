package membership

import (
	"slices"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// askPhase is how far a starting process has got in asking its peers for their configuration.
type askPhase uint8

const (
	askIdle askPhase = iota
	// askWaiting means that not all peers have answered yet.
	askWaiting
	// askFetching means that the peers have answered, or the timeout has passed, and the newest
	// configuration is being fetched.
	askFetching
	askDone
)

const (
	// askAllUpTo is the largest number of peers at which a starting process asks all of them.
	askAllUpTo = 64
	// askInZone and askInOtherZones are the numbers of random peers asked in a larger fleet.
	askInZone       = 8
	askInOtherZones = 8
	// askOtherZoneReaders is the number of preferred readers of other zones asked in a larger fleet.
	askOtherZoneReaders = 6
	// askRounds is how many times a peer that does not answer is asked within the timeout.
	askRounds = 3
	// catchUpTimeout is how long a starting process tries to fetch a newer configuration.
	catchUpTimeout = 4 * time.Second
	// fallbackDelay is how long a process waits for the readers to fetch a first configuration and
	// pass it on, before it reads the configuration service itself.
	fallbackDelay = 8 * time.Second
	// coldStartsPerSecond is how many processes a second read the configuration service because no
	// peer has a configuration.
	coldStartsPerSecond = 5
)

// asking is the state of a process that asks its peers, at its start or after a pause.
type asking struct {
	phase askPhase
	// unanswered are the peers that were asked and have not answered.
	unanswered []ident.VM
	// started is when the process began to ask. It is not read.
	started time.Time
	// deadline is the latest end of the phase askWaiting or askFetching.
	deadline  time.Time
	nextAskAt time.Time
	// anyAnswered is true once a peer has answered. It is not read.
	anyAnswered bool
}

// startAsking asks peers which configuration they have. The process is not ready until they have
// answered or the timeout has passed.
func (n *ConfigNode) startAsking(now time.Time) {
	n.asking = asking{
		phase:      askWaiting,
		unanswered: n.askTargets(),
		started:    now,
		deadline:   now.Add(n.settings.AskTimeout),
	}
	n.sendAsks(now)
}

// askTargets returns all peers of a small fleet. In a large fleet it returns the preferred readers of the
// process's zone, some of the preferred readers of other zones, and random other peers. Readers receive
// every new version first.
func (n *ConfigNode) askTargets() []ident.VM {
	if len(n.peers) <= askAllUpTo {
		return n.sample(append(append([]ident.VM(nil), n.zonePeers...), n.otherZonePeers...), askAllUpTo)
	}
	targets := n.preferredReaders()
	targets = append(targets, n.sample(n.access.otherZoneReaders, askOtherZoneReaders)...)
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

// recordAnswer removes a peer that answered from the unanswered ones.
func (n *ConfigNode) recordAnswer(from ident.VM, message ConfigDigest) {
	if n.asking.phase != askWaiting || message.Ask {
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

// checkReady starts the next phase of asking when it is due, and reports a change of readiness.
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
		n.scheduleFallback(now)
	}
	ready := n.asking.phase == askDone && n.current != nil
	if ready != n.ready {
		n.ready = ready
		n.emit(ReadinessChanged{Ready: ready})
	}
}

// caughtUp reports whether the newest known configuration is in force, or the time to fetch it has run
// out.
func (n *ConfigNode) caughtUp(now time.Time) bool {
	return !n.stamp().Less(n.newest) || !now.Before(n.asking.deadline)
}

// scheduleFallback sets the time from which the process reads the configuration service itself if no peer
// has a configuration. The time is random within a range that grows with the fleet.
func (n *ConfigNode) scheduleFallback(now time.Time) {
	spread := time.Duration(len(n.peers)+1) * time.Second / coldStartsPerSecond
	n.access.fallbackAt = now.Add(fallbackDelay + time.Duration(n.random.below(int(spread))))
}

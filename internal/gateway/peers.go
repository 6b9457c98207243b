package gateway

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/datagram"
)

// Intervals and limits of the exchange between entries. They bound an entry's messages whatever the number of entries.
const (
	// helloInterval is the interval at which an entry sends a hello to helloFanout others.
	helloInterval = 2 * time.Second
	helloFanout   = 2
	// joinInterval replaces helloInterval for joinTime after the start while no other entry is known.
	joinInterval = 200 * time.Millisecond
	joinTime     = 5 * time.Second
	// peerTimeout is the time after which an entry that nobody has heard of is forgotten.
	peerTimeout = 30 * time.Second
	// isolationTime is the time without a message of another entry after which an entry keeps to its share of servers'
	// limits. It is several intervals of hellos, some of which may be lost or go elsewhere.
	isolationTime = 5 * time.Second
	// maxPeers bounds the known entries, maxHelloPeers those in one hello.
	maxPeers      = 512
	maxHelloPeers = 24
	// updateFanout is the number of entries to which news of crashes is sent. Each passes on what is new to it, so that
	// nearly all learn it within a few updateDelay; differing digests in hellos make up for the rest.
	updateFanout = 5
)

// peerDirectory knows the other entries. It starts from the seeds and learns of others from hellos and from group
// reports. It does no I/O.
type peerDirectory struct {
	self    netip.AddrPort
	seeds   []netip.AddrPort
	random  *rand.Rand
	started time.Time
	// heardAt is when each entry was last heard by this or another entry.
	heardAt map[netip.AddrPort]time.Time
	// messageAt is when the last message of any entry arrived, and most the number of entries known before that.
	messageAt time.Time
	most      int
	helloAt   time.Time
	count     entryCount
	// firstStart is true if no entry ran before this one started. settled is true once isSettled has returned true.
	firstStart, settled bool
}

func newPeerDirectory(now time.Time, self netip.AddrPort, seeds []netip.Addr, random *rand.Rand) *peerDirectory {
	d := &peerDirectory{self: self, random: random, started: now, heardAt: map[netip.AddrPort]time.Time{}}
	for _, seed := range seeds {
		if address := netip.AddrPortFrom(seed, self.Port()); address != self {
			d.seeds = append(d.seeds, address)
		}
	}
	return d
}

// recordHeard records that an entry was heard at the given time. It returns true if the entry was unknown.
func (d *peerDirectory) recordHeard(now time.Time, peer netip.AddrPort, at time.Time) bool {
	last, known := d.heardAt[peer]
	if peer == d.self || now.Sub(at) > peerTimeout || !known && len(d.heardAt) >= maxPeers {
		return false
	}
	if at.After(last) {
		d.heardAt[peer] = at
	}
	return !known
}

// recordMessage records that a message of another entry has arrived.
func (d *peerDirectory) recordMessage(now time.Time) {
	d.messageAt, d.most = now, len(d.heardAt)
}

// isolated reports whether this entry hears of no other, although it did before.
func (d *peerDirectory) isolated(now time.Time) bool {
	return !d.messageAt.IsZero() && now.Sub(d.messageAt) > isolationTime
}

// entries returns the number of entries, including this one: while it is isolated, those that it knew before.
func (d *peerDirectory) entries() int { return 1 + max(len(d.heardAt), d.most) }

// joining reports whether this entry has just started. It may be known to others from before, but has forgotten all that
// they told it.
func (d *peerDirectory) joining(now time.Time) bool { return now.Sub(d.started) < joinTime }

// others returns the other known entries.
func (d *peerDirectory) others() []netip.AddrPort {
	return slices.Collect(maps.Keys(d.heardAt))
}

// merge records the entries that another entry knows.
func (d *peerDirectory) merge(now time.Time, peers []datagram.PeerAge) {
	for _, peer := range peers {
		if peer.Age >= 0 {
			d.recordHeard(now, peer.Address, now.Add(-peer.Age))
		}
	}
}

// expire forgets the entries that were not heard for peerTimeout.
func (d *peerDirectory) expire(now time.Time) {
	for peer, at := range d.heardAt {
		if now.Sub(at) > peerTimeout {
			delete(d.heardAt, peer)
		}
	}
}

// helloTargets returns the entries to which a hello is due now: random known ones and a seed, or all seeds while no
// entry is known.
func (d *peerDirectory) helloTargets(now time.Time) []netip.AddrPort {
	interval := helloInterval
	if len(d.heardAt) == 0 && now.Sub(d.started) < joinTime {
		interval = joinInterval
	}
	if now.Sub(d.helloAt) < interval {
		return nil
	}
	d.helloAt = now
	d.expire(now)
	if len(d.heardAt) == 0 {
		return d.seeds
	}
	targets := d.sample(helloFanout)
	if len(d.seeds) == 0 {
		return targets
	}
	// A seed joins groups of entries that have lost each other for longer than peerTimeout.
	if seed := d.seeds[d.random.IntN(len(d.seeds))]; !slices.Contains(targets, seed) {
		targets[len(targets)-1] = seed
	}
	return targets
}

// sample returns up to count random entries.
func (d *peerDirectory) sample(count int) []netip.AddrPort {
	peers := make([]netip.AddrPort, 0, len(d.heardAt))
	for peer := range d.heardAt {
		peers = append(peers, peer)
	}
	slices.SortFunc(peers, netip.AddrPort.Compare)
	d.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(count, len(peers))]
}

// known returns random known entries with the time since they were heard, for a hello.
func (d *peerDirectory) known(now time.Time) []datagram.PeerAge {
	var peers []datagram.PeerAge
	for _, peer := range d.sample(maxHelloPeers) {
		peers = append(peers, datagram.PeerAge{Address: peer, Age: now.Sub(d.heardAt[peer])})
	}
	return peers
}

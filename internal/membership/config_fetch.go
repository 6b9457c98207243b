package membership

import (
	"slices"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

const (
	// fetchTimeout is how long a peer may take to answer a fetch.
	fetchTimeout = 300 * time.Millisecond
	// fetchAttempts is how often a configuration is asked for before the node waits for
	// another offer.
	fetchAttempts = 8
	// messageBodies is the number of bytes of chunks after which a message is full.
	messageBodies = 64 << 10
	// chunksPerRequest is the number of chunks asked for in one message.
	chunksPerRequest = 64
	// maxHolders is how many peers that hold the newest configuration are remembered.
	maxHolders = 8
)

// fetch is the transfer of a configuration from peers.
type fetch struct {
	want     Stamp
	from     ident.VM
	deadline time.Time
	attempts int
	// holders are other peers known to hold the newest configuration.
	holders []ident.VM
	// digests lists the chunks once the manifest is known.
	digests []Digest
	bodies  map[Digest][]byte
}

func (f *fetch) active() bool {
	return f.from != ""
}

// received handles a message of a peer.
func (n *ConfigNode) received(now time.Time, from ident.VM, message ConfigMessage) {
	switch message := message.(type) {
	case ConfigDigest:
		n.digestReceived(now, from, message)
	case ConfigFetch:
		n.fetchReceived(now, from, message)
	case ConfigManifest:
		n.manifestReceived(now, from, message)
	case ConfigChunksRequest:
		n.chunksRequested(from, message)
	case ConfigChunks:
		n.chunksReceived(now, from, message)
	}
}

func (n *ConfigNode) digestReceived(now time.Time, from ident.VM, digest ConfigDigest) {
	n.reader.hear(now, n.settings.Self, digest.Readers)
	if n.stamp().Less(digest.Held) {
		n.offered(now, from, digest.Held)
	}
	n.answered(from, digest)
	if digest.Ask || digest.Held.Less(n.stamp()) {
		n.send(from, n.digest(now, from))
	}
}

// offered notes that a peer holds a newer configuration and fetches it.
func (n *ConfigNode) offered(now time.Time, from ident.VM, stamp Stamp) {
	if n.isRefused(stamp) || stamp.Less(n.newest) {
		return
	}
	if n.newest.Less(stamp) {
		n.newest = stamp
		n.fetch.holders = nil
	}
	if n.fetch.from != from || n.fetch.want != stamp {
		n.addHolder(from)
	}
	if n.asking.phase == askWaiting {
		return
	}
	if !n.fetch.active() || n.fetch.want.Less(stamp) && n.fetch.digests == nil {
		n.fetchNext(now)
	}
}

// fetchFromAny fetches the newest configuration from a random holder in the own zone. All
// starting processes ask the zone's readers, which are therefore spared where others hold it.
func (n *ConfigNode) fetchFromAny(now time.Time) {
	readers := n.zoneReaders()
	rank := func(vm ident.VM) int {
		switch {
		case !n.isInZone(vm):
			return 2
		case slices.Contains(readers, vm):
			return 1
		}
		return 0
	}
	holders := slices.Clone(n.fetch.holders)
	for i := range holders {
		other := i + n.random.below(len(holders)-i)
		holders[i], holders[other] = holders[other], holders[i]
	}
	slices.SortStableFunc(holders, func(a, b ident.VM) int { return rank(a) - rank(b) })
	n.fetch.holders = holders
	n.fetchNext(now)
}

// addHolder remembers a holder, those of the own zone first.
func (n *ConfigNode) addHolder(vm ident.VM) {
	if slices.Contains(n.fetch.holders, vm) {
		return
	}
	if n.isInZone(vm) {
		n.fetch.holders = append([]ident.VM{vm}, n.fetch.holders...)
	} else {
		n.fetch.holders = append(n.fetch.holders, vm)
	}
	n.fetch.holders = n.fetch.holders[:min(len(n.fetch.holders), maxHolders)]
}

// fetchNext asks the next holder of the newest configuration for it.
func (n *ConfigNode) fetchNext(now time.Time) {
	bodies := n.fetch.bodies
	if len(n.fetch.holders) == 0 || !n.stamp().Less(n.newest) {
		n.fetch = fetch{bodies: bodies}
		// A version that nobody can give must not keep older ones out that are newer than
		// the one in force.
		n.newest = n.stamp()
		return
	}
	holder := n.fetch.holders[0]
	attempts := n.fetch.attempts + 1
	if n.fetch.want != n.newest {
		attempts = 1
	}
	n.fetch = fetch{want: n.newest, from: holder, deadline: now.Add(fetchTimeout), attempts: attempts, holders: n.fetch.holders[1:], bodies: bodies}
	if n.fetch.bodies == nil {
		n.fetch.bodies = map[Digest][]byte{}
	}
	n.send(holder, ConfigFetch{Want: n.newest, Have: n.stamp()})
}

func (n *ConfigNode) tickFetch(now time.Time) {
	if !n.fetch.active() || now.Before(n.fetch.deadline) {
		return
	}
	// The message may be lost, so the holder has another turn after the others.
	if n.fetch.attempts < fetchAttempts && n.fetch.want == n.newest {
		n.fetch.holders = append(n.fetch.holders, n.fetch.from)
	}
	n.fetchNext(now)
}

func (n *ConfigNode) manifestReceived(now time.Time, from ident.VM, message ConfigManifest) {
	if from != n.fetch.from || message.Stamp.Less(n.fetch.want) {
		return
	}
	var base []Digest
	if !message.Base.IsZero() {
		if message.Base != n.stamp() {
			n.fetchNext(now)
			return
		}
		base = n.current.digests()
	}
	digests, ok := resolve(base, message.Segments)
	if !ok {
		n.fetchNext(now)
		return
	}
	n.raiseNewest(message.Stamp)
	n.fetch.want = message.Stamp
	n.fetch.digests = digests
	n.gather(message.Bodies)
	n.continueFetch(now)
}

func (n *ConfigNode) chunksReceived(now time.Time, from ident.VM, message ConfigChunks) {
	if from != n.fetch.from || message.Stamp != n.fetch.want || n.fetch.digests == nil {
		return
	}
	if n.gather(message.Bodies) == 0 {
		n.fetchNext(now)
		return
	}
	n.continueFetch(now)
}

// gather keeps the chunks that the configuration needs and returns their number.
func (n *ConfigNode) gather(bodies [][]byte) int {
	gathered := 0
	for _, body := range bodies {
		n.fetch.bodies[DigestOf(body)] = body
		gathered++
	}
	return gathered
}

// continueFetch asks for missing chunks, or puts the complete configuration in force.
func (n *ConfigNode) continueFetch(now time.Time) {
	n.fetch.deadline = now.Add(fetchTimeout)
	chunks, missing := n.assemble(n.fetch.digests, n.fetch.bodies)
	if len(missing) > 0 {
		missing = missing[:min(len(missing), chunksPerRequest)]
		n.send(n.fetch.from, ConfigChunksRequest{Stamp: n.fetch.want, Chunks: missing})
		return
	}
	// A peer's fault must not speak against the configuration: another peer is asked.
	candidate := configuration{chunks: chunks}
	if DigestOf(candidate.value()) == n.fetch.want.Digest {
		n.adopt(now, n.fetch.from, n.fetch.want, chunks)
	}
	n.fetch.bodies = nil
	n.fetchNext(now)
}

// assemble returns the chunks with the digests as far as they are at hand, and the missing ones.
func (n *ConfigNode) assemble(digests []Digest, bodies map[Digest][]byte) ([]chunk, []Digest) {
	held := map[Digest][]byte{}
	if n.current != nil {
		for _, part := range n.current.chunks {
			held[part.digest] = part.body
		}
	}
	chunks := make([]chunk, 0, len(digests))
	var missing []Digest
	for _, digest := range digests {
		body, ok := held[digest]
		if !ok {
			body, ok = bodies[digest]
		}
		if !ok {
			missing = append(missing, digest)
			continue
		}
		chunks = append(chunks, chunk{digest: digest, body: body})
	}
	return chunks, missing
}

// fetchReceived answers a peer that asks for a configuration.
func (n *ConfigNode) fetchReceived(now time.Time, from ident.VM, request ConfigFetch) {
	if n.current == nil || n.current.stamp.Less(request.Want) {
		n.send(from, n.digest(now, from))
		return
	}
	answer := ConfigManifest{Stamp: n.current.stamp}
	base, known := n.digestsOf(request.Have)
	if known {
		answer.Base = request.Have
	}
	answer.Segments = difference(base, n.current.digests())
	answer.Bodies = n.listedBodies(answer.Segments)
	n.send(from, answer)
}

func (n *ConfigNode) digestsOf(stamp Stamp) ([]Digest, bool) {
	for _, former := range n.recent {
		if former.stamp == stamp {
			return former.digests, true
		}
	}
	return nil, false
}

// listedBodies returns the contents of the chunks that segments list, as far as a message holds them.
func (n *ConfigNode) listedBodies(segments []Segment) [][]byte {
	var digests []Digest
	for _, segment := range segments {
		digests = append(digests, segment.Chunks...)
	}
	return n.bodies(digests)
}

func (n *ConfigNode) bodies(digests []Digest) [][]byte {
	wanted := make(map[Digest]bool, len(digests))
	for _, digest := range digests {
		wanted[digest] = true
	}
	var bodies [][]byte
	size := 0
	for _, part := range n.current.chunks {
		if wanted[part.digest] && (size == 0 || size+len(part.body) <= messageBodies) {
			wanted[part.digest] = false
			bodies = append(bodies, part.body)
			size += len(part.body)
		}
	}
	return bodies
}

func (n *ConfigNode) chunksRequested(from ident.VM, request ConfigChunksRequest) {
	if n.current == nil {
		return
	}
	n.send(from, ConfigChunks{Stamp: request.Stamp, Bodies: n.bodies(request.Chunks)})
}

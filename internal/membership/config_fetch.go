package membership

import (
	"slices"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

const (
	// fetchTimeout is how long a peer may take to answer a fetch.
	fetchTimeout = 300 * time.Millisecond
	// maxFetchAttempts is how often a configuration is asked for before the node waits for
	// another offer.
	maxFetchAttempts = 8
	// maxMessageBodyBytes is the number of bytes of chunks after which a message is full.
	maxMessageBodyBytes = 64 << 10
	// maxChunksPerRequest is the number of chunks asked for in one message.
	maxChunksPerRequest = 64
	// maxSources is how many peers that hold the newest configuration are remembered.
	maxSources = 8
)

// fetch is the transfer of a configuration from peers.
type fetch struct {
	target   Stamp
	from     ident.VM
	deadline time.Time
	attempts int
	// sources are other peers known to hold the newest configuration.
	sources []ident.VM
	// digests lists the chunks once the manifest is known.
	digests []Digest
	bodies  map[Digest][]byte
}

func (f *fetch) active() bool {
	return f.from != ""
}

// handleMessage handles a message of a peer.
func (n *ConfigNode) handleMessage(now time.Time, from ident.VM, message ConfigMessage) {
	switch message := message.(type) {
	case ConfigDigest:
		n.handleDigest(now, from, message)
	case ConfigFetch:
		n.handleFetch(now, from, message)
	case ConfigManifest:
		n.handleManifest(now, from, message)
	case ConfigChunksRequest:
		n.handleChunksRequest(from, message)
	case ConfigChunks:
		n.handleChunks(now, from, message)
	}
}

func (n *ConfigNode) handleDigest(now time.Time, from ident.VM, digest ConfigDigest) {
	n.reader.recordHeartbeats(now, n.settings.Self, digest.Readers)
	if n.stamp().Less(digest.Held) {
		n.handleOffer(now, from, digest.Held)
	}
	n.recordAnswer(from, digest)
	if digest.Ask || digest.Held.Less(n.stamp()) {
		n.send(from, n.newDigest(now, from))
	}
}

// handleOffer notes that a peer holds a newer configuration and fetches it.
func (n *ConfigNode) handleOffer(now time.Time, from ident.VM, stamp Stamp) {
	if n.isRefused(stamp) || stamp.Less(n.newest) {
		return
	}
	if n.newest.Less(stamp) {
		n.newest = stamp
		n.fetch.sources = nil
	}
	if n.fetch.from != from || n.fetch.target != stamp {
		n.addSource(from)
	}
	if n.asking.phase == askWaiting {
		return
	}
	if !n.fetch.active() || n.fetch.target.Less(stamp) && n.fetch.digests == nil {
		n.fetchNext(now)
	}
}

// fetchFromRandom fetches the newest configuration from a random holder in the own zone. All
// starting processes ask the zone's readers, which are therefore spared where others hold it.
func (n *ConfigNode) fetchFromRandom(now time.Time) {
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
	holders := slices.Clone(n.fetch.sources)
	for i := range holders {
		other := i + n.random.below(len(holders)-i)
		holders[i], holders[other] = holders[other], holders[i]
	}
	slices.SortStableFunc(holders, func(a, b ident.VM) int { return rank(a) - rank(b) })
	n.fetch.sources = holders
	n.fetchNext(now)
}

// addSource remembers a holder, those of the own zone first.
func (n *ConfigNode) addSource(vm ident.VM) {
	if slices.Contains(n.fetch.sources, vm) {
		return
	}
	if n.isInZone(vm) {
		n.fetch.sources = append([]ident.VM{vm}, n.fetch.sources...)
	} else {
		n.fetch.sources = append(n.fetch.sources, vm)
	}
	n.fetch.sources = n.fetch.sources[:min(len(n.fetch.sources), maxSources)]
}

// fetchNext asks the next holder of the newest configuration for it.
func (n *ConfigNode) fetchNext(now time.Time) {
	bodies := n.fetch.bodies
	if len(n.fetch.sources) == 0 || !n.stamp().Less(n.newest) {
		n.fetch = fetch{bodies: bodies}
		// A version that nobody can give must not keep older ones out that are newer than
		// the one in force.
		n.newest = n.stamp()
		return
	}
	holder := n.fetch.sources[0]
	attempts := n.fetch.attempts + 1
	if n.fetch.target != n.newest {
		attempts = 1
	}
	n.fetch = fetch{target: n.newest, from: holder, deadline: now.Add(fetchTimeout), attempts: attempts, sources: n.fetch.sources[1:], bodies: bodies}
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
	if n.fetch.attempts < maxFetchAttempts && n.fetch.target == n.newest {
		n.fetch.sources = append(n.fetch.sources, n.fetch.from)
	}
	n.fetchNext(now)
}

func (n *ConfigNode) handleManifest(now time.Time, from ident.VM, message ConfigManifest) {
	if from != n.fetch.from || message.Stamp.Less(n.fetch.target) {
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
	digests, ok := expandSegments(base, message.Segments)
	if !ok {
		n.fetchNext(now)
		return
	}
	n.raiseNewest(message.Stamp)
	n.fetch.target = message.Stamp
	n.fetch.digests = digests
	n.storeChunks(message.Bodies)
	n.continueFetch(now)
}

func (n *ConfigNode) handleChunks(now time.Time, from ident.VM, message ConfigChunks) {
	if from != n.fetch.from || message.Stamp != n.fetch.target || n.fetch.digests == nil {
		return
	}
	if n.storeChunks(message.Bodies) == 0 {
		n.fetchNext(now)
		return
	}
	n.continueFetch(now)
}

// storeChunks keeps the chunks that the configuration needs and returns their number.
func (n *ConfigNode) storeChunks(bodies [][]byte) int {
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
		missing = missing[:min(len(missing), maxChunksPerRequest)]
		n.send(n.fetch.from, ConfigChunksRequest{Stamp: n.fetch.target, Chunks: missing})
		return
	}
	// A peer's fault must not speak against the configuration: another peer is asked.
	candidate := configuration{chunks: chunks}
	if DigestOf(candidate.value()) == n.fetch.target.Digest {
		n.putInForce(now, n.fetch.from, n.fetch.target, chunks)
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

// handleFetch answers a peer that asks for a configuration.
func (n *ConfigNode) handleFetch(now time.Time, from ident.VM, request ConfigFetch) {
	if n.current == nil || n.current.stamp.Less(request.Want) {
		n.send(from, n.newDigest(now, from))
		return
	}
	answer := ConfigManifest{Stamp: n.current.stamp}
	base, known := n.digestsOf(request.Have)
	if known {
		answer.Base = request.Have
	}
	answer.Segments = diffSegments(base, n.current.digests())
	answer.Bodies = n.bodiesOfSegments(answer.Segments)
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

// bodiesOfSegments returns the contents of the chunks that segments list, as far as a message holds them.
func (n *ConfigNode) bodiesOfSegments(segments []Segment) [][]byte {
	var digests []Digest
	for _, segment := range segments {
		digests = append(digests, segment.Chunks...)
	}
	return n.bodiesOf(digests)
}

func (n *ConfigNode) bodiesOf(digests []Digest) [][]byte {
	wanted := make(map[Digest]bool, len(digests))
	for _, digest := range digests {
		wanted[digest] = true
	}
	var bodies [][]byte
	size := 0
	for _, part := range n.current.chunks {
		if wanted[part.digest] && (size == 0 || size+len(part.body) <= maxMessageBodyBytes) {
			wanted[part.digest] = false
			bodies = append(bodies, part.body)
			size += len(part.body)
		}
	}
	return bodies
}

func (n *ConfigNode) handleChunksRequest(from ident.VM, request ConfigChunksRequest) {
	if n.current == nil {
		return
	}
	n.send(from, ConfigChunks{Stamp: request.Stamp, Bodies: n.bodiesOf(request.Chunks)})
}

package membership

import (
	"slices"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

const (
	// fetchTimeout is how long a peer may take to answer a fetch.
	fetchTimeout = 300 * time.Millisecond
	// maxFetchAttempts is how many times a configuration is requested before the node waits for
	// another offer.
	maxFetchAttempts = 8
	// maxMessageBodyBytes bounds the chunks in one message, in bytes. A single larger chunk is still
	// sent.
	maxMessageBodyBytes = 64 << 10
	// maxChunksPerRequest is the largest number of chunks requested in one message.
	maxChunksPerRequest = 64
	// maxSources is how many peers that have the newest configuration are kept.
	maxSources = 8
)

// fetch is the transfer of a configuration from peers.
type fetch struct {
	target   Stamp
	from     ident.VM
	deadline time.Time
	attempts int
	// sources are the other peers known to have the newest configuration.
	sources []ident.VM
	// digests lists the chunks; nil until the manifest was received.
	digests []Digest
	bodies  map[Digest][]byte
}

func (f *fetch) active() bool {
	return f.from != ""
}

// handleMessage handles a message from a peer.
func (n *ConfigNode) handleMessage(now time.Time, from ident.VM, message ConfigMessage) {
	switch message := message.(type) {
	case ConfigDigest:
		n.handleConfigDigest(now, from, message)
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

func (n *ConfigNode) handleConfigDigest(now time.Time, from ident.VM, message ConfigDigest) {
	n.access.recordHeartbeats(now, n.settings.Self, message.Readers)
	if n.stamp().Less(message.Held) {
		n.handleOffer(now, from, message.Held)
	}
	n.recordAnswer(from, message)
	if message.Ask || message.Held.Less(n.stamp()) {
		n.send(from, n.newConfigDigest(now, from))
	}
}

// handleOffer records that a peer has a newer configuration and fetches it, unless the process still
// waits for answers of its peers.
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

// fetchFromRandom fetches the newest configuration from a random source, preferably in the same zone.
// The zone's preferred readers come after the other peers in the zone, because all starting processes ask
// these readers.
func (n *ConfigNode) fetchFromRandom(now time.Time) {
	readers := n.preferredReaders()
	rank := func(vm ident.VM) int {
		switch {
		case !n.isInZone(vm):
			return 2
		case slices.Contains(readers, vm):
			return 1
		}
		return 0
	}
	sources := slices.Clone(n.fetch.sources)
	for i := range sources {
		other := i + n.random.below(len(sources)-i)
		sources[i], sources[other] = sources[other], sources[i]
	}
	slices.SortStableFunc(sources, func(a, b ident.VM) int { return rank(a) - rank(b) })
	n.fetch.sources = sources
	n.fetchNext(now)
}

// addSource adds a peer to the sources; those in the same zone come first.
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

// fetchNext requests the newest configuration from the next source. It ends the fetch if there is no other
// source, or the newest configuration is in force.
func (n *ConfigNode) fetchNext(now time.Time) {
	bodies := n.fetch.bodies
	if len(n.fetch.sources) == 0 || !n.stamp().Less(n.newest) {
		n.fetch = fetch{bodies: bodies}
		// A version that no peer can send must not block the fetch of others that are older, but
		// newer than the one in force.
		n.newest = n.stamp()
		return
	}
	source := n.fetch.sources[0]
	attempts := n.fetch.attempts + 1
	if n.fetch.target != n.newest {
		attempts = 1
	}
	n.fetch = fetch{target: n.newest, from: source, deadline: now.Add(fetchTimeout), attempts: attempts, sources: n.fetch.sources[1:], bodies: bodies}
	if n.fetch.bodies == nil {
		n.fetch.bodies = map[Digest][]byte{}
	}
	n.send(source, ConfigFetch{Want: n.newest, Have: n.stamp()})
}

func (n *ConfigNode) tickFetch(now time.Time) {
	if !n.fetch.active() || now.Before(n.fetch.deadline) {
		return
	}
	// The message may have been lost, so the peer is tried again after the others.
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

// storeChunks stores chunks under their digests and returns their number.
func (n *ConfigNode) storeChunks(bodies [][]byte) int {
	stored := 0
	for _, body := range bodies {
		n.fetch.bodies[DigestOf(body)] = body
		stored++
	}
	return stored
}

// continueFetch requests missing chunks, or puts the complete configuration in force.
func (n *ConfigNode) continueFetch(now time.Time) {
	n.fetch.deadline = now.Add(fetchTimeout)
	chunks, missing := n.assemble(n.fetch.digests, n.fetch.bodies)
	if len(missing) > 0 {
		missing = missing[:min(len(missing), maxChunksPerRequest)]
		n.send(n.fetch.from, ConfigChunksRequest{Stamp: n.fetch.target, Chunks: missing})
		return
	}
	// If the digest differs, the peer sent wrong data. The configuration is not refused, but
	// fetched from another peer.
	candidate := configuration{chunks: chunks}
	if DigestOf(candidate.value()) == n.fetch.target.Digest {
		n.putInForce(now, n.fetch.from, n.fetch.target, chunks)
	}
	n.fetch.bodies = nil
	n.fetchNext(now)
}

// assemble returns the chunks with the digests, from the configuration in force or from bodies, and
// the digests of the missing ones.
func (n *ConfigNode) assemble(digests []Digest, bodies map[Digest][]byte) ([]chunk, []Digest) {
	held := map[Digest][]byte{}
	if n.current != nil {
		for _, piece := range n.current.chunks {
			held[piece.digest] = piece.body
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

// handleFetch answers a peer that requests a configuration.
func (n *ConfigNode) handleFetch(now time.Time, from ident.VM, request ConfigFetch) {
	if n.current == nil || n.current.stamp.Less(request.Want) {
		n.send(from, n.newConfigDigest(now, from))
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

// digestsOf returns the digests of the chunks of a recent configuration; false if it is not kept.
func (n *ConfigNode) digestsOf(stamp Stamp) ([]Digest, bool) {
	for _, past := range n.recent {
		if past.stamp == stamp {
			return past.digests, true
		}
	}
	return nil, false
}

// bodiesOfSegments returns the contents of the chunks that segments list, up to maxMessageBodyBytes.
func (n *ConfigNode) bodiesOfSegments(segments []Segment) [][]byte {
	var digests []Digest
	for _, segment := range segments {
		digests = append(digests, segment.Chunks...)
	}
	return n.bodiesOf(digests)
}

// bodiesOf returns the contents of chunks of the configuration in force, up to maxMessageBodyBytes.
func (n *ConfigNode) bodiesOf(digests []Digest) [][]byte {
	requested := make(map[Digest]bool, len(digests))
	for _, digest := range digests {
		requested[digest] = true
	}
	var bodies [][]byte
	size := 0
	for _, piece := range n.current.chunks {
		if requested[piece.digest] && (size == 0 || size+len(piece.body) <= maxMessageBodyBytes) {
			requested[piece.digest] = false
			bodies = append(bodies, piece.body)
			size += len(piece.body)
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

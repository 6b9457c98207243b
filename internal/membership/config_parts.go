package membership

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/template"
)

// PublishedPart is one part of a configuration as the manifest names it.
type PublishedPart struct {
	// Key is the part's key in the configuration service.
	Key string `json:"key"`
	// Digest is the head of the part's SHA-256 digest in hexadecimal, 16 digits.
	Digest string `json:"digest"`
}

// PublishedManifest names the parts of a configuration, which together are its value.
// A part is taken only with the digest that the manifest gives, so that parts of
// different versions can't be mixed.
type PublishedManifest struct {
	Version template.Version `json:"version"`
	Parts   []PublishedPart  `json:"parts"`
}

const (
	// MaxPartSize is the largest size of a part, in bytes, so that it fits a message between peers.
	MaxPartSize = maxMessageBodyBytes
	// maxConcurrentReads is the number of parts that are read at the same time.
	maxConcurrentReads = 4
	// partReadsPerSecond is the number of reads of parts a second by one process, so that all readers
	// of a large fleet together stay within what the service answers.
	partReadsPerSecond = 20
	// maxPartAttempts is how often a part is read before the manifest is read again.
	maxPartAttempts = 6
	// maxParts bounds the number of parts of a manifest.
	maxParts = 4096
)

// NewPublishedPart returns the entry of the manifest for a part.
func NewPublishedPart(key string, body []byte) PublishedPart {
	return PublishedPart{Key: key, Digest: fmt.Sprintf("%016x", uint64(DigestOf(body)))}
}

// ParseManifest reads a manifest and refuses one that is malformed.
func ParseManifest(value []byte) (PublishedManifest, error) {
	var manifest PublishedManifest
	decoder := json.NewDecoder(bytes.NewReader(value))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&manifest); err != nil {
		return manifest, fmt.Errorf("manifest: %w", err)
	}
	if manifest.Version == 0 {
		return manifest, fmt.Errorf("manifest: version: expected a positive number, found 0")
	}
	if len(manifest.Parts) == 0 || len(manifest.Parts) > maxParts {
		return manifest, fmt.Errorf("manifest: parts: expected 1 to %d, found %d", maxParts, len(manifest.Parts))
	}
	for i, part := range manifest.Parts {
		if _, err := part.digest(); err != nil || part.Key == "" {
			return manifest, fmt.Errorf("manifest: parts[%d]: expected a key and a digest of 16 hexadecimal digits", i)
		}
	}
	return manifest, nil
}

func (p PublishedPart) digest() (Digest, error) {
	var digest uint64
	if len(p.Digest) != 16 {
		return 0, fmt.Errorf("digest of %d digits", len(p.Digest))
	}
	_, err := fmt.Sscanf(p.Digest, "%016x", &digest)
	return Digest(digest), err
}

// partRead is one open or pending read of a part.
type partRead struct {
	call     CallID
	key      string
	digest   Digest
	attempts int
	retryAt  time.Time
	deadline time.Time
}

// partsDownload is the reading of the parts of a published manifest.
type partsDownload struct {
	version   template.Version
	digests   []Digest
	reads     []*partRead
	bodies    map[Digest][]byte
	startedAt time.Time
	// readsStarted counts the reads.
	readsStarted int
}

// withinRate reports whether another read stays within the rate.
func (l *partsDownload) withinRate(now time.Time) bool {
	return l.readsStarted < maxConcurrentReads+int(now.Sub(l.startedAt).Seconds()*partReadsPerSecond)
}

func (l *partsDownload) active() bool {
	return l.version != 0
}

func (l *partsDownload) hasCall(call CallID) bool {
	return call != 0 && l.find(call) != nil
}

func (l *partsDownload) find(call CallID) *partRead {
	for _, read := range l.reads {
		if read.call == call {
			return read
		}
	}
	return nil
}

// handlePublishedManifest handles a manifest from the service: it reads the parts that are not at hand.
func (n *ConfigNode) handlePublishedManifest(now time.Time, value []byte) {
	manifest, err := ParseManifest(value)
	if err != nil {
		n.refuseOnce(Stamp{Digest: DigestOf(value)}, err.Error())
		return
	}
	if manifest.Version < n.stamp().Version {
		n.reportOlder(Stamp{Version: manifest.Version})
		return
	}
	if manifest.Version == n.stamp().Version {
		return
	}
	load := partsDownload{version: manifest.Version, bodies: map[Digest][]byte{}, startedAt: now}
	keys := map[Digest]string{}
	for _, part := range manifest.Parts {
		digest, _ := part.digest()
		load.digests = append(load.digests, digest)
		keys[digest] = part.Key
	}
	_, missing := n.assemble(load.digests, nil)
	for i, digest := range missing {
		if !slices.Contains(missing[:i], digest) {
			load.reads = append(load.reads, &partRead{key: keys[digest], digest: digest, retryAt: now})
		}
	}
	n.reader.download = load
	n.tickDownload(now)
}

// tickDownload reads more parts, and ends the reading when it is complete, overtaken or futile.
func (n *ConfigNode) tickDownload(now time.Time) {
	load := &n.reader.download
	if !load.active() {
		return
	}
	if load.version <= n.stamp().Version {
		*load = partsDownload{}
		return
	}
	if len(load.reads) == 0 {
		n.finishDownload(now)
		return
	}
	for _, read := range load.reads {
		if read.call != 0 && !now.Before(read.deadline) {
			n.retryPart(now, read)
		}
		if read.attempts >= maxPartAttempts {
			*load = partsDownload{}
			n.backOff(now)
			return
		}
	}
	n.readParts(now)
}

// readParts opens reads of parts, a few at the same time.
func (n *ConfigNode) readParts(now time.Time) {
	load := &n.reader.download
	open := 0
	for _, read := range load.reads {
		if read.call != 0 {
			open++
		}
	}
	for _, read := range load.reads {
		if open < maxConcurrentReads && load.withinRate(now) && read.call == 0 && !now.Before(read.retryAt) {
			load.readsStarted++
			read.call = n.startCall(ServiceCall{Key: read.key})
			read.deadline = now.Add(serviceTimeout)
			open++
		}
	}
}

func (n *ConfigNode) finishDownload(now time.Time) {
	load := n.reader.download
	n.reader.download = partsDownload{}
	chunks, missing := n.assemble(load.digests, load.bodies)
	if len(missing) > 0 {
		n.backOff(now)
		return
	}
	candidate := configuration{chunks: chunks}
	n.putPublishedInForce(now, Stamp{Version: load.version, Digest: DigestOf(candidate.value())}, chunks)
}

func (n *ConfigNode) handlePartFailure(now time.Time, call CallID) {
	n.reader.failures++
	n.retryPart(now, n.reader.download.find(call))
}

func (n *ConfigNode) retryPart(now time.Time, read *partRead) {
	read.call = 0
	read.attempts++
	wait := minServiceBackoff << min(read.attempts-1, 3)
	read.retryAt = now.Add(wait/2 + time.Duration(n.random.below(int(wait))))
}

// handlePart keeps a part whose content is the one that the manifest names; any other
// comes from a replica of the service that lags, and is read again.
func (n *ConfigNode) handlePart(now time.Time, event ServiceAnswered) {
	load := &n.reader.download
	read := load.find(event.Call)
	if DigestOf(event.Value) != read.digest {
		n.retryPart(now, read)
		return
	}
	if len(event.Value) > MaxPartSize {
		n.refuseOnce(Stamp{Version: load.version, Digest: read.digest},
			fmt.Sprintf("part %s: expected at most %d bytes, found %d", read.key, MaxPartSize, len(event.Value)))
		*load = partsDownload{}
		return
	}
	load.bodies[read.digest] = event.Value
	for i, other := range load.reads {
		if other == read {
			load.reads = append(load.reads[:i], load.reads[i+1:]...)
			break
		}
	}
	n.tickDownload(now)
	if n.reader.active {
		n.tickService(now)
	}
}

package membership

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/template"
)

// PublishedPart is one part of a configuration as listed in the manifest.
type PublishedPart struct {
	// Key is the part's key in the configuration service.
	Key string `json:"key"`
	// Digest is the first 8 bytes of the part's SHA-256 hash, as 16 hexadecimal digits.
	Digest string `json:"digest"`
}

// PublishedManifest lists the parts of a configuration. The value of the configuration is the
// concatenation of its parts. A part is accepted only if its digest matches, so that parts of
// different versions can't be mixed.
type PublishedManifest struct {
	Version template.Version `json:"version"`
	Parts   []PublishedPart  `json:"parts"`
}

const (
	// MaxPartSize is the largest size of a part in bytes: a part must fit in a message between peers.
	MaxPartSize = maxMessageBodyBytes
	// maxConcurrentReads is the number of parts that are read at the same time.
	maxConcurrentReads = 4
	// partReadsPerSecond limits how many parts a process reads per second, so that the readers of a
	// large fleet do not overload the service together.
	partReadsPerSecond = 20
	// maxPartAttempts is how many times a part is read before the manifest is read again.
	maxPartAttempts = 6
	// maxParts bounds the number of parts of a manifest.
	maxParts = 4096
)

// NewPublishedPart returns the manifest's entry for a part.
func NewPublishedPart(key string, body []byte) PublishedPart {
	return PublishedPart{Key: key, Digest: fmt.Sprintf("%016x", uint64(DigestOf(body)))}
}

// ParseManifest parses and validates a manifest in JSON.
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
		return 0, fmt.Errorf("digest has %d characters, not 16", len(p.Digest))
	}
	_, err := fmt.Sscanf(p.Digest, "%016x", &digest)
	return Digest(digest), err
}

// partRead is the read of one part. Its call is 0 while none is open.
type partRead struct {
	call     CallID
	key      string
	digest   Digest
	attempts int
	retryAt  time.Time
	deadline time.Time
}

// partsDownload is the transfer of the parts of a published manifest from the configuration service.
type partsDownload struct {
	version template.Version
	digests []Digest
	// unfinishedReads are the reads of the parts that are not yet in bodies.
	unfinishedReads []*partRead
	bodies          map[Digest][]byte
	startedAt       time.Time
	// readsStarted counts the reads, including repeated ones.
	readsStarted int
}

// withinRate reports whether another read may start under partReadsPerSecond.
func (d *partsDownload) withinRate(now time.Time) bool {
	return d.readsStarted < maxConcurrentReads+int(now.Sub(d.startedAt).Seconds()*partReadsPerSecond)
}

func (d *partsDownload) active() bool {
	return d.version != 0
}

func (d *partsDownload) hasCall(call CallID) bool {
	return call != 0 && d.find(call) != nil
}

func (d *partsDownload) find(call CallID) *partRead {
	for _, read := range d.unfinishedReads {
		if read.call == call {
			return read
		}
	}
	return nil
}

// handlePublishedManifest handles a manifest from the service. It reads the parts that the
// configuration in force lacks.
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
	download := partsDownload{version: manifest.Version, bodies: map[Digest][]byte{}, startedAt: now}
	keys := map[Digest]string{}
	for _, part := range manifest.Parts {
		digest, _ := part.digest()
		download.digests = append(download.digests, digest)
		keys[digest] = part.Key
	}
	_, missing := n.assemble(download.digests, nil)
	for i, digest := range missing {
		if !slices.Contains(missing[:i], digest) {
			download.unfinishedReads = append(download.unfinishedReads, &partRead{key: keys[digest], digest: digest, retryAt: now})
		}
	}
	n.access.download = download
	n.tickDownload(now)
}

// tickDownload starts reads that are due. It ends the download when all parts were read, when a
// configuration of this version or a newer one is in force, or when reading a part failed too often.
func (n *ConfigNode) tickDownload(now time.Time) {
	download := &n.access.download
	if !download.active() {
		return
	}
	if download.version <= n.stamp().Version {
		*download = partsDownload{}
		return
	}
	if len(download.unfinishedReads) == 0 {
		n.finishDownload(now)
		return
	}
	for _, read := range download.unfinishedReads {
		if read.call != 0 && !now.Before(read.deadline) {
			n.retryPart(now, read)
		}
		if read.attempts >= maxPartAttempts {
			*download = partsDownload{}
			n.backOff(now)
			return
		}
	}
	n.readParts(now)
}

// readParts starts reads of parts, up to maxConcurrentReads at the same time.
func (n *ConfigNode) readParts(now time.Time) {
	download := &n.access.download
	open := 0
	for _, read := range download.unfinishedReads {
		if read.call != 0 {
			open++
		}
	}
	for _, read := range download.unfinishedReads {
		if open < maxConcurrentReads && download.withinRate(now) && read.call == 0 && !now.Before(read.retryAt) {
			download.readsStarted++
			read.call = n.startCall(ServiceCall{Key: read.key})
			read.deadline = now.Add(serviceTimeout)
			open++
		}
	}
}

func (n *ConfigNode) finishDownload(now time.Time) {
	download := n.access.download
	n.access.download = partsDownload{}
	chunks, missing := n.assemble(download.digests, download.bodies)
	if len(missing) > 0 {
		n.backOff(now)
		return
	}
	candidate := configuration{chunks: chunks}
	n.putPublishedInForce(now, Stamp{Version: download.version, Digest: DigestOf(candidate.value())}, chunks)
}

func (n *ConfigNode) handlePartFailure(now time.Time, call CallID) {
	n.access.failures++
	n.retryPart(now, n.access.download.find(call))
}

func (n *ConfigNode) retryPart(now time.Time, read *partRead) {
	read.call = 0
	read.attempts++
	wait := minServiceBackoff << min(read.attempts-1, 3)
	read.retryAt = now.Add(wait/2 + time.Duration(n.random.below(int(wait))))
}

// handlePart stores a part whose digest is the one in the manifest. Any other content comes from a
// lagging replica of the service, and the part is read again.
func (n *ConfigNode) handlePart(now time.Time, event ServiceAnswered) {
	download := &n.access.download
	read := download.find(event.Call)
	if DigestOf(event.Value) != read.digest {
		n.retryPart(now, read)
		return
	}
	if len(event.Value) > MaxPartSize {
		n.refuseOnce(Stamp{Version: download.version, Digest: read.digest},
			fmt.Sprintf("part %s: expected at most %d bytes, found %d", read.key, MaxPartSize, len(event.Value)))
		*download = partsDownload{}
		return
	}
	download.bodies[read.digest] = event.Value
	for i, other := range download.unfinishedReads {
		if other == read {
			download.unfinishedReads = append(download.unfinishedReads[:i], download.unfinishedReads[i+1:]...)
			break
		}
	}
	n.tickDownload(now)
	if n.access.reading {
		n.tickService(now)
	}
}

package membership

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
)

// Sizes of the chunks that a single value is split into, in bytes.
const (
	minChunkBytes = 512
	maxChunkBytes = 8192
	// chunkMask makes a chunk end after 2 KB on average beyond the minimum.
	chunkMask = uint64(2047) << 40
)

// chunk is a piece of a configuration. Peers exchange configurations as chunks, identified by their
// digests. With the layout SingleValue, splitValue makes the chunks; with ManifestOfParts, each
// published part is one chunk.
type chunk struct {
	digest Digest
	body   []byte
}

// configuration is a whole configuration, split into chunks.
type configuration struct {
	stamp  Stamp
	chunks []chunk
}

// DigestOf returns the digest of a value: the first 8 bytes of its SHA-256 hash.
func DigestOf(value []byte) Digest {
	sum := sha256.Sum256(value)
	return Digest(binary.BigEndian.Uint64(sum[:8]))
}

// value returns the concatenation of the chunks.
func (c *configuration) value() []byte {
	size := 0
	for _, piece := range c.chunks {
		size += len(piece.body)
	}
	value := make([]byte, 0, size)
	for _, piece := range c.chunks {
		value = append(value, piece.body...)
	}
	return value
}

func (c *configuration) digests() []Digest {
	list := make([]Digest, len(c.chunks))
	for i, piece := range c.chunks {
		list[i] = piece.digest
	}
	return list
}

// splitValue splits a value at boundaries that depend on its content (content-defined chunking), so
// that an edit changes only the chunks around it.
func splitValue(value []byte) []chunk {
	value = bytes.Clone(value)
	var chunks []chunk
	for len(value) > 0 {
		end := chunkEnd(value)
		chunks = append(chunks, chunk{digest: DigestOf(value[:end]), body: value[:end:end]})
		value = value[end:]
	}
	return chunks
}

func chunkEnd(value []byte) int {
	if len(value) <= minChunkBytes {
		return len(value)
	}
	limit := min(len(value), maxChunkBytes)
	rolling := uint64(0)
	// A byte affects the 64-bit hash for 64 steps, so earlier bytes can't affect a boundary.
	for i := minChunkBytes - 64; i < limit; i++ {
		rolling = rolling<<1 + gearTable[value[i]]
		if i >= minChunkBytes && rolling&chunkMask == 0 {
			return i + 1
		}
	}
	return limit
}

// gearTable maps each byte to a fixed random number for the rolling hash (Gear hash, as in FastCDC).
var gearTable = func() (table [256]uint64) {
	generator := random{state: 1}
	for i := range table {
		table[i] = generator.next()
	}
	return table
}()

// diffSegments describes a list of chunks relative to a base: chunks of the base by index, others by
// digest.
func diffSegments(base []Digest, next []Digest) []Segment {
	at := make(map[Digest]int, len(base))
	for i := len(base) - 1; i >= 0; i-- {
		at[base[i]] = i
	}
	var segments []Segment
	for _, digest := range next {
		from, copied := at[digest]
		last := len(segments) - 1
		switch {
		case copied && last >= 0 && segments[last].Count > 0 && int(segments[last].From+segments[last].Count) == from:
			segments[last].Count++
		case copied:
			segments = append(segments, Segment{From: uint32(from), Count: 1})
		case last >= 0 && segments[last].Count == 0:
			segments[last].Chunks = append(segments[last].Chunks, digest)
		default:
			segments = append(segments, Segment{Chunks: []Digest{digest}})
		}
	}
	return segments
}

// maxChunks bounds the number of chunks that a manifest from a peer may list.
const maxChunks = 1 << 16

// expandSegments returns the digests that segments describe. It returns false if they exceed the base
// or maxChunks.
func expandSegments(base []Digest, segments []Segment) ([]Digest, bool) {
	var digests []Digest
	for _, segment := range segments {
		end := uint64(segment.From) + uint64(segment.Count)
		if end > uint64(len(base)) || len(digests)+len(segment.Chunks)+int(segment.Count) > maxChunks {
			return nil, false
		}
		digests = append(digests, base[segment.From:end]...)
		digests = append(digests, segment.Chunks...)
	}
	return digests, true
}

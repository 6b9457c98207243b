package published

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleyspool/bramleyspool/internal/membership"
)

// Sizes of parts, in bytes.
const (
	minPartBytes = 4 << 10
	// maxPartBytes is less than membership.MaxPartSize, the size above which processes refuse a part.
	maxPartBytes = 48 << 10
	// boundaryMask selects the bits of a line's hash that must be 0 for the part to end after the line: one in eight lines
	// beyond minPartBytes.
	boundaryMask = 7
)

// Part is one part of a configuration with its key in the configuration service.
type Part struct {
	Key  string
	Body []byte
}

// Parts is a configuration in the layout "parts". All parts must be published before the manifest. A part is stored
// under its Part.Key, the manifest under the key "bramleyspool" (constant Key).
type Parts struct {
	Manifest []byte
	Parts    []Part
}

// Split validates a configuration and splits it into parts at content-defined boundaries: an edit changes only the parts
// around it, and the other parts keep their keys. The error is a fault.List if the configuration is invalid.
func Split(value []byte) (Parts, error) {
	configuration, faults := Accept(value)
	if len(faults) > 0 {
		return Parts{}, faults
	}
	manifest := membership.PublishedManifest{Version: configuration.Version}
	var parts Parts
	for _, body := range splitAtBoundaries(value) {
		key := fmt.Sprintf("%s-part-%016x", Key, uint64(membership.DigestOf(body)))
		manifest.Parts = append(manifest.Parts, membership.NewPublishedPart(key, body))
		parts.Parts = append(parts.Parts, Part{Key: key, Body: body})
	}
	var err error
	parts.Manifest, err = json.Marshal(manifest)
	return parts, err
}

// splitAtBoundaries splits a value after lines whose hash matches boundaryMask, and where a part would exceed maxPartBytes.
func splitAtBoundaries(value []byte) [][]byte {
	var parts [][]byte
	start, at := 0, 0
	for at < len(value) {
		length := bytes.IndexByte(value[at:], '\n') + 1
		if length == 0 || length > maxPartBytes {
			length = min(len(value)-at, maxPartBytes)
		}
		if at+length-start > maxPartBytes {
			parts = append(parts, value[start:at])
			start = at
		}
		line := value[at : at+length]
		at += length
		if at-start >= minPartBytes && xxhash.Sum64(line)&boundaryMask == 0 {
			parts = append(parts, value[start:at])
			start = at
		}
	}
	if start < len(value) {
		parts = append(parts, value[start:])
	}
	return parts
}

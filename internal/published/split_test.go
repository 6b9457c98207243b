package published_test

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/examples"
	"github.com/bramleyspool/bramleyspool/internal/membership"
	"github.com/bramleyspool/bramleyspool/internal/published"
)

func splitAndCheck(c *qt.C, value []byte) published.Parts {
	parts, err := published.Split(value)
	c.Assert(err, qt.IsNil)
	var joined []byte
	for _, part := range parts.Parts {
		c.Assert(len(part.Body) <= membership.MaxPartSize, qt.IsTrue)
		joined = append(joined, part.Body...)
	}
	c.Assert(bytes.Equal(joined, value), qt.IsTrue)
	manifest, err := membership.ParseManifest(parts.Manifest)
	c.Assert(err, qt.IsNil)
	c.Assert(manifest.Parts, qt.HasLen, len(parts.Parts))
	return parts
}

// After an edit of one value, only the part with the edit may have a new key. Otherwise each publication would transfer the
// whole configuration.
func TestSplitKeepsKeysOfUnchangedParts(t *testing.T) {
	c := qt.New(t)
	value, err := examples.Files.ReadFile("ndiaye/configuration.json")
	c.Assert(err, qt.IsNil)
	before := splitAndCheck(c, value)
	changed := strings.Replace(string(value), `"capacity": 48`, `"capacity": 49`, 1)
	after := splitAndCheck(c, []byte(changed))
	keysBefore := map[string]bool{}
	for _, part := range before.Parts {
		keysBefore[part.Key] = true
	}
	newParts := 0
	for _, part := range after.Parts {
		if !keysBefore[part.Key] {
			newParts++
		}
	}
	c.Assert(len(before.Parts) > 2, qt.IsTrue)
	c.Assert(newParts, qt.Equals, 1)
}

func TestSplitRejectsInvalidConfiguration(t *testing.T) {
	c := qt.New(t)
	_, err := published.Split([]byte(`{"version": 1}`))
	c.Assert(err, qt.IsNotNil)
}

// A line that is longer than the maximum part size has no boundary after it; it must be split by size.
func TestSplitLimitsPartSizeOfLongLines(t *testing.T) {
	c := qt.New(t)
	value, err := examples.Files.ReadFile("andina/configuration.json")
	c.Assert(err, qt.IsNil)
	padded := append(bytes.Repeat([]byte(" "), 200<<10), value...)
	splitAndCheck(c, padded)
}

package settings_test

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/schema"
	"github.com/bramleyspool/bramleyspool/internal/settings"
)

var update = flag.Bool("update", false, "rewrite the schema and the reference page")

func validSettings(t *testing.T) string {
	file := filepath.Join(t.TempDir(), "pem")
	qt.Assert(t, os.WriteFile(file, []byte("x"), 0o600), qt.IsNil)
	return strings.ReplaceAll(`{"vm": "entry-1", "zone": "dakar-a", "region": "dakar",
"peer": {"address": "127.0.0.1:7001"},
"keys": {"certificate": "FILE", "private_key": "FILE", "authority": "FILE"},
"platform": {"configuration": "http://127.0.0.1:9000", "vms": "http://127.0.0.1:9001/vms"},
"callers": {"address": "127.0.0.1:8080"},
"admin": {"address": "127.0.0.1:8081", "credential_sha256": "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"}}`, "FILE", file)
}

func TestParseAppliesDefaults(t *testing.T) {
	c := qt.New(t)
	parsed, faults := settings.Parse([]byte(validSettings(t)), settings.RoleEntry)
	c.Assert(faults, qt.HasLen, 0)
	c.Assert(parsed.Callers.MaxBodyBytes, qt.Equals, int64(settings.DefaultMaxBodyBytes))
	c.Assert(parsed.Peer.MaxMessageBytes, qt.Equals, settings.DefaultMaxMessageBytes)
}

func TestParseReportsPathOfInvalidField(t *testing.T) {
	cases := []struct{ name, from, to, path string }{
		{"host name", "127.0.0.1:7001", "localhost:7001", "/peer/address"},
		{"no URL", "http://127.0.0.1:9000", "127.0.0.1:9000", "/platform/configuration"},
		{"unknown field", `"vm"`, `"colour": 1, "vm"`, "/colour"},
		{"wrong type", `"entry-1"`, `17`, "/vm"},
		{"credential", "aaaaaaaa", "a", "/admin/credential_sha256"},
		{"no callers", `"callers": {"address": "127.0.0.1:8080"},`, "", "/callers"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			_, faults := settings.Parse([]byte(strings.Replace(validSettings(t), tc.from, tc.to, 1)), settings.RoleEntry)
			c.Assert(faults, qt.HasLen, 1)
			c.Assert(faults[0].Path, qt.Equals, tc.path)
		})
	}
}

// Parse must report all faults at once instead of stopping at the first. Besides the two invalid addresses, the settings
// of the backend server are missing, which an agent requires.
func TestParseReportsAllFaults(t *testing.T) {
	c := qt.New(t)
	text := strings.Replace(validSettings(t), "127.0.0.1:7001", "localhost:7001", 1)
	text = strings.Replace(text, "127.0.0.1:8080", "nowhere", 1)
	_, faults := settings.Parse([]byte(text), settings.RoleAgent)
	c.Assert(faults, qt.HasLen, 3)
}

// schema.json is generated from the doc comments. Run with -update after a change.
func TestCommittedSchemaIsUpToDate(t *testing.T) {
	c := qt.New(t)
	text, err := schema.Generate(&settings.Settings{}, "settings")
	c.Assert(err, qt.IsNil)
	if *update {
		c.Assert(os.WriteFile("schema.json", text, 0o644), qt.IsNil)
		return
	}
	c.Assert(string(settings.Schema.Text()), qt.Equals, string(text))
}

// The reference page is generated from schema.json. Run with -update twice after a change: schema.json is embedded.
func TestReferencePageIsUpToDate(t *testing.T) {
	c := qt.New(t)
	const file = "../../docs/operate/settings-reference.md"
	page, err := schema.Reference("Settings of a process", settings.Schema.Text())
	c.Assert(err, qt.IsNil)
	if *update {
		c.Assert(os.WriteFile(file, []byte(page), 0o644), qt.IsNil)
		return
	}
	committed, err := os.ReadFile(file)
	c.Assert(err, qt.IsNil)
	c.Assert(string(committed), qt.Equals, page)
}

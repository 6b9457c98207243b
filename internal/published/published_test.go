package published_test

import (
	"flag"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/published"
	"github.com/bramleyspool/bramleyspool/internal/schema"
	"github.com/bramleyspool/bramleyspool/internal/template"
)

var update = flag.Bool("update", false, "rewrite the schema and the reference page")

const document = `{"version": 5,
"templates": [{"name": "t", "classes": [{"name": "lookup", "service": "ledger", "kind": "plain", "idempotent": true,
  "deadline_ms": 500, "routes": [{"method": "GET", "path": "/v1/balance"}]}]}],
"customers": [],
"fleet": {"version": 2,
  "entries": [{"vm": "e", "zone": "z", "region": "r", "address": "127.0.0.1:1"}],
  "services": [{"name": "ledger", "kind": "plain", "opened_at": "2026-01-01T00:00:00Z", "run_key_retention_seconds": 60,
    "backends": [{"vm": "b", "zone": "z", "region": "r", "address": "127.0.0.1:2", "capacity": 1}]}]}}`

func TestAcceptReturnsTemplatesAndFleet(t *testing.T) {
	c := qt.New(t)
	configuration, faults := published.Accept([]byte(document))
	c.Assert(faults, qt.HasLen, 0)
	c.Assert(configuration.Version, qt.Equals, template.Version(5))
	c.Assert(configuration.Fleet.Version, qt.Equals, template.Version(2))
}

// Templates and fleet can each be valid and still not match: a class must name a service of the fleet, of the same kind.
func TestAcceptRejectsInconsistentParts(t *testing.T) {
	cases := []struct{ name, from, to, path string }{
		{"unknown service", `"service": "ledger"`, `"service": "till"`, "/templates/0/classes/0/service"},
		{"other kind", `"ledger", "kind": "plain", "opened_at"`, `"ledger", "kind": "model", "opened_at"`, "/templates/0/classes/0/kind"},
		{"fleet fault", `"127.0.0.1:2"`, `"127.0.0.1:1"`, "/fleet/services/0/backends/0/address"},
		{"unknown field", `"entries"`, `"entrees": [], "entries"`, "/fleet/entrees"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			_, faults := published.Accept([]byte(strings.Replace(document, tc.from, tc.to, 1)))
			c.Assert(faults, qt.HasLen, 1, qt.Commentf("%v", faults))
			c.Assert(faults[0].Path, qt.Equals, tc.path)
		})
	}
}

// schema.json is generated from the doc comments. Run with -update after a change.
func TestCommittedSchemaIsUpToDate(t *testing.T) {
	c := qt.New(t)
	text, err := schema.Generate(&published.Document{}, "template", "fleet", "published")
	c.Assert(err, qt.IsNil)
	if *update {
		c.Assert(os.WriteFile("schema.json", text, 0o644), qt.IsNil)
		return
	}
	c.Assert(string(published.Schema.Text()), qt.Equals, string(text))
}

// The reference page is generated from schema.json. Run with -update twice after a change: schema.json is embedded.
func TestReferencePageIsUpToDate(t *testing.T) {
	c := qt.New(t)
	const file = "../../docs/operate/configuration-reference.md"
	page, err := schema.Reference("The published configuration", published.Schema.Text())
	c.Assert(err, qt.IsNil)
	if *update {
		c.Assert(os.WriteFile(file, []byte(page), 0o644), qt.IsNil)
		return
	}
	committed, err := os.ReadFile(file)
	c.Assert(err, qt.IsNil)
	c.Assert(string(committed), qt.Equals, page)
}

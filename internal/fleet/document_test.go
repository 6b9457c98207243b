package fleet_test

import (
	"flag"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/fleet"
	"github.com/bramleyspool/bramleyspool/internal/schema"
)

var update = flag.Bool("update", false, "rewrite the schema")

const document = `{"version": 1,
"entries": [{"vm": "entry-1", "zone": "dakar-a", "region": "dakar", "address": "127.0.0.1:7001"}],
"services": [{"name": "writer", "kind": "model", "opened_at": "2026-01-01T00:00:00Z", "run_key_retention_seconds": 3600,
  "backends": [
   {"vm": "w-1", "zone": "dakar-a", "region": "dakar", "address": "127.0.0.1:7101", "capacity": 8, "group": "g", "ranks": [0, 1]},
   {"vm": "w-2", "zone": "dakar-b", "region": "dakar", "address": "127.0.0.1:7102", "capacity": 8, "group": "g", "ranks": [2, 3]}]}]}`

func TestAcceptReturnsTheFleet(t *testing.T) {
	c := qt.New(t)
	accepted, faults := fleet.Accept([]byte(document))
	c.Assert(faults, qt.HasLen, 0)
	c.Assert(accepted.Service("writer").RunKeyRetention, qt.Equals, time.Hour)
	service, backend := accepted.Backend("w-2")
	c.Assert(string(service.Name), qt.Equals, "writer")
	c.Assert(backend.Ranks, qt.HasLen, 2)
	c.Assert(accepted.Entry("entry-1"), qt.IsNotNil)
	c.Assert(accepted.Entry("w-1"), qt.IsNil)
}

func TestAcceptRejectsInvalidFleets(t *testing.T) {
	cases := []struct{ name, from, to, path string }{
		{"vm twice", `"w-2"`, `"w-1"`, "/services/0/backends/1/vm"},
		{"address twice", "127.0.0.1:7102", "127.0.0.1:7101", "/services/0/backends/1/address"},
		{"host name", "127.0.0.1:7001", "localhost:7001", "/entries/0/address"},
		{"rank twice", "[2, 3]", "[1, 2]", "/services/0/backends/1/ranks"},
		{"no capacity", `"capacity": 8`, `"capacity": 0`, "/services/0/backends/0/capacity"},
		{"no zone", `"zone": "dakar-b"`, `"zone": ""`, "/services/0/backends/1/zone"},
		{"wrong kind", `"model"`, `"modal"`, "/services/0/kind"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			_, faults := fleet.Accept([]byte(strings.Replace(document, tc.from, tc.to, 1)))
			c.Assert(faults, qt.HasLen, 1)
			c.Assert(faults[0].Path, qt.Equals, tc.path)
		})
	}
}

// schema.json is generated from the doc comments. Run with -update after a change.
func TestCommittedSchemaIsUpToDate(t *testing.T) {
	c := qt.New(t)
	text, err := schema.Generate(&fleet.Document{}, "fleet", "template")
	c.Assert(err, qt.IsNil)
	if *update {
		c.Assert(os.WriteFile("schema.json", text, 0o644), qt.IsNil)
		return
	}
	c.Assert(string(fleet.Schema.Text()), qt.Equals, string(text))
}

package template_test

import (
	"flag"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/schema"
	"github.com/bramleyspool/bramleyspool/internal/template"
)

var update = flag.Bool("update", false, "rewrite the schema")

// schema.json is generated from the doc comments. Run with -update after a change.
func TestCommittedSchemaIsUpToDate(t *testing.T) {
	c := qt.New(t)
	text, err := schema.Generate(&template.Document{}, "template")
	c.Assert(err, qt.IsNil)
	if *update {
		c.Assert(os.WriteFile("schema.json", text, 0o644), qt.IsNil)
		return
	}
	c.Assert(string(template.Schema.Text()), qt.Equals, string(text))
}

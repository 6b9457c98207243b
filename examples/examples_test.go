package examples_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/examples"
	"github.com/bramleyspool/bramleyspool/internal/published"
	"github.com/bramleyspool/bramleyspool/internal/settings"
)

func TestExamplesAreAccepted(t *testing.T) {
	for _, name := range []string{"ndiaye", "andina"} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			data, err := examples.Files.ReadFile(name + "/configuration.json")
			c.Assert(err, qt.IsNil)
			_, faults := published.Accept(data)
			c.Assert(faults, qt.HasLen, 0, qt.Commentf("%v", faults))
			for _, role := range []string{"entry", "agent"} {
				data, err := examples.Files.ReadFile(name + "/settings-" + role + ".json")
				c.Assert(err, qt.IsNil)
				c.Assert(settings.Schema.Check(data), qt.HasLen, 0)
			}
		})
	}
}

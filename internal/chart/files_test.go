package chart_test

import (
	"encoding/json"
	"flag"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/charts"
	"github.com/bramleyspool/bramleyspool/internal/chart"
)

var update = flag.Bool("update", false, "rewrite the pages in docs/charts")

// vocabularyOf returns all guards and actions that a chart uses.
func vocabularyOf(spec chart.Spec) chart.Vocabulary {
	var vocabulary chart.Vocabulary
	for _, state := range spec.States {
		for _, transition := range state.On {
			if transition.Guard != "" {
				vocabulary.Guards = append(vocabulary.Guards, transition.Guard)
			}
			vocabulary.Actions = append(vocabulary.Actions, transition.Actions...)
		}
	}
	return vocabulary
}

func forEachChart(t *testing.T, visit func(c *qt.C, name string, parsed *chart.Chart)) {
	files, err := fs.Glob(charts.Files, "*.json")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(files) > 0, qt.IsTrue)
	for _, file := range files {
		name := strings.TrimSuffix(file, ".json")
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			data, err := fs.ReadFile(charts.Files, file)
			c.Assert(err, qt.IsNil)
			var spec chart.Spec
			c.Assert(json.Unmarshal(data, &spec), qt.IsNil)
			parsed, err := chart.Parse(data, vocabularyOf(spec))
			c.Assert(err, qt.IsNil)
			c.Assert(spec.Name, qt.Equals, name)
			visit(c, name, parsed)
		})
	}
}

// TestEveryTransitionCanBeTaken takes each transition of each state that is not abstract, while only the transition's guard
// is true. It fails if an earlier transition for the same event, without a guard or with the same one, leads to another
// state.
func TestEveryTransitionCanBeTaken(t *testing.T) {
	forEachChart(t, func(c *qt.C, _ string, parsed *chart.Chart) {
		for _, state := range parsed.Spec().States {
			if state.Abstract {
				continue
			}
			for _, transition := range state.On {
				guardHolds := func(guard chart.Guard) bool { return guard == transition.Guard }
				step, err := parsed.Next(state.Name, transition.Event, guardHolds)
				c.Assert(err, qt.IsNil)
				c.Assert(step.Ignored, qt.IsFalse)
				c.Assert(step.To, qt.Equals, transition.Target, qt.Commentf("%s on %s", state.Name, transition.Event))
			}
		}
	})
}

// The pages in docs/charts are generated. Run with -update after a change of a chart.
func TestCommittedDiagramsAreUpToDate(t *testing.T) {
	forEachChart(t, func(c *qt.C, name string, parsed *chart.Chart) {
		file := filepath.Join("../../docs/charts", name+".md")
		if *update {
			c.Assert(os.MkdirAll(filepath.Dir(file), 0o755), qt.IsNil)
			c.Assert(os.WriteFile(file, []byte(parsed.Diagram()), 0o644), qt.IsNil)
			return
		}
		committed, err := os.ReadFile(file)
		c.Assert(err, qt.IsNil)
		c.Assert(string(committed), qt.Equals, parsed.Diagram())
	})
}

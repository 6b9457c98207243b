package chart_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/charts"
	"github.com/bramleyspool/bramleyspool/internal/chart"
)

// processVocabulary holds the actions of the chart "process"; "report-cut" logs how many calls or runs a forced stop
// aborts.
var processVocabulary = chart.Vocabulary{
	Actions: []chart.Action{"announce-ready", "announce-leaving", "exit", "report-cut"},
}

func TestProcessChartDrains(t *testing.T) {
	c := qt.New(t)
	process, err := chart.Load(charts.Files, "process", processVocabulary)
	c.Assert(err, qt.IsNil)
	state := process.Initial()
	for _, event := range []chart.Event{"ready", "stop", "drained"} {
		step, err := process.Next(state, event, nil)
		c.Assert(err, qt.IsNil)
		c.Assert(step.Ignored, qt.IsFalse)
		state = step.To
	}
	c.Assert(state, qt.Equals, chart.State("stopped"))
	c.Assert(process.Final(state), qt.IsTrue)
}

func TestParseRejectsInvalidCharts(t *testing.T) {
	vocabulary := chart.Vocabulary{Guards: []chart.Guard{"ok"}, Actions: []chart.Action{"act"}}
	cases := []struct {
		name, chart, fault string
	}{
		{"unreachable", `{"name":"x","initial":"a","events":["e"],"states":[{"name":"a","ignores":["e"]},{"name":"b","final":true}]}`, `state "b" is unreachable`},
		{"unknown guard", `{"name":"x","initial":"a","events":["e"],"states":[{"name":"a","on":[{"event":"e","guard":"nope","target":"a"}]}]}`, `unknown guard "nope"`},
		{"unknown action", `{"name":"x","initial":"a","events":["e"],"states":[{"name":"a","on":[{"event":"e","target":"a","actions":["nope"]}]}]}`, `unknown action "nope"`},
		{"unhandled event", `{"name":"x","initial":"a","events":["e"],"states":[{"name":"a"}]}`, `neither handles nor ignores event "e"`},
		{"unknown target", `{"name":"x","initial":"a","events":["e"],"states":[{"name":"a","on":[{"event":"e","target":"z"}]}]}`, `transition to "z", which cannot be entered`},
		{"unknown initial", `{"name":"x","initial":"z","events":[],"states":[{"name":"a","final":true}]}`, `initial state "z"`},
		{"unknown field", `{"name":"x","initial":"a","colour":1}`, `unknown field "colour"`},
		{"own ancestor", `{"name":"x","initial":"a","events":[],"states":[{"name":"a","parent":"b"},{"name":"b","parent":"a"}]}`, `its own ancestor`},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			_, err := chart.Parse([]byte(tc.chart), vocabulary)
			c.Assert(err, qt.IsNotNil)
			c.Assert(err.Error(), qt.Contains, tc.fault)
		})
	}
}

func TestNextPrefersOwnTransitionWhoseGuardHolds(t *testing.T) {
	c := qt.New(t)
	const text = `{"name":"x","initial":"a","events":["e","f"],"states":[
		{"name":"top","abstract":true,"on":[{"event":"e","target":"b"},{"event":"f","target":"b"}]},
		{"name":"a","parent":"top","on":[{"event":"e","guard":"ok","target":"a","actions":["act"]}]},
		{"name":"b","final":true}]}`
	parsed, err := chart.Parse([]byte(text), chart.Vocabulary{Guards: []chart.Guard{"ok"}, Actions: []chart.Action{"act"}})
	c.Assert(err, qt.IsNil)
	step, err := parsed.Next("a", "e", func(chart.Guard) bool { return true })
	c.Assert(err, qt.IsNil)
	c.Assert(step.To, qt.Equals, chart.State("a"))
	c.Assert(step.Actions, qt.DeepEquals, []chart.Action{"act"})
	step, err = parsed.Next("a", "e", func(chart.Guard) bool { return false })
	c.Assert(err, qt.IsNil)
	c.Assert(step.To, qt.Equals, chart.State("b"))
	_, err = parsed.Next("a", "unheard", nil)
	c.Assert(err, qt.ErrorIs, chart.ErrUnhandled)
}
